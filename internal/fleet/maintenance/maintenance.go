// Package maintenance decides in which order the VMs of a maintenance wave go down.
package maintenance

import (
	"cmp"
	"slices"
	"time"
)

// Wave asks for the maintenance of machines within a time, with at most Cap of them
// down at once. Machines keep their names across the incarnations of their VMs.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration // from the request
	Cap      int
}

// Equal reports whether both ask for the same.
func (wav Wave) Equal(other Wave) bool {
	return wav.Number == other.Number && slices.Equal(wav.Machines, other.Machines) && wav.Within == other.Within && wav.Cap == other.Cap
}

// Candidate is a machine of a wave that has not been maintained yet.
type Candidate struct {
	Machine     string
	Tasks       int // tasks that would have to end or move
	LongRunning int // number of them that are long-running, to be restarted elsewhere
}

// longRunningShare is the divisor of the cap for the machines with long-running tasks
// that are evacuated from the start. Only few tasks of a step may be unavailable at
// once, so these machines take longest to evacuate and would be late if left to the
// end. With a third of the cap, each of 16 steps on 254 machines always has a task that
// may move next.
const longRunningShare = 3

// EvacuationBudget is how much may be evacuated now.
type EvacuationBudget struct {
	Cap         int // of the wave
	Free        int // machines that may be evacuated in addition
	LongRunning int // machines with long-running tasks that are being evacuated
}

// Next returns the machines that should be evacuated now: some with long-running tasks,
// and otherwise those whose evacuation interrupts the fewest tasks.
func Next(cands []Candidate, bdg EvacuationBudget) []string {
	list := slices.Clone(cands)
	slices.SortStableFunc(list, func(one, two Candidate) int {
		return cmp.Or(one.LongRunning-two.LongRunning, one.Tasks-two.Tasks, cmp.Compare(one.Machine, two.Machine))
	})
	free := max(0, min(bdg.Free, len(list)))
	longRunning := min(free, max(0, max(1, bdg.Cap/longRunningShare)-bdg.LongRunning))
	firstLongRunning := slices.IndexFunc(list, func(cnd Candidate) bool { return cnd.LongRunning > 0 })
	if firstLongRunning > free-longRunning {
		longRunning = min(longRunning, len(list)-firstLongRunning)
		list = slices.Concat(list[:free-longRunning], list[firstLongRunning:firstLongRunning+longRunning])
	}
	var next []string
	for _, cnd := range list[:min(free, len(list))] {
		next = append(next, cnd.Machine)
	}
	return next
}
