package owner

import (
	"context"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// AwaitVersion returns once this owner has applied the version of the configuration, or a later one, and is
// known to have owned the pool after that. Then neither this owner nor a later one, which reads the newest
// configuration after its claim, accepts jobs that were routed by an earlier version. It fails with code
// StaleRoute if that does not become known within confirmWait.
func (own *Owner) AwaitVersion(ctx context.Context, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for range 2 { // the check that is in flight may have begun before the version was applied
		own.mu.Lock()
		present, confirmed, checked := own.configVersion(), own.confirmedVersion, own.confirmed.checked
		own.mu.Unlock()
		switch {
		case own.isEnding():
			return fault.New(code.NotReady, "the pool changes its owner")
		case confirmed >= version:
			return nil
		case present < version:
			return fault.New(code.StaleRoute, "the owner has read version %d of the configuration, not yet %d", present, version)
		}
		own.requestClaimCheck()
		select {
		case <-checked:
		case <-own.quit:
		case <-ctx.Done():
		}
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	switch {
	case own.isEnding():
		return fault.New(code.NotReady, "the pool changes its owner")
	case own.confirmedVersion < version:
		return fault.New(code.StaleRoute, "the owner was last confirmed with version %d of the configuration, not yet with %d", own.confirmedVersion, version)
	}
	return nil
}
