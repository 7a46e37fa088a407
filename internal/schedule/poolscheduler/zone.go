package poolscheduler

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/job/plan"
)

// A job is confined to its home zone, which is stored with it, and to extra zones that
// are stored later. So a network partition of a zone stops only the jobs of that zone,
// and a new owner that cannot reach the zone knows which jobs may have tasks there.

// zoneLoad is the demand of the tasks that run in a zone or wait and are confined to it,
// and the capacity of its usable VMs, in thousandths of a core.
type zoneLoad struct{ demand, capacity int64 }

// updateZoneLoads computes the load of each zone with usable VMs.
func (sch *Scheduler) updateZoneLoads(steps []*stepState) {
	clear(sch.zoneLoads)
	for _, vst := range sch.usableVMs {
		zld := sch.zoneLoads[vst.host.Zone]
		zld.demand += vst.used.MilliCores
		zld.capacity += vst.host.Capacity.MilliCores
		sch.zoneLoads[vst.host.Zone] = zld
	}
	for _, sst := range steps {
		sch.addZoneDemand(sst.job.homeZone, int64(sst.waitingCount)*countedDemand(sst.plan).MilliCores)
	}
}

func (sch *Scheduler) addZoneDemand(zone string, milliCores int64) {
	if zld, ok := sch.zoneLoads[zone]; ok {
		zld.demand += milliCores
		sch.zoneLoads[zone] = zld
	}
}

// HomeZoneFor returns the zone that a job should be confined to, which is the one with
// the lowest load relative to its capacity. It returns the empty string for a job with
// long-running or gang steps or with steps that only some VMs can run, which is not
// confined to a zone.
func (sch *Scheduler) HomeZoneFor(pln *plan.Plan) string {
	for i := range pln.Steps {
		stp := &pln.Steps[i]
		if stp.IsLongRunning || stp.IsGang || stp.Rack != "" || stp.Label != "" || stp.MaxPerVM > 0 || stp.Demand.GPUs > 0 {
			return ""
		}
	}
	home, least := "", 0.0
	for zone, zld := range sch.zoneLoads {
		share := float64(zld.demand) / float64(max(1, zld.capacity))
		if home == "" || share < least || share == least && zone < home {
			home, least = zone, share
		}
	}
	if len(pln.Steps) > 0 {
		sch.addZoneDemand(home, int64(pln.Steps[0].Count)*pln.Steps[0].Demand.MilliCores)
	}
	return home
}

// mayRunIn reports whether tasks of the job may run in the zone, as stored.
func (jst *jobState) mayRunIn(zone string) bool {
	return jst.homeZone == "" || zone == jst.homeZone || slices.Contains(jst.extraZones, zone)
}

// handleNoCapacity records that no VM in the zones of the step's job has capacity for the
// task. If a VM in another zone has, that zone is to be stored as an extra zone of the
// job.
func (sch *Scheduler) handleNoCapacity(sst *stepState, tst *taskState, unp unplaceable) {
	unp.add(sst)
	sst.isStarved = true
	jst := sst.job
	if jst.homeZone == "" || jst.requestedZone != "" || unp.hasNoCapacityAnywhere(sst.plan) {
		return
	}
	vst := sch.cheapestVM(sst, tst, func(string) bool { return true })
	if vst == nil {
		unp.addForAllZones(sst.plan)
		return
	}
	jst.requestedZone = vst.host.Zone
	sch.markDirty(jst)
	sch.isUrgent = true
}

// checkReconciled finds the zones where tasks of earlier terms may still run that this
// owner does not know of: those with a VM that has not reported yet and whose leases
// may not have expired.
func (sch *Scheduler) checkReconciled(now time.Time) {
	if sch.allReconciled {
		return
	}
	clear(sch.unreconciledZones)
	for _, vst := range sch.sortedVMs() {
		if vst.mayRunUnknownTasks(now) {
			sch.unreconciledZones[vst.host.Zone] = true
		}
	}
	if len(sch.unreconciledZones) == 0 {
		sch.allReconciled = true
		sch.cfg.Event(now, "cellSettled", slog.Int("vms", len(sch.vms)), slog.Int("jobs", len(sch.jobs)))
	}
}

// mayRunUnknownTasks reports whether tasks of an earlier owner may run on the VM, or may have
// ended there, that this owner does not know of: the VM has not listed all of them, and it
// answers or their leases may not have expired.
func (vst *vmState) mayRunUnknownTasks(now time.Time) bool {
	return vst.isUnreconciled && (now.Before(vst.leaseEnd) || !vst.isUnresponsive)
}

// isReconciled reports whether it is known where all tasks of the job run.
func (sch *Scheduler) isReconciled(jst *jobState) bool {
	if !jst.isInherited || sch.allReconciled {
		return true
	}
	if jst.homeZone == "" || sch.unreconciledZones[jst.homeZone] || sch.unreconciledZones[""] {
		return false
	}
	for _, zone := range jst.extraZones {
		if sch.unreconciledZones[zone] {
			return false
		}
	}
	return true
}
