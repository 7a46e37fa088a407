// Package router assigns requests to backend servers: admission, queueing,
// selection of a VM, lending of slots between pools and ejection of failing VMs.
// It is a deterministic state machine without goroutines or a clock of its own;
// package dispatcher drives it.
package router

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
)

// Parameters of ejection, selection and lending.
const (
	ejectThreshold    = 5 // consecutive failures
	minEjectTime      = time.Second
	maxEjectTime      = 30 * time.Second
	ewmaWeight        = 0.1 // weight of the newest sample in the moving averages
	maxPickTries      = 4
	abandonedHoldTime = time.Second // time that an abandoned attempt keeps its slot
	strideScale       = 1 << 20     // stride of a pool with weight 1
)

// Config holds the seed of the random selection and the hysteresis of lending. A
// pool may borrow slots once its queue has been non-empty for BorrowDelay, and
// lends slots once its own queue has been empty for LendDelay.
type Config struct {
	Seed             uint64
	BorrowDelay      time.Duration
	LendDelay        time.Duration
	IsLendingEnabled bool
}

// Router holds the routing state of one entry. It is not safe for concurrent use.
type Router struct {
	cfg            Config
	rnd            *rand.Rand
	pools          map[string]*pool
	poolsByService map[string]*pool
	vms            map[string]*vm
	backlogged     []*pool // pools with queued requests, in the order in which their backlogs began
	ejected        []*vm

	heldSlots    []heldSlot // in the order of their expiry
	allPools     []*pool
	lendCursor   int    // index in allPools of the last pool considered for lending
	arrivals     uint64 // requests queued so far; a new backlog starts at this stride pass
	vmsOverShare int    // VMs that run more requests than this entry's share

	isSuspended bool
}

type pool struct {
	row             row.Row
	hasRow          bool
	name            string
	queue           ticketHeap
	freeVMs         []*vm // open VMs with a free slot that are not ejected
	vms             map[*vm]bool
	slots           int // sum of the limits of the open VMs
	used            int // requests of this pool on its own VMs
	lent            int // requests of other pools on its VMs
	borrowed        int // requests of this pool on VMs of other pools
	isBacklogged    bool
	backloggedAt    time.Time
	queueEmptySince time.Time
	pass            uint64        // stride pass: grows with each borrowed slot, slower with a higher weight
	serviceTime     time.Duration // moving average of the service time
	ejected         int           // ejected VMs
}

type vm struct {
	name         string
	pool         *pool
	limit        int  // this entry's share of the VM's slots
	used         int  // slots in use by this entry
	isOpen       bool // accepts new requests
	freeIndex    int  // index in pool.freeVMs, -1 if absent
	latency      time.Duration
	failures     int           // consecutive failures
	ejectTime    time.Duration // length of the last ejection, 0 after a success
	ejectedUntil time.Time     // zero if not ejected
}

// Ticket is one admitted request.
type Ticket struct {
	pool      *pool
	vm        *vm
	deadline  time.Time
	startedAt time.Time
	avoid     []string // VMs that already failed the request
	index     int      // index in the queue, -1 if not queued
	isLent    bool
	seq       uint64
}

// VM returns the name of the VM that the request runs on, or "" while it waits.
func (tkt *Ticket) VM() string {
	if tkt.vm == nil {
		return ""
	}
	return tkt.vm.name
}

// Pool returns the name of the pool that the request belongs to.
func (tkt *Ticket) Pool() string { return tkt.pool.name }

// New returns a Router without pools.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		pools: map[string]*pool{}, poolsByService: map[string]*pool{}, vms: map[string]*vm{},
	}
}

func (rtr *Router) ensurePool(name string) *pool {
	pol, ok := rtr.pools[name]
	if !ok {
		pol = &pool{name: name, vms: map[*vm]bool{}}
		rtr.pools[name] = pol
		rtr.allPools = append(rtr.allPools, pol)
	}
	return pol
}

// SetRow applies the table row of a pool.
func (rtr *Router) SetRow(rw row.Row) {
	pol := rtr.ensurePool(rw.Pool())
	if pol.hasRow {
		delete(rtr.poolsByService, pol.row.Service())
	}
	pol.row = rw
	pol.hasRow = true
	rtr.poolsByService[rw.Service()] = pol
}

// RemoveRow removes the table row of a pool, so that its service is no longer
// known. Requests already admitted stay admitted, but the pool no longer lends or
// borrows slots.
func (rtr *Router) RemoveRow(name string) {
	pol := rtr.ensurePool(name)
	if pol.hasRow {
		delete(rtr.poolsByService, pol.row.Service())
	}
	pol.hasRow = false
}

// SetSuspended stops or resumes the placement of requests. Requests are still
// admitted to the queues while placement is suspended.
func (rtr *Router) SetSuspended(suspended bool) { rtr.isSuspended = suspended }

// IsSuspended reports whether the placement of requests is suspended.
func (rtr *Router) IsSuspended() bool { return rtr.isSuspended }

// Admit places a request for the service on a VM, queues it or refuses it. A zero
// deadline stands for the pool's default. The code is OK if the request was placed
// or queued, and otherwise the reason for the refusal; a refused request has not
// run.
func (rtr *Router) Admit(now time.Time, service string, deadline time.Time) (*Ticket, code.Code) {
	pol, ok := rtr.poolsByService[service]
	if !ok {
		return nil, code.UnknownService
	}
	if deadline.IsZero() {
		deadline = now.Add(time.Duration(pol.row.DeadlineMs()) * time.Millisecond)
	}
	tkt := &Ticket{pool: pol, deadline: deadline, index: -1}
	if pol.queue.Len() == 0 {
		if vmo := rtr.pick(pol, nil); vmo != nil {
			rtr.place(now, tkt, vmo, false)
			return tkt, code.OK
		}
	}
	if cd := rtr.checkQueue(now, pol, deadline); cd != code.OK {
		return nil, cd
	}
	rtr.enqueue(now, tkt)
	return tkt, code.OK
}

func (rtr *Router) checkQueue(now time.Time, pol *pool, deadline time.Time) code.Code {
	if !deadline.After(now) {
		return code.DeadlinePassed
	}
	if pol.slots == 0 && !rtr.canBorrow(pol) {
		return code.NoBackend
	}
	if pol.queue.Len() >= pol.row.Queue() {
		return code.QueueFull
	}
	if now.Add(rtr.estimateWait(pol)).After(deadline) {
		return code.DeadlineTooNear
	}
	return code.OK
}

// estimateWait estimates how long a request queued now would wait. It returns 0
// while the pool has no slots or no measured service time.
func (rtr *Router) estimateWait(pol *pool) time.Duration {
	slots := pol.slots + pol.borrowed
	if slots == 0 || pol.serviceTime == 0 {
		return 0
	}
	return pol.serviceTime * time.Duration(pol.queue.Len()+1) / time.Duration(slots)
}

// RetryAfter returns how long a refused caller should wait before it retries.
func (rtr *Router) RetryAfter(service string) time.Duration {
	pol, ok := rtr.poolsByService[service]
	if !ok {
		return 0
	}
	return rtr.estimateWait(pol)
}

// HasService reports whether a table row names the service.
func (rtr *Router) HasService(service string) bool { return rtr.poolsByService[service] != nil }

func (rtr *Router) canBorrow(pol *pool) bool {
	return rtr.cfg.IsLendingEnabled && rtr.borrowLimit(pol) > 0
}

func (rtr *Router) enqueue(now time.Time, tkt *Ticket) {
	pol := tkt.pool
	if pol.queue.Len() == 0 {
		pol.backloggedAt = now
		pol.queueEmptySince = time.Time{}
		pol.isBacklogged = true
		rtr.backlogged = append(rtr.backlogged, pol)
		pol.pass = max(pol.pass, rtr.arrivals)
	}
	rtr.arrivals++
	tkt.seq = rtr.arrivals
	heap.Push(&pol.queue, tkt)
}

func (rtr *Router) clearBacklog(now time.Time, pol *pool) {
	if pol.queue.Len() > 0 || !pol.isBacklogged {
		return
	}
	pol.isBacklogged = false
	pol.queueEmptySince = now
	rtr.backlogged = slices.DeleteFunc(rtr.backlogged, func(oth *pool) bool { return oth == pol })
}

// Result describes how an attempt ended.
type Result struct {
	IsFailure bool // counts towards the ejection of the VM
	IsRetry   bool // queue the request again, for another VM

	// IsAbandoned is set if the attempt ended without a complete reply. The
	// backend server may still be working on it, so the slot stays in use for
	// abandonedHoldTime.
	IsAbandoned bool
}

// Complete ends the ticket's attempt and returns the tickets that were placed as a
// result. With IsRetry the ticket is queued again for another VM, and is itself
// among the returned tickets if it was placed immediately.
func (rtr *Router) Complete(now time.Time, tkt *Ticket, res Result) []*Ticket {
	vmo := tkt.vm
	if vmo == nil {
		return nil
	}
	rtr.release(now, tkt, res)
	if res.IsRetry {
		tkt.avoid = append(tkt.avoid, vmo.name)
		rtr.enqueue(now, tkt)
	}
	var placed []*Ticket
	placed = rtr.placeQueued(now, vmo.pool, placed)
	if tkt.pool != vmo.pool {
		placed = rtr.placeQueued(now, tkt.pool, placed)
	}
	return rtr.lend(now, placed)
}

func (rtr *Router) release(now time.Time, tkt *Ticket, res Result) {
	vmo := tkt.vm
	if res.IsAbandoned {
		rtr.heldSlots = append(rtr.heldSlots, heldSlot{vm: vmo, until: now.Add(abandonedHoldTime)})
	} else {
		rtr.freeSlot(vmo)
	}
	if tkt.isLent {
		vmo.pool.lent--
		tkt.pool.borrowed--
	} else {
		tkt.pool.used--
	}
	tkt.vm = nil
	rtr.recordResult(now, vmo, tkt.pool, now.Sub(tkt.startedAt), res.IsFailure)
	rtr.updateFreeList(vmo)
}

// placeQueued places queued requests of the pool on its own free slots. It falls
// back to a VM that already failed the request if no other has a free slot.
func (rtr *Router) placeQueued(now time.Time, pol *pool, placed []*Ticket) []*Ticket {
	for pol.queue.Len() > 0 && len(pol.freeVMs) > 0 {
		tkt := pol.queue[0]
		vmo := rtr.pick(pol, tkt.avoid)
		if vmo == nil {
			vmo = rtr.pick(pol, nil)
		}
		if vmo == nil {
			break
		}
		heap.Pop(&pol.queue)
		rtr.place(now, tkt, vmo, false)
		placed = append(placed, tkt)
	}
	rtr.clearBacklog(now, pol)
	return placed
}

// Tick ends due ejections, frees held slots, removes queued requests whose
// deadline has passed and lends slots. It returns the placed and the expired
// tickets.
func (rtr *Router) Tick(now time.Time) (placed, expired []*Ticket) {
	for _, vmo := range slices.Clone(rtr.ejected) {
		if !now.Before(vmo.ejectedUntil) {
			rtr.endEjection(vmo)
			rtr.updateFreeList(vmo)
		}
	}
	placed = rtr.releaseHeldSlots(now, placed)
	for _, pol := range slices.Clone(rtr.backlogged) {
		for pol.queue.Len() > 0 && !pol.queue[0].deadline.After(now) {
			tkt, _ := heap.Pop(&pol.queue).(*Ticket)
			expired = append(expired, tkt)
		}
		placed = rtr.placeQueued(now, pol, placed)
	}
	return rtr.lend(now, placed), expired
}

// Cancel removes a waiting request from its queue and reports whether it was queued.
func (rtr *Router) Cancel(now time.Time, tkt *Ticket) bool {
	if tkt.index < 0 || tkt.vm != nil {
		return false
	}
	heap.Remove(&tkt.pool.queue, tkt.index)
	rtr.clearBacklog(now, tkt.pool)
	return true
}

// HasWaiting reports whether any request is queued.
func (rtr *Router) HasWaiting() bool { return len(rtr.backlogged) > 0 }
