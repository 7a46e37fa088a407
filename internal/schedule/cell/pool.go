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
	for _, mac := range cel.machines() {
		vm := balance.VM{
			ID: mac.host.ID, MilliCores: mac.host.Capacity.MilliCores, Tasks: len(mac.works) + len(mac.strays),
			Since: mac.firstHeard, IsLeaving: mac.isLeaving, IsSilent: mac.isSilent,
			IsUsable: mac.isHeld && mac.isPresent(now) && !mac.host.IsDraining && now.Sub(mac.heardAt) <= staleAfter,
		}
		if mac.acked < mac.seen {
			vm.Tasks++ // ends that are not stored would be lost with the VM
		}
		for _, wrk := range mac.works {
			if wrk.step.step.IsLasting {
				vm.Lasting++
			}
		}
		pol.VMs = append(pol.VMs, vm)
	}
	missing := int64(0)
	for stg := range cel.open {
		cel.addWanted(now, &pol, stg, len(stg.works)-stg.doneCount)
		if stg.isStarved && stg.step.IsLasting {
			missing += int64(stg.waitCount)
		}
	}
	if len(pol.VMs) > 0 {
		pol.Missing = missing * pol.VMs[0].MilliCores
	}
	return pol
}

func (cel *Cell) addWanted(now time.Time, pol *balance.Pool, stg *stage, tasks int) {
	need := int64(tasks) * counted(stg.step).MilliCores
	if rank.BandOf(now, cel.claim(stg)) < rank.Late {
		pol.Wanted += need
		return
	}
	pol.Late += need
}

// SetLeaving says which VMs are to be emptied. No new work goes there; lasting
// tasks are moved one at a time.
func (cel *Cell) SetLeaving(now time.Time, leaving map[string]bool) {
	for id, mac := range cel.vms {
		if mac.isLeaving != leaving[id] {
			mac.isLeaving, mac.leavingAt, mac.isHeldUp = leaving[id], now, false
			cel.cfg.Event(now, "vmLeaving", slog.String("vm", id), slog.Bool("leaving", mac.isLeaving), slog.Int("tasks", len(mac.works)))
		}
	}
}

// SetDue says which VMs a wave of maintenance will come to.
func (cel *Cell) SetDue(due map[string]bool) {
	for id, mac := range cel.vms {
		mac.isDue = due[id]
	}
}

// leaving returns the VMs that are to be emptied, the one that has waited longest
// first. Few tasks of a step may be away at once, and if VMs that are asked later
// went first, the others would wait for ever in a long wave.
func (cel *Cell) leaving() []*machine {
	var list []*machine
	for _, mac := range cel.machines() {
		if mac.isLeaving {
			list = append(list, mac)
		}
	}
	slices.SortStableFunc(list, func(one, two *machine) int { return one.leavingAt.Compare(two.leavingAt) })
	return list
}

// planLeaving stops lasting tasks on VMs that are to be emptied.
func (cel *Cell) planLeaving(now time.Time) {
	for _, mac := range cel.leaving() {
		for _, wrk := range mac.works {
			if wrk.phase != running || !wrk.step.step.IsLasting {
				continue
			}
			if cel.isMovable(now, wrk) {
				cel.stop(wrk)
				continue
			}
			cel.noteHeldUp(now, wrk)
		}
	}
}

// roomWait is how long a lasting task on a VM that is to be emptied waits for room
// elsewhere. A pool that has lent its VMs may have none with room for one more of
// the step; the VM is back before callers notice that the task is away.
const roomWait = 2 * time.Second

// isMovable reports whether a lasting task may be stopped now: not more of its
// step are away than the caller allows, and another VM has room for it or it has
// waited for that.
func (cel *Cell) isMovable(now time.Time, wrk *work) bool {
	if wrk.step.away(wrk) >= max(1, wrk.step.step.MaxAway) {
		return false
	}
	return now.Sub(wrk.vm.leavingAt) > roomWait || cel.choose(wrk.step, wrk) != nil
}

// away returns how many other tasks of the stage are not known to be at work.
func (stg *stage) away(but *work) int {
	count := 0
	for i := range stg.works {
		other := &stg.works[i]
		if other != but && !other.isAtWork() {
			count++
		}
	}
	return count
}

// isAtWork reports whether the task is known to be at work. What a VM said before it
// fell silent tells nothing of now.
func (wrk *work) isAtWork() bool {
	return wrk.phase == running && wrk.percent >= fullPace && !wrk.vm.isSilent
}

// heldUpAfter is how long a VM may take to be emptied before a line tells why.
const heldUpAfter = 5 * time.Second

// noteHeldUp tells once why a lasting task stays on a VM that is to be emptied.
func (cel *Cell) noteHeldUp(now time.Time, wrk *work) {
	mac := wrk.vm
	if mac.isHeldUp || now.Sub(mac.leavingAt) < heldUpAfter {
		return
	}
	mac.isHeldUp = true
	cel.cfg.Event(now, "vmHeldUp", slog.String("vm", mac.host.ID), slog.String("task", wrk.id.String()),
		slog.Int("away", wrk.step.away(wrk)), slog.Int("mayBeAway", wrk.step.step.MaxAway),
		slog.Int("waiting", wrk.step.waitCount), slog.Int("tasks", len(wrk.step.works)))
}
