package owner

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// Submit returns when the job is stored here, or known to be in another pool of the queue. After a fault with code
// OutcomeUnknown it may be stored. A repeated submission of the same job has no effect.
func (own *Owner) Submit(ctx context.Context, now time.Time, pln *plan.Plan, que queue.Ref) error {
	if err := own.readVersion(ctx, que.Version); err != nil {
		return err
	}
	var opened *route
	for range maxRouteChanges {
		sub, rt, err := own.accept(now, pln, que, opened)
		switch {
		case err != nil:
			return err
		case sub != nil:
			return own.awaitStored(ctx, sub)
		case rt == nil:
			return nil
		}
		isAccepted, err := own.awaitRoute(ctx, now, rt, pln.ID)
		if isAccepted || err != nil {
			return err
		}
		opened = rt
	}
	return fault.New(code.NotReady, "the queue %s changes its route", que.Name)
}

// accept returns the submission of the job, new or pending, or nil if the pool has the job. Instead it may return
// a route for which the submission has to wait, unless that is the one for which it has waited.
func (own *Owner) accept(now time.Time, pln *plan.Plan, que queue.Ref, opened *route) (*submission, *route, error) {
	own.mu.Lock()
	defer own.unlock()
	if que.Address == "" { // an entry of an earlier version has sent it
		que.Address = own.addressOf(que.Name)
	}
	if own.isOfOtherQueue(pln.ID, que) {
		return nil, nil, fault.New(code.KeyConflict, "another queue has a job %s", pln.ID)
	}
	if own.isKnown(pln.ID) {
		return nil, nil, nil
	}
	if sub, ok := own.pending[pln.ID]; ok {
		return sub, nil, nil
	}
	if own.isEnding() {
		return nil, nil, fault.New(code.NotReady, "the pool changes its owner")
	}
	address, since, ok := own.routeOf(que)
	if !ok {
		return nil, nil, newStaleRoute(que)
	}
	if own.lacksOrganisation(que) {
		// A code that earlier versions know and answer with 503.
		return nil, nil, fault.New(code.QueueFull, "the queue %s needs an API key, which the sender has not checked", que.Name)
	}
	if own.isRetrying && now.Sub(own.stalledSince) > stallLimit {
		wait := own.refusals.Add(now, pln)
		return nil, nil, fault.NewRetryAfter(wait, code.LogUnavailable, "nothing can be stored since %s", now.Sub(own.stalledSince).Round(time.Millisecond))
	}
	if open, limit := own.openTasks(), own.openTaskLimit(); limit > 0 && open > 0 && open+poolscheduler.TaskCount(pln) > limit {
		wait := own.refusals.Add(now, pln)
		own.event(now, "poolFull", slog.String("job", pln.ID), slog.String("queue", que.Name), slog.Int("openTasks", open), slog.Int("limit", limit))
		return nil, nil, fault.NewRetryAfter(wait, code.QueueFull, "the pool has %d tasks in open jobs, at most %d", open, limit)
	}
	if address != "" {
		rt := own.route(que, address, since)
		if rt != opened && (rt.openedAt.IsZero() || rt.needsLookup(now)) {
			return nil, rt, nil
		}
	}
	sub := &submission{resolved: make(chan struct{}), job: jobrecord.Job{
		Plan: pln, Queue: que.Name, Address: que.Address, Organisation: que.Organisation, FirstAttempt: own.refusals.Accept(now, pln.ID), MaxAttempts: own.maxAttemptsOf(que),
	}}
	own.enqueue(sub)
	return sub, nil, nil
}

// openTasks returns the number of tasks of open jobs, also of those that are being stored. The caller holds the lock.
func (own *Owner) openTasks() int {
	open := own.sch.OpenTasks()
	for _, sub := range own.pending {
		open += poolscheduler.TaskCount(sub.job.Plan)
	}
	return open
}

// openTaskLimit returns the part of the pool in MaxOpenTasks, 0 for no limit. All pools may come to be owned by one entry, which
// has to restore what the others have accepted. The caller holds the lock.
func (own *Owner) openTaskLimit() int {
	pools := 1
	if own.table != nil {
		pools = max(1, len(own.table.Pools()))
	}
	return own.cfg.MaxOpenTasks / pools
}

// enqueue adds a submission to those that wait to be stored. The caller holds the lock.
func (own *Owner) enqueue(sub *submission) {
	own.pending[sub.job.Plan.ID] = sub
	own.queued = append(own.queued, sub)
	own.requestFlush()
}

// awaitStored returns the outcome of a submission.
func (own *Owner) awaitStored(ctx context.Context, sub *submission) error {
	select {
	case <-sub.resolved:
		return sub.err
	case <-ctx.Done():
		return fault.New(code.OutcomeUnknown, "job %s may be stored", sub.job.Plan.ID)
	case <-own.done:
	}
	select {
	case <-sub.resolved:
		return sub.err
	default:
		return fault.New(code.OutcomeUnknown, "job %s may be stored", sub.job.Plan.ID)
	}
}

// resolve sets the outcome of a submission and wakes the callers that wait for it.
// The caller holds the lock.
func (own *Owner) resolve(sub *submission, err error) {
	sub.err = err
	delete(own.pending, sub.job.Plan.ID)
	close(sub.resolved)
}

func (own *Owner) requestFlush() {
	select {
	case own.flushRequested <- struct{}{}:
	default:
	}
}

// addressOf returns the address of a queue by its name, or "" if it is not configured. The
// caller holds the lock.
func (own *Owner) addressOf(name string) string {
	if own.table == nil {
		return ""
	}
	que, _ := own.table.ByName(name)
	return que.Address()
}

// maxAttemptsOf returns how often a task of the queue may fail, or 0 if that is not known. The caller
// holds the lock.
func (own *Owner) maxAttemptsOf(ref queue.Ref) int {
	if own.table == nil {
		return 0
	}
	que, _ := own.table.Find(ref)
	return que.MaxAttempts
}

// isRoutedByOldConfig reports whether the queue has, or has had, another pool by a later
// configuration than the sender's. That pool may have accepted jobs which the sender does not know
// of, so nothing follows from what this one lacks. The caller holds the lock.
func (own *Owner) isRoutedByOldConfig(ref queue.Ref) bool {
	if own.table == nil {
		return false
	}
	que, ok := own.table.Find(ref)
	return ok && que.IsRerouted(ref)
}

// newStaleRoute returns the refusal of a request that was routed by an old configuration.
func newStaleRoute(ref queue.Ref) error {
	return fault.New(code.StaleRoute, "the queue %s has been rerouted by a later version than %d", ref.Name, ref.Version)
}

// lacksOrganisation reports whether the queue needs a key by a configuration that the sender may have read
// too, but the sender names no organisation: it runs an earlier version of the program, which checks no keys.
// The caller holds the lock.
func (own *Owner) lacksOrganisation(ref queue.Ref) bool {
	if own.table == nil || ref.Organisation != "" {
		return false
	}
	que, ok := own.table.Find(ref)
	return ok && que.NeedsKey
}

// isOfOtherQueue reports whether the job was submitted to another queue, or by another organisation. Jobs of a queue that
// is no longer configured belong to all queues, as it may have a new name, and entries of
// earlier versions ask without a queue. The caller holds the lock.
func (own *Owner) isOfOtherQueue(id string, ref queue.Ref) bool {
	jobRef, ok := own.sch.Queue(id)
	if hnd, isLeaving := own.handovers[id]; isLeaving {
		jobRef, ok = hnd.record.Job.Ref(), true
	}
	if sub, isPending := own.pending[id]; isPending {
		jobRef, ok = sub.job.Ref(), true
	}
	if ok && !ref.MayShow(jobRef) {
		return true
	}
	if !ok || jobRef.IsSame(ref) || ref.Name == "" || own.table == nil {
		return false
	}
	_, isConfigured := own.table.ByName(jobRef.Name)
	return isConfigured
}

func newUnknownJob(queue, id string) error {
	return fault.New(code.UnknownJob, "the queue %s has no job %s", queue, id)
}

// State returns the stored state of a job, Queued for a submission that is still
// being stored. It reports false when the owner knows neither, and fails with code
// UnknownJob if another queue has the job. A job that is not known to it may be in another pool if the
// request was routed by an old configuration; then it fails with code StaleRoute.
func (own *Owner) State(que queue.Ref, id string) (ste jobrecord.State, ok bool, err error) {
	own.mu.Lock()
	defer own.unlock()
	if own.isEnding() {
		return 0, false, fault.New(code.NotReady, "the pool changes its owner")
	}
	if own.isOfOtherQueue(id, que) {
		return 0, false, newUnknownJob(que.Name, id)
	}
	if _, isPending := own.pending[id]; isPending {
		return jobrecord.Queued, true, nil
	}
	if hnd, isLeaving := own.handovers[id]; isLeaving {
		return hnd.record.Progress.State, true, nil
	}
	if ste, ok = own.sch.State(id); !ok && own.isRoutedByOldConfig(que) {
		return 0, false, newStaleRoute(que)
	}
	return ste, ok, nil
}

// Cancel cancels a job and returns when that is stored. It reports false when there
// is no such job, and fails with the codes UnknownJob and StaleRoute as State does.
func (own *Owner) Cancel(ctx context.Context, now time.Time, que queue.Ref, id string) (found bool, err error) {
	sub, stored, found, err := own.startCancel(now, que, id, true)
	if sub != nil {
		select {
		case <-sub.resolved:
		case <-ctx.Done():
			return true, fault.New(code.OutcomeUnknown, "job %s is being stored", id)
		}
		_, stored, found, err = own.startCancel(now, que, id, false)
	}
	if !found || err != nil {
		return found, err
	}
	select {
	case <-stored:
		return true, nil
	case <-ctx.Done():
	case <-own.done:
	}
	return true, fault.New(code.OutcomeUnknown, "cancellation of job %s may be stored", id)
}

// startCancel cancels a job, and returns a channel that is closed when that is stored. With isFirst, it cancels nothing if the
// job's submission is pending, which it returns then.
func (own *Owner) startCancel(now time.Time, que queue.Ref, id string, isFirst bool) (pending *submission, stored chan struct{}, found bool, err error) {
	own.mu.Lock()
	defer own.unlock()
	if isFirst {
		if own.isEnding() {
			return nil, nil, false, fault.New(code.NotReady, "the pool changes its owner")
		}
		if own.isOfOtherQueue(id, que) {
			return nil, nil, false, newUnknownJob(que.Name, id)
		}
		if hnd, isLeaving := own.handovers[id]; isLeaving {
			return nil, nil, true, fault.New(code.NotReady, "job %s goes to the pool %s", id, hnd.record.To)
		}
		if sub, isPending := own.pending[id]; isPending {
			return sub, nil, false, nil
		}
	}
	if !own.sch.Cancel(now, id) {
		if own.isRoutedByOldConfig(que) {
			return nil, nil, false, newStaleRoute(que)
		}
		return nil, nil, false, nil
	}
	stored = make(chan struct{})
	own.waiters = append(own.waiters, stored)
	own.requestFlush()
	own.requestPlan()
	return nil, stored, true, nil
}
