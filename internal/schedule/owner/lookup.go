package owner

import (
	"context"

	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/ledger"
)

// Lookup returns the state that the store holds of a job, for when its owner
// cannot be asked.
func Lookup(ctx context.Context, arc archive.Client, service string, partition int, id string) (ste ledger.State, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, ok, err := arc.Lookup(ctx, jobsTopic, partition, progressKey(service, id))
	if err != nil {
		return 0, false, err
	}
	if ok && len(rec.Value) > 0 {
		prg, err := ledger.DecodeProgress(rec.Value)
		return prg.State, err == nil, err
	}
	rec, ok, err = arc.Lookup(ctx, jobsTopic, partition, jobKey(service, id))
	return ledger.Queued, ok && len(rec.Value) > 0, err
}
