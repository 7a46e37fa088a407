package fleetcontroller

import (
	"context"
	"log/slog"
	"time"
)

// isEnded reports whether the machine lists show that this incarnation of a VM has ended:
// its machine is off or has another incarnation. One list is not enough, because it may
// be older than the VM.
func (ctl *Controller) isEnded(vm string) bool {
	return ctl.missingCounts[vm] >= listsToConfirmEnd
}

// countMissingVMs counts, for each unresponsive VM, the consecutive lists without it.
func (ctl *Controller) countMissingVMs() {
	alive := make(map[string]bool, len(ctl.machines))
	for _, mac := range ctl.machines {
		if !mac.IsOff {
			alive[mac.VM] = true
		}
	}
	missing := map[string]int{}
	for _, rpt := range ctl.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsUnresponsive && !alive[vm.ID] {
				missing[vm.ID] = ctl.missingCounts[vm.ID] + 1
			}
		}
	}
	ctl.missingCounts = missing
}

// listsToConfirmEnd is how many consecutive lists must show that an incarnation has ended.
const listsToConfirmEnd = 2

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
	all, err := ctl.cfg.Directory.Machines(ctx)
	if err != nil {
		ctl.cfg.Journal.Warn(now, "machinesUnlisted", slog.String("error", err.Error()))
		return
	}
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.listedAt = now
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
		ctl.countMissingVMs()
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
