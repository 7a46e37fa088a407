package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/schedule/rank"
)

// Pool returns what the balance of the fleet needs to know of the pool.
func (cel *Cell) Pool(now time.Time) balance.Pool {
	pol := balance.Pool{Name: cel.cfg.Name, Arrived: cel.arrived}
	for _, vst := range cel.sortedVMs() {
		vm := balance.VM{
			ID: vst.host.ID, MilliCores: vst.host.Capacity.MilliCores, Tasks: len(vst.tasks) + len(vst.unwantedRuns),
			Since: vst.firstReportAt, IsLeaving: vst.isEvacuating, IsSilent: vst.isUnresponsive,
			IsUsable: vst.hasReported && vst.isPresent(now) && !vst.host.IsDraining && now.Sub(vst.lastReportAt) <= reportStaleAfter,
		}
		if vst.lastEndStored < vst.lastEndSeen {
			vm.Tasks++ // ends that are not stored would be lost with the VM
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

// SetLeaving says which VMs are to be emptied. No new work goes there; lasting
// tasks are moved one at a time.
func (cel *Cell) SetLeaving(now time.Time, leaving map[string]bool) {
	for id, vst := range cel.vms {
		if vst.isEvacuating != leaving[id] {
			vst.isEvacuating, vst.evacuatingSince, vst.isDelayLogged = leaving[id], now, false
			cel.cfg.Event(now, "vmLeaving", slog.String("vm", id), slog.Bool("leaving", vst.isEvacuating), slog.Int("tasks", len(vst.tasks)))
		}
	}
}

// SetDue says which VMs a wave of maintenance will come to.
func (cel *Cell) SetDue(due map[string]bool) {
	for id, vst := range cel.vms {
		vst.isMaintenanceDue = due[id]
	}
}

// leaving returns the VMs that are to be emptied, the one that has waited longest
// first. Few tasks of a step may be away at once, and if VMs that are asked later
// went first, the others would wait for ever in a long wave.
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

// planLeaving stops lasting tasks on VMs that are to be emptied.
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

// roomWait is how long a lasting task on a VM that is to be emptied waits for room
// elsewhere. A pool that has lent its VMs may have none with room for one more of
// the step; the VM is back before callers notice that the task is away.
const evacuationRoomWait = 2 * time.Second

// isMovable reports whether a lasting task may be stopped now: not more of its
// step are away than the caller allows, and another VM has room for it or it has
// waited for that.
func (cel *Cell) isMovable(now time.Time, tst *taskState) bool {
	if tst.step.countUnavailable(tst) >= max(1, tst.step.plan.MaxAway) {
		return false
	}
	return now.Sub(tst.vm.evacuatingSince) > evacuationRoomWait || cel.chooseVM(tst.step, tst) != nil
}

// away returns how many other tasks of the stage are not known to be at work.
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

// isAtWork reports whether the task is known to be at work. What a VM said before it
// fell silent tells nothing of now.
func (tst *taskState) isAvailable() bool {
	return tst.phase == running && tst.percentDone >= fullPace && !tst.vm.isUnresponsive
}

// heldUpAfter is how long a VM may take to be emptied before a line tells why.
const evacuationLogDelay = 5 * time.Second

// noteHeldUp tells once why a lasting task stays on a VM that is to be emptied.
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
