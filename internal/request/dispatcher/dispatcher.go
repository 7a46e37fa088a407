// Package dispatcher lets goroutines wait for the decisions of package router.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/request/router"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// TickInterval is how often waiting requests are looked at, RestInterval how
// often the dispatcher looks when none waits.
const (
	TickInterval = 5 * time.Millisecond
	RestInterval = 100 * time.Millisecond
)

// pauseBound is the longest time between ticks of a process that was not paused.
const maxTickGap = time.Second

// Config holds what a Dispatcher needs. Now is a seam for the clock. OnPause is
// called in a goroutine of its own when the process was paused; requests wait
// until it returns. It may be nil.
type Config struct {
	Router  router.Config
	Now     func() time.Time
	OnPause func()
}

// Dispatcher is the shell around a router. It is safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	mu       sync.Mutex
	rtr      *router.Router
	waiters  map[*router.Ticket]chan code.Code
	lastTick time.Time
	wakeups  chan struct{} // tells the ticking duty that a request waits
}

// New returns a Dispatcher without pools.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, rtr: router.New(cfg.Router), waiters: map[*router.Ticket]chan code.Code{}, wakeups: make(chan struct{}, 1)}
}

// Update calls change with the router locked.
func (dsp *Dispatcher) Update(change func(rtr *router.Router)) {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	change(dsp.rtr)
}

// SetRow puts a row in force.
func (dsp *Dispatcher) SetRow(rw row.Row) {
	dsp.Update(func(rtr *router.Router) { rtr.SetRow(rw) })
}

// Acquire admits a request and waits until a slot of a VM is its own. A zero
// deadline stands for the pool's default. The error is a fault; the request has
// then not run.
func (dsp *Dispatcher) Acquire(ctx context.Context, service string, deadline time.Time) (*router.Ticket, error) {
	dsp.mu.Lock()
	dsp.suspendAfterPause(dsp.cfg.Now())
	tkt, cd := dsp.rtr.Offer(dsp.cfg.Now(), service, deadline)
	if cd != code.OK {
		dsp.mu.Unlock()
		return nil, fault.New(cd, "service %q", service)
	}
	if tkt.VM() != "" {
		dsp.mu.Unlock()
		return tkt, nil
	}
	notified := dsp.addWaiter(tkt)
	dsp.mu.Unlock()
	return tkt, dsp.awaitSlot(ctx, tkt, notified)
}

// wait registers a waiter. The caller holds the lock.
func (dsp *Dispatcher) addWaiter(tkt *router.Ticket) chan code.Code {
	notified := make(chan code.Code, 1)
	dsp.waiters[tkt] = notified
	select {
	case dsp.wakeups <- struct{}{}:
	default:
	}
	return notified
}

func (dsp *Dispatcher) awaitSlot(ctx context.Context, tkt *router.Ticket, notified chan code.Code) error {
	select {
	case cd := <-notified:
		return slotFault(cd, tkt)
	case <-ctx.Done():
	}
	dsp.mu.Lock()
	isCancelled := dsp.rtr.Cancel(dsp.cfg.Now(), tkt)
	delete(dsp.waiters, tkt)
	dsp.mu.Unlock()
	if isCancelled {
		return fault.New(code.DeadlinePassed, "the caller left before a slot was free")
	}
	// The slot was given at the same moment; the caller of Acquire gives it back.
	if cd := <-notified; cd != code.OK {
		return slotFault(cd, tkt)
	}
	dsp.Release(tkt, router.Result{})
	return fault.New(code.DeadlinePassed, "the caller left before a slot was free")
}

func slotFault(cd code.Code, tkt *router.Ticket) error {
	if cd == code.OK {
		return nil
	}
	return fault.New(cd, "pool %q had no free slot before the deadline", tkt.Pool())
}

// Release ends the ticket's attempt.
func (dsp *Dispatcher) Release(tkt *router.Ticket, res router.Result) {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	dsp.suspendAfterPause(dsp.cfg.Now())
	dsp.notify(dsp.rtr.Done(dsp.cfg.Now(), tkt, res), code.OK)
}

// Retry ends the ticket's attempt and waits for a slot on another VM.
func (dsp *Dispatcher) Retry(ctx context.Context, tkt *router.Ticket, res router.Result) error {
	res.IsRetry = true
	dsp.mu.Lock()
	dsp.suspendAfterPause(dsp.cfg.Now())
	notified := dsp.addWaiter(tkt)
	placed := dsp.rtr.Done(dsp.cfg.Now(), tkt, res)
	dsp.notify(placed, code.OK)
	dsp.mu.Unlock()
	return dsp.awaitSlot(ctx, tkt, notified)
}

// notify tells the waiters of the tickets. The caller holds the lock.
func (dsp *Dispatcher) notify(tkts []*router.Ticket, cd code.Code) {
	for _, tkt := range tkts {
		if notified, ok := dsp.waiters[tkt]; ok {
			notified <- cd
			delete(dsp.waiters, tkt)
		}
	}
}

// Waking returns a channel that receives when a request begins to wait.
func (dsp *Dispatcher) Waking() <-chan struct{} { return dsp.wakeups }

// Tick lets time pass: deadlines, ejections and lending. It returns the time
// until it should be called again if no request begins to wait.
func (dsp *Dispatcher) Tick(now time.Time) time.Duration {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	dsp.suspendAfterPause(now)
	dsp.lastTick = now
	placed, expired := dsp.rtr.Tick(now)
	dsp.notify(placed, code.OK)
	dsp.notify(expired, code.DeadlinePassed)
	if dsp.rtr.HasWaiting() {
		return TickInterval
	}
	return RestInterval
}

// checkPause holds new dispatches back when the ticks have stood still: what is
// known of the VMs may be old. The caller holds the lock.
func (dsp *Dispatcher) suspendAfterPause(now time.Time) {
	isPaused := !dsp.lastTick.IsZero() && now.Sub(dsp.lastTick) > maxTickGap
	if !isPaused || dsp.cfg.OnPause == nil || dsp.rtr.IsSuspended() {
		return
	}
	dsp.lastTick = now
	dsp.rtr.SetSuspended(true)
	go func() {
		dsp.cfg.OnPause()
		dsp.mu.Lock()
		defer dsp.mu.Unlock()
		dsp.rtr.SetSuspended(false)
	}()
}

// Stats returns the counts of a pool.
func (dsp *Dispatcher) Stats(pool string) router.Stats {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.Stats(pool)
}

// InFlight returns how many requests run on the VM.
func (dsp *Dispatcher) InFlight(vm string) int {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.InFlight(vm)
}

// TotalInFlight returns how many requests run on all VMs.
func (dsp *Dispatcher) TotalInFlight() int {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.TotalInFlight()
}

// IsWithinShares reports whether no VM runs more requests than this entry's share.
func (dsp *Dispatcher) IsWithinShares() bool {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.IsWithinShares()
}

// HasService reports whether a pool in the table serves the service.
func (dsp *Dispatcher) HasService(service string) bool {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.HasService(service)
}

// RetryAfter returns how long a refused caller should wait.
func (dsp *Dispatcher) RetryAfter(service string) time.Duration {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.RetryAfter(service)
}
