package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/cell"
	"daisywheel/internal/schedule/ledger"
)

const (
	// flushPause collects submissions and ends for one append. Calls to the store
	// are limited and priced; callers wait for 1 to 2 of these pauses.
	flushDelay = 15 * time.Millisecond
	// appendTimeout bounds the first try of an append: its usual 4 ms, 50 times
	// over. Each repeat has twice as long, as a repeat is carried out once.
	appendTimeout = 200 * time.Millisecond
	// appendRetry is the pause before a repeat.
	appendRetryDelay = 20 * time.Millisecond
	// batchBytes bounds one append; the store takes 2 MiB.
	maxBatchBytes = 1 << 20
)

// batch is one append in the making.
type batch struct {
	subs    []*submission
	changes cell.Batch
	waiters []chan struct{}
	records []archive.Record
}

// storeLoop appends what is to be stored, one append at a time.
func (own *Owner) storeLoop() {
	seq := int64(0)
	for {
		select {
		case <-own.quit:
			return
		case <-own.flushRequested:
		}
		if !sleep(own.quit, flushDelay) {
			return
		}
		for {
			bat, more := own.takeBatch(time.Now())
			if len(bat.records) > 0 {
				seq++
				if !own.appendBatch(bat, seq) {
					seq-- // the number was not used
				}
			} else {
				own.completeBatch(bat)
			}
			if !more || own.isEnding() {
				break
			}
		}
	}
}

// takeBatch gathers what waits. More tells that not all of it fits.
func (own *Owner) takeBatch(now time.Time) (bat batch, more bool) {
	own.mu.Lock()
	defer own.mu.Unlock()
	size := 0
	for len(own.queued) > 0 && size < maxBatchBytes {
		sub := own.queued[0]
		own.queued = own.queued[1:]
		sub.job.Zone = own.cel.HomeFor(sub.job.Plan)
		data, err := ledger.EncodeJob(sub.job)
		if err != nil {
			own.resolve(sub, fault.Wrap(err, code.BadShape, "job cannot be stored"))
			continue
		}
		size += len(data)
		bat.subs = append(bat.subs, sub)
		bat.records = append(bat.records, archive.Record{Key: jobKey(own.cfg.Service, sub.job.Plan.ID), Value: data})
	}
	bat.changes = own.cel.TakeBatch()
	bat.waiters, own.waiters = own.waiters, nil
	for _, upd := range bat.changes.Updates {
		bat.records = own.addUpdate(now, bat.records, upd)
	}
	bat.records = own.addHosts(now, bat.records, &bat.changes)
	for _, id := range own.cel.Forget(now) {
		bat.records = append(bat.records, archive.Record{Key: progressKey(own.cfg.Service, id)})
	}
	return bat, len(own.queued) > 0
}

func (own *Owner) addHosts(now time.Time, recs []archive.Record, chg *cell.Batch) []archive.Record {
	for _, hst := range chg.Hosts {
		data, err := ledger.EncodeHost(hst)
		if err != nil {
			own.cfg.Journal.Warn(now, "vmUnstored", slog.String("vm", hst.ID), slog.String("error", err.Error()))
			continue
		}
		recs = append(recs, archive.Record{Key: hostKey(own.cfg.Service, hst.ID), Value: data})
	}
	for _, id := range chg.Gone {
		recs = append(recs, archive.Record{Key: hostKey(own.cfg.Service, id)})
	}
	return recs
}

func (own *Owner) addUpdate(now time.Time, recs []archive.Record, upd cell.Update) []archive.Record {
	data, err := ledger.EncodeProgress(upd.Progress)
	if err != nil {
		own.cfg.Journal.Warn(now, "progressUnstored", slog.String("job", upd.ID), slog.String("error", err.Error()))
		return recs
	}
	recs = append(recs, archive.Record{Key: progressKey(own.cfg.Service, upd.ID), Value: data})
	if upd.Progress.State.IsEnded() {
		recs = append(recs, archive.Record{Key: jobKey(own.cfg.Service, upd.ID)})
	}
	return recs
}

// store appends the batch until its outcome is known. It reports false when the
// batch is certainly not stored.
func (own *Owner) appendBatch(bat batch, seq int64) bool {
	isUnknown := false
	for wait := appendTimeout; ; wait = min(2*wait, storeTimeout) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		sent := time.Now()
		_, err := own.cfg.Archive.Append(ctx, archive.Append{
			Topic: jobsTopic, Partition: own.cfg.Partition, Records: bat.records, At: archive.Anywhere,
			Producer: own.cfg.Service, Epoch: own.fencingToken, Seq: seq,
		})
		cancel()
		now := time.Now()
		own.appendTime.Update(now.Sub(sent).Seconds())
		own.trackStore(now, sent, err)
		switch {
		case err == nil:
			own.completeBatch(bat)
			return true
		case errors.Is(err, archive.ErrFenced):
			own.loseOwnership(now, "a later owner has fenced this one")
			own.abandonBatch(bat, isUnknown)
			return false
		case errors.Is(err, archive.ErrNotDone) && !isUnknown:
			own.returnBatch(bat)
			sleep(own.quit, storeRetryDelay)
			return false
		case !errors.Is(err, archive.ErrNotDone):
			isUnknown = true
		}
		if !sleep(own.quit, appendRetryDelay) {
			own.abandonBatch(bat, isUnknown)
			return !isUnknown
		}
	}
}

// noteStore logs when the store is lost and regained.
func (own *Owner) trackStore(now, sent time.Time, err error) {
	own.mu.Lock()
	wasWell := own.stalledSince.IsZero()
	if err == nil {
		own.stalledSince = time.Time{}
	} else if wasWell {
		own.stalledSince = sent
	}
	own.mu.Unlock()
	switch {
	case err != nil && wasWell:
		own.cfg.Journal.Warn(now, "storeLost", slog.String("pool", own.cfg.Service), slog.String("error", err.Error()))
	case err == nil && !wasWell:
		own.event(now, "storeRegained")
	}
}

// finish takes in that the batch is stored.
func (own *Owner) completeBatch(bat batch) {
	now := time.Now()
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, sub := range bat.subs {
		own.cel.Accept(now, sub.job)
		own.resolve(sub, nil)
		own.event(now, "jobStored", slog.String("job", sub.job.Plan.ID), slog.String("queue", sub.job.Queue),
			slog.Int("steps", len(sub.job.Plan.Steps)), slog.Duration("after", now.Sub(sub.job.Accepted)))
	}
	own.cel.Recorded(bat.changes)
	for _, wtr := range bat.waiters {
		close(wtr)
	}
	if len(bat.subs) > 0 {
		own.requestPlan()
	}
}

// giveBack takes in that the batch is certainly not stored: submissions are
// refused, progress waits for the next append.
func (own *Owner) returnBatch(bat batch) {
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, sub := range bat.subs {
		wait := own.refusals.Add(sub.job.Accepted, sub.job.Plan)
		own.resolve(sub, fault.NewLater(wait, code.LogUnavailable, "the job was not stored"))
	}
	own.cel.Returned(bat.changes)
	own.waiters = append(own.waiters, bat.waiters...)
	own.requestFlush()
}

// giveUp ends the submissions of a batch when the term ends.
func (own *Owner) abandonBatch(bat batch, isUnknown bool) {
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, sub := range bat.subs {
		if isUnknown {
			own.resolve(sub, fault.New(code.OutcomeUnknown, "job %s may be stored", sub.job.Plan.ID))
			continue
		}
		own.resolve(sub, fault.New(code.NotReady, "the pool changes its owner"))
	}
}
