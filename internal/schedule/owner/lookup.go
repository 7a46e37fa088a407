package owner

import (
	"context"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/statelog"
)

// StoredState reads the stored state of a job, for use when its owner is unavailable or
// does not know the job. It does not find jobs of queues for which isOfQueue is false. A nil
// isOfQueue is true for all.
func StoredState(ctx context.Context, log statelog.Client, pool string, partition int, id string, isOfQueue func(ref queue.Ref) bool) (ste jobrecord.State, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	rdr := recordReader{log: log, pool: pool, partition: partition, id: id, isOfQueue: isOfQueue}
	if ste, ok, err = rdr.progress(ctx); ok || err != nil {
		return ste, ok, err
	}
	ref, ok, err := rdr.submission(ctx, jobKey(pool, id))
	if err != nil || ok {
		return jobrecord.Queued, err == nil && rdr.isShown(ref), err
	}
	// The end of a job adds its progress and removes its submission in one append, which
	// may lie between the two reads.
	return rdr.progress(ctx)
}

// recordReader reads the records of one job.
type recordReader struct {
	log       statelog.Client
	pool      string
	partition int
	id        string
	isOfQueue func(ref queue.Ref) bool
}

func (rdr recordReader) isShown(ref queue.Ref) bool {
	return rdr.isOfQueue == nil || ref.Name == "" || rdr.isOfQueue(ref)
}

// progress reads the state in the job's progress record. It reports false if there is none, or
// if it is of another queue.
func (rdr recordReader) progress(ctx context.Context) (ste jobrecord.State, ok bool, err error) {
	rec, ok, err := rdr.log.Lookup(ctx, jobsTopic, rdr.partition, progressKey(rdr.pool, rdr.id))
	if err != nil || !ok || len(rec.Value) == 0 {
		return 0, false, err
	}
	prg, err := jobrecord.DecodeProgress(rec.Value)
	if err != nil {
		return 0, false, err
	}
	ref := queue.Ref{Name: prg.Queue, Address: prg.Address, Organisation: prg.Organisation}
	if rdr.isShown(ref) {
		return prg.State, true, nil
	}
	// Until the job has ended, only its submission has the address of the queue, which may
	// have another name by now.
	for _, key := range []string{jobKey(rdr.pool, rdr.id), apartKey(rdr.pool, rdr.id)} {
		stored, ok, err := rdr.submission(ctx, key)
		if err != nil || ok {
			return prg.State, err == nil && rdr.isShown(stored), err
		}
	}
	return 0, false, nil
}

// submission reads the queue in the record of the job's submission.
func (rdr recordReader) submission(ctx context.Context, key string) (queue.Ref, bool, error) {
	rec, ok, err := rdr.log.Lookup(ctx, jobsTopic, rdr.partition, key)
	if err != nil || !ok || len(rec.Value) == 0 {
		return queue.Ref{}, false, err
	}
	jb, err := jobrecord.DecodeJob(rec.Value)
	return jb.Ref(), err == nil, err
}
