// Package turns foresees demand that goes from queue to queue: each pool in its
// turn is asked for several times its mean for some seconds, and for almost
// nothing in between. A move of a VM takes a good part of a turn, so VMs have to
// be on their way before the turn begins.
//
// When two turns have been seen, the time between them is known; when all pools
// but one have had theirs, so is the one that comes next; after that the order
// repeats.
package turns

import (
	"slices"
	"time"
)

const (
	slot      = 200 * time.Millisecond
	slots     = 5 // in which arrivals tell whether a turn is on: a second
	startJobs = 4 // arrivals within the slots that begin a turn
	endJobs   = 1 // arrivals within the slots that do not keep it on
	// lead is how long before a turn its VMs should be on their way: emptying
	// (under 1 s), the move (1.5 s) and the look at the new VM (0.3 s).
	lead = 2600 * time.Millisecond
	// patience is how long after its expected time a turn is waited for.
	patience = 1200 * time.Millisecond
	// evenness is the largest deviation of intervals that still count as equal.
	evenness = 0.3
	// known is how many of the latest turns are remembered.
	known = 24
)

// Arrival counts what has arrived at a pool since its owner's term began.
type Arrival struct {
	Jobs int64
	Work int64 // thousandths of a core for a second
}

// track is the recent past of one pool.
type track struct {
	last   Arrival
	at     time.Time
	recent []Arrival // of the latest slots
	isOn   bool
	began  time.Time
	work   int64 // of the turn that is on
	demand int64 // thousandths of a core, of the last whole turn
}

type turn struct {
	pool string
	at   time.Time
}

// Turns is what has been seen. It is not safe for concurrent use.
type Turns struct {
	pools map[string]*track
	turns []turn
}

// New returns a Turns that has seen nothing.
func New() *Turns { return &Turns{pools: map[string]*track{}} }

// Observe takes in the counts of a pool.
func (trn *Turns) Observe(now time.Time, pool string, sum Arrival) {
	trk, ok := trn.pools[pool]
	if !ok {
		trn.pools[pool] = &track{last: sum, at: now}
		return
	}
	if now.Sub(trk.at) < slot {
		return
	}
	fresh := Arrival{Jobs: sum.Jobs - trk.last.Jobs, Work: sum.Work - trk.last.Work}
	trk.last, trk.at = sum, now
	if fresh.Jobs < 0 {
		return // a new owner counts anew
	}
	trk.recent = append(trk.recent, fresh)
	if len(trk.recent) > slots {
		trk.recent = slices.Delete(trk.recent, 0, 1)
	}
	trn.judge(now, pool, trk, fresh)
}

// judge decides whether the pool's turn begins or ends.
func (trn *Turns) judge(now time.Time, pool string, trk *track, fresh Arrival) {
	jobs, work := int64(0), int64(0)
	for _, arr := range trk.recent {
		jobs += arr.Jobs
		work += arr.Work
	}
	switch {
	case !trk.isOn && jobs >= startJobs:
		trk.isOn, trk.began, trk.work = true, now.Add(-slot), work
		trn.turns = append(trn.turns, turn{pool, trk.began})
		if len(trn.turns) > known {
			trn.turns = slices.Delete(trn.turns, 0, 1)
		}
	case trk.isOn && jobs <= endJobs:
		trk.isOn = false
		length := now.Sub(trk.began) - slots*slot
		trk.demand = rate(trk.work, max(length, slots*slot))
	case trk.isOn:
		trk.work += fresh.Work
	}
}

func rate(work int64, over time.Duration) int64 {
	return int64(float64(work) / over.Seconds())
}

// Rate returns what arrives at the pool, in thousandths of a core: what its work
// takes while arrivals go on as in the last second.
func (trn *Turns) Rate(pool string) int64 {
	trk, ok := trn.pools[pool]
	if !ok {
		return 0
	}
	work := int64(0)
	for _, arr := range trk.recent {
		work += arr.Work
	}
	return rate(work, slots*slot)
}

// Interval returns the time between the turns of successive pools; ok is false
// while it is not known or not even.
func (trn *Turns) Interval() (interval time.Duration, ok bool) {
	var gaps []time.Duration
	for i := 1; i < len(trn.turns); i++ {
		if trn.turns[i].pool != trn.turns[i-1].pool {
			gaps = append(gaps, trn.turns[i].at.Sub(trn.turns[i-1].at))
		}
	}
	if len(gaps) == 0 {
		return 0, false
	}
	slices.Sort(gaps)
	middle := gaps[len(gaps)/2]
	for _, gap := range gaps {
		if len(gaps) < 4 && float64(gap) > (1+evenness)*float64(middle) {
			return 0, false
		}
	}
	return middle, middle > 2*slots*slot
}

// Forecast returns the demand, in thousandths of a core, of pools whose turn is
// about to begin.
func (trn *Turns) Forecast(now time.Time) map[string]int64 {
	interval, ok := trn.Interval()
	if !ok {
		return nil
	}
	wanted := map[string]int64{}
	for pool, trk := range trn.pools {
		if trk.isOn {
			continue
		}
		at, ok := trn.next(pool, interval)
		if ok && now.After(at.Add(-lead)) && now.Before(at.Add(patience)) {
			wanted[pool] = trn.demandOf(trk)
		}
	}
	return wanted
}

// next returns when the pool's next turn should begin.
func (trn *Turns) next(pool string, interval time.Duration) (at time.Time, ok bool) {
	seen := map[string]time.Time{}
	for _, trn := range trn.turns {
		seen[trn.pool] = trn.at
	}
	last := trn.turns[len(trn.turns)-1].at
	if at, had := seen[pool]; had {
		return at.Add(time.Duration(len(trn.pools)) * interval), true
	}
	// All others have had their turn.
	return last.Add(interval), len(seen) == len(trn.pools)-1
}

// demandOf returns what the pool was asked for in its last turn, or what others
// were on average.
func (trn *Turns) demandOf(trk *track) int64 {
	if trk.demand > 0 {
		return trk.demand
	}
	sum, count := int64(0), int64(0)
	for _, other := range trn.pools {
		if other.demand > 0 {
			sum += other.demand
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}
