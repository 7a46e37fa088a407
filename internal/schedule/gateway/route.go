package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// byRoute makes a request about a job by the queue's route, and again if that may not have been the present one when
// the request came: an owner says that the queue has been rerouted since, or no job is found. That no pool has the job is
// said only by an index of pools that was read after the request came, too.
func (gtw *Gateway) byRoute(ctx context.Context, now time.Time, que queue.Queue, id string, send func(que queue.Queue) (reply, error)) (reply, error) {
	came := now
	for {
		asked := gtw.cfg.PoolIndex.Known(que.Address())
		rep, err := send(que)
		isStale := fault.CodeOf(err) == code.StaleRoute
		isUnknown := err == nil && !rep.IsFound
		if !isStale && !isUnknown && !isNotOwner(err) {
			return rep, err
		}
		if isStale {
			now = time.Now()
		}
		if isStale || isUnknown {
			if err := gtw.catchUp(ctx, now); err != nil {
				return reply{}, fault.Wrap(err, code.LogUnavailable, "route of the queue %s", que.Name)
			}
		}
		if isUnknown {
			if err := gtw.refreshPools(ctx, came); err != nil {
				return reply{}, fault.Wrap(err, code.LogUnavailable, "pools of the queue %s", que.Name)
			}
			if len(gtw.cfg.PoolIndex.Known(que.Address())) > len(asked) && ctx.Err() == nil {
				continue
			}
		}
		next, ok := gtw.presentRoute(que)
		isNewer := isStale && next.Version > que.Version || next.IsRerouted(que.Ref())
		if !ok || !isNewer || ctx.Err() != nil {
			return rep, err
		}
		gtw.cfg.Journal.Event(time.Now(), "requestRerouted", slog.String("job", id), slog.String("queue", que.Name), slog.Int64("version", que.Version),
			slog.Int64("since", next.Since), slog.String("from", que.Pool), slog.String("to", next.Pool))
		que = next
	}
}

// catchUp returns once this entry has applied all configurations that were stored at now.
func (gtw *Gateway) catchUp(ctx context.Context, now time.Time) error {
	if gtw.cfg.CatchUp == nil {
		return nil
	}
	ctx, cancel := gtw.limitIfCutOff(ctx)
	defer cancel()
	return gtw.cfg.CatchUp(ctx, now)
}

// refreshPools returns once the index of pools has been read since the given time.
func (gtw *Gateway) refreshPools(ctx context.Context, since time.Time) error {
	ctx, cancel := gtw.limitIfCutOff(ctx)
	defer cancel()
	return gtw.cfg.PoolIndex.Refresh(ctx, time.Now(), since)
}

// presentRoute returns the queue as the configuration in force has it.
func (gtw *Gateway) presentRoute(que queue.Queue) (queue.Queue, bool) {
	gtw.mu.Lock()
	tab := gtw.table
	gtw.mu.Unlock()
	if tab == nil {
		return queue.Queue{}, false
	}
	next, ok := tab.At(que.Address())
	next.Organisation = que.Organisation
	return next, ok
}

// isAcceptedBefore reports whether a former pool of the queue has the job, whose submission
// is then a repetition. It also makes sure that no former pool accepts the job later: each owner that it asks
// reads the configuration that took the queue away, and refuses new jobs that were routed by earlier ones. So
// it asks the pools that lately had the queue too, even if they are not known to have accepted any job.
func (gtw *Gateway) isAcceptedBefore(ctx context.Context, now time.Time, que queue.Queue, id string) (bool, error) {
	gtw.mu.Lock()
	asg := gtw.assignments[que.Address()]
	left := maps.Clone(gtw.leftAt[que.Address()])
	gtw.mu.Unlock()
	if now.Sub(asg.since) > repeatTime {
		return false, nil
	}
	pools, unread := gtw.formerPools(ctx, now, que)
	for pool := range left {
		if pool != que.Pool && !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	slices.Sort(pools)
	for _, pool := range pools {
		req := newRequest(pool, que, id)
		req.MinVersion, req.mustReachOwner = que.Since, now.Sub(left[pool]) < lagLimit
		_, found, err := gtw.stateIn(ctx, req)
		switch {
		case fault.CodeOf(err) == code.StaleRoute: // the owner lags, or this entry does
			return false, fault.Wrap(err, code.StaleRoute, "whether the pool %s has job %s", pool, id)
		case err != nil:
			return false, fault.Wrap(err, code.NotReady, "whether the pool %s has job %s", pool, id)
		}
		if found {
			gtw.logFormerPool(now, que, pool, id)
			return true, nil
		}
	}
	return false, unread
}

func (gtw *Gateway) logFormerPool(now time.Time, que queue.Queue, pool, id string) {
	gtw.cfg.Journal.Event(now, "jobInFormerPool", slog.String("job", id), slog.String("pool", pool),
		slog.String("queue", que.Name), slog.Int64("version", que.Version))
}

// formerPools returns the pools, other than the present one, that have accepted jobs of the
// queue. With an error it returns those that are known; there may be others.
func (gtw *Gateway) formerPools(ctx context.Context, now time.Time, que queue.Queue) ([]string, error) {
	gtw.mu.Lock()
	asg := gtw.assignments[que.Address()]
	gtw.mu.Unlock()
	ctx, cancel := gtw.limitIfCutOff(ctx)
	defer cancel()
	pools, err := gtw.cfg.PoolIndex.Pools(ctx, now, que.Address(), asg.since)
	if err != nil {
		err = fault.Wrap(err, code.LogUnavailable, "former pools of the queue %s", que.Name)
	}
	return slices.DeleteFunc(pools, func(pool string) bool { return pool == que.Pool }), err
}

// allPools returns the queue's pool and its former ones, as of maxIndexAge ago at most.
func (gtw *Gateway) allPools(ctx context.Context, que queue.Queue) ([]string, error) {
	now := time.Now()
	if err := gtw.refreshPools(ctx, now.Add(-maxIndexAge)); err != nil {
		return nil, fault.Wrap(err, code.LogUnavailable, "pools of the queue %s", que.Name)
	}
	pools, err := gtw.formerPools(ctx, now, que)
	return append([]string{que.Pool}, pools...), err
}

// noteFormerPool notes that the pool has the queue no longer, and forgets what is older than
// repeatTime. The caller holds the lock.
func (gtw *Gateway) noteFormerPool(now time.Time, address, pool string) {
	if gtw.leftAt[address] == nil {
		gtw.leftAt[address] = map[string]time.Time{}
	}
	gtw.leftAt[address][pool] = now
	for address, pools := range gtw.leftAt {
		maps.DeleteFunc(pools, func(_ string, at time.Time) bool { return now.Sub(at) > repeatTime })
		if len(pools) == 0 {
			delete(gtw.leftAt, address)
		}
	}
}
