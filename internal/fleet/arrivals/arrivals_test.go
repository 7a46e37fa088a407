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

// steady returns an Arrivals and a function that lets jobs arrive at pool gate, with the
// given work in each of a number of steps.
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

func TestRateFollowsABurstWithinASecond(t *testing.T) {
	arr, advance := steady()
	advance(10, 0)
	advance(5, 50000)
	if got := arr.Rate("gate"); got != 250000 {
		t.Errorf("rate %d a second into the burst, want 250000", got)
	}
	advance(5, 0)
	if got := arr.Rate("gate"); got != 0 {
		t.Errorf("rate %d a second after the burst, want 0", got)
	}
	if got := arr.Rate("haul"); got != 0 {
		t.Errorf("rate %d of an unknown pool, want 0", got)
	}
}

func TestNewOwnerStartsCountAtZero(t *testing.T) {
	arr, now := arrivals.New(), time.Unix(1000, 0)
	arr.Observe(now, "gate", arrivals.Sum{Work: 900000, Jobs: 90})
	arr.Observe(now.Add(step), "gate", arrivals.Sum{Work: 1000, Jobs: 1})
	arr.Observe(now.Add(2*step), "gate", arrivals.Sum{Work: 2000, Jobs: 2})
	if got := arr.Rate("gate"); got != 1000 {
		t.Errorf("rate %d, want 1000, the arrivals since the new owner started", got)
	}
}

// VMs take a while to move, so the forecast of a growing burst exceeds its current rate.
func TestGrowingBurstIsForecast(t *testing.T) {
	arr, advance := steady()
	advance(10, 2000)
	if rate, got := arr.Rate("gate"), arr.Forecast("gate"); got != rate {
		t.Errorf("forecast %d at a steady rate of %d, want that rate", got, rate)
	}
	advance(5, 10000)
	rate, peak := arr.Rate("gate"), arr.Forecast("gate")
	if peak <= 2*rate || peak > 3*rate {
		t.Errorf("forecast %d in a burst that has grown to %d, want more than twice and at most three times as much", peak, rate)
	}
	advance(8, 2000)
	if got := arr.Forecast("gate"); got != peak {
		t.Errorf("forecast %d 1.6 s later, want it to stay at %d", got, peak)
	}
	advance(15, 2000)
	if rate, got := arr.Rate("gate"), arr.Forecast("gate"); got != rate {
		t.Errorf("forecast %d long after the burst, want the rate of %d", got, rate)
	}
}

func TestOneLargeJobIsNoBurst(t *testing.T) {
	arr, now, sum := arrivals.New(), time.Unix(1000, 0), arrivals.Sum{}
	for i := range 15 {
		now = now.Add(step)
		if i == 12 {
			sum.Work, sum.Jobs = sum.Work+500000, sum.Jobs+1
		}
		arr.Observe(now, "gate", sum)
	}
	if rate, got := arr.Rate("gate"), arr.Forecast("gate"); got != rate || rate != 500000 {
		t.Errorf("forecast %d and rate %d after one large job, want 500000 for both", got, rate)
	}
}

// In a burst a queue goes from 6 jobs per second to 120. The rate must show all of it
// within half a second, not only after a full second.
func TestRateFollowsABurstAtOnce(t *testing.T) {
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
		t.Errorf("rate %d before the burst, want that of about 8 jobs per second", got)
	}
	observe(24)
	observe(24)
	if got := arr.Rate("gate"); got < 100*30000 {
		t.Errorf("rate %d after 0.4 s of the burst, want that of 120 jobs per second", got)
	}
}

// A large job in a queue of few jobs must not count as a burst.
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
			t.Errorf("rate %d with a job every 0.8 s, want the rate over a second", got)
		}
	}
}

// Bursts go from queue to queue and ask for as much each time. The second one is forecast
// from the first as soon as it shows, not only when it has grown.
func TestBurstThatBeginsIsForecastFromTheLastOne(t *testing.T) {
	arr, now := arrivals.New(), time.Unix(1000, 0)
	sums := map[string]arrivals.Sum{}
	advance := func(pool string, steps int, jobs int64) {
		for range steps {
			now = now.Add(step)
			for _, name := range []string{"gate", "haul"} {
				sum := sums[name]
				if name == pool {
					sum.Jobs, sum.Work = sum.Jobs+jobs, sum.Work+jobs*9000
				}
				sums[name] = sum
				arr.Observe(now, name, sum)
			}
		}
	}
	advance("", 11, 0)
	advance("gate", 20, 10)
	advance("", 20, 0)
	advance("haul", 1, 2)
	if got := arr.Forecast("haul"); got > 100000 {
		t.Errorf("forecast %d after two jobs, want no burst", got)
	}
	advance("haul", 1, 4)
	if got := arr.Forecast("haul"); got < 400000 {
		t.Errorf("forecast %d as the burst begins, want the 450000 of the last one", got)
	}
}

// Reports come early when a burst begins. A rate must not depend on how often the pool's
// owner reports.
func TestRateDoesNotDependOnTheIntervalOfReports(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, 180 * time.Millisecond, 390 * time.Millisecond} {
		arr, now, sum := arrivals.New(), time.Unix(1000, 0), arrivals.Sum{}
		arr.Observe(now, "gate", sum)
		for range 100 {
			now = now.Add(interval)
			sum.Work += interval.Milliseconds() * 100
			sum.Jobs += interval.Milliseconds() / 10
			arr.Observe(now, "gate", sum)
		}
		if got := arr.Rate("gate"); got < 95000 || got > 105000 {
			t.Errorf("rate %d with a report each %s, want 100000", got, interval)
		}
	}
}
