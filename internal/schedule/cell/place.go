package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/fit"
	"daisywheel/internal/schedule/rank"
	"daisywheel/internal/schedule/runtime"
)

// Plan returns the orders to send now, and records them as sent.
func (cel *Cell) Plan(now time.Time) []Order {
	cel.updateUsableVMs(now)
	cel.planEvacuations(now)
	orders := cel.planStops(now, nil)
	cel.checkReconciled(now)
	unp := unplaceable{}
	stages := cel.waitingSteps(now)
	cel.updateZoneLoads(stages)
	for _, sst := range stages {
		if !unp.rulesOut(sst) {
			orders = cel.placeStep(now, sst, unp, orders)
		}
	}
	return cel.planPaces(orders)
}

// updateUsableVMs finds the VMs that may take tasks now.
func (cel *Cell) updateUsableVMs(now time.Time) {
	cel.usableVMs = cel.usableVMs[:0]
	staleBefore := now.Add(-reportStaleAfter)
	for _, vst := range cel.sortedVMs() {
		if vst.isUsable(now) && !vst.lastReportAt.Before(staleBefore) && !now.Before(vst.backoffUntil) {
			cel.usableVMs = append(cel.usableVMs, vst)
		}
	}
}

func (cel *Cell) planStops(now time.Time, orders []Order) []Order {
	for tst := range cel.stoppingTasks {
		switch {
		case tst.phase != stopping || tst.vm == nil:
			delete(cel.stoppingTasks, tst)
		case tst.vm.hasReported && tst.stopAckedAt.IsZero() && now.Sub(tst.stopSentAt) >= stopRetryDelay:
			tst.stopSentAt = now
			orders = append(orders, Order{Kind: StopTask, Target: cel.target(tst.vm), Task: tst.id, Run: tst.run})
		}
	}
	for _, vst := range cel.sortedVMs() {
		if !vst.hasReported || len(vst.unwantedRuns) == 0 {
			continue
		}
		for key, pst := range vst.unwantedRuns {
			if pst.ackedAt.IsZero() && now.Sub(pst.sentAt) >= stopRetryDelay {
				pst.sentAt = now
				orders = append(orders, Order{Kind: StopTask, Target: cel.target(vst), Task: key.task, Run: key.run})
			}
		}
	}
	return orders
}

func (cel *Cell) rankClaim(sst *stepState) rank.Claim {
	que, _ := cel.queueOf(sst.job.queue)
	total, remaining := cel.expectedTimes(sst.job, sst.occurrence)
	return rank.Claim{
		Priority: que.Priority, Objective: objectiveOf(que, sst.job.waitStart(sst.occurrence), total), Remaining: remaining,
		IsLasting: sst.plan.IsLasting, IsHelper: sst.plan.IsBackground,
		Submitted: sst.job.waitingSince, HasBegun: sst.job.isBegun,
	}
}

// runtimeModel returns the model of the run times of a queue's steps.
func (cel *Cell) runtimeModel(queue string) *runtime.Model {
	mdl, ok := cel.runtimeModels[queue]
	if !ok {
		mdl = &runtime.Model{}
		cel.runtimeModels[queue] = mdl
	}
	return mdl
}

type rankedStep struct {
	key  rank.Key
	step *stepState
}

// waitingSteps returns the open steps with waiting tasks, ranked by package rank. It
// leaves out jobs whose tasks of earlier terms may still run unknown to this owner.
func (cel *Cell) waitingSteps(now time.Time) []*stepState {
	list := make([]rankedStep, 0, len(cel.openSteps))
	for sst := range cel.openSteps {
		if sst.waitingCount == 0 || !cel.isReconciled(sst.job) {
			continue
		}
		list = append(list, rankedStep{key: rank.KeyOf(now, cel.rankClaim(sst)), step: sst})
	}
	slices.SortFunc(list, func(one, two rankedStep) int { return rank.Compare(one.key, two.key) })
	stages := make([]*stepState, len(list))
	for i := range list {
		stages[i] = list[i].step
	}
	return stages
}

func (cel *Cell) placeStep(now time.Time, sst *stepState, unp unplaceable, orders []Order) []Order {
	if !cel.isQueueAssigned(sst) {
		return orders
	}
	sst.isStarved = false
	if sst.plan.IsGang {
		return cel.placeGang(now, sst, orders)
	}
	for i := range sst.tasks {
		tst := &sst.tasks[i]
		if tst.phase != waiting || tst.unwantedRuns > 0 {
			continue
		}
		vst := cel.chooseVM(sst, tst)
		if vst == nil {
			cel.handleNoRoom(sst, tst, unp)
			break // the other tasks of the step need as much
		}
		orders = append(orders, cel.startTask(now, vst, tst, cel.nextRun(tst)))
	}
	return orders
}

// isQueueAssigned reports whether the configuration in force still assigns the step's
// queue to this pool. It is true for a queue that is no longer configured.
func (cel *Cell) isQueueAssigned(sst *stepState) bool {
	que, ok := cel.queueOf(sst.job.queue)
	return !ok || que.Service == cel.cfg.Name
}

// placeGang starts all tasks of the step or none.
func (cel *Cell) placeGang(now time.Time, sst *stepState, orders []Order) []Order {
	if sst.waitingCount < len(sst.tasks) {
		return orders // members of the last run have not ended yet
	}
	run := cel.cfg.RunBase
	for i := range sst.tasks {
		if sst.tasks[i].unwantedRuns > 0 {
			return orders
		}
		run = max(run, sst.tasks[i].run)
	}
	picks := cel.reserveGang(sst)
	if picks == nil {
		return orders
	}
	for i := range sst.tasks {
		sst.tasks[i].checkpoint = sst.tasks[0].checkpoint // all members resume from the same point
		orders = append(orders, cel.startTask(now, picks[i], &sst.tasks[i], run+1))
	}
	return orders
}

// reserveGang returns a VM for each task of the step, or nil when not all fit. It keeps
// nothing reserved.
func (cel *Cell) reserveGang(sst *stepState) []*vmState {
	picks := make([]*vmState, 0, len(sst.tasks))
	for i := range sst.tasks {
		vst := cel.chooseVM(sst, &sst.tasks[i])
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

func (cel *Cell) nextRun(tst *taskState) int { return max(tst.run, cel.cfg.RunBase) + 1 }

// chooseVM returns the best VM for the task in the zones where its job may run, or nil.
func (cel *Cell) chooseVM(sst *stepState, tst *taskState) *vmState {
	return cel.cheapestVM(sst, tst, sst.job.mayRunIn)
}

// cheapestVM returns the VM with the lowest placement cost for the task in the allowed
// zones, or nil.
func (cel *Cell) cheapestVM(sst *stepState, tst *taskState, isZoneAllowed func(zone string) bool) *vmState {
	var best *vmState
	var bestCost float64
	need := countedDemand(sst.plan)
	for _, vst := range cel.usableVMs {
		if !need.Fits(vst.freeCapacity()) || !isZoneAllowed(vst.host.Zone) || !vst.meetsConstraints(sst) {
			continue
		}
		cost := fit.Score(sst.plan, fit.Candidate{
			Room: vst.freeCapacity(), Capacity: vst.host.Capacity, IsNear: vst.host.Has(sst.plan.Rack),
			IsAvoided: tst.avoidVM == vst.host.ID, Serving: vst.servingTasks, Helpers: vst.backgroundTasks, Same: vst.tasksPerStep[sst], IsDue: vst.isMaintenanceDue,
		})
		if best == nil || cost < bestCost {
			best, bestCost = vst, cost
		}
	}
	return best
}

// isUsable reports whether the VM may take tasks, apart from a backoff or a report that
// is too old.
func (vst *vmState) isUsable(now time.Time) bool {
	return vst.hasReported && vst.isStored && vst.isPresent(now) && !vst.isUnresponsive && !vst.isEvacuating &&
		!vst.host.IsDraining && len(vst.unwantedRuns) == 0
}

// meetsConstraints reports whether the step's label and limit of tasks per VM allow one
// more of its tasks on the VM.
func (vst *vmState) meetsConstraints(sst *stepState) bool {
	return vst.host.Has(sst.plan.Label) && (sst.plan.MaxPerVM == 0 || vst.tasksPerStep[sst] < sst.plan.MaxPerVM)
}

// reportStaleAfter is the age of the last report above which a VM gets no new tasks: a
// poll of 2 s and one retry.
const reportStaleAfter = 3500 * time.Millisecond

func (cel *Cell) startTask(now time.Time, vst *vmState, tst *taskState, run int) Order {
	tst.run, tst.phase, tst.startSentAt, tst.startAnsweredAt, tst.isStartUnknown = run, starting, now, time.Time{}, false
	tst.step.waitingCount--
	tst.step.lastStartAt = now
	vst.addTask(tst)
	jst := tst.step.job
	if !jst.isBegun {
		jst.isBegun = true
		cel.cfg.Event(now, "jobBegun", slog.String("job", jst.plan.ID), slog.String("vm", vst.host.ID),
			slog.Duration("waited", now.Sub(jst.waitingSince)))
	}
	return Order{Kind: StartTask, Target: cel.target(vst), Task: tst.id, Run: run, Start: agent.Start{
		Task: tst.id, Run: run, Spec: jst.plan.Spec, Until: cel.extendLease(now, vst), Checkpoint: tst.checkpoint,
	}}
}

// Started handles the outcome of a start order.
func (cel *Cell) Started(now time.Time, ord Order, out agent.Outcome) {
	tst := cel.findTask(ord.Task)
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
		tst.isStartUnknown = false
		return
	case agent.Unknown:
		tst.isStartUnknown = true
		return
	case agent.Unreached:
		vst.isUnresponsive = true
	case agent.Unwell:
		vst.backoffUntil = now.Add(unhealthyBackoff)
	case agent.Reborn:
		vst.hasReported = false
	}
	cel.cfg.Event(now, "startRefused", slog.String("task", tst.id.String()), slog.String("vm", vst.host.ID),
		slog.Int("run", ord.Run), slog.Int("outcome", int(out)))
	cel.requeueTask(tst)
}

// Stopped handles the outcome of a stop order.
func (cel *Cell) Stopped(now time.Time, ord Order, out agent.Outcome) {
	vst := cel.vms[ord.Target.VM]
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
