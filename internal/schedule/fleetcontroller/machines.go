package fleetcontroller

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/fleet/balance"
)

// missingVM is an unresponsive VM of a pool, and what the machine lists show of it.
type missingVM struct {
	revision int64     // see balance.VM
	since    time.Time // when the first report with the revision arrived that had it as unresponsive
	lists    int       // consecutive lists requested after that which lack the VM
}

// listsToConfirmEnd is how many consecutive lists must show that an incarnation has ended: its
// machine is off or has another incarnation. One list may be older than the VM.
const listsToConfirmEnd = 2

func (mvm missingVM) isEnded() bool { return mvm.lists >= listsToConfirmEnd }

// nextMissing returns the unresponsive VMs of the pool's next report. Lists count for a VM only as
// long as the same owner reports the same revision of it, so that a VM which has come back meanwhile
// does not end by them.
func (rpt *report) nextMissing(now time.Time, pol balance.Pool) map[string]missingVM {
	missing := map[string]missingVM{}
	for _, vm := range pol.VMs {
		if !vm.IsUnresponsive {
			continue
		}
		mvm, ok := rpt.missing[vm.ID]
		if !ok || mvm.revision != vm.Revision || rpt.pool.FencingToken != pol.FencingToken {
			mvm = missingVM{revision: vm.Revision, since: now}
		}
		missing[vm.ID] = mvm
	}
	return missing
}

// countMissingVMs counts, for each unresponsive VM, the consecutive lists without it. The last
// list was requested at requestedAt.
func (ctl *Controller) countMissingVMs(requestedAt time.Time) {
	alive := make(map[string]bool, len(ctl.machines))
	for _, mac := range ctl.machines {
		if !mac.IsOff {
			alive[mac.VM] = true
		}
	}
	for _, rpt := range ctl.reports {
		for id, mvm := range rpt.missing {
			switch {
			case alive[id]:
				mvm.lists = 0
			case requestedAt.After(mvm.since):
				mvm.lists++
			}
			rpt.missing[id] = mvm
		}
	}
}

// refreshMachines reads the machine list when it is due: every listInterval while
// operations are in progress, VMs are missing or a wave waits for machines that are not
// listed, and every idleListInterval otherwise.
func (ctl *Controller) refreshMachines(now time.Time) {
	ctl.mu.Lock()
	isDue := now.Sub(ctl.listedAt) >= listInterval && (len(ctl.operations) > 0 || len(ctl.machines) == 0 || ctl.isAnyVMMissing() || ctl.isAnyWaveHeldUp()) ||
		now.Sub(ctl.listedAt) >= idleListInterval
	ctl.mu.Unlock()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sinceBoot := ctl.cfg.SinceBoot()
	all, err := ctl.cfg.Directory.Machines(ctx)
	if err != nil {
		ctl.cfg.Journal.Warn(now, "machinesUnlisted", slog.String("error", err.Error()))
		return
	}
	ctl.mu.Lock()
	defer ctl.unlock()
	ctl.listedAt, ctl.listedSinceBoot = now, sinceBoot
	clear(ctl.machines)
	unreadable := 0
	for _, mac := range all {
		if mac.IsUnreadable {
			unreadable++
			ctl.cfg.Journal.Warn(now, "machineUnreadable", slog.String("machine", mac.Name))
		}
		if mac.Name != "" {
			ctl.machines[mac.Name] = mac
		}
	}
	if unreadable == 0 { // else any machine or VM may be the one that can't be read
		ctl.countMissingVMs(now)
		ctl.countAbsences(now)
	}
	ctl.completeOperations(time.Now(), now, unreadable == 0)
}

// idleListInterval is the time between machine lists while nothing is in progress.
const idleListInterval = 3 * time.Second

// isAnyVMMissing reports whether a pool has a usable VM that the list does not show, or
// an unresponsive VM.
func (ctl *Controller) isAnyVMMissing() bool {
	known := make(map[string]bool, len(ctl.machines))
	for _, mac := range ctl.machines {
		known[mac.VM] = true
	}
	for _, rpt := range ctl.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsUsable && !known[vm.ID] || vm.IsUnresponsive {
				return true
			}
		}
	}
	return false
}
