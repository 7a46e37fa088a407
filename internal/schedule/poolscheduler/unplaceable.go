package poolscheduler

import "daisywheel/internal/job/plan"

// maxUnplaceablePerZone bounds the number of demands kept per zone, so that comparing
// with them costs less than searching the VMs.
const maxUnplaceablePerZone = 8

// allZones is the key of the demands that fit in no zone.
const allZones = ""

// unplaceable holds, by zone, demands that no VM of the zone had capacity for in the
// current call of Plan. In a burst most waiting tasks need at least as much as one of
// these demands, so the search for a VM is skipped.
type unplaceable map[string][]plan.Demand

// add records that no VM in the zones of the step's job has capacity for a task of the
// step.
func (unp unplaceable) add(sst *stepState) {
	if sst.job.homeZone == "" {
		unp.addForZone(allZones, sst.plan)
		return
	}
	unp.addForZone(sst.job.homeZone, sst.plan)
	for _, zone := range sst.job.extraZones {
		unp.addForZone(zone, sst.plan)
	}
}

func (unp unplaceable) addForAllZones(stp *plan.Step) { unp.addForZone(allZones, stp) }

// addForZone records the demand of a step that fits on no VM of the zone. It ignores
// steps with constraints other than resources, as these may be the reason.
func (unp unplaceable) addForZone(zone string, stp *plan.Step) {
	if stp.Label == "" && stp.MaxPerVM == 0 && len(unp[zone]) < maxUnplaceablePerZone {
		unp[zone] = append(unp[zone], countedDemand(stp))
	}
}

// hasNoCapacityIn reports whether the step needs at least as much as a demand that fits
// on no VM of the zone.
func (unp unplaceable) hasNoCapacityIn(zone string, stp *plan.Step) bool {
	need := countedDemand(stp)
	for _, dmd := range unp[zone] {
		if dmd.Fits(need) {
			return true
		}
	}
	return false
}

func (unp unplaceable) hasNoCapacityAnywhere(stp *plan.Step) bool {
	return unp.hasNoCapacityIn(allZones, stp)
}

// rulesOut reports whether the step needs at least as much as demands that do not fit in
// the zones where its job may run, so that a search for a VM is useless. While the job
// can request an extra zone, the step is ruled out only if it fits in no zone at all.
func (unp unplaceable) rulesOut(sst *stepState) bool {
	if unp.hasNoCapacityAnywhere(sst.plan) {
		return true
	}
	if sst.job.homeZone == "" || sst.job.requestedZone == "" || !unp.hasNoCapacityIn(sst.job.homeZone, sst.plan) {
		return false
	}
	for _, zone := range sst.job.extraZones {
		if !unp.hasNoCapacityIn(zone, sst.plan) {
			return false
		}
	}
	return true
}
