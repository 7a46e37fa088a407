package owner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/statelog"
)

// A queue has one pool by each version of the configuration, but owners read a version at different times. An owner
// accepts jobs of a queue only by a route that it has opened. It registers the route with its version, so that an
// owner with a later route of another pool is known to it, or it to that owner. If there is a later route, it
// refuses. Else it closes the earlier routes of other pools, which accept nothing by them from then on, and looks up
// there the jobs that callers may repeat.

const (
	// openRouteWait bounds the wait of a submission for its route, so that its sender gets the refusal before
	// the call times out, after 0.9 s.
	openRouteWait = 700 * time.Millisecond
	// leaveWait bounds the wait for submissions that are being stored, so that the other owner gets the answer before
	// its call times out, after 0.9 s.
	leaveWait = 500 * time.Millisecond
	// closeTimeout bounds one attempt to close another pool's route: longer than the 5 s for which an owner of an earlier
	// version of the program is waited for.
	closeTimeout = 8 * time.Second
	// repeatTime is how long after its route was opened callers may repeat submissions that another pool has
	// accepted before.
	repeatTime = time.Minute
	// maxRouteChanges bounds how often a submission waits for another route of its queue.
	maxRouteChanges = 3
)

// route is the route of a queue to this pool.
type route struct {
	ref   queue.Ref // with the name by which the first submission came
	since int64     // version of the configuration
	// others are the other pools that have had the queue, in the order in which they got it.
	others       []string
	isRegistered bool
	supersededBy int64         // version by which another pool has the queue; 0: none is known
	openedAt     time.Time     // zero until the routes of the other pools are closed
	settled      chan struct{} // closed when the route is open or superseded
}

// needsLookup reports whether callers may repeat submissions that another pool has accepted.
func (rt *route) needsLookup(now time.Time) bool {
	return len(rt.others) > 0 && now.Sub(rt.openedAt) < repeatTime
}

// routeOf returns the address of the queue and the version since which it has this pool: the sender's if the queue is
// not configured here. It reports false if the queue has, or has had, another pool by a later configuration than
// the sender's. The caller holds the lock.
func (own *Owner) routeOf(ref queue.Ref) (address string, since int64, ok bool) {
	if own.table == nil {
		return ref.Address, ref.Version, true
	}
	que, isConfigured := own.table.Find(ref)
	if !isConfigured || ref.Address != "" && que.Address() != ref.Address {
		return ref.Address, ref.Version, true
	}
	return que.Address(), que.Since, que.Pool == own.cfg.Pool && !que.IsRerouted(ref)
}

// route returns the route of a queue and begins to open it if it is new. The caller holds the lock.
func (own *Owner) route(ref queue.Ref, address string, since int64) *route {
	rt := own.routes[address]
	isConfigured := own.table != nil
	if isConfigured {
		_, isConfigured = own.table.At(address)
	}
	if rt != nil && (rt.since == since || !isConfigured) {
		return rt
	}
	rt = &route{ref: queue.Ref{Name: ref.Name, Address: address}, since: since, settled: make(chan struct{})}
	own.routes[address] = rt
	select {
	case own.routesRequested <- struct{}{}:
	default:
	}
	return rt
}

// openRoutesOfJobs begins to open the routes of the queues that the pool has jobs of. The caller holds the lock.
func (own *Owner) openRoutesOfJobs() {
	if own.table == nil {
		return
	}
	for _, address := range own.sch.QueueAddresses() {
		if que, ok := own.table.At(address); ok && que.Pool == own.cfg.Pool {
			own.route(que.Ref(), address, que.Since)
		}
	}
}

// dropRoutes forgets the routes that the configuration does not have any more. The caller holds the lock.
func (own *Owner) dropRoutes() {
	for address, rt := range own.routes {
		if que, ok := own.table.At(address); !ok || que.Pool != own.cfg.Pool || que.Since != rt.since {
			delete(own.routes, address)
		}
	}
}

// awaitRoute returns once the owner may accept the job by the route, and reports whether another pool has the job
// already, whose submission is then a repetition.
func (own *Owner) awaitRoute(ctx context.Context, now time.Time, rt *route, id string) (isAccepted bool, err error) {
	tmr := time.NewTimer(openRouteWait)
	defer tmr.Stop()
	select {
	case <-rt.settled:
	case <-own.quit:
		return false, fault.New(code.NotReady, "the pool changes its owner")
	case <-ctx.Done():
		return false, fault.New(code.NotReady, "the route of the queue %s is not open yet", rt.ref.Name)
	case <-tmr.C:
		return false, fault.New(code.NotReady, "the route of the queue %s is not open yet", rt.ref.Name)
	}
	own.mu.Lock()
	others, supersededBy, needsLookup := rt.others, rt.supersededBy, rt.needsLookup(now)
	own.mu.Unlock()
	if supersededBy > 0 {
		if err := own.readVersion(ctx, supersededBy); err != nil {
			return false, err
		}
		return false, fault.New(code.StaleRoute, "another pool has the queue %s by version %d", rt.ref.Name, supersededBy)
	}
	if !needsLookup {
		return false, nil
	}
	for _, pool := range others {
		isAccepted, err = own.cfg.IsInPool(ctx, pool, rt.ref, id)
		if err != nil {
			return false, fault.Wrap(err, code.NotReady, "whether the pool %s has job %s", pool, id)
		}
		if isAccepted {
			own.event(now, "jobInFormerPool", slog.String("job", id), slog.String("formerPool", pool), slog.String("queue", rt.ref.Name), slog.Int64("version", rt.since))
			return true, nil
		}
	}
	return false, nil
}

// readVersion returns once the owner has applied the version of the configuration.
func (own *Owner) readVersion(ctx context.Context, version int64) error {
	if own.cfg.ReadVersion == nil || own.ConfigVersion() >= version {
		return nil
	}
	return own.cfg.ReadVersion(ctx, version)
}

// routeLoop opens the routes of queues.
func (own *Owner) routeLoop() {
	for seq := int64(1); ; {
		select {
		case <-own.quit:
			return
		case <-own.routesRequested:
		}
		for rts := own.unregistered(); len(rts) > 0; rts = own.unregistered() {
			if !own.register(rts, seq) {
				return
			}
			seq++
		}
	}
}

// unregistered returns the routes that are to be registered.
func (own *Owner) unregistered() (rts []*route) {
	own.mu.Lock()
	defer own.unlock()
	for _, rt := range own.routes {
		if !rt.isRegistered {
			rts = append(rts, rt)
		}
	}
	return rts
}

// register registers routes, and begins to close those of other pools. It reports false if the term ends before.
func (own *Owner) register(rts []*route, seq int64) bool {
	reg := poolindex.Registration{Pool: own.cfg.Pool, Epoch: own.fencingToken, Seq: seq, Since: map[string]int64{}}
	for _, rt := range rts {
		reg.Since[rt.ref.Address] = rt.since
	}
	for wait := 2 * appendTimeout; ; wait = min(2*wait, logTimeout) {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		sent := own.cfg.Now()
		others, err := own.cfg.PoolIndex.Register(ctx, reg)
		if err == nil {
			own.addUnregistered(ctx, others)
		}
		cancel()
		now := own.cfg.Now()
		own.trackLog(now, sent, err)
		if err == nil {
			own.setOthers(now, rts, others)
			return true
		}
		if errors.Is(err, statelog.ErrFenced) {
			own.loseOwnership(now, "fenced by a later owner")
			return false
		}
		if !sleep(own.quit, appendRetryDelay) {
			return false
		}
	}
}

// addUnregistered adds the pools that may have had the queues without registering that, to those by address, with the
// version 0.
func (own *Owner) addUnregistered(ctx context.Context, others map[string]map[string]int64) {
	if own.cfg.UnregisteredPools == nil {
		return
	}
	for address, versions := range others {
		for _, pool := range own.cfg.UnregisteredPools(ctx, address) {
			if _, ok := versions[pool]; !ok && pool != own.cfg.Pool {
				versions[pool] = 0
			}
		}
	}
}

// setOthers notes which other pools have, or have had, the queues of the routes.
func (own *Owner) setOthers(now time.Time, rts []*route, others map[string]map[string]int64) {
	own.mu.Lock()
	defer own.unlock()
	for _, rt := range rts {
		rt.isRegistered = true
		versions := others[rt.ref.Address]
		for pool, since := range versions {
			rt.others = append(rt.others, pool)
			if since > rt.since {
				rt.supersededBy = max(rt.supersededBy, since)
			}
		}
		// A job that is handed over meanwhile goes to a later pool, where it is looked up after the earlier one.
		slices.SortFunc(rt.others, func(a, b string) int {
			return cmp.Or(cmp.Compare(versions[a], versions[b]), cmp.Compare(a, b))
		})
		own.event(now, "routeRegistered", slog.String("queue", rt.ref.Name), slog.String("address", rt.ref.Address), slog.Int64("since", rt.since),
			slog.Any("otherPools", rt.others), slog.Int64("supersededBy", rt.supersededBy))
		switch {
		case rt.supersededBy > 0:
			close(rt.settled)
		case len(rt.others) == 0 || own.cfg.CloseRoute == nil:
			rt.others = nil
			own.setOpen(now, rt)
		default:
			own.run(func() { own.closeOthers(rt) })
		}
	}
}

// setOpen notes that the route is open. The caller holds the lock.
func (own *Owner) setOpen(now time.Time, rt *route) {
	rt.openedAt = now
	close(rt.settled)
}

// closeOthers closes the routes of the other pools, and opens the route then.
func (own *Owner) closeOthers(rt *route) {
	var grp sync.WaitGroup
	for _, pool := range rt.others {
		grp.Go(func() {
			defer own.catch()
			for !own.closeOther(rt, pool) && own.isNeeded(rt) && sleep(own.quit, logRetryDelay) {
			}
		})
	}
	grp.Wait()
	own.mu.Lock()
	defer own.unlock()
	if own.routes[rt.ref.Address] == rt && !own.isEnding() {
		now := own.cfg.Now()
		own.setOpen(now, rt)
		own.event(now, "routeOpened", slog.String("queue", rt.ref.Name), slog.Int64("since", rt.since))
	}
}

// isNeeded reports whether the queue still has the route.
func (own *Owner) isNeeded(rt *route) bool {
	own.mu.Lock()
	defer own.unlock()
	return own.routes[rt.ref.Address] == rt
}

// closeOther closes the route of another pool, and reports whether it is closed.
func (own *Owner) closeOther(rt *route, pool string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	go func() {
		select {
		case <-own.quit:
			cancel() // the term may be over because the process stops
		case <-ctx.Done():
		}
	}()
	err := own.cfg.CloseRoute(ctx, pool, rt.ref, rt.since)
	if err != nil {
		own.cfg.Journal.Warn(own.cfg.Now(), "routeNotClosed", slog.String("queue", rt.ref.Name), slog.Int64("since", rt.since),
			slog.String("formerPool", pool), slog.String("pool", own.cfg.Pool), slog.String("error", err.Error()))
	}
	return err == nil
}

// LeaveRoute returns once this owner accepts no jobs of the queue by a route from before the version of the
// configuration, the outcome of those that it was storing is known, and it is known to have owned the pool after it was
// asked. A later owner finds the asker's route registered. It fails with code OutcomeUnknown if the outcome takes longer
// than leaveWait.
func (own *Owner) LeaveRoute(ctx context.Context, now time.Time, address string, version int64) error {
	own.mu.Lock()
	if present := own.configVersion(); present < version {
		own.mu.Unlock()
		return fault.New(code.StaleRoute, "the owner has read version %d of the configuration, not yet %d", present, version)
	}
	if rt := own.routes[address]; rt != nil && rt.since < version {
		delete(own.routes, address)
	}
	var subs []*submission
	for _, sub := range own.pending {
		if sub.job.Address == address {
			subs = append(subs, sub)
		}
	}
	own.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	for _, sub := range subs {
		select {
		case <-sub.resolved:
		case <-own.quit:
			return fault.New(code.NotReady, "the pool changes its owner")
		case <-ctx.Done():
			return fault.New(code.OutcomeUnknown, "job %s is being stored", sub.job.Plan.ID)
		}
	}
	return own.confirmSince(ctx, now)
}
