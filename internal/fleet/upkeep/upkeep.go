// Package upkeep decides in which order the VMs of a maintenance wave go down.
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Wave asks for the maintenance of machines in time, with at most Cap of them
// down at once. Machines keep their names across the lives of their VMs.
type Wave struct {
	Number   int64
	Machines []string
	Within   time.Duration // of the request
	Cap      int
}

// Candidate is a machine of a wave that has not been maintained.
type Candidate struct {
	Machine string
	Tasks   int // that would have to end or move
	Lasting int // of the tasks: each is restarted elsewhere
}

// lastingShare of the cap is used for machines with lasting tasks from the start, as
// one in so many. Only few tasks of a step may be away at once, so these machines
// take longest to empty; left to the end, they would be late. With a third of the cap
// each of 16 steps on 254 machines has a task that may move next.
const longRunningShare = 3

// Room is what may be emptied now.
type Room struct {
	Cap     int // of the wave
	Free    int // machines that may be emptied in addition
	Lasting int // machines with lasting tasks that are being emptied
}

// Next returns the machines that should be emptied now: some with lasting tasks, and
// otherwise the ones that interrupt least.
func Next(cands []Candidate, rom Room) []string {
	list := slices.Clone(cands)
	slices.SortStableFunc(list, func(one, two Candidate) int {
		return cmp.Or(one.Lasting-two.Lasting, one.Tasks-two.Tasks, cmp.Compare(one.Machine, two.Machine))
	})
	free := max(0, min(rom.Free, len(list)))
	longRunning := min(free, max(0, max(1, rom.Cap/longRunningShare)-rom.Lasting))
	firstLongRunning := slices.IndexFunc(list, func(cnd Candidate) bool { return cnd.Lasting > 0 })
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
