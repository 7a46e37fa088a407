package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/cell"
	"daisywheel/internal/schedule/claim"
)

const (
	// planPause collects what arrives together before the next plan.
	planDelay = 2 * time.Millisecond
	// planShare of the time goes to planning at most: after a plan the owner waits
	// so many times as long as the plan took, and collects what has changed.
	planIdleFactor = 4
	// holdPause is the least time between two looks at a VM.
	minPollInterval = 40 * time.Millisecond
	// lookCost is what a look costs the owner's processor, from `make bench`, and
	// lookShare the part of the time that all looks may take: a pool of 350 VMs is
	// then looked at each 140 ms at most.
	pollCPUCost  = 100 * time.Microsecond
	pollCPUDivisor = 4
	// holdRetry is the pause after a look that failed.
	pollRetryDelay = 250 * time.Millisecond
	// confirmEach is the pause between looks at the claims. A silent VM's tasks wait
	// for the next one after their lease, so it is a small part of that.
	claimCheckInterval = time.Second
	// holdSlack is added to the wait before a look counts as unanswered: the usual
	// 2 ms, 250 times over.
	pollTimeoutSlack = 500 * time.Millisecond
)

// planLoop sends the cell's orders whenever something has changed.
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
		now := time.Now()
		own.mu.Lock()
		orders := own.cel.Plan(now)
		if own.cel.HasUrgent() {
			own.requestFlush()
		}
		own.mu.Unlock()
		wait = max(planDelay, planIdleFactor*time.Since(now))
		for _, ord := range orders {
			go own.sendOrder(ord)
		}
	}
}

// send carries one order to its VM and takes in the outcome.
func (own *Owner) sendOrder(ord cell.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	sent := time.Now()
	var out agent.Outcome
	var err error
	switch ord.Kind {
	case cell.StartTask:
		out, err = own.cfg.Agent.Start(ctx, ord.Target, ord.Start)
	case cell.StopTask:
		out, err = own.cfg.Agent.Stop(ctx, ord.Target, ord.Task, ord.Run)
	case cell.PaceTask:
		out, err = own.cfg.Agent.Pace(ctx, ord.Target, ord.Task, ord.Run, ord.Percent)
	}
	now := time.Now()
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
		own.loseOwnership(now, "a VM has seen a higher token")
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	switch ord.Kind {
	case cell.StartTask:
		own.cel.Started(now, ord, out)
	case cell.StopTask:
		own.cel.Stopped(now, ord, out)
	case cell.PaceTask:
		own.cel.Paced(ord, out)
	}
	if out != agent.Done {
		own.requestPlan()
	}
}

// tickLoop takes in the passage of time.
func (own *Owner) tickLoop() {
	tck := time.NewTicker(tickInterval)
	defer tck.Stop()
	for {
		select {
		case <-own.quit:
			return
		case <-tck.C:
		}
		now := time.Now()
		own.mu.Lock()
		own.cel.Lapse(now)
		if own.cel.HasChanges() {
			own.requestFlush()
		}
		own.requestPlan()
		own.mu.Unlock()
	}
}

// confirmLoop looks whether another owner has claimed the pool.
func (own *Owner) claimLoop() {
	for own.awaitClaimCheck() {
		sent := time.Now()
		holds, err := claim.Holds(context.Background(), own.cfg.Archive, own.cfg.Service, own.fencingToken)
		switch {
		case err != nil:
			continue // storeLoop and the membership log that the store is away
		case !holds:
			own.loseOwnership(time.Now(), "a later owner has claimed the pool")
			return
		}
		own.mu.Lock()
		own.cel.Confirm(sent)
		own.requestPlan()
		own.mu.Unlock()
	}
}

// awaitConfirm waits for the next look at the claims, which is at once when tasks
// wait for it. It reports false when the term ends.
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

// verifyIfUnsure asks for a look at the claims when tasks wait for it. The caller
// holds the lock.
func (own *Owner) requestClaimCheckIfUnconfirmed() {
	if !own.cel.IsUnsure() {
		return
	}
	select {
	case own.claimCheckRequested <- struct{}{}:
	default:
	}
}

// holdLoop renews the leases on a VM and takes in what it reports, until the
// cell forgets the VM.
func (own *Owner) pollLoop(id string) {
	isWell := true
	last := agent.Target{}
	for !own.isEnding() {
		now := time.Now()
		own.mu.Lock()
		tgt, hld, ok := own.cel.Hold(now, id)
		if !ok {
			delete(own.polled, id)
		}
		count := len(own.polled)
		own.mu.Unlock()
		if !ok {
			own.cfg.Agent.Drop(last.Address)
			return
		}
		last = tgt
		ended, err := own.poll(now, tgt, hld)
		if isWell != (err == nil) {
			isWell = err == nil
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

// lookPause returns the least time between two looks at one of so many VMs.
func pollInterval(vms int) time.Duration {
	return max(minPollInterval, time.Duration(vms)*pollCPUDivisor*pollCPUCost)
}

func (own *Owner) logPollChange(tgt agent.Target, err error) {
	if err == nil {
		own.event(time.Now(), "vmRegained", slog.String("vm", tgt.VM))
		return
	}
	own.cfg.Journal.Warn(time.Now(), "vmUnanswered", slog.String("vm", tgt.VM), slog.String("error", err.Error()))
}

func (own *Owner) poll(sent time.Time, tgt agent.Target, hld agent.Hold) (ended bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), hld.Wait+pollTimeoutSlack)
	defer cancel()
	rpt, out, err := own.cfg.Agent.Hold(ctx, tgt, hld)
	now := time.Now()
	switch out {
	case agent.Fenced:
		own.loseOwnership(now, "a VM has seen a higher token")
		return false, err
	case agent.Reborn:
		own.mu.Lock()
		own.cel.Replaced(now, tgt.VM)
		own.requestClaimCheckIfUnconfirmed()
		own.mu.Unlock()
	case agent.Unknown:
		own.cfg.Agent.Drop(tgt.Address)
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if err != nil {
		own.cel.Unanswered(tgt.VM)
		return false, errors.Wrap(err, "hold")
	}
	own.cel.Report(now, sent, tgt.VM, rpt)
	own.requestClaimCheckIfUnconfirmed()
	own.requestPlan()
	if own.cel.HasUrgent() {
		own.requestFlush()
	}
	return len(rpt.Ended) > 0, nil
}
