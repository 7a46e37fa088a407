// Package rank orders the work that waits for room in a pool. It answers a surge
// that is larger than the pool: work that can still meet its objective goes
// first, by the latest time at which it must start; work that cannot any more
// goes after it, oldest first, and uses what room is left.
package rank

import (
	"cmp"
	"time"
)

// Claim is what the order depends on for one step that waits.
type Claim struct {
	Priority   int           // of the queue, 0 first
	Objective  time.Time     // when the job should be done
	Remaining  time.Duration // longest chain of what is left of the job
	IsLasting  bool
	IsHelper   bool // background work
	Submitted  time.Time
	HasStarted bool // the job has used time on VMs already
}

// Band groups claims; lower ones go first.
type Band int

// Bands in order. Lasting work earns from its first second and asks for little,
// so it is placed before what comes and goes.
const (
	Lasting Band = iota
	InTime
	Background
	Late
)

// BandOf returns the band of a claim.
func BandOf(now time.Time, clm Claim) Band {
	switch {
	case clm.IsHelper:
		return Background
	case clm.IsLasting:
		return Lasting
	case now.Add(clm.Remaining).After(clm.Objective):
		return Late
	}
	return InTime
}

// Key is the place of a claim in the order.
type Key struct {
	band     Band
	priority int
	at       time.Time
}

// KeyOf returns the key of a claim.
func KeyOf(now time.Time, clm Claim) Key {
	key := Key{band: BandOf(now, clm), priority: clm.Priority, at: clm.Submitted}
	if key.band == InTime {
		key.at = clm.Objective.Add(-clm.Remaining)
	}
	return key
}

// Compare orders keys.
func Compare(one, two Key) int {
	return cmp.Or(cmp.Compare(one.band, two.band), cmp.Compare(one.priority, two.priority), one.at.Compare(two.at))
}
