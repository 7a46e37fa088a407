package upkeep_test

import (
	"fmt"
	"slices"
	"testing"

	"daisywheel/internal/fleet/upkeep"
)

func TestNextInterruptsFewestTasks(t *testing.T) {
	cands := []upkeep.Candidate{
		{Machine: "busy", Tasks: 9}, {Machine: "long-running", Tasks: 1, LongRunning: 1}, {Machine: "idle"}, {Machine: "calm", Tasks: 1},
	}
	order := []string{"idle", "calm", "busy", "long-running"}
	for free := -1; free <= 5; free++ {
		want := order[:max(0, min(free, len(order)))]
		if got := upkeep.Next(cands, upkeep.EvacuationBudget{Cap: 8, Free: free, LongRunning: 2}); !slices.Equal(got, want) {
			t.Errorf("budget of %d: %v, want %v", free, got, want)
		}
	}
}

// Machines with long-running tasks take long to evacuate, so some of them must always be
// under way, but they must not displace all others.
func TestSomeWithLongRunningTasksStartEarly(t *testing.T) {
	var cands []upkeep.Candidate
	for i := range 40 {
		cands = append(cands, upkeep.Candidate{Machine: fmt.Sprintf("m-%02d", i), LongRunning: i % 2})
	}
	count := func(rom upkeep.EvacuationBudget) (longRunning, all int) {
		next := upkeep.Next(cands, rom)
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
		rom              upkeep.EvacuationBudget
		longRunning, all int
	}{
		{upkeep.EvacuationBudget{Cap: 16, Free: 16}, 5, 16},
		{upkeep.EvacuationBudget{Cap: 16, Free: 10, LongRunning: 2}, 3, 10},
		{upkeep.EvacuationBudget{Cap: 16, Free: 10, LongRunning: 5}, 0, 10},
		{upkeep.EvacuationBudget{Cap: 2, Free: 2}, 1, 2},
		{upkeep.EvacuationBudget{Cap: 32, Free: 32}, 12, 32},
		{upkeep.EvacuationBudget{Cap: 16, Free: 0}, 0, 0},
	} {
		if longRunning, all := count(tst.rom); longRunning != tst.longRunning || all != tst.all {
			t.Errorf("%+v: %d machines, %d with long-running tasks, want %d and %d", tst.rom, all, longRunning, tst.all, tst.longRunning)
		}
	}
}
