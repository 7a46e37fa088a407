package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
)

// A VM restarted and took a start order before the owner learned of it. The owner took the
// run for one of the old incarnation and started the task again beside it.
func TestRunOfNewIncarnationIsNotStartedAgain(t *testing.T) {
	run := agent.Run{Task: task.ID{Job: jobID}, Number: 1}
	for _, tst := range []struct {
		name     string
		reported bool // the old incarnation has reported the run
		report   agent.Report
		want     int
	}{
		{"the new incarnation runs it", false, agent.Report{Incarnation: 2, Active: []agent.Run{run}}, 0},
		{"it has completed there", false, agent.Report{Incarnation: 2, Ended: []agent.End{{Number: 1, Task: run.Task, Run: 1, Reason: agent.EndedDone}}}, 0},
		{"the new incarnation does not know it", false, agent.Report{Incarnation: 2}, 1},
		{"it was one of the old incarnation", true, agent.Report{Incarnation: 2}, 1},
	} {
		sch, _ := newScheduler(true)
		addVMs(start, sch, vm("a", 1))
		accept(start, sch, step(1, 1000))
		sch.HandleStartOutcome(start, starts(sch.Plan(start))[0], agent.Done)
		if tst.reported {
			sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Active: []agent.Run{run}})
		}
		learnedAt := start.Add(250 * time.Millisecond)
		addVMs(learnedAt, sch, vm("b", 1))
		sch.SetListedVMs(learnedAt, []host.Host{vm("a", 2), vm("b", 1)})
		confirmedAt := learnedAt.Add(time.Millisecond)
		sch.ConfirmOwnership(confirmedAt)
		early := len(starts(sch.Plan(confirmedAt)))
		if early > 0 && !tst.reported {
			t.Errorf("%s: started again before the new incarnation has reported", tst.name)
		}
		reportedAt := learnedAt.Add(10 * time.Millisecond)
		sch.HandleReport(reportedAt, reportedAt, "a", tst.report)
		sch.ConfirmOwnership(reportedAt.Add(time.Millisecond))
		if got := early + len(starts(sch.Plan(reportedAt.Add(time.Millisecond)))); got != tst.want {
			t.Errorf("%s: %d more starts, want %d", tst.name, got, tst.want)
		}
	}
}

// A VM restarted while its owner was replaced. The new owner took it for empty, though the
// former one had started tasks on the new incarnation.
func TestNewIncarnationInListIsNotTakenForEmpty(t *testing.T) {
	sch, _ := newScheduler(false)
	sch.RestoreVM(start, vm("a", 1))
	job := jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{step(1, 1000)}}}
	sch.RestoreJob(start, jobID, &job, jobrecord.Progress{})
	sch.SetListedVMs(start, []host.Host{vm("a", 2), vm("b", 1)})
	sch.CommitBatch(sch.TakeBatch())
	sch.HandleReport(start, start, "b", agent.Report{Incarnation: 1})
	if got := len(starts(sch.Plan(start))); got != 0 {
		t.Errorf("%d starts while a run of the former owner may be on the new incarnation", got)
	}
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 2})
	if got := len(starts(sch.Plan(start))); got != 1 {
		t.Errorf("%d starts once all VMs have reported, want 1", got)
	}
}

// The list of VMs showed a start time in the far future for a VM. Its owner took all its reports for
// late answers of an ended incarnation, and never used it again.
func TestFalseIncarnationInListIsDisproved(t *testing.T) {
	sch, events := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	sch.SetListedVMs(start, []host.Host{vm("a", 1<<41)})
	now := start.Add(time.Second)
	sch.HandleReport(now, start, "a", agent.Report{Incarnation: 1}) // of a poll from before
	accept(now, sch, step(1, 1000))
	sch.CommitBatch(sch.TakeBatch())
	if got := len(starts(sch.Plan(now))); got != 0 {
		t.Errorf("%d starts on a VM that may have restarted", got)
	}
	for range 3 {
		sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
		sch.SetListedVMs(now, []host.Host{vm("a", 1<<41)})
		sch.CommitBatch(sch.TakeBatch())
	}
	if got := len(starts(sch.Plan(now))); got != 1 || events["vmReborn"] != 2 {
		t.Errorf("%d starts and %d restarts, want 1 and 2", got, events["vmReborn"])
	}
	sch.SetListedVMs(now, []host.Host{vm("a", 2)})
	if events["vmReborn"] != 3 {
		t.Error("a restart after a false one is not noticed")
	}
}

// A VM whose clock had been set back restarted. Its owner ignored all its reports.
func TestRestartWithAnEarlierStartTimeIsNoticed(t *testing.T) {
	sch, events := newScheduler(true)
	addVMs(start, sch, vm("a", 5))
	now := start.Add(time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 3})
	sch.SetListedVMs(now, []host.Host{vm("a", 3)})
	sch.CommitBatch(sch.TakeBatch())
	accept(now, sch, step(1, 1000))
	if got := len(starts(sch.Plan(now))); got != 1 || events["vmReborn"] != 1 {
		t.Errorf("%d starts after %d restarts, want 1 after 1", got, events["vmReborn"])
	}
}

// A VM restarted under its id as a smaller kind. Until the list of VMs was read again, its owner
// started tasks by the capacity and the labels of the old incarnation.
func TestRestartedVMGetsNoTasksBeforeItsKindIsKnown(t *testing.T) {
	sch, _ := newScheduler(true)
	large := vm("a", 1)
	large.Labels = []string{"large"}
	addVMs(start, sch, large)
	now := start.Add(time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 2})
	sch.CommitBatch(sch.TakeBatch())
	accept(now, sch, step(8, 1000))
	sch.SetListedVMs(now, []host.Host{large}) // the list lags behind
	sch.CommitBatch(sch.TakeBatch())
	if got := len(starts(sch.Plan(now))); got != 0 {
		t.Errorf("%d starts on a VM of an unknown kind", got)
	}
	small := vm("a", 2)
	small.Capacity.MilliCores = 2000
	sch.SetListedVMs(now, []host.Host{small})
	sch.CommitBatch(sch.TakeBatch())
	if got := len(starts(sch.Plan(now))); got != 2 {
		t.Errorf("%d starts of 1 core on a VM of 2, want 2", got)
	}
}
