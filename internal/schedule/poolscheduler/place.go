package poolscheduler

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/schedule/estimate"
	"daisywheel/internal/schedule/fit"
	"daisywheel/internal/schedule/rank"
)

// Plan returns the orders to send now, and records them as sent.
func (sch *Scheduler) Plan(now time.Time) []Order {
	sch.updateUsableVMs(now)
	sch.planEvacuations(now)
	sch.planYields(now)
	orders := sch.planStops(now, nil)
	sch.checkReconciled(now)
	sch.updateUnknownUsage()
	clear(sch.cappedOrgs)
	unp := unplaceable{}
	steps := sch.waitingSteps(now)
	sch.updateZoneLoads(steps)
	for _, sst := range steps {
		if !unp.rulesOut(sst) {
			orders = sch.placeStep(now, sst, unp, orders)
		}
	}
	sch.updateCappedWork(steps)
	return sch.planPaces(orders)
}

// updateUsableVMs finds the VMs that may take tasks now.
func (sch *Scheduler) updateUsableVMs(now time.Time) {
	sch.usableVMs = sch.usableVMs[:0]
	staleBefore := now.Add(-reportStaleAfter)
	for _, vst := range sch.sortedVMs() {
		if vst.isUsable(now) && !vst.lastReportAt.Before(staleBefore) && !now.Before(vst.backoffUntil) {
			sch.usableVMs = append(sch.usableVMs, vst)
		}
	}
}

func (sch *Scheduler) planStops(now time.Time, orders []Order) []Order {
	for tst := range sch.stoppingTasks {
		switch {
		case tst.phase != stopping || tst.vm == nil:
			delete(sch.stoppingTasks, tst)
		case tst.vm.hasReported && tst.stopAckedAt.IsZero() && now.Sub(tst.stopSentAt) >= stopRetryDelay:
			tst.stopSentAt = now
			orders = append(orders, Order{Kind: StopTask, Target: sch.target(tst.vm), Task: tst.id, Run: tst.run})
		}
	}
	for _, vst := range sch.sortedVMs() {
		if !vst.hasReported || len(vst.unwantedRuns) == 0 {
			continue
		}
		for key, pst := range vst.unwantedRuns {
			if pst.ackedAt.IsZero() && now.Sub(pst.sentAt) >= stopRetryDelay {
				pst.sentAt = now
				orders = append(orders, Order{Kind: StopTask, Target: sch.target(vst), Task: key.task, Run: key.run})
			}
		}
	}
	return orders
}

func (sch *Scheduler) rankCandidate(sst *stepState) rank.Candidate {
	que := sch.queueOf(sst.job.queue)
	total, remaining := sch.expectedTimes(sst.job, sst.occurrence)
	since := sst.job.waitStart(sst.occurrence)
	deadline := deadlineOf(que, since, total)
	return rank.Candidate{
		Priority: que.Priority, Deadline: deadline, Remaining: remaining, Slack: deadline.Sub(since) - total,
		IsLongRunning: sst.plan.IsLongRunning, IsBackground: sst.plan.IsBackground,
		Submitted: sst.job.waitingSince, HasStarted: sst.job.hasBegun || sst.job.placedTasks > 0,
	}
}

// RestoreRuntimes adds what earlier owners have learned of the run times of the queue at the address. It reports false
// if the configuration no longer has the queue.
func (sch *Scheduler) RestoreRuntimes(address string, mdl *estimate.Model) bool {
	que, ok := sch.table.At(address)
	if ok {
		sch.runtimeModel(que.Name).Precede(mdl)
	}
	return ok
}

// Runtimes returns what is known of the run times of queues, by address.
func (sch *Scheduler) Runtimes() map[string]estimate.State {
	states := map[string]estimate.State{}
	for name, mdl := range sch.runtimeModels {
		if que, ok := sch.findQueue(queue.Ref{Name: name}); ok {
			states[que.Address()] = mdl.State()
		}
	}
	return states
}

// runtimeModel returns the model of the run times of a queue's steps.
func (sch *Scheduler) runtimeModel(queue string) *estimate.Model {
	mdl, ok := sch.runtimeModels[queue]
	if !ok {
		mdl = &estimate.Model{}
		sch.runtimeModels[queue] = mdl
	}
	return mdl
}

type rankedStep struct {
	key  rank.Key
	step *stepState
}

// waitingSteps returns the open steps with waiting tasks, ordered by package rank. It
// leaves out jobs that are not reconciled.
func (sch *Scheduler) waitingSteps(now time.Time) []*stepState {
	list := make([]rankedStep, 0, len(sch.openSteps))
	for sst := range sch.openSteps {
		if sst.waitingCount == 0 || !sch.isReconciled(sst.job) {
			continue
		}
		sst.isCapped = false
		list = append(list, rankedStep{key: rank.KeyOf(now, sch.rankCandidate(sst)), step: sst})
	}
	byKey := func(one, two rankedStep) int { return rank.Compare(one.key, two.key) }
	slices.SortFunc(list, byKey)
	if sch.orderByShare(list) {
		slices.SortStableFunc(list, byKey)
	}
	steps := make([]*stepState, len(list))
	for i := range list {
		steps[i] = list[i].step
	}
	return steps
}

func (sch *Scheduler) placeStep(now time.Time, sst *stepState, unp unplaceable, orders []Order) []Order {
	sst.isStarved, sst.isCapped = false, false
	if sst.plan.IsGang {
		return sch.placeGang(now, sst, orders)
	}
	for i := range sst.tasks {
		tst := &sst.tasks[i]
		if tst.phase != waiting || tst.unwantedRunCount > 0 || now.Before(tst.pausedUntil) {
			continue
		}
		if !sch.isAllowed(sst, 1) {
			break
		}
		vst := sch.chooseVM(sst, tst)
		if vst == nil {
			sch.handleNoCapacity(sst, tst, unp)
			break // the other tasks of the step need as much
		}
		orders = append(orders, sch.startTask(now, vst, tst, sch.nextRun(tst)))
	}
	return orders
}

// placeGang starts all tasks of the step or none.
func (sch *Scheduler) placeGang(now time.Time, sst *stepState, orders []Order) []Order {
	if sst.waitingCount < len(sst.tasks) {
		return orders // members of the last run have not ended yet
	}
	run := sch.cfg.RunNumberBase
	for i := range sst.tasks {
		if sst.tasks[i].unwantedRunCount > 0 || now.Before(sst.tasks[i].pausedUntil) {
			return orders
		}
		run = max(run, sst.tasks[i].run)
	}
	if !sch.isAllowed(sst, len(sst.tasks)) {
		return orders
	}
	picks := sch.reserveGang(sst)
	if picks == nil {
		return orders
	}
	for i := range sst.tasks {
		sst.tasks[i].checkpoint = sst.tasks[0].checkpoint // all members resume from the same point
		orders = append(orders, sch.startTask(now, picks[i], &sst.tasks[i], run+1))
	}
	return orders
}

// reserveGang returns a VM for each task of the step, or nil when not all fit. The
// tasks are added to the VMs only while it searches.
func (sch *Scheduler) reserveGang(sst *stepState) []*vmState {
	picks := make([]*vmState, 0, len(sst.tasks))
	for i := range sst.tasks {
		vst := sch.chooseVM(sst, &sst.tasks[i])
		if vst == nil {
			break
		}
		vst.addTask(&sst.tasks[i])
		picks = append(picks, vst)
	}
	for i, vst := range picks {
		vst.removeTask(&sst.tasks[i])
	}
	if len(picks) < len(sst.tasks) {
		return nil
	}
	return picks
}

func (sch *Scheduler) nextRun(tst *taskState) int { return max(tst.run, sch.cfg.RunNumberBase) + 1 }

// chooseVM returns the best VM for the task in the zones where its job may run, or nil.
func (sch *Scheduler) chooseVM(sst *stepState, tst *taskState) *vmState {
	return sch.cheapestVM(sst, tst, sst.job.mayRunIn)
}

// cheapestVM returns the VM with the lowest placement cost for the task in the allowed
// zones, or nil.
func (sch *Scheduler) cheapestVM(sst *stepState, tst *taskState, isZoneAllowed func(zone string) bool) *vmState {
	var best *vmState
	var bestCost float64
	need := countedDemand(sst.plan)
	for _, vst := range sch.usableVMs {
		if !need.Fits(vst.freeCapacity()) || !isZoneAllowed(vst.host.Zone) || !vst.meetsConstraints(sst) {
			continue
		}
		cost := fit.Score(sst.plan, fit.Candidate{
			Free: vst.freeCapacity(), Capacity: vst.host.Capacity, IsNear: vst.host.Has(sst.plan.Rack),
			IsAvoided: tst.avoidVM == vst.host.ID, LatencyBound: vst.latencyBoundTasks, Background: vst.backgroundTasks, SameStep: vst.tasksPerStep[sst], InWave: vst.isMaintenanceDue,
		})
		if best == nil || cost < bestCost {
			best, bestCost = vst, cost
		}
	}
	return best
}

// isUsable reports whether the VM may take tasks, apart from its backoff and the age of
// its last report.
func (vst *vmState) isUsable(now time.Time) bool {
	return vst.hasReported && vst.isKindKnown() && vst.isStored && vst.isPresent(now) && !vst.isUnresponsive && !vst.isLate && !vst.isEvacuating &&
		!vst.host.IsDraining && len(vst.unwantedRuns) == 0 && !vst.hasUnreadableRuns()
}

// isKindKnown reports whether the labels and the capacity are those of the VM's incarnation. A
// restart may change them, and a report does not tell them.
func (vst *vmState) isKindKnown() bool {
	return vst.kindIncarnation == 0 || vst.kindIncarnation == vst.incarnation
}

// meetsConstraints reports whether the step's label and limit of tasks per VM allow one
// more of its tasks on the VM.
func (vst *vmState) meetsConstraints(sst *stepState) bool {
	return vst.host.Has(sst.plan.Label) && (sst.plan.MaxPerVM == 0 || vst.tasksPerStep[sst] < sst.plan.MaxPerVM)
}

// reportStaleAfter is the age of the last report above which a VM gets no new tasks: a
// poll of 2 s and one retry.
const reportStaleAfter = 3500 * time.Millisecond

func (sch *Scheduler) startTask(now time.Time, vst *vmState, tst *taskState, run int) Order {
	tst.run, tst.phase, tst.startSentAt, tst.startAnsweredAt, tst.isStartUnknown, tst.isAdopted = run, starting, now, time.Time{}, false, false
	tst.incarnation, tst.isIncarnationUnknown = 0, false
	tst.isResumed = tst.checkpoint != ""
	tst.step.waitingCount--
	tst.step.lastStartAt = now
	vst.addTask(tst)
	jst := tst.step.job
	if !jst.isOrderLogged {
		jst.isOrderLogged = true
		sch.cfg.Event(now, "jobOrdered", slog.String("job", jst.plan.ID), slog.String("vm", vst.host.ID),
			slog.Duration("waited", now.Sub(jst.waitingSince)))
	}
	return Order{Kind: StartTask, Target: sch.target(vst), Task: tst.id, Run: run, Start: agent.Start{
		Task: tst.id, Run: run, Spec: jst.plan.Spec, Incarnation: vst.incarnation, Until: sch.extendLease(now, vst), Checkpoint: tst.checkpoint,
	}}
}

// HandleStartOutcome handles the outcome of a start order.
func (sch *Scheduler) HandleStartOutcome(now time.Time, ord Order, out agent.Outcome) {
	sch.noteAnswer(ord.Target.VM, out)
	tst := sch.findTask(ord.Task)
	if tst != nil && out == agent.Done {
		sch.markBegun(now, tst, ord.Target.VM)
	}
	if tst == nil || tst.vm == nil || tst.vm.host.ID != ord.Target.VM || tst.run != ord.Run || tst.phase == done {
		return
	}
	vst := tst.vm
	tst.startAnsweredAt = now
	switch out {
	case agent.Done:
		if tst.phase == starting {
			tst.phase = running
		}
		tst.isStartUnknown, tst.refusals = false, 0
		return
	case agent.Unknown:
		tst.isStartUnknown = true
		return
	case agent.Stale:
		// The VM has had a run of the task that this owner does not know of. Its next report
		// shows that run, or else the task starts again, elsewhere if possible.
		tst.isStartUnknown, tst.avoidVM = true, vst.host.ID
		sch.cfg.Event(now, "startStale", slog.String("task", tst.id.String()), slog.String("vm", vst.host.ID), slog.Int("run", ord.Run))
		return
	case agent.Unreachable:
		vst.isUnresponsive = true
	case agent.Unhealthy:
		vst.backoffUntil = now.Add(unhealthyBackoff)
	case agent.WrongIncarnation:
		vst.hasReported = false
	}
	tst.refusals++
	tst.pausedUntil = now.Add(refusalPause(tst.refusals))
	sch.cfg.Event(now, "startRefused", slog.String("task", tst.id.String()), slog.String("vm", vst.host.ID),
		slog.Int("run", ord.Run), slog.Int("outcome", int(out)))
	sch.requeueTask(tst)
}

const (
	minRefusalPause = 20 * time.Millisecond
	// maxRefusalPause keeps a task that is always refused within the run numbers of its term
	// for half an hour.
	maxRefusalPause = 2 * time.Second
)

// refusalPause returns how long a task waits after its start order was refused so many times in a
// row. Each order takes a run number, of which a term has 1,000. After the first refusal another
// VM may take the task at once.
func refusalPause(refusals int) time.Duration {
	if refusals <= 1 {
		return 0
	}
	return min(maxRefusalPause, minRefusalPause<<min(refusals-2, 10))
}

// noteAnswer revises a VM that has answered an order.
func (sch *Scheduler) noteAnswer(id string, out agent.Outcome) {
	vst, ok := sch.vms[id]
	if ok && out != agent.Unknown && out != agent.Unreachable && out != agent.WrongIncarnation {
		sch.revise(vst)
	}
}

// HandleStopOutcome handles the outcome of a stop order.
func (sch *Scheduler) HandleStopOutcome(now time.Time, ord Order, out agent.Outcome) {
	sch.noteAnswer(ord.Target.VM, out)
	vst := sch.vms[ord.Target.VM]
	if vst == nil || out != agent.Done {
		return
	}
	if pst := vst.unwantedRuns[runKey{ord.Task, ord.Run}]; pst != nil {
		pst.ackedAt = now
	}
	if tst := vst.tasks[ord.Task]; tst != nil && tst.run == ord.Run && tst.phase == stopping {
		tst.stopAckedAt = now
	}
}
