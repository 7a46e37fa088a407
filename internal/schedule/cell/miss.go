package cell

import "daisywheel/internal/job/plan"

// missesKept bounds the demands that one plan remembers of a zone, so that looking
// them up costs less than a look at the VMs.
const maxUnplaceablePerZone = 8

// everywhere stands for all zones together.
const allZones = ""

// misses are the demands that no VM of a zone had room for in the plan in the making.
// In a surge most of what waits needs as much as one of them.
type unplaceable map[string][]plan.Demand

// add notes that no VM that the stage's job may use had room for a task of it.
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

// note leaves out steps with restrictions other than room, which may have been the
// cause and tell nothing of others.
func (unp unplaceable) addForZone(zone string, stp *plan.Step) {
	if stp.Label == "" && stp.MaxPerVM == 0 && len(unp[zone]) < maxUnplaceablePerZone {
		unp[zone] = append(unp[zone], countedDemand(stp))
	}
}

// isIn reports whether a step needs at least as much as one that missed there.
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

// covers reports whether the stage needs at least as much as others that missed
// wherever its job may run, so that looking again is no use. A stage whose job may
// be recorded for another zone is looked at.
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
