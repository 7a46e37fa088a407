// Package refusal remembers the callers that a pool refused. It is made for outages of
// the state log that coincide with a burst: no job can be accepted, callers retry within
// seconds, and all their work arrives at once when the log is back. So the work that
// is about to be retried counts as demand, and the deadline of a job that is accepted
// in the end counts from its caller's first attempt, so that jobs that can still meet
// their deadlines go before those that cannot.
package refusal

import (
	"time"

	"daisywheel/internal/job/plan"
)

const (
	// retryWindow is how long after a refusal the caller's retry is expected: the longest
	// wait that callers are told, plus some slack.
	retryWindow = longWait + time.Second
	// shortWait is the wait for callers whose job may still meet its deadline: the
	// shortest that they can be told, as HTTP counts whole seconds.
	shortWait = time.Second
	// longWait is the wait for callers that have retried for lateAfter. Their jobs end
	// late in any case, so their five attempts should outlast the outage, which mostly
	// takes 4 to 5 s, and not compete with jobs that can still meet their deadlines.
	longWait  = 3 * time.Second
	lateAfter = 2 * time.Second
	// retention is how long a caller's first attempt is remembered after its last one:
	// longer than an outage of the state log, which takes 4 to 9 s.
	retention = 20 * time.Second
	// dropInterval is the shortest time between two sweeps of expired callers.
	dropInterval = time.Second
	// maxRemembered bounds the memory to about a megabyte.
	maxRemembered = 8192
)

// refusedCaller holds the attempts of a refused caller.
type refusedCaller struct {
	firstAt    time.Time
	lastAt     time.Time
	milliCores int64 // of the steps that can start at once
}

// Refusals holds the callers that one pool refused recently. It is not safe for
// concurrent use.
type Refusals struct {
	byID      map[string]refusedCaller
	droppedAt time.Time
}

// New returns Refusals without callers.
func New() *Refusals { return &Refusals{byID: map[string]refusedCaller{}} }

// Add records that the caller of the job is refused, and returns how long the caller
// should wait before it retries.
func (rfs *Refusals) Add(now time.Time, pln *plan.Plan) time.Duration {
	rfc, isKnown := rfs.byID[pln.ID]
	if !isKnown {
		rfs.dropExpired(now)
		if len(rfs.byID) >= maxRemembered {
			return longWait
		}
		rfc = refusedCaller{firstAt: now, milliCores: initialDemand(pln)}
	}
	rfc.lastAt = now
	rfs.byID[pln.ID] = rfc
	if now.Sub(rfc.firstAt) >= lateAfter {
		return longWait
	}
	return shortWait
}

// initialDemand returns the demand of the steps of a job that can start at once, in
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

// dropExpired deletes callers that have not retried within the retention time.
func (rfs *Refusals) dropExpired(now time.Time) {
	if now.Sub(rfs.droppedAt) < dropInterval {
		return
	}
	rfs.droppedAt = now
	for id, rfc := range rfs.byID {
		if now.Sub(rfc.lastAt) > retention {
			delete(rfs.byID, id)
		}
	}
}

// Accept returns the time of the first attempt to submit a job that is accepted now, and
// deletes its caller.
func (rfs *Refusals) Accept(now time.Time, id string) time.Time {
	rfc, isKnown := rfs.byID[id]
	if !isKnown || now.Sub(rfc.lastAt) > retention {
		return now
	}
	delete(rfs.byID, id)
	return rfc.firstAt
}

// ReturningDemand returns the demand of the jobs whose retry is expected, in thousandths of
// a core.
func (rfs *Refusals) ReturningDemand(now time.Time) int64 {
	sum := int64(0)
	for _, rfc := range rfs.byID {
		if now.Sub(rfc.lastAt) <= retryWindow {
			sum += rfc.milliCores
		}
	}
	rfs.dropExpired(now)
	return sum
}
