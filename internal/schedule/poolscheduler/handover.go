package poolscheduler

import (
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/schedule/jobrecord"
)

// HasVMs reports whether the pool has VMs, or had some on which tasks may still run.
func (sch *Scheduler) HasVMs() bool { return len(sch.vms) > 0 }

// Leave removes open jobs, at most limit, for which target returns another pool, and returns them
// as they are. Without VMs no task of theirs runs; the pool must have none.
func (sch *Scheduler) Leave(target func(ref queue.Ref) string, limit int) []jobrecord.Handover {
	var leaving []jobrecord.Handover
	for id, jst := range sch.jobs {
		if len(leaving) == limit {
			break
		}
		to := target(jst.queue)
		if to == "" || jst.state.IsEnded() {
			continue
		}
		hnd := jobrecord.Handover{To: to, Previous: jst.from, Job: submissionOf(jst), Progress: progressOf(jst)}
		hnd.Job.From = sch.cfg.Name
		leaving = append(leaving, hnd)
		delete(sch.jobs, id)
		delete(sch.timedJobs, id)
		delete(sch.dirtyJobs, id)
		sch.openTasks -= jst.countedTasks
		for _, occ := range jst.occurrences {
			if occ == nil {
				continue
			}
			for _, sst := range occ.steps {
				delete(sch.openSteps, sst)
				for i := range sst.tasks {
					delete(sch.stoppingTasks, &sst.tasks[i])
					delete(sch.unconfirmedTasks, &sst.tasks[i])
				}
			}
		}
	}
	return leaving
}

// Adopt adds a job that another pool has handed over, once it is stored. It ignores a job that it
// already has.
func (sch *Scheduler) Adopt(now time.Time, jb jobrecord.Job, prg jobrecord.Progress) {
	if _, ok := sch.jobs[jb.Plan.ID]; ok {
		return
	}
	sch.restoreOpenJob(now, jb, prg).isInherited = false
}
