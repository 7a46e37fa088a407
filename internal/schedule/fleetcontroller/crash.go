package fleetcontroller

import (
	"log/slog"
	"time"

	"daisywheel/internal/kernel/crash"
)

// A panic in what a controller does ends its term, as its state may be half changed. The next one restores what is stored.

// guarded returns the step of a loop, which does nothing once the term has ended by a panic.
func (ctl *Controller) guarded(step func(now time.Time)) func(now time.Time) {
	return func(now time.Time) {
		select {
		case <-ctl.crashed:
		default:
			ctl.guard(func() { step(now) })
		}
	}
}

// guard calls fn, and ends the term if it panics.
func (ctl *Controller) guard(fn func()) {
	if crs := crash.Catch(fn); crs != nil {
		ctl.endByCrash(crs)
	}
}

// locked calls fn with the lock held.
func (ctl *Controller) locked(fn func()) {
	ctl.mu.Lock()
	defer ctl.unlock()
	fn()
}

// unlock releases the lock. If the function that defers it panics, the term ends first, before others see the state.
func (ctl *Controller) unlock() {
	if value := recover(); value != nil {
		ctl.endByCrash(crash.New(value))
		ctl.mu.Unlock()
		panic(value)
	}
	ctl.mu.Unlock()
}

// endByCrash ends the term after a panic.
func (ctl *Controller) endByCrash(crs *crash.Crash) {
	ctl.crashOnce.Do(func() {
		close(ctl.crashed)
		ctl.cfg.Journal.Warn(time.Now(), "stewardCrashed", slog.Int64("fence", ctl.clm.FencingToken()), slog.String("error", crs.Error()), slog.String("stack", crs.Stack()))
	})
	ctl.setLost(time.Now(), "a panic in this process")
}

// Crashed returns a channel that is closed when the term has ended by a panic. It is closed before that of Lost.
func (ctl *Controller) Crashed() <-chan struct{} { return ctl.crashed }
