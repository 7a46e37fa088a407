package cell

import "daisywheel/internal/job/plan"

// missesKept bounds the demands that one plan remembers of a zone, so that looking
// them up costs less than a look at the VMs.
const missesKept = 8

// everywhere stands for all zones together.
const everywhere = ""

// misses are the demands that no VM of a zone had room for in the plan in the making.
// In a surge most of what waits needs as much as one of them.
type misses map[string][]plan.Demand

// add notes that no VM that the stage's job may use had room for a task of it.
func (mss misses) add(stg *stage) {
	if stg.job.home == "" {
		mss.note(everywhere, stg.step)
		return
	}
	mss.note(stg.job.home, stg.step)
	for _, zone := range stg.job.zones {
		mss.note(zone, stg.step)
	}
}

func (mss misses) addEverywhere(stp *plan.Step) { mss.note(everywhere, stp) }

// note leaves out steps with restrictions other than room, which may have been the
// cause and tell nothing of others.
func (mss misses) note(zone string, stp *plan.Step) {
	if stp.Label == "" && stp.MaxPerVM == 0 && len(mss[zone]) < missesKept {
		mss[zone] = append(mss[zone], counted(stp))
	}
}

// isIn reports whether a step needs at least as much as one that missed there.
func (mss misses) isIn(zone string, stp *plan.Step) bool {
	need := counted(stp)
	for _, dmd := range mss[zone] {
		if dmd.Fits(need) {
			return true
		}
	}
	return false
}

func (mss misses) isEverywhere(stp *plan.Step) bool { return mss.isIn(everywhere, stp) }

// covers reports whether the stage needs at least as much as others that missed
// wherever its job may run, so that looking again is no use. A stage whose job may
// be recorded for another zone is looked at.
func (mss misses) covers(stg *stage) bool {
	if mss.isEverywhere(stg.step) {
		return true
	}
	if stg.job.home == "" || stg.job.nextZone == "" || !mss.isIn(stg.job.home, stg.step) {
		return false
	}
	for _, zone := range stg.job.zones {
		if !mss.isIn(zone, stg.step) {
			return false
		}
	}
	return true
}
