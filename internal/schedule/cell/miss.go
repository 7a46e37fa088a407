package cell

import "daisywheel/internal/job/plan"

// maxUnplaceablePerZone bounds the demands that are kept of a zone, so that comparing
// with them costs less than searching the VMs.
const maxUnplaceablePerZone = 8

// allZones is the key of the demands that fit in no zone.
const allZones = ""

// unplaceable holds, by zone, demands that no VM of the zone had room for in the current
// call of Plan. In a surge most waiting tasks need at least as much as one of them, and
// the search for a VM is skipped for these.
type unplaceable map[string][]plan.Demand

// add records that no VM in the zones of the step's job had room for a task of the step.
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

// addForZone records the demand of a step that found no room in the zone. It ignores
// steps with other constraints than resources, as these may be the reason.
func (unp unplaceable) addForZone(zone string, stp *plan.Step) {
	if stp.Label == "" && stp.MaxPerVM == 0 && len(unp[zone]) < maxUnplaceablePerZone {
		unp[zone] = append(unp[zone], countedDemand(stp))
	}
}

// hasNoRoomIn reports whether the step needs at least as much as a demand that found no
// room in the zone.
func (unp unplaceable) hasNoRoomIn(zone string, stp *plan.Step) bool {
	need := countedDemand(stp)
	for _, dmd := range unp[zone] {
		if dmd.Fits(need) {
			return true
		}
	}
	return false
}

func (unp unplaceable) hasNoRoomAnywhere(stp *plan.Step) bool { return unp.hasNoRoomIn(allZones, stp) }

// rulesOut reports whether the step needs at least as much as demands that found no room
// in any zone where its job may run, so that a search for a VM is useless. It reports
// false for a step whose job can still request a further zone.
func (unp unplaceable) rulesOut(sst *stepState) bool {
	if unp.hasNoRoomAnywhere(sst.plan) {
		return true
	}
	if sst.job.homeZone == "" || sst.job.requestedZone == "" || !unp.hasNoRoomIn(sst.job.homeZone, sst.plan) {
		return false
	}
	for _, zone := range sst.job.extraZones {
		if !unp.hasNoRoomIn(zone, sst.plan) {
			return false
		}
	}
	return true
}
