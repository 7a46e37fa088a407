package owner

import (
	"context"
	"time"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
)

// Submit returns when the job is stored. After a fault with code OutcomeUnknown it
// may be stored. A repeated submission of the same job has no effect.
func (own *Owner) Submit(ctx context.Context, now time.Time, pln *plan.Plan, queue string) error {
	own.mu.Lock()
	if own.isOfOtherQueue(pln.ID, queue) {
		own.mu.Unlock()
		return fault.New(code.KeyConflict, "another queue has a job %s", pln.ID)
	}
	if _, ok := own.sch.State(pln.ID); ok {
		own.mu.Unlock()
		return nil
	}
	sub, ok := own.pending[pln.ID]
	if !ok {
		if own.isEnding() {
			own.mu.Unlock()
			return fault.New(code.NotReady, "the pool changes its owner")
		}
		if own.isRetrying && now.Sub(own.stalledSince) > stallLimit {
			wait := own.refusals.Add(now, pln)
			own.mu.Unlock()
			return fault.NewRetryAfter(wait, code.LogUnavailable, "nothing can be stored since %s", now.Sub(own.stalledSince).Round(time.Millisecond))
		}
		sub = &submission{job: jobrecord.Job{Plan: pln, Queue: queue, FirstAttempt: own.refusals.Accept(now, pln.ID)}, resolved: make(chan struct{})}
		own.pending[pln.ID] = sub
		own.queued = append(own.queued, sub)
		own.requestFlush()
	}
	own.mu.Unlock()
	select {
	case <-sub.resolved:
		return sub.err
	case <-ctx.Done():
		return fault.New(code.OutcomeUnknown, "job %s may be stored", pln.ID)
	case <-own.done:
	}
	select {
	case <-sub.resolved:
		return sub.err
	default:
		return fault.New(code.OutcomeUnknown, "job %s may be stored", pln.ID)
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

// isOfOtherQueue reports whether the job was submitted to another queue. Jobs of a queue that
// is no longer configured belong to all queues, as it may have a new name, and entries of
// earlier versions ask without a queue. The caller holds the lock.
func (own *Owner) isOfOtherQueue(id, queue string) bool {
	name, ok := own.sch.Queue(id)
	if sub, isPending := own.pending[id]; isPending {
		name, ok = sub.job.Queue, true
	}
	if !ok || name == queue || queue == "" || own.table == nil {
		return false
	}
	_, isConfigured := own.table.ByName(name)
	return isConfigured
}

func newUnknownJob(queue, id string) error {
	return fault.New(code.UnknownJob, "the queue %s has no job %s", queue, id)
}

// State returns the stored state of a job, Queued for a submission that is still
// being stored. It reports false when the owner knows neither, and fails with code
// UnknownJob if another queue has the job.
func (own *Owner) State(queue, id string) (ste jobrecord.State, ok bool, err error) {
	own.mu.Lock()
	defer own.mu.Unlock()
	if own.isEnding() {
		return 0, false, fault.New(code.NotReady, "the pool changes its owner")
	}
	if own.isOfOtherQueue(id, queue) {
		return 0, false, newUnknownJob(queue, id)
	}
	if _, isPending := own.pending[id]; isPending {
		return jobrecord.Queued, true, nil
	}
	ste, ok = own.sch.State(id)
	return ste, ok, nil
}

// Cancel cancels a job and returns when that is stored. It reports false when there
// is no such job, and fails with code UnknownJob if another queue has it.
func (own *Owner) Cancel(ctx context.Context, now time.Time, queue, id string) (found bool, err error) {
	own.mu.Lock()
	if own.isEnding() {
		own.mu.Unlock()
		return false, fault.New(code.NotReady, "the pool changes its owner")
	}
	if own.isOfOtherQueue(id, queue) {
		own.mu.Unlock()
		return false, newUnknownJob(queue, id)
	}
	if sub, isPending := own.pending[id]; isPending {
		own.mu.Unlock()
		select {
		case <-sub.resolved:
		case <-ctx.Done():
			return true, fault.New(code.OutcomeUnknown, "job %s is being stored", id)
		}
		own.mu.Lock()
	}
	found = own.sch.Cancel(now, id)
	stored := make(chan struct{})
	if found {
		own.waiters = append(own.waiters, stored)
		own.requestFlush()
		own.requestPlan()
	}
	own.mu.Unlock()
	if !found {
		return false, nil
	}
	select {
	case <-stored:
		return true, nil
	case <-ctx.Done():
	case <-own.done:
	}
	return true, fault.New(code.OutcomeUnknown, "cancellation of job %s may be stored", id)
}
