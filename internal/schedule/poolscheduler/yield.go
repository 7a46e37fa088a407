package poolscheduler

import (
	"log/slog"
	"time"
)

// minYieldTime is the expected time to its end from which a run is worth stopping for work of another pool: a stop and the
// report of it take up to a second.
const minYieldTime = 600 * time.Millisecond

// SetYielding sets the VMs that are to be evacuated for work of another pool that can end in time.
func (sch *Scheduler) SetYielding(vms map[string]bool) { sch.yielding = vms }

// planYields stops tasks of jobs that are late in any case on VMs that another pool needs for work that can end in time.
func (sch *Scheduler) planYields(now time.Time) {
	if len(sch.yielding) == 0 {
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

// mayYield reports whether the task may be stopped for work of another pool: its job is late in any case, and its run
// is not about to end. Tasks of a gang end together, so they stay.
func (sch *Scheduler) mayYield(now time.Time, tst *taskState) bool {
	stp := tst.step.plan
	if tst.phase != running || tst.isAdopted || stp.IsLongRunning || stp.IsGang || stp.IsBackground || tst.step.job.state.IsEnded() {
		return false
	}
	ran := now.Sub(tst.startSentAt)
	cnd := sch.rankCandidate(tst.step)
	if !now.Add(cnd.Remaining - ran).After(cnd.Deadline) {
		return false
	}
	return sch.expectedRest(now, tst) > minYieldTime
}

// restShare is the part of what a run has taken that it is expected to take still when it lasts longer than expected.
const restShare = 0.25

// expectedRest returns how long the present run of a task is expected to take still.
func (sch *Scheduler) expectedRest(now time.Time, tst *taskState) time.Duration {
	stp := tst.step.plan
	expected := sch.runtimeModel(tst.step.job.queue.Name).PredictRun(stp.Estimate, stp.Count, tst.step.running(), tst.step.siblings)
	if tst.isAdopted { // its start is not known
		return expected / 2
	}
	ran := now.Sub(tst.startSentAt)
	return max(expected-ran, time.Duration(restShare*float64(ran)))
}
