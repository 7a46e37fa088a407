package cell_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/cell"
)

// An owner that was cut off hears that a VM's life has ended only when its successor
// may have seen the runs there end as done. It must not start them again before it
// knows that it still owns the pool.
func TestTasksOfAnEndedLifeWaitForConfirmation(t *testing.T) {
	for _, tst := range []struct {
		name  string
		ended func(cel *cell.Cell, now time.Time)
	}{
		{"the steward tells", func(cel *cell.Cell, now time.Time) { cel.Replaced(now, "a") }},
		{"the VM has started anew", func(cel *cell.Cell, now time.Time) {
			cel.Report(now, now, "a", agent.Report{Born: 2})
		}},
	} {
		cel, _ := newCell(true)
		settle(start, cel, vm("a", 1))
		accept(start, cel, step(1, 1000))
		ord := starts(cel.Plan(start))[0]
		cel.Started(start, ord, agent.Done)
		settle(start, cel, vm("a", 1), vm("b", 1))
		heard := start.Add(time.Second)
		cel.Confirm(start)
		tst.ended(cel, heard)
		cel.Confirm(heard.Add(-time.Millisecond))
		if got := len(starts(cel.Plan(heard))); got != 0 {
			t.Errorf("%s: %d starts by an owner that may have a successor", tst.name, got)
		}
		if !cel.IsUnsure() {
			t.Errorf("%s: no confirmation is asked for", tst.name)
		}
		later := heard.Add(time.Millisecond)
		cel.Confirm(later)
		if got := len(starts(cel.Plan(later))); got != 1 || cel.IsUnsure() {
			t.Errorf("%s: %d starts after the confirmation, want 1", tst.name, got)
		}
	}
}
