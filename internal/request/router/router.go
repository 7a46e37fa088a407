// Package router decides which request runs on which backend server: admission,
// queues, the choice of a VM, lending of slots between pools and ejection of
// failing VMs. It is a pure state machine; package dispatcher drives it.
package router

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
)

// Times and bounds of the decisions.
const (
	ejectThreshold    = 5 // failures in a row
	minEjectTime      = time.Second
	maxEjectTime      = 30 * time.Second
	ewmaWeight        = 0.1 // of the newest service time in the moving average
	maxPickTries      = 4
	abandonedHoldTime = time.Second // of the slot of an abandoned attempt
	strideScale       = 1 << 20
)

// Config holds the seed of the random choices and the times of the hysteresis.
// A pool borrows once its queue has been non-empty for BorrowDelay. It lends
// once its own queue has been empty for LendDelay.
type Config struct {
	Seed        uint64
	BorrowDelay time.Duration
	LendDelay   time.Duration
	IsLending   bool
}

// Router is the state of one entry's decisions. It is not safe for concurrent use.
type Router struct {
	cfg        Config
	rnd        *rand.Rand
	pools      map[string]*pool
	services   map[string]*pool
	vms        map[string]*vm
	backlogged []*pool // pools with a queue, in the order in which they became so
	ejected    []*vm

	heldSlots    []heldSlot // in the order of their ends
	allPools     []*pool
	lendCursor   int
	arrivals     uint64
	vmsOverShare int

	isSuspended bool
}

type pool struct {
	row             row.Row
	hasRow          bool
	name            string
	queue           ticketHeap
	freeVMs         []*vm
	vms             map[*vm]bool
	slots           int // sum of the limits of open VMs
	used            int // own requests on own VMs
	lent            int
	borrowed        int
	isBacklogged    bool
	backloggedAt    time.Time
	queueEmptySince time.Time
	pass            uint64
	serviceTime     time.Duration // moving average of the service time
	ejected         int
}

type vm struct {
	name         string
	pool         *pool
	limit        int
	used         int
	isOpen       bool
	freeIndex    int // index in pool.free, -1 when absent
	latency      time.Duration
	failures     int
	ejectTime    time.Duration
	ejectedUntil time.Time // end of the ejection
}

// Ticket is one admitted request.
type Ticket struct {
	pool      *pool
	vm        *vm
	deadline  time.Time
	startedAt time.Time
	avoid     []string
	index     int // in the queue, -1 when absent
	isLent    bool
	seq       uint64
}

// VM returns the VM that the request runs on, or "" while it waits.
func (tkt *Ticket) VM() string {
	if tkt.vm == nil {
		return ""
	}
	return tkt.vm.name
}

// Pool returns the pool that the request belongs to.
func (tkt *Ticket) Pool() string { return tkt.pool.name }

// New returns a Router without pools.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x9e3779b97f4a7c15)),
		pools: map[string]*pool{}, services: map[string]*pool{}, vms: map[string]*vm{},
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

// SetRow puts the row of a pool in force.
func (rtr *Router) SetRow(rw row.Row) {
	pol := rtr.ensurePool(rw.Pool())
	if pol.hasRow {
		delete(rtr.services, pol.row.Service())
	}
	pol.row = rw
	pol.hasRow = true
	rtr.services[rw.Service()] = pol
}

// RemoveRow ends the pool's service.
func (rtr *Router) RemoveRow(name string) {
	pol := rtr.ensurePool(name)
	if pol.hasRow {
		delete(rtr.services, pol.row.Service())
	}
	pol.hasRow = false
}

// SetSuspended stops or allows the placing of requests. Admission goes on.
func (rtr *Router) SetSuspended(suspended bool) { rtr.isSuspended = suspended }

// IsSuspended reports whether the placing of requests is stopped.
func (rtr *Router) IsSuspended() bool { return rtr.isSuspended }

// Offer admits a request for the service. The code is OK when the ticket was
// placed or queued, otherwise the refusal; a refused request has not run.
func (rtr *Router) Offer(now time.Time, service string, deadline time.Time) (*Ticket, code.Code) {
	pol, ok := rtr.services[service]
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

// wait estimates how long a request that joins the queue now will wait.
func (rtr *Router) estimateWait(pol *pool) time.Duration {
	slots := pol.slots + pol.borrowed
	if slots == 0 || pol.serviceTime == 0 {
		return 0
	}
	return pol.serviceTime * time.Duration(pol.queue.Len()+1) / time.Duration(slots)
}

// RetryAfter returns how long a refused caller should wait.
func (rtr *Router) RetryAfter(service string) time.Duration {
	pol, ok := rtr.services[service]
	if !ok {
		return 0
	}
	return rtr.estimateWait(pol)
}

// HasService reports whether a pool in the table serves the service.
func (rtr *Router) HasService(service string) bool { return rtr.services[service] != nil }

func (rtr *Router) canBorrow(pol *pool) bool {
	return rtr.cfg.IsLending && rtr.borrowLimit(pol) > 0
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

// Result says how an attempt ended, for the choice of later ones.
type Result struct {
	IsFailure bool
	IsRetry   bool // the request asks for another VM

	// IsAbandoned says that the attempt ended without a whole reply, so that
	// the backend server may still work on it. Its slot stays taken for a while.
	IsAbandoned bool
}

// Done ends the ticket's attempt and returns the tickets that were placed in
// consequence. With IsRetry the ticket itself queues again for another VM; it is
// among the returned ones when it was placed at once.
func (rtr *Router) Done(now time.Time, tkt *Ticket, res Result) []*Ticket {
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

// drain starts waiting requests of the pool on its own free slots.
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

// Tick removes requests whose deadline has passed, ends ejections and lends
// slots. It returns the placed and the expired tickets.
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

// Cancel takes a waiting request out of its queue and reports whether it was there.
func (rtr *Router) Cancel(now time.Time, tkt *Ticket) bool {
	if tkt.index < 0 || tkt.vm != nil {
		return false
	}
	heap.Remove(&tkt.pool.queue, tkt.index)
	rtr.clearBacklog(now, tkt.pool)
	return true
}

// HasWaiting reports whether any request waits.
func (rtr *Router) HasWaiting() bool { return len(rtr.backlogged) > 0 }
