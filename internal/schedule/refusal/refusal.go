// Package refusal remembers callers that were turned away from a pool. It answers
// an outage of the store that meets a turn: nothing can be accepted, callers come
// back within seconds, and all of their work arrives at once when the store does.
// So the work that is about to return counts as wanted, and a job that is accepted
// at last has its objective from its caller's first try, which keeps jobs that can
// still end in time before those that cannot.
package refusal

import (
	"time"

	"daisywheel/internal/job/plan"
)

const (
	// returnWithin is how long after a refusal its caller is expected back: the
	// longest time that is told, and some slack.
	retryWindow = longWait + time.Second
	// soon is what a caller is told whose job may still end in time: the shortest time
	// that callers can be told, as HTTP counts whole seconds.
	shortWait = time.Second
	// longWait is what a caller is told that has tried for lateAfter: its job ends late
	// whatever happens, so its tries should outlast the outage, most of which take 4 to
	// 5 s, and not meet those that can still be in time. Callers try five times.
	longWait  = 3 * time.Second
	lateAfter = 2 * time.Second
	// keepFor is how long a caller's first try is remembered: longer than an outage
	// of the store takes, which is 4 to 9 s.
	retention = 20 * time.Second
	// dropEach is the pause between two looks for callers that are forgotten.
	dropInterval = time.Second
	// mostKept bounds the memory to about a megabyte.
	maxRemembered = 8192
)

// turned is a caller that was turned away.
type rejected struct {
	firstAt    time.Time
	lastAt     time.Time
	milliCores int64
}

// Refusals are the callers of one pool that were turned away lately. It is not safe
// for concurrent use.
type Refusals struct {
	byID      map[string]rejected
	droppedAt time.Time
}

// New returns Refusals that remember nobody.
func New() *Refusals { return &Refusals{byID: map[string]rejected{}} }

// Add takes in that the caller of a job is turned away, and returns after what time it
// should come back.
func (rfs *Refusals) Add(now time.Time, pln *plan.Plan) time.Duration {
	rjc, isKnown := rfs.byID[pln.ID]
	if !isKnown {
		rfs.dropExpired(now)
		if len(rfs.byID) >= maxRemembered {
			return longWait
		}
		rjc = rejected{firstAt: now, milliCores: initialDemand(pln)}
	}
	rjc.lastAt = now
	rfs.byID[pln.ID] = rjc
	if now.Sub(rjc.firstAt) >= lateAfter {
		return longWait
	}
	return shortWait
}

// firstDemand returns what the steps of a job that can start at once ask for, in
// thousandths of a core.
func initialDemand(pln *plan.Plan) int64 {
	sum := int64(0)
	for i := range pln.Steps {
		stp := &pln.Steps[i]
		if len(stp.After) == 0 && !stp.IsBackground && !pln.IsRepeating() {
			sum += int64(stp.Count) * stp.Demand.MilliCores
		}
	}
	return sum
}

// drop forgets callers that have not come back.
func (rfs *Refusals) dropExpired(now time.Time) {
	if now.Sub(rfs.droppedAt) < dropInterval {
		return
	}
	rfs.droppedAt = now
	for id, rjc := range rfs.byID {
		if now.Sub(rjc.lastAt) > retention {
			delete(rfs.byID, id)
		}
	}
}

// Take returns when the caller of the job that is accepted now tried first, and
// forgets it.
func (rfs *Refusals) Take(now time.Time, id string) time.Time {
	rjc, isKnown := rfs.byID[id]
	if !isKnown || now.Sub(rjc.lastAt) > retention {
		return now
	}
	delete(rfs.byID, id)
	return rjc.firstAt
}

// Returning returns what the work of the callers that are expected back asks for, in
// thousandths of a core.
func (rfs *Refusals) Returning(now time.Time) int64 {
	sum := int64(0)
	for _, rjc := range rfs.byID {
		if now.Sub(rjc.lastAt) <= retryWindow {
			sum += rjc.milliCores
		}
	}
	rfs.dropExpired(now)
	return sum
}
