package owner

import (
	"context"

	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/statelog"
)

// StoredState reads the stored state of a job, for use when its owner is unavailable or
// does not know the job.
func StoredState(ctx context.Context, log statelog.Client, pool string, partition int, id string) (ste jobrecord.State, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if ste, ok, err = storedProgress(ctx, log, pool, partition, id); ok || err != nil {
		return ste, ok, err
	}
	rec, ok, err := log.Lookup(ctx, jobsTopic, partition, jobKey(pool, id))
	if err != nil || ok && len(rec.Value) > 0 {
		return jobrecord.Queued, err == nil, err
	}
	// The end of a job adds its progress and removes its submission in one append, which
	// may lie between the two reads.
	return storedProgress(ctx, log, pool, partition, id)
}

// storedProgress reads the state in a job's progress record. It reports false if there is
// none.
func storedProgress(ctx context.Context, log statelog.Client, pool string, partition int, id string) (ste jobrecord.State, ok bool, err error) {
	rec, ok, err := log.Lookup(ctx, jobsTopic, partition, progressKey(pool, id))
	if err != nil || !ok || len(rec.Value) == 0 {
		return 0, false, err
	}
	prg, err := jobrecord.DecodeProgress(rec.Value)
	return prg.State, err == nil, err
}
