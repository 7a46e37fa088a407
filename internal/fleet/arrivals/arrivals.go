// Package arrivals measures the rate at which work arrives at each pool, and forecasts it.
// Queues have bursts of several times their mean load for some seconds. The waiting work
// alone shows too little of a burst: jobs that have waited long can no longer meet their
// deadlines, and the later steps of jobs cannot start yet. Bursts go from queue to queue
// and grow alike, so once one has begun, the last one tells how large it will be.
package arrivals

import (
	"math"
	"time"
)

const (
	// window is the span of the rate: a quarter of a burst, and long enough for 6 of the
	// largest jobs to arrive.
	window = time.Second
	// shortWindow is the span that reveals the start of a burst: enough for ten jobs of
	// the queue with the fewest jobs.
	shortWindow = 400 * time.Millisecond
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
	// endedShare is the share of a burst's peak below which the burst has ended.
	endedShare = 0.25
)

// Sum is the work and the number of jobs that have arrived at a pool since its owner's
// term began.
type Sum struct {
	Work int64 // in thousandths of a core times seconds
	Jobs int64
}

func (sum Sum) minus(other Sum) Sum { return Sum{sum.Work - other.Work, sum.Jobs - other.Jobs} }
func (sum Sum) plus(other Sum) Sum  { return Sum{sum.Work + other.Work, sum.Jobs + other.Jobs} }

// point is the sum of all arrivals up to a time.
type point struct {
	at  time.Time
	sum Sum
}

// series is the recent history of one pool.
type series struct {
	last   Sum     // as the owner has reported it
	points []point // of the last two windows, oldest first
	// forecast is the highest recent forecast, made at forecastAt.
	forecast   int64
	forecastAt time.Time
	burst      burst
	usualPeak  int64 // peak of the last burst that lasted; 0 before
}

// burst is the present burst of a pool.
type burst struct {
	startedAt time.Time // zero outside of bursts
	peak      int64     // highest rate over two windows so far
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
		arr.pools[pool] = &series{last: sum, points: []point{{at: now}}}
		return
	}
	newest := srs.points[len(srs.points)-1]
	if !now.After(newest.at) {
		return
	}
	fresh := sum.minus(srs.last)
	srs.last = sum
	if fresh.Work < 0 || fresh.Jobs < 0 {
		fresh = Sum{} // a new owner starts its count at 0
	}
	srs.points = append(srs.points, point{at: now, sum: newest.sum.plus(fresh)})
	for len(srs.points) > 2 && now.Sub(srs.points[1].at) >= 2*window {
		srs.points = srs.points[1:]
	}
	arr.updateForecast(now, srs)
}

// updateForecast forecasts the rate of work from the growth of the number of jobs. Jobs
// differ in size by a factor of more than ten, so the work of a single job says nothing
// about a burst. A pool whose burst has begun is expected to need what bursts have needed.
func (arr *Arrivals) updateForecast(now time.Time, srs *series) {
	if now.Sub(srs.points[0].at) < 2*window {
		return
	}
	before, last := srs.between(now.Add(-2*window), now.Add(-window)), srs.between(now.Add(-window), now)
	growth := float64(last.Jobs - before.Jobs)
	next := rateOf(last, window)
	isGrowing := growth > minDeviations*math.Sqrt(float64(last.Jobs+before.Jobs))
	if isGrowing {
		factor := 1 + growth/float64(last.Jobs)*forecastHorizon.Seconds()/window.Seconds()
		next = int64(min(factor, maxGrowth) * float64(next))
	}
	if (isGrowing || srs.hasJumped(now)) && srs.burst.startedAt.IsZero() {
		next = max(next, arr.usualPeakOf(srs))
		srs.burst = burst{startedAt: now}
	}
	srs.updateBurst(now, rateOf(before.plus(last), 2*window), rateOf(last, window))
	if next >= srs.forecast || now.Sub(srs.forecastAt) > forecastHold {
		srs.forecast, srs.forecastAt = next, now
	}
}

// updateBurst updates the present burst from the rates over two windows and over one. The
// peak of a burst counts only if it lasts: a few jobs that came together are none.
func (srs *series) updateBurst(now time.Time, longRate, rate int64) {
	bst := &srs.burst
	if bst.startedAt.IsZero() {
		return
	}
	bst.peak = max(bst.peak, longRate)
	if now.Sub(bst.startedAt) >= 2*window {
		srs.usualPeak = bst.peak
	}
	if float64(rate) < endedShare*float64(bst.peak) {
		*bst = burst{}
	}
}

// usualPeakOf returns the peak of the pool's last burst, or the lowest peak of the other
// pools' last bursts if it has had none, in thousandths of a core.
func (arr *Arrivals) usualPeakOf(srs *series) int64 {
	if srs.usualPeak > 0 {
		return srs.usualPeak
	}
	lowest := int64(0)
	for _, other := range arr.pools {
		if other.usualPeak > 0 && (lowest == 0 || other.usualPeak < lowest) {
			lowest = other.usualPeak
		}
	}
	return lowest
}

// between returns what arrived in a span. Arrivals between two points count as evenly
// spread; before the first point there were none.
func (srs *series) between(from, to time.Time) Sum { return srs.until(to).minus(srs.until(from)) }

func (srs *series) until(at time.Time) Sum {
	for i := len(srs.points) - 1; i >= 0; i-- {
		pnt := srs.points[i]
		if pnt.at.After(at) {
			continue
		}
		if i == len(srs.points)-1 {
			return pnt.sum
		}
		next := srs.points[i+1]
		share := float64(at.Sub(pnt.at)) / float64(next.at.Sub(pnt.at))
		fresh := next.sum.minus(pnt.sum)
		return pnt.sum.plus(Sum{int64(share * float64(fresh.Work)), int64(share*float64(fresh.Jobs) + 0.5)})
	}
	return srs.points[0].sum
}

func rateOf(sum Sum, span time.Duration) int64 { return int64(float64(sum.Work) / span.Seconds()) }

// hasJumped reports whether so many more jobs came in the last shortWindow than in the
// rest of the window that a burst has begun.
func (srs *series) hasJumped(now time.Time) bool {
	start := now.Add(-window)
	if srs.points[0].at.After(start) {
		return false
	}
	before, last := srs.between(start, now.Add(-shortWindow)), srs.between(now.Add(-shortWindow), now)
	share := float64(shortWindow) / float64(window-shortWindow)
	usual := share * float64(before.Jobs)
	return float64(last.Jobs)-usual > minDeviations*math.Sqrt(float64(last.Jobs)+share*usual)
}

// rate returns the rate of work over the last window, or over the last shortWindow alone if
// a burst has begun in it.
func (srs *series) rate() int64 {
	now := srs.points[len(srs.points)-1].at
	whole := rateOf(srs.between(now.Add(-window), now), window)
	if !srs.hasJumped(now) {
		return whole
	}
	return max(whole, rateOf(srs.between(now.Add(-shortWindow), now), shortWindow))
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
