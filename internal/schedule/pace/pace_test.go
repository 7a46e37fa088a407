package pace_test

import (
	"testing"

	"daisywheel/internal/schedule/pace"
)

func TestNext(t *testing.T) {
	for _, tst := range []struct {
		name      string
		current   int
		tailRatio float64
		isShared  bool
		want      int
	}{
		{"alone on the VM", 20, 2, false, 100},
		{"over the latency goal", 100, 1.1, true, 0},
		{"near the latency goal", 100, 0.9, true, 50},
		{"near the latency goal at a pace too low to halve", 15, 0.9, true, 0},
		{"between the thresholds", 40, 0.7, true, 40},
		{"well below the latency goal", 40, 0.3, true, 60},
		{"well below the latency goal at full pace", 100, 0.3, true, 100},
		{"unknown, as an earlier owner set it", -1, 0.3, true, 50},
	} {
		if got := pace.Next(tst.current, tst.tailRatio, tst.isShared); got != tst.want {
			t.Errorf("%s: %d, want %d", tst.name, got, tst.want)
		}
	}
}

// Under a constant load the pace must settle. Without hysteresis it would oscillate, as
// background tasks themselves raise the tail latency.
func TestHysteresisSettles(t *testing.T) {
	current, changes := 100, 0
	for i := range 60 {
		tailRatio := 0.55 + 0.004*float64(current) // background tasks add 0.4 at full pace
		next := pace.Next(current, tailRatio, true)
		if i >= 10 && next != current {
			changes++
		}
		current = next
	}
	if changes > 0 || current == 0 {
		t.Errorf("%d changes after the pace should have settled, at %d", changes, current)
	}
}
