package arrivals_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/arrivals"
)

const step = 200 * time.Millisecond

func TestRateFollowsATurnWithinASecond(t *testing.T) {
	arr, now, sum := arrivals.New(), time.Unix(1000, 0), int64(0)
	advance := func(steps int, work int64) {
		for range steps {
			now = now.Add(step)
			sum += work
			arr.Observe(now, "gate", sum)
		}
	}
	arr.Observe(now, "gate", sum)
	advance(10, 0)
	advance(5, 50000)
	if got := arr.Rate("gate"); got != 250000 {
		t.Errorf("rate %d a second into the turn, want 250000", got)
	}
	advance(5, 0)
	if got := arr.Rate("gate"); got != 0 {
		t.Errorf("rate %d a second after the turn, want 0", got)
	}
	if got := arr.Rate("haul"); got != 0 {
		t.Errorf("rate %d of a pool that is not known", got)
	}
}

func TestNewOwnerCountsAnew(t *testing.T) {
	arr, now := arrivals.New(), time.Unix(1000, 0)
	arr.Observe(now, "gate", 900000)
	arr.Observe(now.Add(step), "gate", 1000)
	arr.Observe(now.Add(2*step), "gate", 2000)
	if got := arr.Rate("gate"); got != 1000 {
		t.Errorf("rate %d, want 1000: what came since the new owner began", got)
	}
}
