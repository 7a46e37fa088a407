package router

import (
	"container/heap"
	"time"
)

// lend places queued requests on slots lent by pools without a backlog. The
// borrowing pools share these slots by weight, using stride scheduling.
func (rtr *Router) lend(now time.Time, placed []*Ticket) []*Ticket {
	if !rtr.cfg.IsLendingEnabled {
		return placed
	}
	for {
		borrower := rtr.nextBorrower(now)
		if borrower == nil {
			return placed
		}
		vmo := rtr.lendableVM(now, borrower)
		if vmo == nil {
			return placed
		}
		tkt, _ := heap.Pop(&borrower.queue).(*Ticket)
		rtr.place(now, tkt, vmo, true)
		borrower.pass += strideScale / uint64(borrower.row.Weight())
		rtr.clearBacklog(now, borrower)
		placed = append(placed, tkt)
	}
}

// nextBorrower returns the pool with the lowest stride pass among the backlogged
// pools that may borrow now, or nil.
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

// borrowLimit returns how many slots the pool may borrow at this entry. A pool
// without slots of its own at this entry is treated as if it had one.
func (rtr *Router) borrowLimit(pol *pool) int {
	if !pol.hasRow {
		return 0
	}
	return pol.row.TakeSlots() * max(pol.slots, 1) / 100
}

// lendLimit returns how many slots the pool may lend at this entry.
func lendLimit(pol *pool) int {
	if !pol.hasRow {
		return 0
	}
	return pol.row.LendSlots() * pol.slots / 100
}

// lendableVM returns a VM with a free slot that its pool may lend now, or nil. It
// considers the pools in round-robin order.
func (rtr *Router) lendableVM(now time.Time, borrower *pool) *vm {
	for range rtr.allPools {
		rtr.lendCursor = (rtr.lendCursor + 1) % len(rtr.allPools)
		pol := rtr.allPools[rtr.lendCursor]
		if pol == borrower || pol.isBacklogged || pol.lent >= lendLimit(pol) {
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
