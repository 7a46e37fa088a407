package router

import (
	"slices"
	"time"
)

// place assigns the request to the VM. With isLent the VM belongs to another pool.
func (rtr *Router) place(now time.Time, tkt *Ticket, vmo *vm, isLent bool) {
	tkt.vm = vmo
	tkt.startedAt = now
	tkt.isLent = isLent
	vmo.used++
	if isLent {
		vmo.pool.lent++
		tkt.pool.borrowed++
	} else {
		tkt.pool.used++
	}
	rtr.updateFreeList(vmo)
}

// pick returns the less loaded of two randomly chosen VMs of the pool that have a
// free slot, or nil. VMs in avoid are excluded. If the random tries find only
// excluded VMs, pick returns the first other VM with a free slot.
func (rtr *Router) pick(pol *pool, avoid []string) *vm {
	count := len(pol.freeVMs)
	if count == 0 || rtr.isSuspended {
		return nil
	}
	var best *vm
	seen := 0
	for try := 0; try < maxPickTries && seen < 2; try++ {
		vmo := pol.freeVMs[rtr.rnd.IntN(count)]
		if slices.Contains(avoid, vmo.name) {
			continue
		}
		seen++
		if best == nil || isLessLoaded(vmo, best) {
			best = vmo
		}
	}
	if best != nil || len(avoid) == 0 {
		return best
	}
	for _, vmo := range pol.freeVMs {
		if !slices.Contains(avoid, vmo.name) {
			return vmo
		}
	}
	return nil
}

func isLessLoaded(one, two *vm) bool {
	left, right := one.used*two.limit, two.used*one.limit
	if left != right {
		return left < right
	}
	return one.latency < two.latency
}
