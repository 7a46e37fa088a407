package upkeep_test

import (
	"slices"
	"testing"

	"daisywheel/internal/fleet/upkeep"
)

func TestNextTakesTheEmptiestFirst(t *testing.T) {
	cands := []upkeep.Candidate{
		{Machine: "busy", Tasks: 9}, {Machine: "lasting", Tasks: 1, Lasting: 1}, {Machine: "idle"},
		{Machine: "stays", IsStayer: true}, {Machine: "emptying", Tasks: 4, IsOnWay: true},
	}
	for free, want := range [][]string{nil, {"emptying"}, {"emptying", "idle"}, {"emptying", "idle", "busy"}, {"emptying", "idle", "busy", "lasting"}} {
		if got := upkeep.Next(cands, free); !slices.Equal(got, want) {
			t.Errorf("%d may go down: %v, want %v", free, got, want)
		}
	}
	if got := upkeep.Next(cands, 9); slices.Contains(got, "stays") {
		t.Errorf("a VM that cannot be emptied is taken: %v", got)
	}
	if got := upkeep.Next(cands, -1); len(got) > 0 {
		t.Errorf("taken over the cap: %v", got)
	}
}
