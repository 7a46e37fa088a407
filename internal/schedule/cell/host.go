package cell

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"daisywheel/internal/fleet/host"
)

// SetHosts takes in the VMs that the platform lists for the pool. A VM that is
// no longer listed is kept while it answers or while its tasks may run.
func (cel *Cell) SetHosts(now time.Time, hosts []host.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, hst := range hosts {
		listed[hst.ID] = true
		if incarnation, isEnded := cel.endedIncarnations[hst.ID]; isEnded && hst.Born <= incarnation {
			continue // its announcement has not been removed yet
		}
		delete(cel.endedIncarnations, hst.ID)
		cel.updateListedVM(now, hst)
	}
	for id := range cel.endedIncarnations {
		if !listed[id] {
			delete(cel.endedIncarnations, id)
		}
	}
	for id, vst := range cel.vms {
		if vst.isListed && !listed[id] {
			vst.isListed, vst.unlistedAt = false, now
			cel.cfg.Event(now, "vmUnlisted", slog.String("vm", id), slog.Int("tasks", len(vst.tasks)))
		}
	}
}

func (cel *Cell) updateListedVM(now time.Time, hst host.Host) {
	vst, ok := cel.vms[hst.ID]
	if !ok {
		vst = newVMState(hst)
		cel.addVM(vst)
		cel.requestVMRecord(vst)
		cel.cfg.Event(now, "vmListed", slog.String("vm", hst.ID), slog.String("zone", hst.Zone), slog.Int64("born", hst.Born))
	}
	if vst.host.IsDraining != hst.IsDraining {
		cel.cfg.Event(now, "vmDraining", slog.String("vm", hst.ID), slog.Bool("draining", hst.IsDraining))
	}
	if vst.isUnreconciled && hst.Born > vst.host.Born && vst.host.Born != 0 {
		vst.isUnreconciled = false // a new life holds nothing of before
	}
	hasNewAddress := vst.host.Address != hst.Address
	vst.host, vst.isListed = hst, true
	if hasNewAddress {
		cel.requestVMRecord(vst)
	}
	if hst.Born != 0 && vst.incarnation != 0 && hst.Born > vst.incarnation {
		cel.handleRestart(now, vst, hst.Born)
	}
}

func (cel *Cell) addVM(vst *vmState) {
	cel.vms[vst.host.ID] = vst
	cel.sorted = nil
}

// machines returns the VMs by id.
func (cel *Cell) sortedVMs() []*vmState {
	if cel.sorted == nil {
		cel.sorted = make([]*vmState, 0, len(cel.vms))
		for _, vst := range cel.vms {
			cel.sorted = append(cel.sorted, vst)
		}
		slices.SortFunc(cel.sorted, func(one, two *vmState) int { return strings.Compare(one.host.ID, two.host.ID) })
	}
	return cel.sorted
}

// record asks for the VM to be stored before it is used.
func (cel *Cell) requestVMRecord(vst *vmState) {
	vst.isStored = false
	cel.vmRecordsToWrite[vst.host.ID] = true
	delete(cel.vmRecordsToDelete, vst.host.ID)
}

// forget drops a VM on which nothing can run any more.
func (cel *Cell) dropVM(vst *vmState) {
	delete(cel.vms, vst.host.ID)
	cel.sorted = nil
	delete(cel.vmRecordsToWrite, vst.host.ID)
	cel.vmRecordsToDelete[vst.host.ID] = true
}

// relistWithin is how long a VM that the list has lost may take to be listed again.
// Announcements lapse while the store is away and are back within 2 s of its return.
const relistGrace = 2500 * time.Millisecond

// isPresent reports whether the VM is listed, or may be again soon. Whether it still
// lives is told by its answers, and orders name the life that they are for.
func (vst *vmState) isPresent(now time.Time) bool {
	return vst.isListed || !vst.unlistedAt.IsZero() && now.Sub(vst.unlistedAt) < relistGrace
}

// RestoreHost adds a VM that an earlier owner may have used.
func (cel *Cell) RestoreHost(now time.Time, hst host.Host) {
	vst := newVMState(hst)
	vst.isUnreconciled, vst.isStored = true, true
	vst.leaseEnd = now.Add(OwnerReach + leaseBound(cel.cfg.LeaseMax))
	cel.addVM(vst)
}

// reborn takes in that the VM has started anew: what ran there has ended. A
// start without an answer may still reach the new life, so it is stopped there.
func (cel *Cell) handleRestart(now time.Time, vst *vmState, incarnation int64) {
	cel.cfg.Event(now, "vmReborn", slog.String("vm", vst.host.ID), slog.Int64("born", incarnation), slog.Int("tasks", len(vst.tasks)))
	vst.incarnation, vst.hasReported, vst.isUnreconciled, vst.lastEndSeen, vst.lastEndStored = incarnation, false, false, 0, 0
	vst.dropUnwantedRuns()
	for _, tst := range vst.tasks {
		if tst.phase == starting || tst.isStartUnknown {
			cel.stopTask(tst)
			tst.stopAckedAt = time.Time{}
			continue
		}
		cel.markUnconfirmed(now, tst)
	}
}

// suspend takes in that the life of the task's VM has ended. An owner that was cut
// off may hear of it later than its successor, which may have seen the run end as
// done, so the task waits until this owner is confirmed.
func (cel *Cell) markUnconfirmed(now time.Time, tst *taskState) {
	if tst.phase == stopping && tst.step.job.state.IsEnded() {
		cel.requeueTask(tst)
		return
	}
	tst.vm.removeTask(tst)
	tst.phase = unconfirmed
	cel.unconfirmedTasks[tst] = now
}

// IsUnsure reports whether tasks wait for a confirmation of the owner.
func (cel *Cell) IsUnsure() bool { return len(cel.unconfirmedTasks) > 0 }

// Unanswered takes in that a look at the VM failed. It gets no new work before
// it answers again.
func (cel *Cell) Unanswered(id string) {
	if vst, ok := cel.vms[id]; ok {
		vst.isUnresponsive = true
	}
}

// Replaced takes in that another VM answers at the address: the life has ended
// with all that ran there.
func (cel *Cell) Replaced(now time.Time, id string) {
	vst, ok := cel.vms[id]
	if !ok {
		return
	}
	cel.cfg.Event(now, "vmReplaced", slog.String("vm", id), slog.Int("tasks", len(vst.tasks)))
	for _, tst := range vst.tasks {
		cel.markUnconfirmed(now, tst)
	}
	vst.dropUnwantedRuns()
	cel.dropVM(vst)
	cel.endedIncarnations[id] = max(vst.incarnation, vst.host.Born)
}
