package placer

import (
	"sort"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/state/fleet"
)

// freeCapacity is the free capacity of all usable VMs, less what this step has
// already placed.
type freeCapacity struct {
	flt   *fleet.Fleet
	vms   []string
	pools map[string]string
	free  map[string]shape.Shape
}

func newFreeCapacity(flt *fleet.Fleet) *freeCapacity {
	frc := &freeCapacity{flt: flt, pools: map[string]string{}, free: map[string]shape.Shape{}}
	for _, name := range flt.VMs() {
		mbr, _ := flt.Member(name)
		if isUsable(mbr) {
			frc.vms = append(frc.vms, name)
			frc.pools[name] = mbr.Pool()
			frc.free[name] = flt.FreeCapacity(name)
		}
	}
	return frc
}

// mayRunOn reports whether the VM is in the job's pool, if it names one, and the job
// has not failed there.
func (frc *freeCapacity) mayRunOn(jb job.Job, vm string) bool {
	want := jb.Config().Pool
	return (want == "" || want == frc.pools[vm]) && !jb.HasFailedOn(vm)
}

// reservation returns the capacity to reserve for the job.
func (frc *freeCapacity) reservation(jb job.Job) shape.Shape {
	return frc.flt.SizeFor(jb.Config().Kind, jb.Config().Shape)
}

// place reserves capacity for the job on the VM where the least would stay free
// (best fit), and returns false if the job fits on no VM.
func (frc *freeCapacity) place(jb job.Job) (string, bool) {
	need := frc.reservation(jb)
	best := ""
	bestLeft := 0
	for _, vm := range frc.vms {
		if !frc.mayRunOn(jb, vm) || !need.Fits(frc.free[vm]) {
			continue
		}
		left := leftoverScore(frc.free[vm].Minus(need))
		if best == "" || left < bestLeft {
			best, bestLeft = vm, left
		}
	}
	if best == "" {
		return "", false
	}
	frc.free[best] = frc.free[best].Minus(need)
	return best, true
}

// leftoverScore weights the capacity that would stay free on a VM. One core counts
// as 4096 MB. Accelerators count most, so that jobs that need none avoid VMs with
// accelerators.
func leftoverScore(shp shape.Shape) int {
	return shp.Cores()*4096 + shp.MemoryMB() + shp.Accelerators()*1_000_000
}

// victims returns the preemption victims of the job: the tasks of lower priority to
// end so that it fits, on the VM where they are the fewest.
func (frc *freeCapacity) victims(jb job.Job) []job.Job {
	var best []job.Job
	for _, vm := range frc.vms {
		if !frc.mayRunOn(jb, vm) {
			continue
		}
		list, ok := frc.victimsOn(vm, jb)
		if ok && (best == nil || len(list) < len(best)) {
			best = list
		}
	}
	return best
}

// victimsOn returns the preemption victims on one VM, lowest priority first, and false if
// the job would not fit even without them.
func (frc *freeCapacity) victimsOn(vm string, jb job.Job) ([]job.Job, bool) {
	var lower []job.Job
	for _, name := range frc.flt.Tasks(vm) {
		oth, _ := frc.flt.Job(name)
		if !oth.IsUrgent() && oth.Config().Priority < jb.Config().Priority {
			lower = append(lower, oth)
		}
	}
	sort.SliceStable(lower, func(i, j int) bool { return lower[i].Config().Priority < lower[j].Config().Priority })
	free := frc.free[vm]
	for idx, oth := range lower {
		free = free.Plus(oth.Reserved())
		if frc.reservation(jb).Fits(free) {
			return lower[:idx+1], true
		}
	}
	return nil, false
}
