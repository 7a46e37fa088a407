package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/schedule/rank"
)

// Pool returns the VMs and the demand of the pool for package balance.
func (cel *Cell) Pool(now time.Time) balance.Pool {
	pol := balance.Pool{Name: cel.cfg.Name, Arrived: cel.arrived}
	for _, vst := range cel.sortedVMs() {
		vm := balance.VM{
			ID: vst.host.ID, MilliCores: vst.host.Capacity.MilliCores, Tasks: len(vst.tasks) + len(vst.unwantedRuns),
			Since: vst.firstReportAt, IsLeaving: vst.isEvacuating, IsSilent: vst.isUnresponsive,
			IsUsable: vst.hasReported && vst.isPresent(now) && !vst.host.IsDraining && now.Sub(vst.lastReportAt) <= reportStaleAfter,
		}
		if vst.lastEndStored < vst.lastEndSeen {
			vm.Tasks++ // the VM must not count as empty while ends that it reports are not stored
		}
		for _, tst := range vst.tasks {
			if tst.step.plan.IsLasting {
				vm.Lasting++
			}
		}
		pol.VMs = append(pol.VMs, vm)
	}
	missing := int64(0)
	for sst := range cel.openSteps {
		cel.addDemand(now, &pol, sst, len(sst.tasks)-sst.doneCount)
		if sst.isStarved && sst.plan.IsLasting {
			missing += int64(sst.waitingCount)
		}
	}
	if len(pol.VMs) > 0 {
		pol.Missing = missing * pol.VMs[0].MilliCores
	}
	return pol
}

func (cel *Cell) addDemand(now time.Time, pol *balance.Pool, sst *stepState, tasks int) {
	need := int64(tasks) * countedDemand(sst.plan).MilliCores
	if rank.BandOf(now, cel.rankClaim(sst)) < rank.Late {
		pol.Wanted += need
		return
	}
	pol.Late += need
}

// SetLeaving sets the VMs that are to be emptied. They get no new tasks, and their
// lasting tasks are stopped as far as the steps allow it, to start on other VMs.
func (cel *Cell) SetLeaving(now time.Time, leaving map[string]bool) {
	for id, vst := range cel.vms {
		if vst.isEvacuating != leaving[id] {
			vst.isEvacuating, vst.evacuatingSince, vst.isDelayLogged = leaving[id], now, false
			cel.cfg.Event(now, "vmLeaving", slog.String("vm", id), slog.Bool("leaving", vst.isEvacuating), slog.Int("tasks", len(vst.tasks)))
		}
	}
}

// SetDue sets the VMs that a maintenance wave will reach.
func (cel *Cell) SetDue(due map[string]bool) {
	for id, vst := range cel.vms {
		vst.isMaintenanceDue = due[id]
	}
}

// evacuatingVMs returns the VMs that are to be emptied, those that have waited longest
// first. Only few tasks of a step may be unavailable at once, so with another order a
// VM could be starved in a long wave by VMs that join later.
func (cel *Cell) evacuatingVMs() []*vmState {
	var list []*vmState
	for _, vst := range cel.sortedVMs() {
		if vst.isEvacuating {
			list = append(list, vst)
		}
	}
	slices.SortStableFunc(list, func(one, two *vmState) int { return one.evacuatingSince.Compare(two.evacuatingSince) })
	return list
}

// planEvacuations stops lasting tasks on VMs that are to be emptied.
func (cel *Cell) planEvacuations(now time.Time) {
	for _, vst := range cel.evacuatingVMs() {
		for _, tst := range vst.tasks {
			if tst.phase != running || !tst.step.plan.IsLasting {
				continue
			}
			if cel.isMovable(now, tst) {
				cel.stopTask(tst)
				continue
			}
			cel.logEvacuationDelay(now, tst)
		}
	}
}

// evacuationRoomWait is how long a lasting task on a VM that is to be emptied waits for
// room on another VM. A pool that has lent its VMs may have none for one more task of
// the step; then the task is stopped anyway, as the VM is back before callers notice.
const evacuationRoomWait = 2 * time.Second

// isMovable reports whether a lasting task on a VM that is to be emptied may be stopped
// now: the step stays within its limit of unavailable tasks, and another VM has room
// for the task or evacuationRoomWait has passed.
func (cel *Cell) isMovable(now time.Time, tst *taskState) bool {
	if tst.step.countUnavailable(tst) >= max(1, tst.step.plan.MaxAway) {
		return false
	}
	return now.Sub(tst.vm.evacuatingSince) > evacuationRoomWait || cel.chooseVM(tst.step, tst) != nil
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

// isAvailable reports whether the task is known to be at work. The last report of a VM
// that does not answer any more is no evidence of that.
func (tst *taskState) isAvailable() bool {
	return tst.phase == running && tst.percentDone >= fullPace && !tst.vm.isUnresponsive
}

// evacuationLogDelay is how long a VM may take to be emptied before the reason is logged.
const evacuationLogDelay = 5 * time.Second

// logEvacuationDelay logs once per evacuation why a lasting task stays on the VM.
func (cel *Cell) logEvacuationDelay(now time.Time, tst *taskState) {
	vst := tst.vm
	if vst.isDelayLogged || now.Sub(vst.evacuatingSince) < evacuationLogDelay {
		return
	}
	vst.isDelayLogged = true
	cel.cfg.Event(now, "vmHeldUp", slog.String("vm", vst.host.ID), slog.String("task", tst.id.String()),
		slog.Int("away", tst.step.countUnavailable(tst)), slog.Int("mayBeAway", tst.step.plan.MaxAway),
		slog.Int("waiting", tst.step.waitingCount), slog.Int("tasks", len(tst.step.tasks)))
}
