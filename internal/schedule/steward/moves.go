package steward

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/queue"
)

// planMoves begins the moves that the balance asks for.
func (ctl *Steward) planMoves(now time.Time) {
	tab := ctl.cfg.Table()
	if tab == nil {
		return
	}
	names := ctl.machineNamesByVM()
	pools := append(ctl.standbyPools(now, tab, names), ctl.reportedPools(now, names)...)
	ctl.logPools(now, pools)
	for _, trf := range balance.Decide(now, pools, ctl.ordersPerRound()) {
		mac := ctl.machines[names[trf.VM]]
		ctl.operations[mac.Name] = &operation{machine: mac.Name, vm: mac.VM, pool: trf.To, startedAt: now, milliCores: mac.MilliCores}
		ctl.cfg.Journal.Event(now, "moveBegun", slog.String("machine", mac.Name), slog.String("vm", trf.VM),
			slog.String("from", trf.From), slog.String("to", trf.To))
	}
}

// namesOfVMs returns the names of machines by the ids of their present lives.
func (ctl *Steward) machineNamesByVM() map[string]string {
	names := make(map[string]string, len(ctl.machines))
	for name, mac := range ctl.machines {
		if mac.VM != "" {
			names[mac.VM] = name
		}
	}
	return names
}

// sparePools returns the pools whose VMs are off. Such a machine has no life, so
// its own name stands for it, which is added to names.
func (ctl *Steward) standbyPools(now time.Time, tab *queue.Table, names map[string]string) []balance.Pool {
	var pools []balance.Pool
	for _, svc := range tab.Services() {
		if !svc.IsStandby {
			continue
		}
		pol := balance.Pool{Name: svc.Name, IsStandby: true}
		for name, mac := range ctl.machines {
			if mac.Pool == svc.Name && mac.IsUp && ctl.operations[name] == nil && !ctl.isBlocked(now, name) {
				pol.VMs = append(pol.VMs, balance.VM{ID: name, MilliCores: mac.MilliCores, IsUsable: true})
				names[name] = name
			}
		}
		pools = append(pools, pol)
	}
	return pools
}

// reportedPools returns the pools whose owners have reported lately. VMs that the
// list of machines does not show, or that are on an errand, cannot move.
func (ctl *Steward) reportedPools(now time.Time, names map[string]string) []balance.Pool {
	var pools []balance.Pool
	incoming := ctl.incoming()
	for _, rpt := range ctl.reports {
		if now.Sub(rpt.at) > maxReportAge {
			continue
		}
		pol := rpt.pool
		pol.Incoming = incoming[pol.Name]
		pol.Wanted = max(pol.Wanted, ctl.arrivals.Rate(pol.Name))
		pol.Forecast = ctl.arrivals.Forecast(pol.Name)
		pol.VMs = slices.Clone(pol.VMs)
		for i := range pol.VMs {
			mac, ok := ctl.machines[names[pol.VMs[i].ID]]
			if !ok || ctl.operations[mac.Name] != nil || ctl.isBlocked(now, mac.Name) {
				pol.VMs[i].IsUsable = false
			}
		}
		pools = append(pools, pol)
	}
	return pools
}

// logPools writes how the pools stand, each second.
func (ctl *Steward) logPools(now time.Time, pools []balance.Pool) {
	if now.Sub(ctl.poolsLoggedAt) < poolLogInterval {
		return
	}
	ctl.poolsLoggedAt = now
	for _, pol := range pools {
		usable, tasks := 0, 0
		for _, vm := range pol.VMs {
			if vm.IsUsable && !vm.IsLeaving {
				usable++
			}
			tasks += vm.Tasks
		}
		ctl.cfg.Journal.Event(now, "poolState", slog.String("pool", pol.Name), slog.Int("vms", len(pol.VMs)),
			slog.Int("usable", usable), slog.Int("tasks", tasks), slog.Int64("wantedMilliCores", pol.Wanted),
			slog.Int64("incomingMilliCores", pol.Incoming))
	}
}

// logEach is the pause between two lines on a pool.
const poolLogInterval = time.Second

// incoming returns what is on its way to each pool, in thousandths of a core.
func (ctl *Steward) incoming() map[string]int64 {
	sums := map[string]int64{}
	for _, opr := range ctl.operations {
		if opr.pool != "" {
			sums[opr.pool] += opr.milliCores
		}
	}
	return sums
}
