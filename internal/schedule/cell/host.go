package cell

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"daisywheel/internal/fleet/host"
)

// SetHosts sets the VMs that the platform lists for the pool. A VM that is no longer
// listed is kept while it answers or while its tasks may run.
func (cel *Cell) SetHosts(now time.Time, hosts []host.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, hst := range hosts {
		listed[hst.ID] = true
		if incarnation, isEnded := cel.endedIncarnations[hst.ID]; isEnded && hst.Born <= incarnation {
			continue // the announcement of the ended incarnation is still listed
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
		vst.isUnreconciled = false // a new incarnation runs no tasks of earlier owners
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

// sortedVMs returns the VMs sorted by id.
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

// requestVMRecord requests that the VM's record be stored. The VM gets no tasks before,
// so that a later owner knows of all VMs where tasks may run.
func (cel *Cell) requestVMRecord(vst *vmState) {
	vst.isStored = false
	cel.vmRecordsToWrite[vst.host.ID] = true
	delete(cel.vmRecordsToDelete, vst.host.ID)
}

// dropVM drops a VM on which nothing can run any more, and requests that its record be
// deleted.
func (cel *Cell) dropVM(vst *vmState) {
	delete(cel.vms, vst.host.ID)
	cel.sorted = nil
	delete(cel.vmRecordsToWrite, vst.host.ID)
	cel.vmRecordsToDelete[vst.host.ID] = true
}

// relistGrace is how long a VM that is no longer listed still counts as present.
// Announcements expire during an outage of the store and are back within 2 s after it.
const relistGrace = 2500 * time.Millisecond

// isPresent reports whether the VM is listed or was until a short time ago. The list
// is not needed to tell whether the VM is running: its reports show that, and orders
// name the incarnation that they are for.
func (vst *vmState) isPresent(now time.Time) bool {
	return vst.isListed || !vst.unlistedAt.IsZero() && now.Sub(vst.unlistedAt) < relistGrace
}

// RestoreHost adds a VM that an earlier owner has stored. Tasks of earlier owners may
// run there until it reports or its leases have expired.
func (cel *Cell) RestoreHost(now time.Time, hst host.Host) {
	vst := newVMState(hst)
	vst.isUnreconciled, vst.isStored = true, true
	vst.leaseEnd = now.Add(OwnerReach + leaseBound(cel.cfg.LeaseMax))
	cel.addVM(vst)
}

// handleRestart handles a new incarnation of the VM: what ran in the old one has ended.
// A start order without an answer may still reach the new incarnation, so its run is
// stopped there.
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

// markUnconfirmed handles that the incarnation on which the task ran has ended. An owner
// that was disconnected may learn this later than its successor, and the successor may
// have seen the run complete. So the task is not restarted before this owner's
// ownership is confirmed.
func (cel *Cell) markUnconfirmed(now time.Time, tst *taskState) {
	if tst.phase == stopping && tst.step.job.state.IsEnded() {
		cel.requeueTask(tst)
		return
	}
	tst.vm.removeTask(tst)
	tst.phase = unconfirmed
	cel.unconfirmedTasks[tst] = now
}

// IsUnsure reports whether tasks wait for a confirmation of the ownership.
func (cel *Cell) IsUnsure() bool { return len(cel.unconfirmedTasks) > 0 }

// Unanswered handles a failed poll of the VM. It gets no new tasks before it answers
// again.
func (cel *Cell) Unanswered(id string) {
	if vst, ok := cel.vms[id]; ok {
		vst.isUnresponsive = true
	}
}

// Replaced handles that the VM's incarnation has ended, with all that ran there, as
// another VM answers at its address or the platform's list of machines shows.
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
