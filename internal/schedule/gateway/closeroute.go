package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/statelog"
)

// CloseRoute returns once no owner of the pool accepts jobs of the queue by a route from before the version of the
// configuration. The owner is asked to read the version. If it does not confirm that within reachTimeout, its term is
// ended in the log, and the next owner finds the later route registered. The next owner of an earlier version of the
// program would not, so one of such a version is waited for up to lagLimit, and replaced by itself meanwhile.
func (gtw *Gateway) CloseRoute(ctx context.Context, pool string, que queue.Ref, version int64) error {
	began := time.Now()
	for {
		token, isRegistering, err := claim.Newest(ctx, gtw.cfg.StateLog, claim.Pool(pool))
		if err != nil {
			return err
		}
		limit := reachTimeout
		if !isRegistering {
			limit = lagLimit
		}
		cause := gtw.askToLeave(ctx, limit, pool, que, version)
		if cause == nil || ctx.Err() != nil {
			return cause
		}
		present, _, err := claim.Newest(ctx, gtw.cfg.StateLog, claim.Pool(pool))
		if err != nil {
			return err
		}
		if present == token { // an owner that has just claimed the pool has not been asked for long
			return gtw.endTerm(ctx, began, pool, cause)
		}
	}
}

// askToLeave asks the pool's owner, and again if that fails or the owner changes, until the time is over.
func (gtw *Gateway) askToLeave(ctx context.Context, limit time.Duration, pool string, que queue.Ref, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req := request{Pool: pool, Queue: que.Name, Address: que.Address, MinVersion: version, Reroutes: true}
	for {
		_, err := gtw.call(ctx, methodState, req, func(own *owner.Owner) (reply, error) { return gtw.stateOf(ctx, own, req) })
		if err == nil || ctx.Err() != nil {
			return err
		}
		sleep(ctx, retryDelay)
	}
}

// endTerm ends the term of the pool's owner in the log, unless that was done since the given time.
func (gtw *Gateway) endTerm(ctx context.Context, since time.Time, pool string, cause error) error {
	gtw.ending.Lock()
	defer gtw.ending.Unlock()
	if gtw.endedAt[pool].After(since) {
		return nil
	}
	began := time.Now()
	clm, err := claim.Supersede(ctx, gtw.cfg.StateLog, claim.Pool(pool))
	if err != nil {
		return err
	}
	err = owner.Fence(ctx, gtw.cfg.StateLog, pool, group.PartitionOf(pool, gtw.cfg.Partitions), clm.FencingToken())
	if err != nil && !errors.Is(err, statelog.ErrFenced) { // a later owner has fenced the present one too
		return err
	}
	gtw.endedAt[pool] = began
	gtw.cfg.Journal.Event(time.Now(), "ownerSuperseded", slog.String("pool", pool), slog.Int64("fence", clm.FencingToken()), slog.String("reason", cause.Error()))
	return nil
}

// IsInPool reports whether the pool, which accepts no more jobs of the queue, has the job.
func (gtw *Gateway) IsInPool(ctx context.Context, pool string, que queue.Ref, id string) (bool, error) {
	part := group.PartitionOf(pool, gtw.cfg.Partitions)
	isOfQueue := gtw.isOfQueue(que)
	_, found, err := owner.StoredState(ctx, gtw.cfg.StateLog, pool, part, id, isOfQueue)
	if err == nil && !found {
		_, found, err = owner.StoredHandover(ctx, gtw.cfg.StateLog, pool, part, id, isOfQueue)
	}
	return found, err
}

// UnregisteredPools returns the pools that lately had the queue, by the configurations that this entry has read, and
// whose owners run an earlier version of the program, which registers no routes.
func (gtw *Gateway) UnregisteredPools(ctx context.Context, address string) (pools []string) {
	gtw.mu.Lock()
	left := slices.Sorted(maps.Keys(gtw.leftAt[address]))
	gtw.mu.Unlock()
	for _, pool := range left {
		token, isRegistering, err := claim.Newest(ctx, gtw.cfg.StateLog, claim.Pool(pool))
		if err != nil || token > 0 && !isRegistering {
			pools = append(pools, pool)
		}
	}
	return pools
}

// submit sends a submission to the owner of the queue's pool. One of an earlier version of the program leaves it to the
// sender to make sure that no other pool of the queue has the job, or accepts it.
func (gtw *Gateway) submit(ctx context.Context, now time.Time, que queue.Queue, id string, req request, local func(*owner.Owner) (reply, error)) (reply, error) {
	_, err := gtw.call(ctx, methodAccept, req, local)
	if !rpc.IsUnknownMethod(err) {
		return reply{IsFound: err == nil}, err
	}
	isAccepted, err := gtw.isAcceptedBefore(ctx, now, que, id)
	if isAccepted || err != nil {
		return reply{IsFound: isAccepted}, err
	}
	_, err = gtw.call(ctx, methodSubmit, req, local)
	return reply{IsFound: err == nil}, err
}
