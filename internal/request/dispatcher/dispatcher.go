// Package dispatcher makes package router usable from many goroutines: it locks
// the router and blocks callers until their requests are placed.
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

// TickInterval is the interval between ticks while requests wait, IdleInterval the
// interval while none waits.
const (
	TickInterval = 5 * time.Millisecond
	IdleInterval = 100 * time.Millisecond
)

// maxTickGap is the time between ticks above which the process counts as having
// been paused.
const maxTickGap = time.Second

// Config configures a Dispatcher. Now is the clock, which tests can replace. OnPause
// is called in a new goroutine after the process was paused; no request is placed
// until it returns. If it is nil, pauses have no effect.
type Config struct {
	Router  router.Config
	Now     func() time.Time
	OnPause func()
}

// Dispatcher wraps a router. It is safe for concurrent use.
type Dispatcher struct {
	cfg      Config
	mu       sync.Mutex
	rtr      *router.Router
	waiters  map[*router.Ticket]chan code.Code
	lastTick time.Time
	wakeups  chan struct{} // signals the ticking goroutine that a request waits
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

// SetRow applies the table row of a pool.
func (dsp *Dispatcher) SetRow(rw row.Row) {
	dsp.Update(func(rtr *router.Router) { rtr.SetRow(rw) })
}

// Acquire admits a request and waits until it has a slot on a VM. A zero deadline
// stands for the pool's default. An error is a fault with the reason for the
// refusal; the request has then not run.
func (dsp *Dispatcher) Acquire(ctx context.Context, service string, deadline time.Time) (*router.Ticket, error) {
	dsp.mu.Lock()
	dsp.suspendAfterPause(dsp.cfg.Now())
	tkt, cd := dsp.rtr.Admit(dsp.cfg.Now(), service, deadline)
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

// addWaiter registers a waiter for the ticket and returns the channel on which it
// is notified. The caller holds the lock.
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
	// The ticket was placed or expired before it could be cancelled, so its code is
	// already in the channel. A slot that it got is released below.
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

// Release ends the ticket's attempt and frees its slot as res requires.
func (dsp *Dispatcher) Release(tkt *router.Ticket, res router.Result) {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	dsp.suspendAfterPause(dsp.cfg.Now())
	dsp.notify(dsp.rtr.Complete(dsp.cfg.Now(), tkt, res), code.OK)
}

// Retry ends the ticket's attempt and waits for a slot on another VM.
func (dsp *Dispatcher) Retry(ctx context.Context, tkt *router.Ticket, res router.Result) error {
	res.IsRetry = true
	dsp.mu.Lock()
	dsp.suspendAfterPause(dsp.cfg.Now())
	notified := dsp.addWaiter(tkt)
	placed := dsp.rtr.Complete(dsp.cfg.Now(), tkt, res)
	dsp.notify(placed, code.OK)
	dsp.mu.Unlock()
	return dsp.awaitSlot(ctx, tkt, notified)
}

// notify sends the code to the waiters of the tickets. The caller holds the lock.
func (dsp *Dispatcher) notify(tkts []*router.Ticket, cd code.Code) {
	for _, tkt := range tkts {
		if notified, ok := dsp.waiters[tkt]; ok {
			notified <- cd
			delete(dsp.waiters, tkt)
		}
	}
}

// Wakeups returns a channel that receives a value when a request starts to wait.
func (dsp *Dispatcher) Wakeups() <-chan struct{} { return dsp.wakeups }

// Tick runs what depends on time: deadlines, ejections and lending. It returns the
// time until the next call, which is due earlier if a request starts to wait.
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
	return IdleInterval
}

// suspendAfterPause suspends placement while OnPause runs if the last tick is more
// than maxTickGap ago: what the process knows of the VMs may then be out of date.
// The caller holds the lock.
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

// Stats returns the counts of the pool, all zero if it is unknown.
func (dsp *Dispatcher) Stats(pool string) router.Stats {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.Stats(pool)
}

// InFlight returns the number of this entry's requests that run on the VM.
func (dsp *Dispatcher) InFlight(vm string) int {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.InFlight(vm)
}

// TotalInFlight returns the number of this entry's requests that run on all VMs.
func (dsp *Dispatcher) TotalInFlight() int {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.TotalInFlight()
}

// IsWithinShares reports whether no VM runs more of this entry's requests than
// the entry's share of its slots.
func (dsp *Dispatcher) IsWithinShares() bool {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.IsWithinShares()
}

// HasService reports whether a table row names the service.
func (dsp *Dispatcher) HasService(service string) bool {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.HasService(service)
}

// RetryAfter returns how long a refused caller should wait before it retries.
func (dsp *Dispatcher) RetryAfter(service string) time.Duration {
	dsp.mu.Lock()
	defer dsp.mu.Unlock()
	return dsp.rtr.RetryAfter(service)
}
