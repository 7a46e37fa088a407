package fleet

import (
	"sort"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

// Numbers of failures after which a VM or a job is considered faulty.
const (
	quarantineAfterJobs = 3 // distinct jobs that fail on one VM without a success in between
	failAfterVMs        = 3 // distinct VMs on which one job fails
)

func (flt *Fleet) jobSubmit(cfg record.Config) code.Code {
	if !row.IsName(cfg.Job.Name) || !cfg.Job.Shape.IsValid() {
		return code.BadShape
	}
	if _, ok := flt.jobs[cfg.Job.Name]; ok {
		return code.Duplicate
	}
	if !cfg.Job.Shape.Fits(flt.MaxShape()) {
		return code.NeverFits
	}
	jb := job.New(cfg.Job)
	flt.jobs[jb.Name()] = &jb
	flt.pendingJobs[jb.Name()] = true
	flt.notify(flt.cfg.OnJob, jb.Name())
	return code.OK
}

// MaxShape returns the most cores, memory and accelerators that any VM offers, each
// taken on its own.
func (flt *Fleet) MaxShape() shape.Shape {
	var largest shape.Config
	for _, vms := range flt.vms {
		if vms.member.Status() == member.Gone {
			continue
		}
		shp := vms.member.Shape()
		largest.Cores = max(largest.Cores, shp.Cores())
		largest.MemoryMB = max(largest.MemoryMB, shp.MemoryMB())
		largest.Accelerators = max(largest.Accelerators, shp.Accelerators())
	}
	return shape.New(largest)
}

func (flt *Fleet) jobPlace(cfg record.Config) code.Code {
	jb, ok := flt.jobs[cfg.JobName]
	if !ok {
		return code.UnknownJob
	}
	if jb.State() != job.Pending {
		return code.JobEnded
	}
	if jb.FencingToken() != cfg.FencingToken {
		return code.StaleFence
	}
	vms, ok := flt.vms[cfg.VM]
	if !ok {
		return code.UnknownVM
	}
	if !vms.member.IsAvailable() {
		return code.VMNotUp
	}
	if vms.member.IsQuarantined() {
		return code.Quarantined
	}
	if !cfg.Shape.Fits(vms.member.Shape().Minus(vms.used)) {
		return code.NoRoom
	}
	*jb = jb.Place(cfg.VM, cfg.Shape)
	vms.used = vms.used.Plus(cfg.Shape)
	vms.tasks[jb.Name()] = true
	flt.vmsWithTasks[cfg.VM] = true
	delete(flt.pendingJobs, jb.Name())
	flt.notify(flt.cfg.OnJob, jb.Name())
	return code.OK
}

func (flt *Fleet) jobEnd(cfg record.Config) code.Code {
	jb, ok := flt.jobs[cfg.JobName]
	if !ok {
		return code.UnknownJob
	}
	if jb.State() != job.Placed || jb.FencingToken() != cfg.FencingToken {
		return code.StaleFence
	}
	if cfg.Outcome == record.Done && cfg.Shape.IsValid() {
		flt.learnSize(jb.Config().Kind, cfg.Shape)
	}
	flt.endPlacement(jb, cfg.Outcome)
	return code.OK
}

// endPlacement frees the job's resources on the VM and ends the job or queues it again,
// depending on the outcome.
func (flt *Fleet) endPlacement(jb *job.Job, outcome record.Outcome) {
	if jb == nil || jb.State() != job.Placed {
		return
	}
	vms := flt.vms[jb.VM()]
	flt.freeTask(vms, jb)
	switch outcome {
	case record.Done:
		vms.failedJobs = map[string]bool{}
		flt.endJob(jb, job.Done)
	case record.Failed:
		vms.failedJobs[jb.Name()] = true
		*jb = jb.Fail(vms.member.VM())
		flt.handleFailure(jb, vms)
	default:
		*jb = jb.Release(job.Pending)
		flt.pendingJobs[jb.Name()] = true
	}
	flt.markOutIfConfirmed(vms)
	flt.notify(flt.cfg.OnJob, jb.Name())
}

// freeTask frees what the job's placement reserves on the VM.
func (flt *Fleet) freeTask(vms *vmState, jb *job.Job) {
	vms.used = vms.used.Minus(jb.Reserved())
	delete(vms.tasks, jb.Name())
	if len(vms.tasks) == 0 {
		delete(flt.vmsWithTasks, vms.member.VM())
	}
}

// handleFailure ends the job as failed once it failed on several VMs. Its failures then
// no longer count against these VMs. Otherwise it queues the job again, and quarantines
// the VM once several distinct jobs have failed on it without a success in between.
func (flt *Fleet) handleFailure(jb *job.Job, vms *vmState) {
	if len(jb.FailedOn()) >= failAfterVMs {
		for _, vm := range jb.FailedOn() {
			flt.clearFailure(vm, jb.Name())
		}
		flt.endJob(jb, job.Failed)
		return
	}
	*jb = jb.Release(job.Pending)
	flt.pendingJobs[jb.Name()] = true
	if len(vms.failedJobs) >= quarantineAfterJobs {
		flt.setMember(vms, vms.member.WithQuarantine(true))
	}
}

// clearFailure removes the job from the VM's failures, and ends the VM's quarantine when
// too few of them remain.
func (flt *Fleet) clearFailure(vm, name string) {
	vms, ok := flt.vms[vm]
	if !ok || !vms.failedJobs[name] {
		return
	}
	delete(vms.failedJobs, name)
	if vms.member.IsQuarantined() && len(vms.failedJobs) < quarantineAfterJobs {
		flt.setMember(vms, vms.member.WithQuarantine(false))
	}
}

func (flt *Fleet) endJob(jb *job.Job, stt job.State) {
	*jb = jb.Release(stt)
	delete(flt.pendingJobs, jb.Name())
	flt.endedJobs = append(flt.endedJobs, jb.Name())
	if len(flt.endedJobs) > maxEndedJobs {
		delete(flt.jobs, flt.endedJobs[0])
		flt.endedJobs = flt.endedJobs[1:]
	}
}

func (flt *Fleet) jobCancel(cfg record.Config) code.Code {
	jb, ok := flt.jobs[cfg.JobName]
	if !ok {
		return code.UnknownJob
	}
	if jb.IsEnded() {
		return code.JobEnded
	}
	if vms, ok := flt.vms[jb.VM()]; ok {
		flt.freeTask(vms, jb)
		flt.markOutIfConfirmed(vms)
	}
	flt.endJob(jb, job.Cancelled)
	flt.notify(flt.cfg.OnJob, jb.Name())
	return code.OK
}

// Job returns the job of that name, if it is still kept.
func (flt *Fleet) Job(name string) (job.Job, bool) {
	jb, ok := flt.jobs[name]
	if !ok {
		return job.Job{}, false
	}
	return *jb, true
}

// Jobs returns the names of all jobs that are still kept, sorted.
func (flt *Fleet) Jobs() []string {
	names := make([]string, 0, len(flt.jobs))
	for name := range flt.jobs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// HasPending reports whether any job waits for a placement.
func (flt *Fleet) HasPending() bool { return len(flt.pendingJobs) > 0 }

// PendingJobs returns the names of the jobs that wait for a placement, sorted.
func (flt *Fleet) PendingJobs() []string {
	names := make([]string, 0, len(flt.pendingJobs))
	for name := range flt.pendingJobs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Tasks returns the names of the jobs placed on the VM, sorted.
func (flt *Fleet) Tasks(vm string) []string {
	vms, ok := flt.vms[vm]
	if !ok {
		return nil
	}
	names := make([]string, 0, len(vms.tasks))
	for name := range vms.tasks {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// FreeCapacity returns the capacity of the VM that no job reserves.
func (flt *Fleet) FreeCapacity(vm string) shape.Shape {
	vms, ok := flt.vms[vm]
	if !ok {
		return shape.Shape{}
	}
	return vms.member.Shape().Minus(vms.used)
}
