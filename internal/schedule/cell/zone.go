package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/job/plan"
)

// A job is confined to one zone, which is stored with it, and to those that are
// recorded later. So a zone that is cut off stops the jobs of that zone only, and a
// new owner that cannot reach it knows which tasks may still run there.

// load is what the VMs of a zone hold and what is confined to it and waits, against
// their capacity, in thousandths of a core.
type zoneLoad struct{ demand, capacity int64 }

// weighZones finds the load of each zone.
func (cel *Cell) updateZoneLoads(stages []*stepState) {
	clear(cel.zoneLoads)
	for _, vst := range cel.usableVMs {
		zld := cel.zoneLoads[vst.host.Zone]
		zld.demand += vst.used.MilliCores
		zld.capacity += vst.host.Capacity.MilliCores
		cel.zoneLoads[vst.host.Zone] = zld
	}
	for _, sst := range stages {
		cel.addZoneDemand(sst.job.homeZone, int64(sst.waitingCount)*countedDemand(sst.plan).MilliCores)
	}
}

func (cel *Cell) addZoneDemand(zone string, milliCores int64) {
	if zld, ok := cel.zoneLoads[zone]; ok {
		zld.demand += milliCores
		cel.zoneLoads[zone] = zld
	}
}

// HomeFor returns the zone that a job should be confined to, the one with the least
// load for its capacity, or none when its steps ask for certain VMs or all at once.
func (cel *Cell) HomeFor(pln *plan.Plan) string {
	for i := range pln.Steps {
		stp := &pln.Steps[i]
		if stp.IsLasting || stp.IsGang || stp.Rack != "" || stp.Label != "" || stp.MaxPerVM > 0 || stp.Demand.GPUs > 0 {
			return ""
		}
	}
	home, least := "", 0.0
	for zone, zld := range cel.zoneLoads {
		share := float64(zld.demand) / float64(max(1, zld.capacity))
		if home == "" || share < least || share == least && zone < home {
			home, least = zone, share
		}
	}
	if len(pln.Steps) > 0 {
		cel.addZoneDemand(home, int64(pln.Steps[0].Count)*pln.Steps[0].Demand.MilliCores)
	}
	return home
}

// mayRunIn reports whether the store says that tasks of the job may run there.
func (jst *jobState) mayRunIn(zone string) bool {
	return jst.homeZone == "" || zone == jst.homeZone || slices.Contains(jst.extraZones, zone)
}

// missed takes in that a task found no room. When another zone has some, the job is
// to be recorded as running there too.
func (cel *Cell) handleNoRoom(sst *stepState, tst *taskState, unp unplaceable) {
	unp.add(sst)
	sst.isStarved = true
	jst := sst.job
	if jst.homeZone == "" || jst.requestedZone != "" || unp.hasNoRoomAnywhere(sst.plan) {
		return
	}
	vst := cel.cheapestVM(sst, tst, func(string) bool { return true })
	if vst == nil {
		unp.addForAllZones(sst.plan)
		return
	}
	jst.requestedZone = vst.host.Zone
	cel.markDirty(jst)
	cel.isUrgent = true
}

// checkSettled finds out in which zones tasks of earlier terms may still run that
// are not known: where a VM has not told what runs there and its leases have not run
// out.
func (cel *Cell) checkReconciled(now time.Time) {
	if cel.allReconciled {
		return
	}
	clear(cel.unreconciledZones)
	for _, vst := range cel.sortedVMs() {
		if vst.isUnreconciled && now.Before(vst.leaseEnd) {
			cel.unreconciledZones[vst.host.Zone] = true
		}
	}
	if len(cel.unreconciledZones) == 0 {
		cel.allReconciled = true
		cel.cfg.Event(now, "cellSettled", slog.Int("vms", len(cel.vms)), slog.Int("jobs", len(cel.jobs)))
	}
}

// isSettled reports whether it is known where all tasks of the job run.
func (cel *Cell) isReconciled(jst *jobState) bool {
	if !jst.isInherited || cel.allReconciled {
		return true
	}
	if jst.homeZone == "" || cel.unreconciledZones[jst.homeZone] {
		return false
	}
	for _, zone := range jst.extraZones {
		if cel.unreconciledZones[zone] {
			return false
		}
	}
	return true
}
