package router

import (
	"container/heap"
	"time"
)

// lend starts waiting requests of pressed pools on lendable slots of calm ones.
// Among the pressed pools the slots go by weight.
func (rtr *Router) lend(now time.Time, placed []*Ticket) []*Ticket {
	if !rtr.cfg.IsLending {
		return placed
	}
	for {
		taker := rtr.nextBorrower(now)
		if taker == nil {
			return placed
		}
		vmo := rtr.lendableVM(now, taker)
		if vmo == nil {
			return placed
		}
		tkt, _ := heap.Pop(&taker.queue).(*Ticket)
		rtr.place(now, tkt, vmo, true)
		taker.pass += strideScale / uint64(taker.row.Weight())
		rtr.clearBacklog(now, taker)
		placed = append(placed, tkt)
	}
}

// nextTaker returns the pressed pool that is furthest behind its weight.
func (rtr *Router) nextBorrower(now time.Time) *pool {
	var best *pool
	for _, pol := range rtr.backlogged {
		isReady := pol.hasRow && now.Sub(pol.backloggedAt) >= rtr.cfg.BorrowDelay
		if !isReady || pol.borrowed >= rtr.borrowLimit(pol) {
			continue
		}
		if best == nil || pol.pass < best.pass || pol.pass == best.pass && pol.name < best.name {
			best = pol
		}
	}
	return best
}

// takeCap returns how many slots the pool may borrow at this entry. A pool
// without slots of its own here takes as if it had one VM's share.
func (rtr *Router) borrowLimit(pol *pool) int {
	if !pol.hasRow {
		return 0
	}
	return pol.row.TakeSlots() * max(pol.slots, 1) / 100
}

func lendLimit(pol *pool) int {
	if !pol.hasRow {
		return 0
	}
	return pol.row.LendSlots() * pol.slots / 100
}

// lendable returns a VM with a slot that its pool may lend now, or nil.
func (rtr *Router) lendableVM(now time.Time, taker *pool) *vm {
	for range rtr.allPools {
		rtr.lendCursor = (rtr.lendCursor + 1) % len(rtr.allPools)
		pol := rtr.allPools[rtr.lendCursor]
		if pol == taker || pol.isBacklogged || pol.lent >= lendLimit(pol) {
			continue
		}
		if now.Sub(pol.queueEmptySince) < rtr.cfg.LendDelay {
			continue
		}
		if vmo := rtr.pick(pol, nil); vmo != nil {
			return vmo
		}
	}
	return nil
}
