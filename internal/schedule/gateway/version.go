package gateway

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// ReadVersion returns once this entry has applied the version of the configuration, or a later one. It fails
// with code StaleRoute if that can't be read.
func (gtw *Gateway) ReadVersion(ctx context.Context, version int64) error {
	if gtw.version() >= version {
		return nil
	}
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readVersionTimeout)
	defer cancel()
	err := gtw.catchUp(ctx, now)
	present := gtw.version()
	gtw.cfg.Journal.Event(time.Now(), "configAskedFor", slog.Int64("version", version), slog.Int64("present", present), slog.Duration("after", time.Since(now)))
	if present >= version {
		return nil
	}
	return fault.New(code.StaleRoute, "this entry has read version %d of the configuration, not yet %d (%v)", present, version, err)
}

// version returns the version of the configuration in force, 0 before the first.
func (gtw *Gateway) version() int64 {
	gtw.mu.Lock()
	defer gtw.mu.Unlock()
	if gtw.table == nil {
		return 0
	}
	return gtw.table.Version()
}
