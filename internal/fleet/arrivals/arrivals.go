// Package arrivals measures the rate at which work arrives at each pool. In its
// turn a queue asks for several times its mean for some seconds. What waits at a
// moment tells too little of that: jobs that wait long can no longer end in time,
// and the later steps of jobs are not open yet.
package arrivals

import (
	"math"
	"slices"
	"time"
)

const (
	slotLength = 200 * time.Millisecond
	slots      = 5 // a second: a quarter of a turn, and the largest jobs arrive 6 times in it
	// brief is how many slots show a turn that has just begun: enough for ten jobs of
	// the queue with the fewest.
	shortSlots = 2
	// ahead is how far arrivals are forecast: the time that a VM takes to move.
	forecastHorizon = 2 * time.Second
	// certain is how many standard deviations of a difference of counts make a turn.
	minDeviations = 2
	// mostGrowth bounds a forecast, in multiples of the present rate: what a turn
	// grows to within a move.
	maxGrowth = 3
	// holdFor is how long the highest forecast stands. Few large jobs arrive
	// unevenly, and a turn that has begun does not end within it.
	forecastHold = 2 * time.Second
)

// Sum is what has arrived at a pool since its owner's term began.
type Sum struct {
	Work int64 // in thousandths of a core for a second
	Jobs int64
}

// track is the recent past of one pool.
type series struct {
	last       Sum
	observedAt time.Time
	recent     []Sum // in the latest slots, of two spans
	// forecast is the highest of late, made at forecastAt.
	forecast   int64
	forecastAt time.Time
}

// Arrivals is what has arrived lately. It is not safe for concurrent use.
type Arrivals struct {
	pools map[string]*series
}

// New returns an Arrivals that has seen nothing.
func New() *Arrivals { return &Arrivals{pools: map[string]*series{}} }

// Observe takes in what has arrived at a pool so far.
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
		return // a new owner counts anew
	}
	srs.recent = append(srs.recent, fresh)
	if len(srs.recent) > 2*slots {
		srs.recent = slices.Delete(srs.recent, 0, 1)
	}
	srs.updateForecast(now)
}

// predict forecasts the rate of work by the growth of the number of jobs over the
// last second. Jobs differ in size by more than ten times, so the work of one says
// nothing of a turn.
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

// rateOf returns the rate of the work of a span.
func rateOf(span Sum) int64 { return int64(float64(span.Work) / (slots * slotLength).Seconds()) }

// rate returns the rate of work over the last second, or over the last slots alone when
// so many more jobs came in them that a turn has begun.
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

// Rate returns what arrives at the pool, in thousandths of a core: what its work
// takes while arrivals go on as in the last second.
func (arr *Arrivals) Rate(pool string) int64 {
	srs, ok := arr.pools[pool]
	if !ok {
		return 0
	}
	return srs.rate()
}

// Forecast returns what will arrive at the pool when a VM that moves now has come,
// in thousandths of a core; 0 while too little has been seen.
func (arr *Arrivals) Forecast(pool string) int64 {
	srs, ok := arr.pools[pool]
	if !ok {
		return 0
	}
	return srs.forecast
}
