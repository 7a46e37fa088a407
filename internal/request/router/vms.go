package router

import "time"

// SetVM adds or updates a VM: its pool, this entry's share of its slots, and
// whether it may receive new requests. Requests already running on it continue.
func (rtr *Router) SetVM(name, poolName string, limit int, isOpen bool) {
	vmo, ok := rtr.vms[name]
	if !ok {
		vmo = &vm{name: name, freeIndex: -1}
		rtr.vms[name] = vmo
	}
	pol := rtr.ensurePool(poolName)
	if vmo.pool != pol {
		rtr.detach(vmo)
		rtr.attach(vmo, pol)
	}
	if vmo.isOpen {
		pol.slots -= vmo.limit
	}
	wasOver := vmo.used > vmo.limit
	vmo.limit = limit
	vmo.isOpen = isOpen
	if vmo.isOpen {
		pol.slots += vmo.limit
	}
	rtr.updateOverShare(wasOver, vmo.used > vmo.limit)
	rtr.updateFreeList(vmo)
}

func (rtr *Router) detach(vmo *vm) {
	if vmo.pool == nil {
		return
	}
	old := vmo.pool
	if vmo.isOpen {
		old.slots -= vmo.limit
		vmo.isOpen = false
	}
	rtr.endEjection(vmo)
	rtr.updateFreeList(vmo)
	delete(old.vms, vmo)
}

func (rtr *Router) attach(vmo *vm, pol *pool) {
	vmo.pool = pol
	pol.vms[vmo] = true
}

// RemoveVM closes a VM that no longer exists, and removes it if no request runs
// on it.
func (rtr *Router) RemoveVM(name string) {
	vmo, ok := rtr.vms[name]
	if !ok {
		return
	}
	rtr.SetVM(name, vmo.pool.name, 0, false)
	if vmo.used > 0 {
		return
	}
	rtr.detach(vmo)
	delete(rtr.vms, name)
}

func (rtr *Router) updateOverShare(wasOver, isOver bool) {
	if wasOver && !isOver {
		rtr.vmsOverShare--
	}
	if !wasOver && isOver {
		rtr.vmsOverShare++
	}
}

// IsWithinShares reports whether no VM runs more of this entry's requests than
// the entry's share of its slots.
func (rtr *Router) IsWithinShares() bool { return rtr.vmsOverShare == 0 }

// InFlight returns the number of this entry's requests that run on the VM.
func (rtr *Router) InFlight(name string) int {
	vmo, ok := rtr.vms[name]
	if !ok {
		return 0
	}
	return vmo.used
}

// TotalInFlight returns the number of this entry's requests that run on all VMs.
func (rtr *Router) TotalInFlight() int {
	total := 0
	for _, vmo := range rtr.vms {
		total += vmo.used
	}
	return total
}

// updateFreeList adds the VM to its pool's list of VMs that can take a request, or
// removes it, according to its present state.
func (rtr *Router) updateFreeList(vmo *vm) {
	pol := vmo.pool
	isFree := vmo.isOpen && vmo.used < vmo.limit && vmo.ejectedUntil.IsZero()
	if isFree == (vmo.freeIndex >= 0) {
		return
	}
	if isFree {
		vmo.freeIndex = len(pol.freeVMs)
		pol.freeVMs = append(pol.freeVMs, vmo)
		return
	}
	last := pol.freeVMs[len(pol.freeVMs)-1]
	pol.freeVMs[vmo.freeIndex] = last
	last.freeIndex = vmo.freeIndex
	pol.freeVMs = pol.freeVMs[:len(pol.freeVMs)-1]
	vmo.freeIndex = -1
}

// heldSlot is the slot of an abandoned attempt, in use until the given time.
type heldSlot struct {
	vm    *vm
	until time.Time
}

func (rtr *Router) freeSlot(vmo *vm) {
	wasOver := vmo.used > vmo.limit
	vmo.used--
	rtr.updateOverShare(wasOver, vmo.used > vmo.limit)
	rtr.updateFreeList(vmo)
}

// releaseHeldSlots frees the slots of abandoned attempts whose hold time has
// passed. It appends the tickets that it places on them to placed.
func (rtr *Router) releaseHeldSlots(now time.Time, placed []*Ticket) []*Ticket {
	for len(rtr.heldSlots) > 0 && !now.Before(rtr.heldSlots[0].until) {
		vmo := rtr.heldSlots[0].vm
		rtr.heldSlots = rtr.heldSlots[1:]
		rtr.freeSlot(vmo)
		placed = rtr.placeQueued(now, vmo.pool, placed)
	}
	return placed
}
