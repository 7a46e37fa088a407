package upkeep_test

import (
	"slices"
	"testing"

	"daisywheel/internal/fleet/upkeep"
)

func TestNextTakesWhatInterruptsLeast(t *testing.T) {
	cands := []upkeep.Candidate{
		{Machine: "busy", Tasks: 9}, {Machine: "lasting", Tasks: 1, Lasting: 1}, {Machine: "idle"}, {Machine: "calm", Tasks: 1},
	}
	order := []string{"idle", "calm", "busy", "lasting"}
	for free := -1; free <= 5; free++ {
		want := order[:max(0, min(free, len(order)))]
		if got := upkeep.Next(cands, free); !slices.Equal(got, want) {
			t.Errorf("%d may go down: %v, want %v", free, got, want)
		}
	}
}
