package poolscheduler

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"daisywheel/internal/fleet/host"
)

// SetListedVMs sets the VMs that the platform lists for the pool. A VM that is no longer
// listed is kept while it answers or while its tasks may run.
func (sch *Scheduler) SetListedVMs(now time.Time, hosts []host.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, hst := range hosts {
		listed[hst.ID] = true
		if incarnation, isEnded := sch.endedIncarnations[hst.ID]; isEnded && hst.Incarnation <= incarnation {
			continue // the announcement of the ended incarnation is still listed
		}
		delete(sch.endedIncarnations, hst.ID)
		sch.updateListedVM(now, hst)
	}
	for id := range sch.endedIncarnations {
		if !listed[id] {
			delete(sch.endedIncarnations, id)
		}
	}
	for id, vst := range sch.vms {
		if vst.isListed && !listed[id] {
			vst.isListed, vst.unlistedAt = false, now
			sch.cfg.Event(now, "vmUnlisted", slog.String("vm", id), slog.Int("tasks", len(vst.tasks)))
		}
	}
}

func (sch *Scheduler) updateListedVM(now time.Time, hst host.Host) {
	vst, ok := sch.vms[hst.ID]
	if !ok {
		vst = newVMState(hst)
		sch.addVM(now, vst)
		sch.requestVMRecord(vst)
		sch.cfg.Event(now, "vmListed", slog.String("vm", hst.ID), slog.String("zone", hst.Zone), slog.Int64("born", hst.Incarnation))
	}
	if vst.host.IsDraining != hst.IsDraining {
		sch.cfg.Event(now, "vmDraining", slog.String("vm", hst.ID), slog.Bool("draining", hst.IsDraining))
	}
	if hst.Incarnation == vst.disproved {
		hst.Incarnation = vst.host.Incarnation
	}
	vst.kindIncarnation = hst.Incarnation
	needsRecord := vst.host.Address != hst.Address || hst.Incarnation > vst.host.Incarnation
	if needsRecord {
		sch.revise(vst)
	}
	hst.Incarnation = max(hst.Incarnation, vst.host.Incarnation) // the list may lag behind a report
	vst.host, vst.isListed = hst, true
	if needsRecord {
		sch.requestVMRecord(vst)
	}
	if hst.Incarnation != 0 && vst.incarnation != 0 && hst.Incarnation > vst.incarnation {
		sch.handleRestart(now, vst, hst.Incarnation)
	}
}

// addVM adds a VM. One that is to be evacuated may have been dropped meanwhile, as its incarnation
// had ended; the fleet controller may rest an order on its evacuation all the same.
func (sch *Scheduler) addVM(now time.Time, vst *vmState) {
	sch.revise(vst)
	if sch.evacuating[vst.host.ID] {
		vst.isEvacuating, vst.evacuatingSince = true, now
	}
	sch.vms[vst.host.ID] = vst
	sch.sorted = nil
}

// revise marks what is known of the VM as changed.
func (sch *Scheduler) revise(vst *vmState) {
	sch.revision++
	vst.revision = sch.revision
}

// Revision returns the number of what is known of the VM, see balance.VM, or 0 if it is unknown.
func (sch *Scheduler) Revision(id string) int64 {
	if vst, ok := sch.vms[id]; ok {
		return vst.revision
	}
	return 0
}

// sortedVMs returns the VMs sorted by id.
func (sch *Scheduler) sortedVMs() []*vmState {
	if sch.sorted == nil {
		sch.sorted = make([]*vmState, 0, len(sch.vms))
		for _, vst := range sch.vms {
			sch.sorted = append(sch.sorted, vst)
		}
		slices.SortFunc(sch.sorted, func(one, two *vmState) int { return strings.Compare(one.host.ID, two.host.ID) })
	}
	return sch.sorted
}

// requestVMRecord requests that the VM's record be stored. The VM gets no tasks before,
// so that a later owner knows of all VMs, and of their incarnations, where tasks may run.
func (sch *Scheduler) requestVMRecord(vst *vmState) {
	vst.isStored = false
	sch.vmRecordsToWrite[vst.host.ID] = true
	delete(sch.vmRecordsToDelete, vst.host.ID)
}

// dropVM drops a VM on which nothing can run any more, and requests that its record be
// deleted.
func (sch *Scheduler) dropVM(vst *vmState) {
	delete(sch.vms, vst.host.ID)
	sch.sorted = nil
	delete(sch.vmRecordsToWrite, vst.host.ID)
	sch.vmRecordsToDelete[vst.host.ID] = true
}

// relistGracePeriod is how long a VM that is no longer listed still counts as present.
// Announcements expire during an outage of the state log and are back within 2 s of its
// end.
const relistGracePeriod = 2500 * time.Millisecond

// isPresent reports whether the VM is listed or was until a short time ago. The list
// is not needed to tell whether the VM is running: its reports show that, and orders
// name the incarnation that they are for.
func (vst *vmState) isPresent(now time.Time) bool {
	return vst.isListed || !vst.unlistedAt.IsZero() && now.Sub(vst.unlistedAt) < relistGracePeriod
}

// RestoreVM adds a VM that an earlier owner has stored. Tasks of earlier owners may
// run there until it reports or its leases have expired.
func (sch *Scheduler) RestoreVM(now time.Time, hst host.Host) {
	vst := newVMState(hst)
	vst.isUnreconciled, vst.isStored = true, true
	vst.leaseEnd = now.Add(OwnerGracePeriod + leaseBound(sch.cfg.LongestLease))
	sch.addVM(now, vst)
}

// handleRestart handles a new incarnation of the VM: what ran in the old one has ended.
// The new one may have taken start orders before the owner learned of it, so a run that
// the old one has not reported stays until a report of the new one shows where it is. A
// start order without an answer may still reach the new incarnation, so its run is stopped
// there.
func (sch *Scheduler) handleRestart(now time.Time, vst *vmState, incarnation int64) {
	undecided := 0
	ended := vst.incarnation
	vst.restartedAt = now
	vst.leaseEnd = laterOf(vst.leaseEnd, now.Add(leaseBound(sch.cfg.LongestLease)))
	vst.incarnation, vst.hasReported, vst.isUnreconciled = incarnation, false, false
	vst.lastEndSeen, vst.lastEndStored, vst.firstHeldEnd, vst.unreadableRuns = 0, 0, 0, 0
	vst.dropUnwantedRuns()
	for _, tst := range vst.tasks {
		if tst.incarnation == ended {
			sch.markUnconfirmed(now, tst)
			continue
		}
		undecided++
		tst.isIncarnationUnknown = true
		if tst.isStartUnknown {
			sch.stopTask(tst)
		}
		tst.stopSentAt, tst.stopAckedAt = time.Time{}, time.Time{}
	}
	sch.revise(vst)
	sch.cfg.Event(now, "vmReborn", slog.String("vm", vst.host.ID), slog.Int64("born", incarnation), slog.Int64("ended", ended),
		slog.Int("tasks", len(vst.tasks)), slog.Int("undecided", undecided))
}

// markUnconfirmed takes a task off a VM whose incarnation has ended. An owner that was
// disconnected may learn of the end later than its successor, which may have seen the
// run complete. So the task is not started again before the ownership is confirmed.
func (sch *Scheduler) markUnconfirmed(now time.Time, tst *taskState) {
	if tst.phase == stopping && tst.step.job.state.IsEnded() {
		sch.requeueTask(tst)
		return
	}
	tst.vm.removeTask(tst)
	tst.phase = unconfirmed
	sch.unconfirmedTasks[tst] = now
}

// NeedsConfirmation reports whether tasks wait for a confirmation of the ownership.
func (sch *Scheduler) NeedsConfirmation() bool { return len(sch.unconfirmedTasks) > 0 }

// HandleLatePoll handles a poll that the VM has not answered in time. The VM gets no new
// tasks until its next report: when a zone is cut off, its VMs seem to have the most free
// capacity.
func (sch *Scheduler) HandleLatePoll(now time.Time, id string) {
	vst, ok := sch.vms[id]
	if !ok {
		return
	}
	vst.isLate = true
	sch.cfg.Event(now, "vmLate", slog.String("vm", id), slog.Int("tasks", len(vst.tasks)), slog.Duration("silent", now.Sub(vst.lastReportAt)))
}

// HandlePollFailure handles a failed poll of the VM, which gets no new tasks before it
// answers again.
func (sch *Scheduler) HandlePollFailure(id string) {
	if vst, ok := sch.vms[id]; ok {
		vst.isUnresponsive = true
	}
}

// EndIncarnation handles the end of a VM's incarnation and of all that ran there. The end
// is known when another VM answers at its address or from the platform's list of
// machines. The revision is that of the VM when its owner asked for what shows the end, by a poll or
// a report on the pool. An end that was asked for at another revision has no effect, as the VM may
// have come back since.
func (sch *Scheduler) EndIncarnation(now time.Time, id string, revision int64) {
	vst, ok := sch.vms[id]
	if !ok {
		return
	}
	attrs := []slog.Attr{slog.String("vm", id), slog.Int64("revision", revision), slog.Int64("born", vst.incarnation), slog.Int("tasks", len(vst.tasks))}
	if vst.revision != revision {
		sch.cfg.Event(now, "vmEndIgnored", append(attrs, slog.Int64("present", vst.revision))...)
		return
	}
	sch.cfg.Event(now, "vmReplaced", attrs...)
	for _, tst := range vst.tasks {
		sch.markUnconfirmed(now, tst)
	}
	vst.dropUnwantedRuns()
	sch.dropVM(vst)
	sch.endedIncarnations[id] = max(vst.incarnation, vst.host.Incarnation)
}
