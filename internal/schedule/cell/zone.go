package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/job/plan"
)

// A job is confined to one zone, which is stored with it, and to further zones that are
// stored later. So a network partition of a zone stops only the jobs of that zone, and
// a new owner that cannot reach the zone knows which jobs may have tasks there.

// zoneLoad is the demand of the tasks that run in a zone or wait and are confined to it,
// and the capacity of its usable VMs, in thousandths of a core.
type zoneLoad struct{ demand, capacity int64 }

// updateZoneLoads computes the load of each zone with usable VMs.
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

// HomeFor returns the zone that a job should be confined to, which is the one with the
// lowest load relative to its capacity. It returns the empty string for a job with
// lasting or gang steps or steps that restrict the VMs, which is not confined.
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

// mayRunIn reports whether tasks of the job may run in the zone, as stored.
func (jst *jobState) mayRunIn(zone string) bool {
	return jst.homeZone == "" || zone == jst.homeZone || slices.Contains(jst.extraZones, zone)
}

// handleNoRoom handles that a task found no room in the zones of its job. If another
// zone has room, it requests that the zone be stored as a further zone of the job.
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

// checkReconciled finds the zones where tasks of earlier terms may still run that this
// owner does not know of: those with a VM that has not reported yet and whose leases
// may not have expired.
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

// isReconciled reports whether it is known where all tasks of the job run.
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
