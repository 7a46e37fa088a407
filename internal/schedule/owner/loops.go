package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/poolscheduler"
)

const (
	// planDelay coalesces changes that arrive together into one plan.
	planDelay = 2 * time.Millisecond
	// planIdleFactor limits planning to a fifth of the time: after a plan the owner
	// waits this many times as long as the plan took, while changes accumulate.
	planIdleFactor = 4
	// minPollInterval is the minimum pause between two polls of a VM.
	minPollInterval = 40 * time.Millisecond
	// pollCPUCost is the owner's CPU time for one poll; see `make bench`.
	// All polls together may take 1/pollCPUDivisor of the time: in a pool of 350 VMs
	// each VM is polled at most once every 140 ms.
	pollCPUCost    = 100 * time.Microsecond
	pollCPUDivisor = 4
	// pollRetryDelay is the delay after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// claimCheckInterval is the interval between checks that no later owner has
	// claimed the pool. Tasks of an unresponsive VM wait for the first check after
	// their lease has expired, so the interval is a small fraction of the lease.
	claimCheckInterval = time.Second
	// pollTimeoutSlack is added to a poll's wait to get the timeout of its repetition:
	// 250 times the usual 2 ms of a call to a VM.
	pollTimeoutSlack = 500 * time.Millisecond
	// firstPollSlack is the same for the first attempt. An answer may be lost while the VM
	// is sound, and until the next one the owner does not know which tasks have ended.
	firstPollSlack = 120 * time.Millisecond
)

// planLoop plans after changes and sends the resulting orders.
func (own *Owner) planLoop() {
	wait := planDelay
	for {
		select {
		case <-own.quit:
			return
		case <-own.planRequested:
		}
		if !sleep(own.quit, wait) {
			return
		}
		now := own.cfg.Now()
		var orders []poolscheduler.Order
		var isReportDue, isQuotaDue bool
		own.locked(func() {
			orders = own.sch.Plan(now)
			if own.sch.HasUrgentChanges() {
				own.requestFlush()
			}
			isReportDue = own.sch.IsReportDue(now)
			_, isQuotaDue = own.sch.HasCappedWork()
		})
		if own.isEnding() {
			return
		}
		if isReportDue {
			own.cfg.RequestReport()
		}
		if isQuotaDue && own.cfg.RequestQuotaReport != nil {
			own.cfg.RequestQuotaReport()
		}
		wait = max(planDelay, planIdleFactor*time.Since(now))
		for _, ord := range orders {
			go own.guard(func() { own.sendOrder(ord) })
		}
	}
}

// sendOrder sends one order to its VM and passes the outcome to the pool scheduler.
func (own *Owner) sendOrder(ord poolscheduler.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	sent := own.cfg.Now()
	var out agent.Outcome
	var err error
	switch ord.Kind {
	case poolscheduler.StartTask:
		out, err = own.cfg.Agent.Start(ctx, ord.Target, ord.Start)
	case poolscheduler.StopTask:
		out, err = own.cfg.Agent.Stop(ctx, ord.Target, ord.Task, ord.Run)
	case poolscheduler.PaceTask:
		out, err = own.cfg.Agent.Pace(ctx, ord.Target, ord.Task, ord.Run, ord.Percent)
	}
	now := own.cfg.Now()
	own.orderTime.Update(now.Sub(sent).Seconds())
	if err != nil {
		own.cfg.Journal.Warn(now, "orderFailed", slog.String("task", ord.Task.String()), slog.Int("run", ord.Run),
			slog.Int("order", int(ord.Kind)), slog.String("vm", ord.Target.VM), slog.Int("outcome", int(out)),
			slog.Duration("after", now.Sub(sent)), slog.String("error", err.Error()))
	}
	if out == agent.Unknown {
		own.cfg.Agent.Drop(ord.Target.Address)
	}
	if out == agent.Fenced {
		own.loseOwnership(now, "a VM has seen a higher fencing token")
	}
	own.mu.Lock()
	defer own.unlock()
	switch ord.Kind {
	case poolscheduler.StartTask:
		own.sch.HandleStartOutcome(now, ord, out)
	case poolscheduler.StopTask:
		own.sch.HandleStopOutcome(now, ord, out)
	case poolscheduler.PaceTask:
		own.sch.HandlePaceOutcome(ord, out)
	}
	if out != agent.Done {
		own.requestPlan()
	}
}

// tickLoop periodically expires leases and triggers planning.
func (own *Owner) tickLoop() {
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	for {
		select {
		case <-own.quit:
			return
		case <-tck.C:
		}
		now := own.cfg.Now()
		own.locked(func() {
			own.sch.Tick(now)
			own.startHandovers(now)
			if own.sch.HasChanges() {
				own.requestFlush()
			}
			own.requestPlan()
		})
	}
}

// claimLoop checks whether another owner has claimed the pool.
func (own *Owner) claimLoop() {
	for own.awaitClaimCheck() {
		sent := own.cfg.Now()
		cnf := newConfirmation(sent, own.cfg.SinceBoot())
		isNewest, err := claim.IsNewest(context.Background(), own.cfg.StateLog, claim.Pool(own.cfg.Pool), own.fencingToken)
		if err == nil && !isNewest {
			own.loseOwnership(own.cfg.Now(), "a later owner has claimed the pool")
			return
		}
		own.locked(func() {
			own.endClaimCheck(own.cfg.Now(), cnf, err == nil)
			if err == nil { // appendLoop and the group membership log an outage
				own.sch.ConfirmOwnership(sent)
				own.requestPlan()
			}
		})
	}
}

// awaitClaimCheck waits until the next check of the claim is due or requested. It
// reports false when the term ends.
func (own *Owner) awaitClaimCheck() bool {
	tmr := time.NewTimer(claimCheckInterval)
	defer tmr.Stop()
	select {
	case <-own.quit:
		return false
	case <-own.claimCheckRequested:
	case <-tmr.C:
	}
	return true
}

// requestClaimCheckIfUnconfirmed requests an immediate check of the claim if tasks
// wait for one. The caller holds the lock.
func (own *Owner) requestClaimCheckIfUnconfirmed() {
	if own.sch.NeedsConfirmation() {
		own.requestClaimCheck()
	}
}

func (own *Owner) requestClaimCheck() {
	select {
	case own.claimCheckRequested <- struct{}{}:
	default:
	}
}

// pollLoop polls a VM until the pool scheduler drops it. A poll renews the leases of
// the VM's tasks and returns its report.
func (own *Owner) pollLoop(id string) {
	isAnswering := true
	last := agent.Target{}
	defer func() { own.cfg.Agent.Drop(last.Address) }()
	for !own.isEnding() {
		now := own.cfg.Now()
		var tgt agent.Target
		var req agent.Poll
		var ok bool
		var revision int64
		var count int
		own.locked(func() {
			tgt, req, ok = own.sch.NextPoll(now, id)
			revision = own.sch.Revision(id)
			if !ok {
				delete(own.polled, id)
			}
			count = len(own.polled)
		})
		if !ok || own.isEnding() {
			return
		}
		if last.Address != "" && last.Address != tgt.Address {
			own.cfg.Agent.Drop(last.Address)
		}
		last = tgt
		ended, err := own.poll(now, tgt, revision, req)
		if isAnswering != (err == nil) {
			isAnswering = err == nil
			own.logPollChange(tgt, err)
		}
		wait := pollInterval(count)
		if err != nil {
			wait = pollRetryDelay
		} else if !ended {
			wait = 0
		}
		if !sleep(own.quit, wait) {
			return
		}
	}
}

// pollInterval returns the minimum pause between two polls of one VM, given the
// number of VMs that are polled.
func pollInterval(vms int) time.Duration {
	return max(minPollInterval, time.Duration(vms)*pollCPUDivisor*pollCPUCost)
}

// logPollChange logs that a VM has stopped answering (err is not nil) or answers
// again.
func (own *Owner) logPollChange(tgt agent.Target, err error) {
	if err == nil {
		own.event(own.cfg.Now(), "vmRegained", slog.String("vm", tgt.VM))
		return
	}
	own.cfg.Journal.Warn(own.cfg.Now(), "vmUnanswered", slog.String("vm", tgt.VM), slog.String("error", err.Error()))
}

// callPoll sends a poll that times out the slack after the VM should have answered.
func (own *Owner) callPoll(tgt agent.Target, req agent.Poll, slack time.Duration) (agent.Report, agent.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), req.Wait+slack)
	defer cancel()
	return own.cfg.Agent.Poll(ctx, tgt, req)
}

// poll polls a VM of the given revision, a second time if the answer is lost, and passes the report
// to the pool scheduler. It reports whether runs have ended.
func (own *Owner) poll(sent time.Time, tgt agent.Target, revision int64, req agent.Poll) (ended bool, err error) {
	rpt, out, err := own.callPoll(tgt, req, firstPollSlack)
	if out == agent.Unknown && !own.isEnding() {
		own.locked(func() { own.sch.HandleLatePoll(own.cfg.Now(), tgt.VM) })
		sent, req.Wait = own.cfg.Now(), 0
		rpt, out, err = own.callPoll(tgt, req, pollTimeoutSlack)
	}
	now := own.cfg.Now()
	switch out {
	case agent.Fenced:
		own.loseOwnership(now, "a VM has seen a higher fencing token")
		return false, err
	case agent.WrongIncarnation:
		own.locked(func() {
			own.sch.EndIncarnation(now, tgt.VM, revision)
			own.requestClaimCheckIfUnconfirmed()
		})
	case agent.Unknown:
		own.cfg.Agent.Drop(tgt.Address)
	}
	own.mu.Lock()
	defer own.unlock()
	if err != nil {
		own.sch.HandlePollFailure(tgt.VM)
		return false, errors.Wrap(err, "poll VM")
	}
	own.sch.HandleReport(now, sent, tgt.VM, rpt)
	own.requestClaimCheckIfUnconfirmed()
	own.requestPlan()
	if own.sch.HasUrgentChanges() {
		own.requestFlush()
	}
	return len(rpt.Ended) > 0, nil
}
