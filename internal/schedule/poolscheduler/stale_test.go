package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/poolscheduler"
)

// A VM refused a start as it had had a run of the task with a higher number, which its owner did not
// know of. The owner started the task elsewhere at once, though that run was active or had completed.
func TestTaskOfARunThatTheOwnerDoesNotKnowWaitsForTheReport(t *testing.T) {
	tid := task.ID{Job: jobID}
	for _, tst := range []struct {
		name   string
		report agent.Report
		starts int // after the report and the stops that it calls for
		isDone bool
	}{
		{"it is active", agent.Report{Incarnation: 1, Active: []agent.Run{{Task: tid, Number: 9}}}, 0, false},
		{"it has completed", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: 1, Task: tid, Run: 9, Reason: agent.EndedDone}}}, 0, true},
		{"it is not listed", agent.Report{Incarnation: 1}, 1, false},
	} {
		sch, events := newScheduler(true)
		addVMs(start, sch, vm("a", 1), vm("b", 1))
		accept(start, sch, step(1, 1000))
		first := starts(sch.Plan(start))[0]
		sch.HandleStartOutcome(start, first, agent.Stale)
		if got := len(starts(sch.Plan(start))); got != 0 {
			t.Errorf("%s: %d starts before the VM has reported", tst.name, got)
		}
		other := "b"
		if first.Target.VM == "b" {
			other = "a"
		}
		got := 0
		for now := start.Add(time.Second); got == 0 && now.Before(start.Add(6*time.Second)); now = now.Add(500 * time.Millisecond) {
			sch.HandleReport(now, now, first.Target.VM, tst.report)
			sch.HandleReport(now, now, other, agent.Report{Incarnation: 1})
			for _, ord := range sch.Plan(now) {
				switch ord.Kind {
				case poolscheduler.StopTask:
					sch.HandleStopOutcome(now, ord, agent.Done)
				case poolscheduler.StartTask:
					got++
					sch.HandleStartOutcome(now, ord, agent.Done)
					if ord.Target.VM != other {
						t.Errorf("%s: it starts on the VM that has refused it", tst.name)
					}
				}
			}
		}
		if got != tst.starts {
			t.Errorf("%s: %d more starts, want %d", tst.name, got, tst.starts)
		}
		if isDone := events["jobEnded"] == 1; isDone != tst.isDone {
			t.Errorf("%s: the job has ended: %v", tst.name, isDone)
		}
	}
}
