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
type load struct{ taken, capacity int64 }

// weighZones finds the load of each zone.
func (cel *Cell) weighZones(stages []*stage) {
	clear(cel.loads)
	for _, mac := range cel.usable {
		lod := cel.loads[mac.host.Zone]
		lod.taken += mac.used.MilliCores
		lod.capacity += mac.host.Capacity.MilliCores
		cel.loads[mac.host.Zone] = lod
	}
	for _, stg := range stages {
		cel.addLoad(stg.job.home, int64(stg.waitCount)*counted(stg.step).MilliCores)
	}
}

func (cel *Cell) addLoad(zone string, milliCores int64) {
	if lod, ok := cel.loads[zone]; ok {
		lod.taken += milliCores
		cel.loads[zone] = lod
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
	for zone, lod := range cel.loads {
		share := float64(lod.taken) / float64(max(1, lod.capacity))
		if home == "" || share < least || share == least && zone < home {
			home, least = zone, share
		}
	}
	if len(pln.Steps) > 0 {
		cel.addLoad(home, int64(pln.Steps[0].Count)*pln.Steps[0].Demand.MilliCores)
	}
	return home
}

// mayRunIn reports whether the store says that tasks of the job may run there.
func (ent *entry) mayRunIn(zone string) bool {
	return ent.home == "" || zone == ent.home || slices.Contains(ent.zones, zone)
}

// missed takes in that a task found no room. When another zone has some, the job is
// to be recorded as running there too.
func (cel *Cell) missed(stg *stage, wrk *work, mss misses) {
	mss.add(stg)
	stg.isStarved = true
	ent := stg.job
	if ent.home == "" || ent.nextZone != "" || mss.isEverywhere(stg.step) {
		return
	}
	mac := cel.search(stg, wrk, func(string) bool { return true })
	if mac == nil {
		mss.addEverywhere(stg.step)
		return
	}
	ent.nextZone = mac.host.Zone
	cel.markDirty(ent)
	cel.isUrgent = true
}

// checkSettled finds out in which zones tasks of earlier terms may still run that
// are not known: where a VM has not told what runs there and its leases have not run
// out.
func (cel *Cell) checkSettled(now time.Time) {
	if cel.settled {
		return
	}
	clear(cel.unsettled)
	for _, mac := range cel.machines() {
		if mac.isOld && now.Before(mac.leaseEnd) {
			cel.unsettled[mac.host.Zone] = true
		}
	}
	if len(cel.unsettled) == 0 {
		cel.settled = true
		cel.cfg.Event(now, "cellSettled", slog.Int("vms", len(cel.vms)), slog.Int("jobs", len(cel.jobs)))
	}
}

// isSettled reports whether it is known where all tasks of the job run.
func (cel *Cell) isSettled(ent *entry) bool {
	if !ent.isOld || cel.settled {
		return true
	}
	if ent.home == "" || cel.unsettled[ent.home] {
		return false
	}
	for _, zone := range ent.zones {
		if cel.unsettled[zone] {
			return false
		}
	}
	return true
}
