package poolscheduler

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/schedule/rank"
)

// BalanceInput returns the VMs and the demand of the pool for package balance.
func (sch *Scheduler) BalanceInput(now time.Time) balance.Pool {
	pol := balance.Pool{Name: sch.cfg.Name, FencingToken: sch.cfg.FencingToken, Arrived: sch.arrived}
	sch.reported = sch.currentTrigger(now)
	for _, vst := range sch.sortedVMs() {
		vm := balance.VM{
			ID: vst.host.ID, MilliCores: vst.host.Capacity.MilliCores, Tasks: vst.occupancy(now),
			Since: vst.firstReportAt, IsEvacuating: vst.isEvacuating, IsUnresponsive: vst.isUnresponsive, Revision: vst.revision,
			IsUsable: vst.hasReported && vst.isPresent(now) && !vst.host.IsDraining && now.Sub(vst.lastReportAt) <= reportStaleAfter,
		}
		for _, tst := range vst.tasks {
			if tst.step.plan.IsLongRunning {
				vm.LongRunning++
			}
		}
		pol.VMs = append(pol.VMs, vm)
	}
	missingVMs := int64(0) // one for each waiting task
	limited := map[string]orgDemand{}
	for sst := range sch.openSteps {
		sch.addDemand(now, &pol, limited, sst, len(sst.tasks)-sst.doneCount)
		if sst.isStarved && sst.plan.IsLongRunning {
			missingVMs += int64(sst.waitingCount)
		}
	}
	sch.addOrgDemands(&pol, limited)
	if len(pol.VMs) > 0 {
		pol.LongRunningDeficit = missingVMs * pol.VMs[0].MilliCores
	}
	sch.addRelease(now, &pol)
	return pol
}

// occupancy returns the number of tasks for which the VM is needed. Run ends that are not
// stored yet and tasks of an earlier owner that may run count too, as they would be lost
// with the VM.
func (vst *vmState) occupancy(now time.Time) int {
	count := len(vst.tasks) + len(vst.unwantedRuns) + vst.unreadableRuns
	if vst.lastEndStored < vst.lastEndSeen {
		count++
	}
	if vst.mayRunUnknownTasks(now) {
		count++
	}
	return count
}

// reportTrigger is what makes a report on the pool due before its regular time.
type reportTrigger struct {
	work         int64 // that has arrived in this term, in thousandths of a core times seconds
	evacuatedVMs int
}

func (sch *Scheduler) currentTrigger(now time.Time) reportTrigger {
	trg := reportTrigger{work: sch.arrived.Work}
	for _, vst := range sch.sortedVMs() {
		if vst.isEvacuating && vst.occupancy(now) == 0 {
			trg.evacuatedVMs++
		}
	}
	return trg
}

// IsReportDue reports whether the fleet controller should learn of a change at once: a
// second of work for a VM has arrived, as at the start of a burst, or a VM that is to be
// evacuated has become free.
func (sch *Scheduler) IsReportDue(now time.Time) bool {
	trg := sch.currentTrigger(now)
	vms := sch.sortedVMs()
	return trg.evacuatedVMs > sch.reported.evacuatedVMs ||
		len(vms) > 0 && trg.work-sch.reported.work >= vms[0].host.Capacity.MilliCores
}

// addDemand adds the demand of so many tasks of the step to that of the pool, or to what its organisation wants
// if that has a limit.
func (sch *Scheduler) addDemand(now time.Time, pol *balance.Pool, limited map[string]orgDemand, sst *stepState, tasks int) {
	need := countedDemand(sst.plan).Times(int64(tasks))
	isInTime := rank.BandOf(now, sch.rankCandidate(sst)) < rank.Late
	org := sst.job.queue.Organisation
	if _, hasCap := sch.book.Cap(org); hasCap {
		sum := limited[org]
		if isInTime {
			sum.need = sum.need.Plus(need)
		} else {
			sum.late = sum.late.Plus(need)
		}
		limited[org] = sum
		return
	}
	if isInTime {
		pol.Demand += need.MilliCores
		return
	}
	pol.LateDemand += need.MilliCores
}

// SetEvacuating sets the VMs that are to be evacuated. They get no new tasks, and their
// long-running tasks are stopped as far as the limits of their steps allow.
func (sch *Scheduler) SetEvacuating(now time.Time, evacuating map[string]bool) {
	sch.evacuating = evacuating
	for id, vst := range sch.vms {
		if vst.isEvacuating != evacuating[id] {
			vst.isEvacuating, vst.evacuatingSince, vst.isDelayLogged = evacuating[id], now, false
			sch.cfg.Event(now, "vmLeaving", slog.String("vm", id), slog.Bool("leaving", vst.isEvacuating), slog.Int("tasks", len(vst.tasks)))
		}
	}
}

// SetMaintenanceDue sets the VMs that a maintenance wave will reach.
func (sch *Scheduler) SetMaintenanceDue(due map[string]bool) {
	for id, vst := range sch.vms {
		vst.isMaintenanceDue = due[id]
	}
}

// evacuatingVMs returns the VMs that are to be evacuated, the one that has waited longest
// first. Only few tasks of a step may be unavailable at once, so in another order VMs
// that come later in a long wave could starve the others.
func (sch *Scheduler) evacuatingVMs() []*vmState {
	var list []*vmState
	for _, vst := range sch.sortedVMs() {
		if vst.isEvacuating {
			list = append(list, vst)
		}
	}
	slices.SortStableFunc(list, func(one, two *vmState) int { return one.evacuatingSince.Compare(two.evacuatingSince) })
	return list
}

// planEvacuations stops long-running tasks on VMs that are to be evacuated.
func (sch *Scheduler) planEvacuations(now time.Time) {
	for _, vst := range sch.evacuatingVMs() {
		for _, tst := range vst.tasks {
			if tst.phase != running || !tst.step.plan.IsLongRunning {
				continue
			}
			if sch.isMovable(now, tst) {
				sch.logMove(now, tst)
				sch.stopTask(tst)
				continue
			}
			sch.logEvacuationDelay(now, tst)
		}
	}
}

// evacuationCapacityWait is how long a long-running task on a VM that is to be evacuated
// waits for capacity on another VM. A pool that has lent its VMs may have none for one
// more task of the step. The task is then stopped anyway, as the VM returns before
// callers notice the missing task.
const evacuationCapacityWait = 2 * time.Second

// isMovable reports whether a long-running task on a VM that is to be evacuated may be
// stopped now: its step stays within the caller's limit of unavailable tasks, and
// another VM has capacity for the task or evacuationCapacityWait has passed.
func (sch *Scheduler) isMovable(now time.Time, tst *taskState) bool {
	if tst.step.countUnavailable(tst) >= max(1, tst.step.plan.MaxUnavailable) {
		return false
	}
	return now.Sub(tst.vm.evacuatingSince) > evacuationCapacityWait || sch.chooseVM(tst.step, tst) != nil
}

// countUnavailable returns how many other tasks of the step are not available.
func (sst *stepState) countUnavailable(except *taskState) int {
	count := 0
	for i := range sst.tasks {
		other := &sst.tasks[i]
		if other != except && !other.isAvailable() {
			count++
		}
	}
	return count
}

// stopGracePeriod is how long a run may still be reported as active after an earlier owner
// has stopped it: longer than a stop takes.
const stopGracePeriod = time.Second

// mayBeStopping reports whether an earlier owner may have stopped the task's run. Since the
// VM's first report to this owner it has refused the orders of earlier ones.
func (tst *taskState) mayBeStopping() bool {
	return tst.isAdopted && tst.vm.lastReportAt.Sub(tst.vm.heldAt) < stopGracePeriod
}

// isAvailable reports whether the task is known to be at work.
func (tst *taskState) isAvailable() bool { return tst.unavailability() == "" }

// unavailability returns why the task is not known to be at work, or "". The last report of a VM
// that does not answer any more is no evidence of that it is.
func (tst *taskState) unavailability() string {
	switch {
	case tst.phase != running:
		return tst.phase.String()
	case tst.mayBeStopping():
		return "mayBeStopping"
	case tst.percentDone < fullPercent:
		return "startingUp"
	case tst.vm.isUnresponsive:
		return "vmUnresponsive"
	case tst.vm.isLate:
		return "vmLate"
	}
	return ""
}

// maxLoggedTasks bounds the tasks that a log line names.
const maxLoggedTasks = 5

// logMove logs that a long-running task is stopped because its VM is to be evacuated, with what
// the owner knows of the step's other tasks.
func (sch *Scheduler) logMove(now time.Time, tst *taskState) {
	var away []string
	for i := range tst.step.tasks {
		other := &tst.step.tasks[i]
		if why := other.unavailability(); other != tst && why != "" && len(away) < maxLoggedTasks {
			away = append(away, other.id.String()+" "+why)
		}
	}
	sch.cfg.Event(now, "taskMoved", slog.String("task", tst.id.String()), slog.Int("run", tst.run), slog.String("vm", tst.vm.host.ID),
		slog.Duration("reported", now.Sub(tst.vm.lastReportAt)), slog.Bool("adopted", tst.isAdopted), slog.Int("mayBeAway", tst.step.plan.MaxUnavailable), slog.Any("away", away))
}

// evacuationLogDelay is how long an evacuation may take before its delay is logged.
const evacuationLogDelay = 5 * time.Second

// logEvacuationDelay logs once per evacuation why a long-running task stays on the VM.
func (sch *Scheduler) logEvacuationDelay(now time.Time, tst *taskState) {
	vst := tst.vm
	if vst.isDelayLogged || now.Sub(vst.evacuatingSince) < evacuationLogDelay {
		return
	}
	vst.isDelayLogged = true
	sch.cfg.Event(now, "vmHeldUp", slog.String("vm", vst.host.ID), slog.String("task", tst.id.String()),
		slog.Int("away", tst.step.countUnavailable(tst)), slog.Int("mayBeAway", tst.step.plan.MaxUnavailable),
		slog.Int("waiting", tst.step.waitingCount), slog.Int("tasks", len(tst.step.tasks)))
}
