package owner

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
)

const (
	// maxCountAge is how long ago the ownership may have been confirmed for a count. A
	// count may be 2 s old; its way to the caller takes up to a quarter of that.
	maxCountAge = 1500 * time.Millisecond
	// confirmWait is how long a count waits for a check of the claim: 50 times the usual
	// 4 ms of a call to the state log.
	confirmWait = 200 * time.Millisecond
	// minClaimCheckPause limits the checks on behalf of counts while the log is down.
	minClaimCheckPause = 100 * time.Millisecond
)

// confirmation holds when this owner was last known to own the pool. No later owner
// can have accepted a job before that time.
type confirmation struct {
	at        time.Time
	sinceBoot time.Duration
	checkedAt time.Time     // end of the last check of the claim
	checked   chan struct{} // closed at the end of the next check
}

// newConfirmation starts a confirmation. It counts as of its start if the log's answer shows that
// this owner owns the pool.
func newConfirmation(now time.Time, sinceBoot time.Duration) confirmation {
	return confirmation{at: now, sinceBoot: sinceBoot, checked: make(chan struct{})}
}

// age returns the time since the confirmation, including time for which the process or its
// machine was suspended.
func (cnf confirmation) age(now time.Time, sinceBoot time.Duration) time.Duration {
	return max(now.Sub(cnf.at), sinceBoot-cnf.sinceBoot)
}

// endClaimCheck records the end of a check of the claim, with the confirmation that it
// has brought if isConfirmed is set. The caller holds the lock.
func (own *Owner) endClaimCheck(now time.Time, cnf confirmation, isConfirmed bool) {
	close(own.confirmed.checked)
	if !isConfirmed {
		cnf.at, cnf.sinceBoot = own.confirmed.at, own.confirmed.sinceBoot
	}
	cnf.checkedAt = now
	own.confirmed = cnf
}

// CountQueued returns how many jobs of the queue have no run that is known to have begun. It
// fails unless the ownership was confirmed within maxCountAge: an owner that was paused or is
// cut off from the log may have a successor, whose jobs it does not know.
func (own *Owner) CountQueued(ctx context.Context, now time.Time, ref queue.Ref) (int, error) {
	own.awaitConfirmation(ctx, now)
	own.mu.Lock()
	defer own.unlock()
	now = own.cfg.Now() // the wait may have been long
	age := own.confirmed.age(now, own.cfg.SinceBoot())
	attrs := []slog.Attr{slog.String("queue", ref.Name), slog.Int64("fence", own.fencingToken), slog.Duration("confirmed", age)}
	if own.isEnding() {
		own.event(now, "queueUncounted", append(attrs, slog.String("reason", "the term is over"))...)
		return 0, fault.New(code.NotReady, "the pool changes its owner")
	}
	if age > maxCountAge {
		own.event(now, "queueUncounted", append(attrs, slog.String("reason", "the ownership is not confirmed"))...)
		return 0, fault.New(code.NotReady, "the owner of the pool was last confirmed %s ago", age.Round(time.Millisecond))
	}
	count := own.sch.CountQueued(ref)
	for _, hnd := range own.handovers {
		job := &hnd.record.Job
		if !hnd.isAdopted && hnd.record.Progress.State == jobrecord.Queued && !job.Plan.IsRepeating() && ref.IsSame(job.Ref()) {
			count++
		}
	}
	own.event(now, "queueCounted", append(attrs, slog.Int("count", count))...)
	return count, nil
}

// awaitConfirmation requests a check of the claim if the last confirmation is too old for
// a count, and waits for its end.
func (own *Owner) awaitConfirmation(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	var checked chan struct{}
	isDue := false
	own.locked(func() {
		checked = own.confirmed.checked
		isDue = own.confirmed.age(now, own.cfg.SinceBoot()) > maxCountAge && now.Sub(own.confirmed.checkedAt) > minClaimCheckPause
		if isDue {
			own.requestClaimCheck()
		}
	})
	if !isDue {
		return
	}
	select {
	case <-checked:
	case <-own.quit:
	case <-ctx.Done():
	}
}
