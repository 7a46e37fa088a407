// Package arrivals measures the rate at which work arrives at each pool. In its
// turn a queue asks for several times its mean for some seconds. What waits at a
// moment tells too little of that: jobs that wait long can no longer end in time,
// and the later steps of jobs are not open yet.
package arrivals

import (
	"slices"
	"time"
)

const (
	slot  = 200 * time.Millisecond
	slots = 5 // a second: a tenth of a turn, and the largest jobs arrive 6 times in it
)

// track is the recent past of one pool.
type track struct {
	last   int64
	at     time.Time
	recent []int64 // work in the latest slots
}

// Arrivals is what has arrived lately. It is not safe for concurrent use.
type Arrivals struct {
	pools map[string]*track
}

// New returns an Arrivals that has seen nothing.
func New() *Arrivals { return &Arrivals{pools: map[string]*track{}} }

// Observe takes in the work that has arrived at a pool since its owner's term
// began, in thousandths of a core for a second.
func (arr *Arrivals) Observe(now time.Time, pool string, sum int64) {
	trk, ok := arr.pools[pool]
	if !ok {
		arr.pools[pool] = &track{last: sum, at: now}
		return
	}
	if now.Sub(trk.at) < slot {
		return
	}
	fresh := sum - trk.last
	trk.last, trk.at = sum, now
	if fresh < 0 {
		return // a new owner counts anew
	}
	trk.recent = append(trk.recent, fresh)
	if len(trk.recent) > slots {
		trk.recent = slices.Delete(trk.recent, 0, 1)
	}
}

// Rate returns what arrives at the pool, in thousandths of a core: what its work
// takes while arrivals go on as in the last second.
func (arr *Arrivals) Rate(pool string) int64 {
	trk, ok := arr.pools[pool]
	if !ok {
		return 0
	}
	work := int64(0)
	for _, part := range trk.recent {
		work += part
	}
	return int64(float64(work) / (slots * slot).Seconds())
}
