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

// Next returns the machines that should be emptied now, at most free of them: the
// ones that interrupt least.
func Next(cands []Candidate, free int) []string {
	list := slices.Clone(cands)
	slices.SortStableFunc(list, func(one, two Candidate) int {
		return cmp.Or(one.Lasting-two.Lasting, one.Tasks-two.Tasks, cmp.Compare(one.Machine, two.Machine))
	})
	var next []string
	for _, cnd := range list[:max(0, min(free, len(list)))] {
		next = append(next, cnd.Machine)
	}
	return next
}
