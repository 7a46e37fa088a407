package owner

import (
	"context"
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// confirmSince returns once this owner is known to have owned the pool after the given time. It fails with code StaleRoute
// if that does not become known within confirmWait.
func (own *Owner) confirmSince(ctx context.Context, since time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for range 2 { // the check that is in flight may have begun before
		own.mu.Lock()
		checked := own.confirmed.checked
		own.mu.Unlock()
		own.requestClaimCheck()
		select {
		case <-checked:
		case <-own.quit:
		case <-ctx.Done():
		}
		own.mu.Lock()
		isConfirmed := own.confirmed.at.After(since)
		own.mu.Unlock()
		switch {
		case own.isEnding():
			return fault.New(code.NotReady, "the pool changes its owner")
		case isConfirmed:
			return nil
		}
	}
	return fault.New(code.StaleRoute, "the owner is not known to own the pool still")
}
