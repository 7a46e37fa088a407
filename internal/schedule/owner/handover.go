package owner

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/statelog"
)

// Jobs of a pool that is not active any more run there while it has VMs. Without any, those of queues
// that have another pool are handed over to it in three steps, each of which a later owner repeats:
// one append replaces the job's records by one of the handover, after which this pool does not run the
// job; the other pool stores the job unless it has it; the record of the handover is removed.

const (
	// maxHandovers bounds the jobs that begin to be handed over at a time.
	maxHandovers = 100
	// handoverRetryDelay is the pause after a handover that failed, as the other pool may have
	// no owner for a second or two.
	handoverRetryDelay = 500 * time.Millisecond
	handoverTimeout    = 2 * time.Second
)

// handover is a job that is being handed over.
type handover struct {
	record    jobrecord.Handover
	isStored  bool // the record of the handover is stored, and no other of the job
	isAdopted bool // the other pool has the job
}

// restoreHandover restores the handover that an earlier owner began.
func (own *Owner) restoreHandover(id string, value []byte) error {
	hnd, err := jobrecord.DecodeHandover(value)
	if err == nil {
		own.handovers[id] = &handover{record: hnd}
	}
	return err
}

// startHandovers begins to hand over jobs if the pool is not active and has no VMs. The caller
// holds the lock.
func (own *Owner) startHandovers(now time.Time) {
	if own.cfg.HandOver == nil || own.table == nil || !own.hasVMList || own.table.IsActive(own.cfg.Pool) || own.sch.HasVMs() {
		return
	}
	for _, rec := range own.sch.Leave(own.nextPool, maxHandovers) {
		own.handovers[rec.Job.Plan.ID] = &handover{record: rec}
		own.event(now, "jobLeaving", slog.String("job", rec.Job.Plan.ID), slog.String("to", rec.To), slog.String("state", rec.Progress.State.String()))
		own.requestFlush()
	}
}

// recordNextPools records that the pools to which the handovers of a batch go have jobs of their
// queues. They must have owners even if the configuration drops them meanwhile.
func (own *Owner) recordNextPools(bat batch) error {
	next := map[queue.Ref]string{}
	own.locked(func() {
		for _, id := range bat.handovers {
			rec := &own.handovers[id].record
			ref := rec.Job.Ref()
			if ref.Address == "" { // an entry of an earlier version has stored it
				ref.Address = own.addressOf(ref.Name)
			}
			next[ref] = rec.To
		}
	})
	for ref, pool := range next {
		if err := own.cfg.PoolIndex.Record(context.Background(), ref.Address, pool); err != nil {
			return err
		}
	}
	return nil
}

// nextPool returns the active pool to which the jobs of a queue go, or "".
func (own *Owner) nextPool(ref queue.Ref) string {
	que, ok := own.table.Find(ref)
	if !ok || que.Pool == own.cfg.Pool || !own.table.IsActive(que.Pool) {
		return ""
	}
	return que.Pool
}

// addHandovers adds the records of handovers to a batch. The caller holds the lock.
func (own *Owner) addHandovers(now time.Time, bat *batch) {
	for id, hnd := range own.handovers {
		if hnd.isAdopted {
			bat.records = append(bat.records, statelog.Record{Key: handoverKey(own.cfg.Pool, id)})
			bat.endedHandovers = append(bat.endedHandovers, id)
			continue
		}
		if hnd.isStored {
			continue
		}
		data, err := jobrecord.EncodeHandover(hnd.record)
		rec := statelog.Record{Key: handoverKey(own.cfg.Pool, id), Value: data}
		if err != nil || !own.isStorable(rec) {
			own.cfg.Journal.Warn(now, "handoverUnstored", slog.String("job", id), slog.Int("bytes", recordBytes(rec)), slog.Any("error", err))
			continue
		}
		bat.records = append(bat.records, rec)
		for _, key := range []string{jobKey(own.cfg.Pool, id), apartKey(own.cfg.Pool, id), progressKey(own.cfg.Pool, id)} {
			bat.records = append(bat.records, statelog.Record{Key: key})
		}
		bat.handovers = append(bat.handovers, id)
	}
}

// commitHandovers handles the handovers of a batch that is stored. The caller holds the lock.
func (own *Owner) commitHandovers(bat batch) {
	for _, id := range bat.handovers {
		own.handovers[id].isStored = true
	}
	for _, id := range bat.endedHandovers {
		delete(own.handovers, id)
	}
}

// handoverLoop passes jobs whose handover is stored to their next pools.
func (own *Owner) handoverLoop() {
	for sleep(own.quit, handoverRetryDelay) {
		own.mu.Lock()
		var due []*handover
		for _, hnd := range own.handovers {
			if hnd.isStored && !hnd.isAdopted {
				due = append(due, hnd)
			}
		}
		own.mu.Unlock()
		for _, hnd := range due {
			if own.isEnding() || !own.passOn(hnd) {
				break
			}
		}
	}
}

// passOn passes a job to its next pool, and reports whether that has it.
func (own *Owner) passOn(hnd *handover) bool {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	err := own.cfg.HandOver(ctx, hnd.record)
	now := own.cfg.Now()
	attrs := []slog.Attr{slog.String("job", hnd.record.Job.Plan.ID), slog.String("to", hnd.record.To), slog.String("pool", own.cfg.Pool)}
	if err != nil {
		own.cfg.Journal.Warn(now, "jobNotHandedOver", append(attrs, slog.String("error", err.Error()))...)
		return false
	}
	own.event(now, "jobHandedOver", attrs[:2]...)
	own.mu.Lock()
	defer own.unlock()
	hnd.isAdopted = true
	own.requestFlush()
	return true
}

// Adopt returns when a job that another pool hands over is stored here. A job that this pool
// already has is not stored again.
func (own *Owner) Adopt(ctx context.Context, now time.Time, hnd jobrecord.Handover) error {
	sub, err := own.enqueueHandover(now, hnd)
	if sub == nil {
		return err
	}
	return own.awaitStored(ctx, sub)
}

// enqueueHandover returns the submission of a job that another pool hands over; nil, without an error, if the pool has it.
func (own *Owner) enqueueHandover(now time.Time, hnd jobrecord.Handover) (*submission, error) {
	id := hnd.Job.Plan.ID
	own.mu.Lock()
	defer own.unlock()
	if leaving := own.handovers[id]; leaving != nil && leaving.isAdopted {
		return nil, fault.New(code.NotReady, "the last handover of job %s is not over", id)
	}
	if own.isKnown(id) {
		return nil, nil
	}
	if own.isEnding() {
		return nil, fault.New(code.NotReady, "the pool changes its owner")
	}
	if _, isPending := own.pending[id]; isPending {
		return nil, fault.New(code.OutcomeUnknown, "job %s is being stored", id)
	}
	hnd.Progress.ExtraZones = nil // those of the other pool
	sub := &submission{resolved: make(chan struct{}), job: hnd.Job, progress: &hnd.Progress}
	own.enqueue(sub)
	own.event(now, "jobAdopted", slog.String("job", id), slog.String("queue", hnd.Job.Queue), slog.String("state", hnd.Progress.State.String()))
	return sub, nil
}

// isKnown reports whether the pool has the job, or hands it over. The caller holds the lock.
func (own *Owner) isKnown(id string) bool {
	if _, ok := own.sch.State(id); ok || own.sch.IsUnreadable(id) {
		return true
	}
	_, isLeaving := own.handovers[id]
	return isLeaving
}

// StoredHandover reads the state of a job that the pool hands over, for use when its owner does
// not answer.
func StoredHandover(ctx context.Context, log statelog.Client, pool string, partition int, id string, isOfQueue func(ref queue.Ref) bool) (ste jobrecord.State, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	rec, ok, err := log.Lookup(ctx, jobsTopic, partition, handoverKey(pool, id))
	if err != nil || !ok || len(rec.Value) == 0 {
		return 0, false, err
	}
	hnd, err := jobrecord.DecodeHandover(rec.Value)
	if err != nil || !isOfQueue(hnd.Job.Ref()) {
		return 0, false, err
	}
	return hnd.Progress.State, true, nil
}
