package cell_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/cell"
)

// An owner that was disconnected learns that a VM's incarnation has ended when a successor
// may already have seen the runs there complete. It must not start their tasks again
// before it knows that it still owns the pool.
func TestTasksOfEndedIncarnationWaitForConfirmation(t *testing.T) {
	for _, tst := range []struct {
		name  string
		ended func(cel *cell.Cell, now time.Time)
	}{
		{"the list of machines shows the end", func(cel *cell.Cell, now time.Time) { cel.Replaced(now, "a") }},
		{"the VM has restarted", func(cel *cell.Cell, now time.Time) {
			cel.Report(now, now, "a", agent.Report{Born: 2})
		}},
	} {
		cel, _ := newCell(true)
		addVMs(start, cel, vm("a", 1))
		accept(start, cel, step(1, 1000))
		ord := starts(cel.Plan(start))[0]
		cel.Started(start, ord, agent.Done)
		addVMs(start, cel, vm("a", 1), vm("b", 1))
		learnedAt := start.Add(time.Second)
		cel.Confirm(start)
		tst.ended(cel, learnedAt)
		cel.Confirm(learnedAt.Add(-time.Millisecond))
		if got := len(starts(cel.Plan(learnedAt))); got != 0 {
			t.Errorf("%s: %d starts by an owner that may have a successor", tst.name, got)
		}
		if !cel.IsUnsure() {
			t.Errorf("%s: no confirmation is requested", tst.name)
		}
		later := learnedAt.Add(time.Millisecond)
		cel.Confirm(later)
		if got := len(starts(cel.Plan(later))); got != 1 || cel.IsUnsure() {
			t.Errorf("%s: %d starts after the confirmation, want 1", tst.name, got)
		}
	}
}
