// Package operatorfeed reads the operator's records in their order: by long polls, and at once when
// somebody has to know that none is missing.
package operatorfeed

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/kernel/boottime"
	"daisywheel/internal/kernel/crash"
)

const (
	// longPollWait is how long a long poll waits for a record. An entry has to be up to date within
	// 3 s of regaining its connection; in that time an unanswered poll must time out and the
	// next one be answered.
	longPollWait = 1200 * time.Millisecond
	// longPollSlack is added to longPollWait for the timeout of the call.
	longPollSlack = 600 * time.Millisecond
	// retryDelay is the pause after a failed long poll. A configuration has to be in force within 2 s
	// of its acknowledgement.
	retryDelay = 150 * time.Millisecond
	// readTimeout bounds the first attempt of a read that does not wait for records: 50 times the usual
	// 4 ms. Its connection may be silent, or the log slow, so it is tried readAttempts times, with twice the
	// timeout each time.
	readTimeout  = 200 * time.Millisecond
	readAttempts = 3
)

// Config holds what a Feed needs.
type Config struct {
	Journal *journal.Journal
	// Read returns the records from the cursor on. If there is none yet, it waits up to wait for one.
	Read func(ctx context.Context, cursor int64, wait time.Duration) (directory.OperatorPage, error)
	// Apply handles a record, one at a time. IsNext reports whether every record between the last
	// configuration and this one has been applied.
	Apply func(now time.Time, rec directory.OperatorRecord, isNext bool)
	// SinceBoot is a clock that also counts the time for which the machine was suspended; nil
	// stands for boottime.Now.
	SinceBoot func() time.Duration
}

// Feed reads the records for one process. It is safe for concurrent use.
type Feed struct {
	cfg     Config
	reading chan struct{} // holds a token while CatchUp reads
	mu      sync.Mutex    // held while records are applied
	cursor  int64
	hasGap  bool // records since the last configuration may not have been applied
	// caughtUpAt is when a read was sent that found all records applied.
	caughtUpAt time.Time
	// provenAt is when the last read was sent after which all records were applied, on the clock
	// SinceBoot; 0 for none.
	provenAt time.Duration
	// isUnreadable is set while the newest record that may be a configuration can't be read.
	isUnreadable bool
}

// New returns a Feed that has read nothing.
func New(cfg Config) *Feed {
	if cfg.SinceBoot == nil {
		cfg.SinceBoot = boottime.Now
	}
	return &Feed{cfg: cfg, reading: make(chan struct{}, 1), cursor: directory.StartCursor, hasGap: true}
}

// Run reads the records by long polls until quit is closed.
func (fed *Feed) Run(quit <-chan struct{}) {
	isAnswering := true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-quit
		cancel()
	}()
	for ctx.Err() == nil {
		callCtx, stop := context.WithTimeout(ctx, longPollWait+longPollSlack)
		_, err := fed.read(callCtx, longPollWait)
		stop()
		if isAnswering != (err == nil) && ctx.Err() == nil {
			isAnswering = err == nil
			fed.logRead(time.Now(), err)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}
}

func (fed *Feed) logRead(now time.Time, err error) {
	if err == nil {
		fed.cfg.Journal.Event(now, "operatorRegained")
		return
	}
	fed.cfg.Journal.Warn(now, "operatorUnread", slog.String("error", err.Error()))
}

// Age returns how old the configuration in force may be: the time, also that for which the machine was
// suspended, since a read was sent after which all records were applied. It is negative if that is not known.
func (fed *Feed) Age() time.Duration {
	fed.mu.Lock()
	defer fed.mu.Unlock()
	if fed.provenAt == 0 || fed.isUnreadable {
		return -1
	}
	return fed.cfg.SinceBoot() - fed.provenAt
}

// CatchUp returns once all records that were stored when it was called have been applied. One read
// serves all calls that wait for it.
func (fed *Feed) CatchUp(ctx context.Context, now time.Time) error {
	select {
	case fed.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-fed.reading }()
	fed.mu.Lock()
	isCaughtUp := fed.caughtUpAt.After(now)
	fed.mu.Unlock()
	if isCaughtUp {
		return nil
	}
	failed := 0
	for {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout<<failed)
		isEnd, err := fed.read(callCtx, 0)
		cancel()
		switch {
		case err == nil && isEnd:
			return nil
		case err != nil:
			if failed++; failed == readAttempts || ctx.Err() != nil {
				fed.cfg.Journal.Warn(time.Now(), "operatorNotCaughtUp", slog.Duration("after", time.Since(now)), slog.String("error", err.Error()))
				return err
			}
		}
	}
}

// read reads one page and applies it, unless another read has been applied meanwhile. It reports
// whether there was no record left when it was sent.
func (fed *Feed) read(ctx context.Context, wait time.Duration) (isEnd bool, err error) {
	fed.mu.Lock()
	from := fed.cursor
	fed.mu.Unlock()
	sent, sentSinceBoot := time.Now(), fed.cfg.SinceBoot()
	page, err := fed.cfg.Read(ctx, from, wait)
	if err != nil {
		return false, err
	}
	fed.mu.Lock()
	defer fed.mu.Unlock()
	if fed.cursor != from {
		return false, nil
	}
	fed.cursor = page.Next
	if !page.HasMore {
		fed.provenAt = max(fed.provenAt, sentSinceBoot)
	}
	fed.hasGap = fed.hasGap || page.IsSnapshot
	now := time.Now()
	for _, rec := range page.Records {
		crs := crash.Catch(func() { fed.cfg.Apply(now, rec, !fed.hasGap) })
		if crs != nil {
			fed.cfg.Journal.Warn(now, "operatorRecordCrashed", slog.Int64("cursor", from), slog.String("error", crs.Error()), slog.String("stack", crs.Stack()))
		}
		switch {
		case rec.Err != nil || crs != nil:
			fed.hasGap, fed.isUnreadable = true, true // it may have been a configuration
		case rec.Table != nil:
			fed.hasGap, fed.isUnreadable = false, false
		}
	}
	isEnd = page.Next == from
	if isEnd {
		fed.caughtUpAt = sent
	}
	return isEnd, nil
}
