package poolscheduler

import "daisywheel/internal/fleet/agent"

// A job of which a record can't be read, as it is of another version, is left to an owner that can
// read it. Its tasks are not started, its runs go on, and their ends stay with their VMs.

// RestoreUnreadableJob adds a job of which a record can't be read.
func (sch *Scheduler) RestoreUnreadableJob(id string) { sch.unreadableJobs[id] = true }

// IsUnreadable reports whether the job is stored but can't be read.
func (sch *Scheduler) IsUnreadable(id string) bool { return sch.unreadableJobs[id] }

// holdEnd keeps the end of a run of an unreadable job from being acknowledged if it matters
// whether it was the run's own.
func (vst *vmState) holdEnd(end agent.End) {
	if vst.firstHeldEnd == 0 && (end.Reason == agent.EndedDone || end.Reason == agent.EndedFailed) {
		vst.firstHeldEnd = end.Number
	}
}

// lastStorableEnd returns the number of the newest end that was handled up to which all may be
// acknowledged.
func (vst *vmState) lastStorableEnd() int64 {
	if vst.firstHeldEnd > 0 {
		return vst.firstHeldEnd - 1
	}
	return vst.lastEndSeen
}

// hasUnreadableRuns reports whether runs of unreadable jobs are active on the VM, whose resources
// are not known, or have ended. Ends after theirs can't be acknowledged either, so the VM would
// soon list too many.
func (vst *vmState) hasUnreadableRuns() bool { return vst.unreadableRuns > 0 || vst.firstHeldEnd > 0 }
