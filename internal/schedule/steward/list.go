package steward

import (
	"context"
	"log/slog"
	"time"
)

// isEnded reports whether the list of machines shows that the life is over: the
// machine is off, or has another life. One list may be older than the VM.
func (ctl *Steward) isEnded(vm string) bool {
	return ctl.missingCounts[vm] >= listsToConfirmEnd
}

// countMissing notes which reported VMs the list does not show as lives.
func (ctl *Steward) countMissingVMs() {
	alive := make(map[string]bool, len(ctl.machines))
	for _, mac := range ctl.machines {
		if !mac.IsOff {
			alive[mac.VM] = true
		}
	}
	missing := map[string]int{}
	for _, rpt := range ctl.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsSilent && !alive[vm.ID] {
				missing[vm.ID] = ctl.missingCounts[vm.ID] + 1
			}
		}
	}
	ctl.missingCounts = missing
}

// listsToEnd is how many lists in a row must show that a life is over.
const listsToConfirmEnd = 2

// list reads the machines while something is going on.
func (ctl *Steward) refreshMachines(now time.Time) {
	ctl.mu.Lock()
	isDue := now.Sub(ctl.listedAt) >= listInterval && (len(ctl.operations) > 0 || len(ctl.machines) == 0 || ctl.isAnyVMMissing()) ||
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
	for _, mac := range all {
		ctl.machines[mac.Name] = mac
	}
	ctl.countMissingVMs()
	ctl.completeOperations(time.Now(), now)
}

// listIdle is how often the machines are listed while nothing is going on.
const idleListInterval = 3 * time.Second

// isMissing reports whether a pool has a VM that the list does not show, or one
// that does not answer.
func (ctl *Steward) isAnyVMMissing() bool {
	known := make(map[string]bool, len(ctl.machines))
	for _, mac := range ctl.machines {
		known[mac.VM] = true
	}
	for _, rpt := range ctl.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsUsable && !known[vm.ID] || vm.IsSilent {
				return true
			}
		}
	}
	return false
}
