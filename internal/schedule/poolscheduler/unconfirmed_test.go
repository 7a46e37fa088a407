package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/poolscheduler"
)

// An owner that was disconnected learns that a VM's incarnation has ended when a successor
// may already have seen the runs there complete. It must not start their tasks again
// before it knows that it still owns the pool.
func TestTasksOfEndedIncarnationWaitForConfirmation(t *testing.T) {
	for _, tst := range []struct {
		name string
		end  func(sch *poolscheduler.Scheduler, now time.Time)
	}{
		{"the list of machines shows the end", func(sch *poolscheduler.Scheduler, now time.Time) { sch.EndIncarnation(now, "a", sch.Revision("a")) }},
		{"the VM has restarted", func(sch *poolscheduler.Scheduler, now time.Time) {
			sch.HandleReport(now, now, "a", agent.Report{Incarnation: 2})
		}},
	} {
		sch, _ := newScheduler(true)
		addVMs(start, sch, vm("a", 1))
		accept(start, sch, step(1, 1000))
		ord := starts(sch.Plan(start))[0]
		sch.HandleStartOutcome(start, ord, agent.Done)
		addVMs(start, sch, vm("a", 1), vm("b", 1))
		learnedAt := start.Add(time.Second)
		sch.ConfirmOwnership(start)
		tst.end(sch, learnedAt)
		sch.ConfirmOwnership(learnedAt.Add(-time.Millisecond))
		if got := len(starts(sch.Plan(learnedAt))); got != 0 {
			t.Errorf("%s: %d starts by an owner that may have a successor", tst.name, got)
		}
		if !sch.NeedsConfirmation() {
			t.Errorf("%s: no confirmation is requested", tst.name)
		}
		later := learnedAt.Add(time.Millisecond)
		sch.ConfirmOwnership(later)
		if got := len(starts(sch.Plan(later))); got != 1 || sch.NeedsConfirmation() {
			t.Errorf("%s: %d starts after the confirmation, want 1", tst.name, got)
		}
	}
}
