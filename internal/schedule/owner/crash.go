package owner

import (
	"log/slog"

	"daisywheel/internal/kernel/crash"
)

// A panic in what an owner does ends its term. Its state may be half changed, so that nothing of it may be stored or ordered any
// more; the next owner restores the pool from the log. Other pools go on.

// run runs a background loop of the owner.
func (own *Owner) run(loop func()) {
	own.loops.Go(func() { own.guard(loop) })
}

// guard calls fn, and ends the term if it panics.
func (own *Owner) guard(fn func()) {
	defer own.catch()
	fn()
}

// catch ends the term if the function that defers it panics.
func (own *Owner) catch() {
	if value := recover(); value != nil {
		own.endByCrash(crash.New(value))
	}
}

// locked calls fn with the lock held.
func (own *Owner) locked(fn func()) {
	own.mu.Lock()
	defer own.unlock()
	fn()
}

// unlock releases the lock. If the function that defers it panics, the term ends first, before others see the state.
func (own *Owner) unlock() {
	if value := recover(); value != nil {
		own.endByCrash(crash.New(value))
		own.mu.Unlock()
		panic(value)
	}
	own.mu.Unlock()
}

// endByCrash ends the term after a panic.
func (own *Owner) endByCrash(crs *crash.Crash) {
	own.crashOnce.Do(func() {
		close(own.crashed)
		own.lostOnce.Do(own.endTerm)
		own.cfg.Journal.Warn(own.cfg.Now(), "ownerCrashed", slog.String("pool", own.cfg.Pool), slog.Int64("fence", own.fencingToken),
			slog.String("error", crs.Error()), slog.String("stack", crs.Stack()))
	})
}

// Crashed returns a channel that is closed when the term has ended by a panic. It is closed before that of OwnershipLost.
func (own *Owner) Crashed() <-chan struct{} { return own.crashed }
