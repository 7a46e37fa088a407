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

// Reserves, as a share of the expected time.
const (
	startReserve    = 0.15 // to start a job
	continueReserve = -0.3 // to continue one; negative, as the expected time may be too long
)

// BandOf returns the band of a candidate.
func BandOf(now time.Time, cnd Candidate) Band {
	switch {
	case cnd.IsBackground:
		return Background
	case cnd.IsLongRunning:
		return LongRunning
	case cnd.HasStarted && meetsDeadline(now, cnd, continueReserve):
		return Started
	case !cnd.HasStarted && meetsDeadline(now, cnd, startReserve):
		return NotStarted
	}
	return Late
}

// meetsDeadline reports whether the job can end by its deadline if it takes its
// expected time plus the reserve.
func meetsDeadline(now time.Time, cnd Candidate, reserve float64) bool {
	need := time.Duration((1 + reserve) * float64(cnd.Remaining))
	return !now.Add(need).After(cnd.Deadline)
}

// Key is the sort key of a candidate.
type Key struct {
	band     Band
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

// Compare compares two keys. The lower one goes first.
func Compare(one, two Key) int {
	return cmp.Or(cmp.Compare(one.band, two.band), cmp.Compare(one.priority, two.priority), one.sortTime.Compare(two.sortTime))
}
