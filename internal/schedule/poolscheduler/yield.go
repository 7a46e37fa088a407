package poolscheduler

import (
	"log/slog"
	"time"

	"daisywheel/internal/fleet/balance"
)

// minYieldTime is the expected time to its end from which a run is worth stopping for work of another pool: a stop and the
// report of it take up to a second.
const minYieldTime = 600 * time.Millisecond

// SetYielding sets the VMs that are to be evacuated for work of another pool that can end in time.
func (sch *Scheduler) SetYielding(vms map[string]bool) { sch.yielding = vms }

// isShared reports whether organisations share the fleet. Only then late work makes room for other pools.
func (sch *Scheduler) isShared() bool { return sch.table != nil && sch.table.Organisations() != nil }

// planYields stops tasks of jobs that are late in any case on VMs that another pool needs for work that can end in time.
func (sch *Scheduler) planYields(now time.Time) {
	if len(sch.yielding) == 0 || !sch.isShared() {
		return
	}
	for _, vst := range sch.sortedVMs() {
		if !vst.isEvacuating || !sch.yielding[vst.host.ID] {
			continue
		}
		for _, tst := range vst.tasks {
			if sch.mayYield(now, tst) {
				sch.cfg.Event(now, "taskYielded", slog.String("task", tst.id.String()), slog.Int("run", tst.run), slog.String("vm", vst.host.ID),
					slog.Duration("ran", now.Sub(tst.startSentAt)))
				sch.stopTask(tst)
			}
		}
	}
}

// releaseInterval is how often it is computed when VMs are expected to be free. Reports on a pool may be more frequent in a
// burst, and each looks at all tasks.
const releaseInterval = 200 * time.Millisecond

// addRelease adds to the VMs of a pool how many of their tasks yield and when they are expected to be free. A pool
// that needs all its VMs gives none, and its owner is busiest then.
func (sch *Scheduler) addRelease(now time.Time, pol *balance.Pool) {
	supply := int64(0)
	for i := range pol.VMs {
		supply += pol.VMs[i].MilliCores
	}
	if pol.Demand >= supply || !sch.isShared() {
		return
	}
	sch.updateRelease(now)
	for i, vst := range sch.sortedVMs() {
		pol.VMs[i].Yielding, pol.VMs[i].FreeIn = vst.yieldingTasks, vst.freeIn
	}
}

// updateRelease computes for each VM how many of its tasks yield and when the others are expected to have ended.
func (sch *Scheduler) updateRelease(now time.Time) {
	if now.Sub(sch.releasedAt) < releaseInterval {
		return
	}
	sch.releasedAt = now
	for _, vst := range sch.sortedVMs() {
		vst.yieldingTasks, vst.freeIn = 0, 0
		for _, tst := range vst.tasks {
			if sch.mayYield(now, tst) {
				vst.yieldingTasks++
			} else if !tst.step.plan.IsLongRunning {
				vst.freeIn = max(vst.freeIn, sch.expectedRest(now, tst))
			}
		}
	}
}

// outlook is what is expected of the tasks of a step at a time.
type outlook struct {
	at    time.Time
	run   time.Duration // one run
	spare time.Duration // until the deadline of the job, less what the job still takes from the start of the step
}

// outlookOf returns the outlook of a step, which is computed once for all its tasks.
func (sch *Scheduler) outlookOf(now time.Time, sst *stepState) outlook {
	if !sst.outlook.at.Equal(now) {
		cnd, stp := sch.rankCandidate(sst), sst.plan
		sst.outlook = outlook{
			at: now, spare: cnd.Deadline.Sub(now) - cnd.Remaining,
			run: sch.runtimeModel(sst.job.queue.Name).PredictRun(stp.Estimate, stp.Count, sst.running(), sst.siblings),
		}
	}
	return sst.outlook
}

// mayYield reports whether the task may be stopped for work of another pool: its job is late in any case, and its run
// is not about to end. Tasks of a gang end together, so they stay.
func (sch *Scheduler) mayYield(now time.Time, tst *taskState) bool {
	stp := tst.step.plan
	if tst.phase != running || tst.isAdopted || stp.IsLongRunning || stp.IsGang || stp.IsBackground || tst.step.job.state.IsEnded() {
		return false
	}
	isLate := sch.outlookOf(now, tst.step).spare+now.Sub(tst.startSentAt) < 0
	return isLate && sch.expectedRest(now, tst) > minYieldTime
}

// restShare is the part of what a run has taken that it is expected to take still when it lasts longer than expected.
const restShare = 0.25

// expectedRest returns how long the present run of a task is expected to take still.
func (sch *Scheduler) expectedRest(now time.Time, tst *taskState) time.Duration {
	expected := sch.outlookOf(now, tst.step).run
	if tst.isAdopted { // its start is not known
		return expected / 2
	}
	ran := now.Sub(tst.startSentAt)
	return max(expected-ran, time.Duration(restShare*float64(ran)))
}
