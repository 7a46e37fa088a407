package fleetcontroller

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/queue"
)

// planMoves starts the moves that package balance decides on.
func (ctl *Controller) planMoves(now time.Time) {
	tab := ctl.cfg.Table()
	if tab == nil {
		return
	}
	names := ctl.machineNamesByVM()
	pools := append(ctl.standbyPools(now, tab, names), ctl.reportedPools(now, tab, names)...)
	ctl.logPools(now, pools)
	for _, trf := range balance.Decide(now, pools, ctl.ordersPerRound()) {
		mac := ctl.machines[names[trf.VM]]
		ctl.operations[mac.Name] = &operation{machine: mac.Name, vm: mac.VM, pool: trf.To, startedAt: now, milliCores: mac.MilliCores, isUrgent: trf.IsUrgent}
		ctl.cfg.Journal.Event(now, "moveBegun", slog.String("machine", mac.Name), slog.String("vm", trf.VM),
			slog.String("from", trf.From), slog.String("to", trf.To))
	}
}

// YieldingVMs returns the VMs of a pool that are to be evacuated for work of another pool that can end in time.
func (ctl *Controller) YieldingVMs(pol balance.Pool) []string {
	ctl.mu.Lock()
	defer ctl.unlock()
	urgent := map[string]bool{}
	for _, opr := range ctl.operations {
		if opr.isUrgent {
			urgent[opr.vm] = true
		}
	}
	var vms []string
	for _, vm := range pol.VMs {
		if urgent[vm.ID] {
			vms = append(vms, vm.ID)
		}
	}
	return vms
}

// machineNamesByVM returns the names of machines by the VM ids of their current
// incarnations.
func (ctl *Controller) machineNamesByVM() map[string]string {
	names := make(map[string]string, len(ctl.machines))
	for name, mac := range ctl.machines {
		if mac.VM != "" {
			names[mac.VM] = name
		}
	}
	return names
}

// standbyPools returns the pools whose VMs are off. Their machines have no incarnation, so
// the name of the machine serves as the VM id and is added to names.
func (ctl *Controller) standbyPools(now time.Time, tab *queue.Table, names map[string]string) []balance.Pool {
	var pools []balance.Pool
	for _, pool := range tab.Pools() {
		if !pool.IsStandby {
			continue
		}
		pol := balance.Pool{Name: pool.Name, IsStandby: true}
		for name, mac := range ctl.machines {
			if mac.Pool == pool.Name && mac.IsUp && ctl.operations[name] == nil && !ctl.isBlocked(now, name) {
				pol.VMs = append(pol.VMs, balance.VM{ID: name, MilliCores: mac.MilliCores, IsUsable: true})
				names[name] = name
			}
		}
		pools = append(pools, pol)
	}
	return pools
}

// reportedPools returns the active pools with a recent report of their owner. Others, which still
// have jobs, neither give nor get VMs. VMs that the
// machine list does not show, or whose machine is blocked or has an operation in
// progress, are marked unusable so that they are not moved.
func (ctl *Controller) reportedPools(now time.Time, tab *queue.Table, names map[string]string) []balance.Pool {
	var pools []balance.Pool
	incoming := ctl.incoming()
	for _, rpt := range ctl.reports {
		if now.Sub(rpt.at) > maxReportAge || !tab.IsActive(rpt.pool.Name) {
			continue
		}
		pol := rpt.pool
		pol.Incoming = incoming[pol.Name]
		pol.Demand = max(pol.Demand, ctl.arrivals.Rate(pol.Name))
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

// logPools logs the state of the pools every poolLogInterval.
func (ctl *Controller) logPools(now time.Time, pools []balance.Pool) {
	if now.Sub(ctl.poolsLoggedAt) < poolLogInterval {
		return
	}
	ctl.poolsLoggedAt = now
	ctl.logQuotas(now)
	for _, pol := range pools {
		usable, tasks := 0, 0
		for _, vm := range pol.VMs {
			if vm.IsUsable && !vm.IsEvacuating {
				usable++
			}
			tasks += vm.Tasks
		}
		ctl.cfg.Journal.Event(now, "poolState", slog.String("pool", pol.Name), slog.Int("vms", len(pol.VMs)),
			slog.Int("usable", usable), slog.Int("tasks", tasks), slog.Int64("wantedMilliCores", pol.Demand),
			slog.Int64("incomingMilliCores", pol.Incoming), slog.Int64("forecastMilliCores", pol.Forecast),
			slog.Int64("lateMilliCores", pol.LateDemand))
	}
}

// poolLogInterval is the time between two log lines on a pool.
const poolLogInterval = time.Second

// incoming returns the capacity being moved to each pool, in thousandths of a core.
func (ctl *Controller) incoming() map[string]int64 {
	sums := map[string]int64{}
	for _, opr := range ctl.operations {
		if opr.pool != "" {
			sums[opr.pool] += opr.milliCores
		}
	}
	return sums
}
