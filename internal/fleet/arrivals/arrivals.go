// Package arrivals measures the rate at which work arrives at each pool. Queues have
// bursts of several times their mean load for some seconds. The waiting work alone
// shows too little of a burst: jobs that have waited long can no longer meet their
// deadlines, and the later steps of jobs cannot start yet.
package arrivals

import (
	"math"
	"slices"
	"time"
)

const (
	slotLength = 200 * time.Millisecond
	slots      = 5 // 1 s: a quarter of a burst, and long enough for 6 of the largest jobs to arrive
	// shortSlots is the number of slots that reveal the start of a burst: enough for ten
	// jobs of the queue with the fewest jobs.
	shortSlots = 2
	// forecastHorizon is how far arrivals are forecast: the time that a move of a VM takes.
	forecastHorizon = 2 * time.Second
	// minDeviations is by how many standard deviations two job counts must differ to
	// count as a burst.
	minDeviations = 2
	// maxGrowth bounds a forecast, in multiples of the current rate: the growth of a
	// burst during a move.
	maxGrowth = 3
	// forecastHold is how long the highest forecast stays in force. In queues of few large
	// jobs these arrive unevenly, and a burst that has begun lasts longer than this.
	forecastHold = 2 * time.Second
)

// Sum is the work and the number of jobs that have arrived at a pool since its owner's
// term began.
type Sum struct {
	Work int64 // in thousandths of a core times seconds
	Jobs int64
}

// series is the recent history of one pool.
type series struct {
	last       Sum
	observedAt time.Time
	recent     []Sum // arrivals in each of the last 2*slots slots
	// forecast is the highest recent forecast, made at forecastAt.
	forecast   int64
	forecastAt time.Time
}

// Arrivals holds the recent arrivals of all pools. It is not safe for concurrent use.
type Arrivals struct {
	pools map[string]*series
}

// New returns an Arrivals without observations.
func New() *Arrivals { return &Arrivals{pools: map[string]*series{}} }

// Observe records the sum of what has arrived at a pool so far.
func (arr *Arrivals) Observe(now time.Time, pool string, sum Sum) {
	srs, ok := arr.pools[pool]
	if !ok {
		arr.pools[pool] = &series{last: sum, observedAt: now}
		return
	}
	if now.Sub(srs.observedAt) < slotLength {
		return
	}
	fresh := Sum{Work: sum.Work - srs.last.Work, Jobs: sum.Jobs - srs.last.Jobs}
	srs.last, srs.observedAt = sum, now
	if fresh.Work < 0 || fresh.Jobs < 0 {
		return // a new owner starts its count at 0
	}
	srs.recent = append(srs.recent, fresh)
	if len(srs.recent) > 2*slots {
		srs.recent = slices.Delete(srs.recent, 0, 1)
	}
	srs.updateForecast(now)
}

// updateForecast forecasts the rate of work from the growth of the number of jobs in
// the last second over the second before. Jobs differ in size by a factor of more than
// ten, so the work of a single job says nothing about a burst.
func (srs *series) updateForecast(now time.Time) {
	if len(srs.recent) < 2*slots {
		return
	}
	before, last := sumOf(srs.recent[:slots]), sumOf(srs.recent[slots:])
	growth := float64(last.Jobs - before.Jobs)
	next := rateOf(last)
	if growth > minDeviations*math.Sqrt(float64(last.Jobs+before.Jobs)) {
		factor := 1 + growth/float64(last.Jobs)*forecastHorizon.Seconds()/(slots*slotLength).Seconds()
		next = int64(min(factor, maxGrowth) * float64(next))
	}
	if next >= srs.forecast || now.Sub(srs.forecastAt) > forecastHold {
		srs.forecast, srs.forecastAt = next, now
	}
}

func sumOf(span []Sum) Sum {
	var all Sum
	for _, sum := range span {
		all.Work += sum.Work
		all.Jobs += sum.Jobs
	}
	return all
}

// rateOf returns the rate of the work that arrived in a span of slots.
func rateOf(span Sum) int64 { return int64(float64(span.Work) / (slots * slotLength).Seconds()) }

// rate returns the rate of work over the last second, or over the last shortSlots alone
// if so many more jobs came in them that a burst has begun.
func (srs *series) rate() int64 {
	last := srs.recent[max(0, len(srs.recent)-slots):]
	whole := rateOf(sumOf(last))
	if len(last) < slots {
		return whole
	}
	before, now := sumOf(last[:slots-shortSlots]), sumOf(last[slots-shortSlots:])
	share := float64(shortSlots) / (slots - shortSlots)
	usual := share * float64(before.Jobs)
	if float64(now.Jobs)-usual <= minDeviations*math.Sqrt(float64(now.Jobs)+share*usual) {
		return whole
	}
	return max(whole, int64(float64(now.Work)/(shortSlots*slotLength).Seconds()))
}

// Rate returns the rate of work that arrives at the pool, in thousandths of a core: the
// capacity that it takes while arrivals continue as in the last second.
func (arr *Arrivals) Rate(pool string) int64 {
	srs, ok := arr.pools[pool]
	if !ok {
		return 0
	}
	return srs.rate()
}

// Forecast returns the expected rate of work when a VM that starts to move now has
// arrived, in thousandths of a core, or 0 while there are too few observations.
func (arr *Arrivals) Forecast(pool string) int64 {
	srs, ok := arr.pools[pool]
	if !ok {
		return 0
	}
	return srs.forecast
}
