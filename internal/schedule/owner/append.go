package owner

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
	"daisywheel/internal/schedule/statelog"
)

const (
	// flushDelay collects submissions and ends of tasks into one append, as calls to
	// the state log are limited and billed. Callers wait for one or two delays.
	flushDelay = 15 * time.Millisecond
	// appendTimeout bounds the first attempt of an append: 50 times the usual 4 ms.
	// It doubles with each retry, up to logTimeout; the state log deduplicates retries.
	appendTimeout = 200 * time.Millisecond
	// appendRetryDelay is the delay before a retry.
	appendRetryDelay = 20 * time.Millisecond
	// maxAppendBytes bounds the records of one append; the state log accepts 2 MiB.
	maxAppendBytes = 1 << 20
)

// batch holds records to append and what waits for them.
type batch struct {
	subs           []*submission
	changes        poolscheduler.Batch
	waiters        []chan struct{}
	records        []statelog.Record
	handovers      []string // jobs whose handover is stored
	endedHandovers []string // jobs whose handover is removed
	isPart         bool     // other records of the changes follow in another append
}

// recordBytes returns the size of a record in an append.
func recordBytes(rec statelog.Record) int {
	const lengths = 5 // of the record and of its key
	return lengths + len(rec.Key) + len(rec.Value)
}

// split returns batches for one append each. The first one has all submissions, the last one
// completes the changes.
func (bat batch) split() []batch {
	var parts []batch
	size, from := 0, 0
	for i, rec := range bat.records {
		if size += recordBytes(rec); size > maxAppendBytes && i > from {
			parts = append(parts, batch{changes: bat.changes, waiters: bat.waiters, records: bat.records[from:i], isPart: true})
			size, from = recordBytes(rec), i
		}
	}
	parts = append(parts, batch{changes: bat.changes, waiters: bat.waiters, handovers: bat.handovers, endedHandovers: bat.endedHandovers, records: bat.records[from:]})
	parts[0].subs = bat.subs
	return parts
}

// appendLoop appends pending records to the state log, one batch at a time.
func (own *Owner) appendLoop() {
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
			bat, more := own.takeBatch(own.cfg.Now())
			if err := own.recordQueues(bat); err != nil {
				own.trackLog(own.cfg.Now(), own.cfg.Now(), err)
				own.rollBackBatch(bat)
				sleep(own.quit, logRetryDelay)
			} else if len(bat.records) > 0 {
				seq = own.appendParts(bat, seq)
			} else {
				own.completeBatch(bat)
			}
			if !more || own.isEnding() {
				break
			}
		}
	}
}

// appendParts appends a batch in as many appends as it needs. It returns the last sequence
// number that was used, given the last one before.
func (own *Owner) appendParts(bat batch, seq int64) int64 {
	for _, part := range bat.split() {
		if own.isEnding() || !own.appendBatch(part, seq+1) {
			return seq
		}
		seq++
	}
	return seq
}

// recordQueues records that the pool has jobs of the queues of the batch, before their jobs
// are stored. The first batch of a term records those of earlier terms too, which entries of
// earlier versions did not record.
func (own *Owner) recordQueues(bat batch) error {
	var addresses []string
	for _, sub := range bat.subs {
		if address := sub.job.Address; address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	own.locked(func() {
		if !own.areQueuesRecorded {
			addresses = append(addresses, own.sch.QueueAddresses()...)
		}
	})
	for _, address := range addresses {
		if err := own.cfg.PoolIndex.Record(context.Background(), address, own.cfg.Pool); err != nil {
			return err
		}
	}
	own.mu.Lock()
	own.areQueuesRecorded = true
	own.mu.Unlock()
	return own.recordNextPools(bat)
}

// takeBatch collects the pending records. It reports in more whether submissions
// are left for another batch.
func (own *Owner) takeBatch(now time.Time) (bat batch, more bool) {
	own.mu.Lock()
	defer own.unlock()
	size := 0
	for len(own.queued) > 0 {
		sub := own.queued[0]
		sub.job.Zone = own.sch.HomeZoneFor(sub.job.Plan)
		data, err := jobrecord.EncodeJob(sub.job)
		rec := statelog.Record{Key: jobKey(own.cfg.Pool, sub.job.Plan.ID), Value: data}
		if err != nil || !own.isStorable(rec) {
			own.queued = own.queued[1:]
			own.resolve(sub, fault.New(code.BadShape, "job cannot be stored in %d bytes (%v)", recordBytes(rec), err))
			continue
		}
		recs := []statelog.Record{rec}
		if sub.progress != nil {
			recs, err = own.adoptedRecords(sub, rec)
		}
		if err != nil || !own.isStorable(recs[len(recs)-1]) {
			own.queued = own.queued[1:]
			own.resolve(sub, fault.New(code.BadShape, "progress can't be stored (%v)", err))
			continue
		}
		for i := range recs {
			size += recordBytes(recs[i])
		}
		if size > maxAppendBytes && len(bat.subs) > 0 {
			break
		}
		own.queued = own.queued[1:]
		bat.subs = append(bat.subs, sub)
		bat.records = append(bat.records, recs...)
	}
	own.addHandovers(now, &bat)
	bat.changes = own.sch.TakeBatch()
	bat.waiters, own.waiters = own.waiters, nil
	for i := range bat.changes.Updates {
		bat.records = own.addUpdate(now, bat.records, &bat.changes.Updates[i])
	}
	bat.records = own.addVMs(now, bat.records, &bat.changes)
	for _, id := range own.sch.DropEndedJobs(now) {
		bat.records = append(bat.records, statelog.Record{Key: progressKey(own.cfg.Pool, id)})
	}
	if len(bat.records) == 0 {
		own.isRetrying = false
	}
	return bat, len(own.queued) > 0
}

// adoptedRecords returns the records of a job that another pool hands over, given that of its
// submission.
func (own *Owner) adoptedRecords(sub *submission, submitted statelog.Record) ([]statelog.Record, error) {
	id := sub.job.Plan.ID
	if sub.progress.IsCompact() {
		submitted.Key = apartKey(own.cfg.Pool, id)
	}
	data, err := jobrecord.EncodeProgress(*sub.progress)
	return []statelog.Record{submitted, {Key: progressKey(own.cfg.Pool, id), Value: data}}, err
}

// isStorable reports whether the state log accepts a record of this length. It refuses an
// append with a longer one, and with it all other changes of the pool.
func (own *Owner) isStorable(rec statelog.Record) bool {
	if len(rec.Key) > statelog.MaxKeyBytes {
		return false
	}
	return own.cfg.MaxRecord <= 0 || recordBytes(rec) <= own.cfg.MaxRecord
}

// addVMs adds the records of VMs. A VM whose record can't be stored is removed from the
// changes, so that no tasks run there.
func (own *Owner) addVMs(now time.Time, recs []statelog.Record, chg *poolscheduler.Batch) []statelog.Record {
	chg.AddedVMs = slices.DeleteFunc(chg.AddedVMs, func(hst host.Host) bool {
		data, err := jobrecord.EncodeHost(hst)
		rec := statelog.Record{Key: vmKey(own.cfg.Pool, hst.ID), Value: data}
		if err == nil && own.isStorable(rec) {
			recs = append(recs, rec)
			return false
		}
		own.cfg.Journal.Warn(now, "vmUnstored", slog.String("vm", hst.ID), slog.Int("bytes", recordBytes(rec)), slog.Any("error", err))
		return true
	})
	for _, id := range chg.RemovedVMs {
		recs = append(recs, statelog.Record{Key: vmKey(own.cfg.Pool, id)})
	}
	return recs
}

// addUpdate adds the records of a job's progress. A job whose progress can't be stored ends as
// failed.
func (own *Owner) addUpdate(now time.Time, recs []statelog.Record, upd *poolscheduler.JobUpdate) []statelog.Record {
	rec, err := own.encodeUpdate(upd)
	if err != nil || !own.isStorable(rec) {
		own.cfg.Journal.Warn(now, "progressUnstored", slog.String("job", upd.ID), slog.Int("bytes", recordBytes(rec)), slog.Any("error", err))
		upd.Progress, upd.Submission = own.sch.FailUnstorable(now, upd.ID), nil
		if rec, err = own.encodeUpdate(upd); err != nil {
			return recs
		}
	}
	if upd.Submission != nil {
		data, err := jobrecord.EncodeJob(*upd.Submission)
		if err != nil {
			own.cfg.Journal.Warn(now, "jobNotSetApart", slog.String("job", upd.ID), slog.String("error", err.Error()))
			return append(recs, rec)
		}
		return append(recs, statelog.Record{Key: apartKey(own.cfg.Pool, upd.ID), Value: data}, rec, statelog.Record{Key: jobKey(own.cfg.Pool, upd.ID)})
	}
	recs = append(recs, rec)
	if upd.Progress.State.IsEnded() {
		recs = append(recs, statelog.Record{Key: jobKey(own.cfg.Pool, upd.ID)})
		if upd.MayBeSetApart {
			recs = append(recs, statelog.Record{Key: apartKey(own.cfg.Pool, upd.ID)})
		}
	}
	return recs
}

func (own *Owner) encodeUpdate(upd *poolscheduler.JobUpdate) (statelog.Record, error) {
	data, err := jobrecord.EncodeProgress(upd.Progress)
	return statelog.Record{Key: progressKey(own.cfg.Pool, upd.ID), Value: data}, err
}

// appendBatch appends the batch, retrying until the outcome is known or the term
// ends. It reports whether the batch is stored; false also if the term ends first.
func (own *Owner) appendBatch(bat batch, seq int64) bool {
	isUnknown := false
	for wait := appendTimeout; ; wait = min(2*wait, logTimeout) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		sent := own.cfg.Now()
		_, err := own.cfg.StateLog.Append(ctx, statelog.AppendRequest{
			Topic: jobsTopic, Partition: own.cfg.Partition, Records: bat.records, ExpectedEnd: statelog.AnyOffset,
			Producer: own.cfg.Pool, Epoch: own.fencingToken, Seq: seq,
		})
		cancel()
		now := own.cfg.Now()
		own.appendTime.Update(now.Sub(sent).Seconds())
		own.trackLog(now, sent, err)
		switch {
		case err == nil:
			own.completeBatch(bat)
			return true
		case errors.Is(err, statelog.ErrFenced):
			own.loseOwnership(now, "fenced by a later owner")
			own.abandonBatch(bat, isUnknown)
			return false
		case errors.Is(err, statelog.ErrNotAppended) && !isUnknown:
			own.rollBackBatch(bat)
			sleep(own.quit, logRetryDelay)
			return false
		case !errors.Is(err, statelog.ErrNotAppended):
			isUnknown = true
		}
		if !sleep(own.quit, appendRetryDelay) {
			own.abandonBatch(bat, isUnknown)
			return !isUnknown
		}
	}
}

// trackLog records since when appends have failed, and logs the start and the end of
// an outage.
func (own *Owner) trackLog(now, sent time.Time, err error) {
	own.mu.Lock()
	wasAvailable := own.stalledSince.IsZero()
	own.isRetrying = err != nil
	if err == nil {
		own.stalledSince = time.Time{}
	} else if wasAvailable {
		own.stalledSince = sent
	}
	own.mu.Unlock()
	switch {
	case err != nil && wasAvailable:
		own.cfg.Journal.Warn(now, "storeLost", slog.String("pool", own.cfg.Pool), slog.String("error", err.Error()))
	case err == nil && !wasAvailable:
		own.event(now, "storeRegained")
	}
}

// completeBatch handles a batch that is stored: it resolves the submissions and
// updates the pool scheduler, once all records of the changes are stored.
func (own *Owner) completeBatch(bat batch) {
	now := own.cfg.Now()
	own.mu.Lock()
	defer own.unlock()
	for _, sub := range bat.subs {
		if sub.progress != nil {
			own.sch.Adopt(now, sub.job, *sub.progress)
		} else {
			own.sch.Accept(now, sub.job)
		}
		own.resolve(sub, nil)
		own.event(now, "jobStored", slog.String("job", sub.job.Plan.ID), slog.String("queue", sub.job.Queue),
			slog.String("organisation", sub.job.Organisation), slog.Int("steps", len(sub.job.Plan.Steps)), slog.Duration("after", now.Sub(sub.job.FirstAttempt)))
	}
	if !bat.isPart {
		own.sch.CommitBatch(bat.changes)
		own.commitHandovers(bat)
		for _, wtr := range bat.waiters {
			close(wtr)
		}
	}
	if len(bat.subs) > 0 {
		own.requestPlan()
	}
}

// rollBackBatch handles a batch that is certainly not stored: submissions are refused,
// progress goes into the next batch.
func (own *Owner) rollBackBatch(bat batch) {
	own.mu.Lock()
	defer own.unlock()
	for _, sub := range bat.subs {
		wait := own.refusals.Add(sub.job.FirstAttempt, sub.job.Plan)
		own.resolve(sub, fault.NewRetryAfter(wait, code.LogUnavailable, "the job was not stored"))
	}
	own.sch.RollBackBatch(bat.changes)
	own.waiters = append(own.waiters, bat.waiters...)
	own.requestFlush()
}

// abandonBatch fails the submissions of a batch at the end of the term.
func (own *Owner) abandonBatch(bat batch, isUnknown bool) {
	own.mu.Lock()
	defer own.unlock()
	for _, sub := range bat.subs {
		if isUnknown {
			own.resolve(sub, fault.New(code.OutcomeUnknown, "job %s may be stored", sub.job.Plan.ID))
			continue
		}
		own.resolve(sub, fault.New(code.NotReady, "the pool changes its owner"))
	}
}
