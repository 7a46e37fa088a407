// Package rank orders the steps that wait for free capacity in a pool. The order is
// made for bursts that ask for several times the pool's capacity. Serving all steps by
// their latest start would then start everything at the last moment and finish it late.
// So a job starts only with time to spare before its deadline, jobs that have started
// go before those that have not, and jobs that cannot meet their deadline any more get
// the capacity that is left.
package rank

import (
	"cmp"
	"time"
)

// Candidate holds what the order of a waiting step depends on.
type Candidate struct {
	Priority      int           // of the queue, 0 first
	Deadline      time.Time     // deadline of the job
	Remaining     time.Duration // expected time of the longest remaining chain of steps
	Slack         time.Duration // time that the job can wait in all without missing its deadline
	IsLongRunning bool          // the step is long-running
	IsBackground  bool          // the step consists of background tasks
	HasStarted    bool          // the job has already used time on VMs
	Submitted     time.Time
}

// Band is a class of candidates; lower bands go first.
type Band int

// Bands in order. Long-running tasks are useful from their first second and need
// little capacity, so they are placed before finite ones.
const (
	LongRunning Band = iota
	Started
	NotStarted
	Background
	Late
)

const (
	// startReserve is the time to spare that a job needs to start, as a share of its
	// expected time. In a burst that lasts, every job starts as late as it may. It then
	// misses its deadline if it takes a little longer than expected, or if its caller asks
	// for its state a little later.
	startReserve = 0.4
	// maxReserveShare is the largest share of a job's slack that the reserve takes.
	maxReserveShare = 1. / 3
)

// BandOf returns the band of a candidate.
func BandOf(now time.Time, cnd Candidate) Band {
	switch {
	case cnd.IsBackground:
		return Background
	case cnd.IsLongRunning:
		return LongRunning
	case cnd.HasStarted && meetsDeadline(now, cnd, 0):
		return Started
	case !cnd.HasStarted && meetsDeadline(now, cnd, cnd.reserve()):
		return NotStarted
	}
	return Late
}

// reserve returns the time to spare that the job needs to start.
func (cnd Candidate) reserve() time.Duration {
	return time.Duration(min(startReserve*float64(cnd.Remaining), max(0, maxReserveShare*float64(cnd.Slack))))
}

// meetsDeadline reports whether the job can end by its deadline if it takes its
// expected time plus the reserve.
func meetsDeadline(now time.Time, cnd Candidate, reserve time.Duration) bool {
	return !now.Add(cnd.Remaining + reserve).After(cnd.Deadline)
}

// Key is the sort key of a candidate.
type Key struct {
	band     Band
	isBeyond bool // see WithShare
	priority int
	sortTime time.Time // latest start for Started and NotStarted, else the submission
}

// KeyOf returns the sort key of a candidate.
func KeyOf(now time.Time, cnd Candidate) Key {
	key := Key{band: BandOf(now, cnd), priority: cnd.Priority, sortTime: cnd.Submitted}
	if key.band == Started || key.band == NotStarted {
		key.sortTime = cnd.Deadline.Add(-cnd.Remaining)
	}
	return key
}

// WithShare returns the key of a candidate whose organisation has its part of the pool without it, see package share.
// It then goes after the others of its band, unless its job has started.
func (key Key) WithShare(isBeyond bool) Key {
	key.isBeyond = isBeyond && (key.band == NotStarted || key.band == Late)
	return key
}

// Compare compares two keys. The lower one goes first.
func Compare(one, two Key) int {
	return cmp.Or(cmp.Compare(one.band, two.band), compareBool(one.isBeyond, two.isBeyond), cmp.Compare(one.priority, two.priority), one.sortTime.Compare(two.sortTime))
}

func compareBool(one, two bool) int {
	switch {
	case one == two:
		return 0
	case two:
		return -1
	}
	return 1
}
