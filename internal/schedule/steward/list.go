package steward

import (
	"context"
	"log/slog"
	"time"
)

// isEnded reports whether the list of machines shows that the life is over: the
// machine is off, or has another life. One list may be older than the VM.
func (stw *Steward) isEnded(vm string) bool {
	return stw.missingCounts[vm] >= listsToConfirmEnd
}

// countMissing notes which reported VMs the list does not show as lives.
func (stw *Steward) countMissingVMs() {
	alive := make(map[string]bool, len(stw.machines))
	for _, mac := range stw.machines {
		if !mac.IsOff {
			alive[mac.VM] = true
		}
	}
	missing := map[string]int{}
	for _, rpt := range stw.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsSilent && !alive[vm.ID] {
				missing[vm.ID] = stw.missingCounts[vm.ID] + 1
			}
		}
	}
	stw.missingCounts = missing
}

// listsToEnd is how many lists in a row must show that a life is over.
const listsToConfirmEnd = 2

// list reads the machines while something is going on.
func (stw *Steward) refreshMachines(now time.Time) {
	stw.mu.Lock()
	isDue := now.Sub(stw.listedAt) >= listInterval && (len(stw.operations) > 0 || len(stw.machines) == 0 || stw.isAnyVMMissing()) ||
		now.Sub(stw.listedAt) >= idleListInterval
	stw.mu.Unlock()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	all, err := stw.cfg.Directory.Machines(ctx)
	if err != nil {
		stw.cfg.Journal.Warn(now, "machinesUnlisted", slog.String("error", err.Error()))
		return
	}
	stw.mu.Lock()
	defer stw.mu.Unlock()
	stw.listedAt = now
	clear(stw.machines)
	for _, mac := range all {
		stw.machines[mac.Name] = mac
	}
	stw.countMissingVMs()
	stw.completeOperations(time.Now(), now)
}

// listIdle is how often the machines are listed while nothing is going on.
const idleListInterval = 3 * time.Second

// isMissing reports whether a pool has a VM that the list does not show, or one
// that does not answer.
func (stw *Steward) isAnyVMMissing() bool {
	known := make(map[string]bool, len(stw.machines))
	for _, mac := range stw.machines {
		known[mac.VM] = true
	}
	for _, rpt := range stw.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsUsable && !known[vm.ID] || vm.IsSilent {
				return true
			}
		}
	}
	return false
}
