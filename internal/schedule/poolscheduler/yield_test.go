package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

const (
	lateID   = "00000000000000aa"
	inTimeID = "00000000000000bb"
)

// newYieldingPool returns a scheduler with a late job and one that can end in time, both running on one VM
// that is to be evacuated, and the time.
func newYieldingPool(late, inTime plan.Step) (*poolscheduler.Scheduler, time.Time) {
	sch, _ := newScheduler(true)
	queues := []queue.Queue{{Name: "q", Pool: "gate", MaxAttempts: 2, DeadlineFactor: 1.5}}
	sch.SetTable(queue.NewTable(2, queues, nil).WithOrganisations(organisation.NewSet()))
	addVMs(start, sch, vm("a", 1))
	sch.Accept(start, jobrecord.Job{Queue: "q", FirstAttempt: start.Add(-time.Minute), Plan: &plan.Plan{ID: lateID, Steps: []plan.Step{late}}})
	sch.Accept(start, jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: inTimeID, Steps: []plan.Step{inTime}}})
	var active []agent.Run
	for _, ord := range starts(sch.Plan(start)) {
		sch.HandleStartOutcome(start, ord, agent.Done)
		active = append(active, agent.Run{Task: ord.Task, Number: ord.Run, Percent: 1})
	}
	now := start.Add(200 * time.Millisecond)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Active: active})
	sch.SetEvacuating(now, map[string]bool{"a": true})
	return sch, now
}

// stopped returns the jobs whose tasks are ordered to stop.
func stopped(orders []poolscheduler.Order) map[string]int {
	jobs := map[string]int{}
	for _, ord := range orders {
		if ord.Kind == poolscheduler.StopTask {
			jobs[ord.Task.Job]++
		}
	}
	return jobs
}

// Another pool needs the VM for its burst: what is late in any case stops, what can end in time ends.
func TestLateTasksYield(t *testing.T) {
	sch, now := newYieldingPool(plan.Step{Count: 2, Demand: plan.Demand{MilliCores: 1000}, Estimate: 5 * time.Second}, step(1, 1000))
	if got := sch.BalanceInput(now).VMs[0]; got.Yielding != 2 || got.Tasks != 3 || got.FreeIn <= 0 || got.FreeIn > 2*time.Second {
		t.Errorf("reported %+v, want 2 of 3 tasks to yield and the other to end within 2 s", got)
	}
	if got := stopped(sch.Plan(now)); len(got) != 0 {
		t.Errorf("stopped %v for an evacuation that can wait", got)
	}
	sch.SetYielding(map[string]bool{"a": true})
	if got := stopped(sch.Plan(now)); got[lateID] != 2 || len(got) != 1 {
		t.Errorf("stopped %v, want the two tasks of the late job", got)
	}
	// The stopped runs end without a failure, and their tasks wait for another VM.
	now = now.Add(300 * time.Millisecond)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Active: []agent.Run{{Task: task.ID{Job: inTimeID}, Number: 1, Percent: 50}}, Ended: []agent.End{
		{Number: 1, Task: task.ID{Job: lateID, Index: 0}, Run: 1, Reason: agent.EndedStopped}, {Number: 2, Task: task.ID{Job: lateID, Index: 1}, Run: 1, Reason: agent.EndedStopped},
	}})
	if got := sch.BalanceInput(now).VMs[0].Tasks; got != 2 { // the ends are not stored yet
		t.Errorf("the VM is needed for %d, want one task and the ends", got)
	}
	addVMs(now, sch, vm("a", 1), vm("b", 1))
	orders := starts(sch.Plan(now))
	if len(orders) != 2 || orders[0].Task.Job != lateID || orders[0].Target.VM != "b" {
		t.Errorf("starts %v, want the stopped tasks on the other VM", orders)
	}
}

// Where no organisations share the fleet, work ends by itself.
func TestNothingYieldsWithoutOrganisations(t *testing.T) {
	sch, now := newYieldingPool(plan.Step{Count: 2, Demand: plan.Demand{MilliCores: 1000}, Estimate: 5 * time.Second}, step(1, 1000))
	sch.SetTable(queue.NewTable(3, []queue.Queue{{Name: "q", Pool: "gate", MaxAttempts: 2, DeadlineFactor: 1.5}}, nil))
	sch.SetYielding(map[string]bool{"a": true})
	if got := sch.BalanceInput(now).VMs[0]; got.Yielding != 0 || got.FreeIn != 0 {
		t.Errorf("reported %+v", got)
	}
	if got := stopped(sch.Plan(now)); len(got) != 0 {
		t.Errorf("stopped %v", got)
	}
}

func TestWhatDoesNotYield(t *testing.T) {
	short := plan.Step{Count: 2, Demand: plan.Demand{MilliCores: 1000}, Estimate: 300 * time.Millisecond}
	gang := plan.Step{Count: 2, Demand: plan.Demand{MilliCores: 1000}, Estimate: 5 * time.Second, IsGang: true}
	lasting := plan.Step{Count: 1, Demand: plan.Demand{MilliCores: 1000}, Estimate: 5 * time.Second, IsBackground: true}
	for name, stp := range map[string]plan.Step{"about to end": short, "gang": gang, "background": lasting} {
		sch, now := newYieldingPool(stp, step(1, 1000))
		sch.SetYielding(map[string]bool{"a": true})
		if got := stopped(sch.Plan(now)); len(got) != 0 {
			t.Errorf("%s: stopped %v", name, got)
		}
	}
}
