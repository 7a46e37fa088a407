package maintenance_test

import (
	"fmt"
	"slices"
	"testing"

	"daisywheel/internal/fleet/maintenance"
)

func TestNextInterruptsFewestTasks(t *testing.T) {
	cands := []maintenance.Candidate{
		{Machine: "busy", Tasks: 9}, {Machine: "long-running", Tasks: 1, LongRunning: 1}, {Machine: "idle"}, {Machine: "calm", Tasks: 1},
	}
	order := []string{"idle", "calm", "busy", "long-running"}
	for free := -1; free <= 5; free++ {
		want := order[:max(0, min(free, len(order)))]
		if got := maintenance.Next(cands, maintenance.EvacuationBudget{Cap: 8, Free: free, LongRunning: 2}); !slices.Equal(got, want) {
			t.Errorf("budget of %d: %v, want %v", free, got, want)
		}
	}
}

// Machines with long-running tasks take long to evacuate, so some of them must always be
// under way, but they must not displace all others.
func TestSomeWithLongRunningTasksStartEarly(t *testing.T) {
	var cands []maintenance.Candidate
	for i := range 40 {
		cands = append(cands, maintenance.Candidate{Machine: fmt.Sprintf("m-%02d", i), LongRunning: i % 2})
	}
	count := func(bdg maintenance.EvacuationBudget) (longRunning, all int) {
		next := maintenance.Next(cands, bdg)
		for _, cnd := range cands {
			if slices.Contains(next, cnd.Machine) {
				longRunning += cnd.LongRunning
				all++
			}
		}
		if all != len(next) {
			t.Errorf("%v names a machine twice", next)
		}
		return longRunning, all
	}
	for _, tst := range []struct {
		bdg              maintenance.EvacuationBudget
		longRunning, all int
	}{
		{maintenance.EvacuationBudget{Cap: 16, Free: 16}, 5, 16},
		{maintenance.EvacuationBudget{Cap: 16, Free: 10, LongRunning: 2}, 3, 10},
		{maintenance.EvacuationBudget{Cap: 16, Free: 10, LongRunning: 5}, 0, 10},
		{maintenance.EvacuationBudget{Cap: 2, Free: 2}, 1, 2},
		{maintenance.EvacuationBudget{Cap: 32, Free: 32}, 12, 32},
		{maintenance.EvacuationBudget{Cap: 16, Free: 0}, 0, 0},
	} {
		if longRunning, all := count(tst.bdg); longRunning != tst.longRunning || all != tst.all {
			t.Errorf("%+v: %d machines, %d with long-running tasks, want %d and %d", tst.bdg, all, longRunning, tst.all, tst.longRunning)
		}
	}
}
