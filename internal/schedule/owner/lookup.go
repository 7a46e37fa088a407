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
	rec, ok, err := log.Lookup(ctx, jobsTopic, partition, progressKey(pool, id))
	if err != nil {
		return 0, false, err
	}
	if ok && len(rec.Value) > 0 {
		prg, err := jobrecord.DecodeProgress(rec.Value)
		return prg.State, err == nil, err
	}
	rec, ok, err = log.Lookup(ctx, jobsTopic, partition, jobKey(pool, id))
	return jobrecord.Queued, ok && len(rec.Value) > 0, err
}
