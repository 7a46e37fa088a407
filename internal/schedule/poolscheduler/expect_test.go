package poolscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// runSlowSteps runs jobs on VM a, each with one step that takes twice its declared time,
// and returns the time at the end.
func runSlowSteps(sch *poolscheduler.Scheduler, count int) time.Time {
	now, number := start, int64(0)
	for num := range count {
		id := fmt.Sprintf("%016x", 0x1000+num)
		sch.Accept(now, jobrecord.Job{Queue: "q", FirstAttempt: now, Plan: &plan.Plan{ID: id, Steps: []plan.Step{step(1, 1000)}}})
		for _, ord := range starts(sch.Plan(now)) {
			sch.HandleStartOutcome(now, ord, agent.Done)
		}
		now = now.Add(2 * time.Second)
		number++
		sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: number, Task: task.ID{Job: id}, Run: 1, Reason: agent.EndedDone}}})
	}
	return now
}

// In a burst most of the waiting jobs have declared too short run times. If a queue's
// steps take twice the declared time, the deadlines of its jobs are twice as far away,
// and a job's demand counts as wanted as long as its deadline can be met.
func TestDeadlineFollowsLearnedRunTimes(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	now := runSlowSteps(sch, 30)
	stp := step(8, 4000) // fills the VM, so one runs at a time
	sch.Accept(now, jobrecord.Job{Queue: "q", FirstAttempt: now, Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{stp}}})
	// The deadline is 1.5 times the expected 2 s, which leaves 1 s to start. With the
	// declared 1 s it would leave 0.5 s.
	if pol := sch.BalanceInput(now.Add(600 * time.Millisecond)); pol.Demand != 32000 || pol.LateDemand != 0 {
		t.Errorf("wanted %d and late %d thousandths of a core after 0.6 s, want all wanted", pol.Demand, pol.LateDemand)
	}
	if pol := sch.BalanceInput(now.Add(3500 * time.Millisecond)); pol.Demand != 0 || pol.LateDemand != 32000 {
		t.Errorf("wanted %d and late %d thousandths of a core after 3.5 s, want all late", pol.Demand, pol.LateDemand)
	}
}

// The deadline of each occurrence of a repeating job counts from its due time.
func TestDeadlineOfOccurrenceCountsFromItsDueTime(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	pln := &plan.Plan{ID: jobID, RepeatCount: 5, FirstAt: start.Add(time.Minute), Interval: time.Minute, Steps: []plan.Step{step(1, 1000)}}
	sch.Accept(start, jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: pln})
	now := start.Add(time.Minute)
	sch.Tick(now)
	if pol := sch.BalanceInput(now); pol.Demand != 1000 {
		t.Errorf("wanted %d thousandths of a core when the occurrence is due, want 1000", pol.Demand)
	}
}
