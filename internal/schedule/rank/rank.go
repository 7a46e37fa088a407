// Package rank orders the work that waits for room in a pool. It answers a surge
// that asks for several times what the pool holds. If all that waits were served
// by its latest start, everything would begin at the last moment and end late.
// So a job begins only while it still has a reserve, a job that has begun goes
// before all that have not, and what cannot end in time any more uses the room
// that is left.
package rank

import (
	"cmp"
	"time"
)

// Claim is what the order depends on for one step that waits.
type Claim struct {
	Priority  int           // of the queue, 0 first
	Objective time.Time     // when the job should be done
	Remaining time.Duration // expected time of the longest chain that is left
	IsLasting bool
	IsHelper  bool // background work
	HasBegun  bool // the job has used time on VMs already
	Submitted time.Time
}

// Band groups claims; lower ones go first.
type Band int

// Bands in order. LongRunning work earns from its first second and asks for little,
// so it is placed before what comes and goes.
const (
	LongRunning Band = iota
	Started
	NotStarted
	Background
	Late
)

// Reserves, as a share of the expected time.
const (
	startReserve    = 0.15 // to begin a job
	continueReserve = -0.3 // to go on with one: the expectation may be too long
)

// BandOf returns the band of a claim.
func BandOf(now time.Time, clm Claim) Band {
	switch {
	case clm.IsHelper:
		return Background
	case clm.IsLasting:
		return LongRunning
	case clm.HasBegun && meetsDeadline(now, clm, continueReserve):
		return Started
	case !clm.HasBegun && meetsDeadline(now, clm, startReserve):
		return NotStarted
	}
	return Late
}

func meetsDeadline(now time.Time, clm Claim, reserve float64) bool {
	need := time.Duration((1 + reserve) * float64(clm.Remaining))
	return !now.Add(need).After(clm.Objective)
}

// Key is the place of a claim in the order.
type Key struct {
	band     Band
	priority int
	sortTime time.Time
}

// KeyOf returns the key of a claim.
func KeyOf(now time.Time, clm Claim) Key {
	key := Key{band: BandOf(now, clm), priority: clm.Priority, sortTime: clm.Submitted}
	if key.band == Started || key.band == NotStarted {
		key.sortTime = clm.Objective.Add(-clm.Remaining)
	}
	return key
}

// Compare orders keys.
func Compare(one, two Key) int {
	return cmp.Or(cmp.Compare(one.band, two.band), cmp.Compare(one.priority, two.priority), one.sortTime.Compare(two.sortTime))
}
