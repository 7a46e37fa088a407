package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// A VM listed only the oldest of its ends while the state log was down. The owner took the
// runs whose ends it did not list for vanished, and started their tasks again.
func TestRunMissingFromCutReportIsNotStartedAgain(t *testing.T) {
	sch, events := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(2, 1000))
	for _, ord := range starts(sch.Plan(start)) {
		sch.HandleStartOutcome(start, ord, agent.Done)
	}
	first := agent.End{Number: 1, Task: task.ID{Job: jobID}, Run: 1, Reason: agent.EndedDone}
	second := agent.End{Number: 2, Task: task.ID{Job: jobID, Index: 1}, Run: 1, Reason: agent.EndedDone}
	now := start.Add(time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: []agent.End{first}, IsCut: true})
	if orders := sch.Plan(now); len(orders) > 0 || events["runVanished"] > 0 {
		t.Errorf("%d orders after a report that may lack an end", len(orders))
	}
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: []agent.End{second}})
	if ste, _ := sch.State(jobID); events["jobEnded"] != 1 {
		t.Errorf("the job is %s after the ends of all tasks", ste)
	}
}

// A stopped run is not known to have ended while its VM lists only the oldest of its ends.
func TestStoppedRunMissingFromCutReportKeepsItsPlace(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(1, 4000))
	sch.HandleStartOutcome(start, starts(sch.Plan(start))[0], agent.Unknown)
	now := start.Add(time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
	for _, ord := range sch.Plan(now) {
		sch.HandleStopOutcome(now, ord, agent.Done)
	}
	now = now.Add(time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, IsCut: true})
	if got := len(starts(sch.Plan(now))); got != 0 {
		t.Errorf("%d starts of a task whose run may have ended", got)
	}
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
	if got := len(starts(sch.Plan(now))); got != 1 {
		t.Errorf("%d starts once all ends are listed, want 1", got)
	}
}

// newInheritor returns a scheduler with a VM and a job of an earlier owner.
func newInheritor() *poolscheduler.Scheduler {
	sch, _ := newScheduler(false)
	sch.RestoreVM(start, vm("a", 1))
	job := jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{step(1, 1000)}}}
	sch.RestoreJob(start, jobID, &job, jobrecord.Progress{})
	sch.SetListedVMs(start, []host.Host{vm("a", 1)})
	sch.CommitBatch(sch.TakeBatch())
	return sch
}

// A new owner took a VM for reconciled whose first report lacked ends of tasks of the former
// owner.
func TestInheritedTasksWaitForCompleteReport(t *testing.T) {
	sch := newInheritor()
	report := func(at time.Time, isCut bool) []poolscheduler.Order {
		sch.NextPoll(at, "a")
		sch.HandleReport(at, at, "a", agent.Report{Incarnation: 1, IsCut: isCut})
		return starts(sch.Plan(at))
	}
	for num := range 40 {
		if got := len(report(start.Add(time.Duration(num)*time.Second), true)); got != 0 {
			t.Fatalf("%d starts %d s after the first report while ends are missing", got, num)
		}
	}
	if got := len(report(start.Add(40*time.Second), false)); got != 1 {
		t.Errorf("%d starts after a complete report, want 1", got)
	}
}

// An owner was paused until the leases of a VM had expired. It started tasks again whose runs had
// completed, as the VM had not listed these ends yet.
func TestTasksOfAnAnsweringVMAreKeptPastTheirLeases(t *testing.T) {
	sch, events := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1))
	accept(start, sch, step(2, 4000))
	var first, second poolscheduler.Order
	for _, ord := range starts(sch.Plan(start)) {
		sch.HandleStartOutcome(start, ord, agent.Done)
		if ord.Target.VM == "a" {
			first = ord
		} else {
			second = ord
		}
	}
	done := agent.End{Number: 2, Task: second.Task, Run: second.Run, Reason: agent.EndedDone}
	now := start.Add(30 * time.Second)
	sch.ConfirmOwnership(now)
	sch.HandleReport(now, now, "b", agent.Report{Incarnation: 1, IsCut: true})
	sch.Tick(now)
	if got := len(starts(sch.Plan(now))); events["vmLapsed"] != 0 || got != 0 {
		t.Errorf("%d starts, %d VMs whose tasks have lapsed, before their ends are listed", got, events["vmLapsed"])
	}
	sch.HandleReport(now, now, "b", agent.Report{Incarnation: 1, Ended: []agent.End{done}})
	sch.HandlePollFailure("a")
	sch.Tick(now)
	if got := starts(sch.Plan(now)); events["vmLapsed"] != 1 || len(got) != 1 || got[0].Task != first.Task {
		t.Errorf("%v started and %d VMs lapsed after a VM did not answer, want the task of this VM", got, events["vmLapsed"])
	}
}

// A new owner was paused until the leases of its predecessor had expired, and took a VM that had
// listed some of its ends for reconciled.
func TestInheritedTasksWaitForAnAnsweringVMPastTheLeases(t *testing.T) {
	sch := newInheritor()
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, IsCut: true})
	now := start.Add(time.Minute)
	sch.Plan(now)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, IsCut: true})
	if got := len(starts(sch.Plan(now))); got != 0 {
		t.Errorf("%d starts while ends are missing", got)
	}
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
	if got := len(starts(sch.Plan(now))); got != 1 {
		t.Errorf("%d starts after a complete report, want 1", got)
	}
}
