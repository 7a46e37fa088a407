package arrivals_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/arrivals"
)

const (
	step   = 200 * time.Millisecond
	perJob = 1000
)

// steady returns an Arrivals and the way to let jobs arrive at the pool gate.
func steady() (arr *arrivals.Arrivals, advance func(steps int, work int64)) {
	arr = arrivals.New()
	now, sum := time.Unix(1000, 0), arrivals.Sum{}
	arr.Observe(now, "gate", sum)
	return arr, func(steps int, work int64) {
		for range steps {
			now = now.Add(step)
			sum.Work += work
			sum.Jobs += work / perJob
			arr.Observe(now, "gate", sum)
		}
	}
}

func TestRateFollowsATurnWithinASecond(t *testing.T) {
	arr, advance := steady()
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
	arr.Observe(now, "gate", arrivals.Sum{Work: 900000, Jobs: 90})
	arr.Observe(now.Add(step), "gate", arrivals.Sum{Work: 1000, Jobs: 1})
	arr.Observe(now.Add(2*step), "gate", arrivals.Sum{Work: 2000, Jobs: 2})
	if got := arr.Rate("gate"); got != 1000 {
		t.Errorf("rate %d, want 1000: what came since the new owner began", got)
	}
}

// VMs take a while to move, so a turn that is growing is taken for larger than it is.
func TestGrowingTurnIsForecast(t *testing.T) {
	arr, advance := steady()
	advance(10, 2000)
	if rate, got := arr.Rate("gate"), arr.Forecast("gate"); got != rate {
		t.Errorf("forecast %d of a steady rate of %d", got, rate)
	}
	advance(5, 10000)
	rate, peak := arr.Rate("gate"), arr.Forecast("gate")
	if peak <= 2*rate || peak > 3*rate {
		t.Errorf("forecast %d in a turn that has grown to %d, want more than twice and at most three times as much", peak, rate)
	}
	advance(8, 2000)
	if got := arr.Forecast("gate"); got != peak {
		t.Errorf("forecast %d a moment later, want %d to stand", got, peak)
	}
	advance(15, 2000)
	if rate, got := arr.Rate("gate"), arr.Forecast("gate"); got != rate {
		t.Errorf("forecast %d long after the turn, want the rate of %d", got, rate)
	}
}

func TestOneLargeJobIsNoTurn(t *testing.T) {
	arr, now, sum := arrivals.New(), time.Unix(1000, 0), arrivals.Sum{}
	for i := range 15 {
		now = now.Add(step)
		if i == 12 {
			sum.Work, sum.Jobs = sum.Work+500000, sum.Jobs+1
		}
		arr.Observe(now, "gate", sum)
	}
	if rate, got := arr.Rate("gate"), arr.Forecast("gate"); got != rate || rate != 500000 {
		t.Errorf("forecast %d after one job, rate %d", got, rate)
	}
}

// In its turn a queue goes from 6 jobs a second to 120. The pool learns of the whole
// rate within half a second, not when a second of the turn is over.
func TestRateFollowsATurnAtOnce(t *testing.T) {
	arr, now, sum := arrivals.New(), time.Unix(100, 0), arrivals.Sum{}
	observe := func(jobs int64) {
		sum.Jobs += jobs
		sum.Work += jobs * 30000
		now = now.Add(200 * time.Millisecond)
		arr.Observe(now, "gate", sum)
	}
	arr.Observe(now, "gate", sum)
	for num := range 30 {
		observe(1 + int64(num%2))
	}
	if got := arr.Rate("gate"); got > 12*30000 {
		t.Errorf("rate %d before the turn, want that of about 8 jobs a second", got)
	}
	observe(24)
	observe(24)
	if got := arr.Rate("gate"); got < 100*30000 {
		t.Errorf("rate %d after 0.4 s of the turn, want that of 120 jobs a second", got)
	}
}

// One large job in a queue of few is no turn.
func TestRateOfFewJobsIsThatOfASecond(t *testing.T) {
	arr, now, sum := arrivals.New(), time.Unix(100, 0), arrivals.Sum{}
	arr.Observe(now, "haul", sum)
	for num := range 20 {
		if num%4 == 3 {
			sum.Jobs++
			sum.Work += 100000
		}
		now = now.Add(200 * time.Millisecond)
		arr.Observe(now, "haul", sum)
		if got := arr.Rate("haul"); got > 200000 {
			t.Errorf("rate %d of a job each 0.8 s, want that of a second", got)
		}
	}
}
