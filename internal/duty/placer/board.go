package placer

import (
	"sort"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/state/fleet"
)

// board is the room on all usable VMs, less what this step has placed already.
type freeCapacity struct {
	flt   *fleet.Fleet
	vms   []string
	pools map[string]string
	free  map[string]shape.Shape
}

func newFreeCapacity(flt *fleet.Fleet) *freeCapacity {
	brd := &freeCapacity{flt: flt, pools: map[string]string{}, free: map[string]shape.Shape{}}
	for _, name := range flt.VMs() {
		mbr, _ := flt.Member(name)
		if isUsable(mbr) {
			brd.vms = append(brd.vms, name)
			brd.pools[name] = mbr.Pool()
			brd.free[name] = flt.Room(name)
		}
	}
	return brd
}

func (brd *freeCapacity) mayRunOn(jb job.Job, vm string) bool {
	want := jb.Config().Pool
	return (want == "" || want == brd.pools[vm]) && !jb.HasFailedOn(vm)
}

// size returns what to reserve for the job.
func (brd *freeCapacity) reservation(jb job.Job) shape.Shape {
	return brd.flt.SizeFor(jb.Config().Kind, jb.Config().Shape)
}

// place takes room for the job on the VM that it fills best, and reports false
// when no VM has room.
func (brd *freeCapacity) place(jb job.Job) (string, bool) {
	need := brd.reservation(jb)
	best := ""
	bestLeft := 0
	for _, vm := range brd.vms {
		if !brd.mayRunOn(jb, vm) || !need.Fits(brd.free[vm]) {
			continue
		}
		left := leftoverScore(brd.free[vm].Minus(need))
		if best == "" || left < bestLeft {
			best, bestLeft = vm, left
		}
	}
	if best == "" {
		return "", false
	}
	brd.free[best] = brd.free[best].Minus(need)
	return best, true
}

// leftover weighs what would stay free on a VM. One core counts as 4096 MB, and
// accelerators count most, so that jobs without need of them avoid them.
func leftoverScore(shp shape.Shape) int {
	return shp.Cores()*4096 + shp.MemoryMB() + shp.Accelerators()*1_000_000
}

// victims returns the lesser tasks of the VM where the fewest have to end for
// the job to fit.
func (brd *freeCapacity) victims(jb job.Job) []job.Job {
	var best []job.Job
	for _, vm := range brd.vms {
		if !brd.mayRunOn(jb, vm) {
			continue
		}
		list, ok := brd.victimsOn(vm, jb)
		if ok && (best == nil || len(list) < len(best)) {
			best = list
		}
	}
	return best
}

func (brd *freeCapacity) victimsOn(vm string, jb job.Job) ([]job.Job, bool) {
	var lesser []job.Job
	for _, name := range brd.flt.Tasks(vm) {
		oth, _ := brd.flt.Job(name)
		if !oth.IsUrgent() && oth.Config().Priority < jb.Config().Priority {
			lesser = append(lesser, oth)
		}
	}
	sort.SliceStable(lesser, func(i, j int) bool { return lesser[i].Config().Priority < lesser[j].Config().Priority })
	room := brd.free[vm]
	for idx, oth := range lesser {
		room = room.Plus(oth.Reserved())
		if brd.reservation(jb).Fits(room) {
			return lesser[:idx+1], true
		}
	}
	return nil, false
}
