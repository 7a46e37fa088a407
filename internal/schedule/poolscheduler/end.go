package poolscheduler

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/jobrecord"
)

// handleRunEnd handles the end of a run that a VM reports.
func (sch *Scheduler) handleRunEnd(now time.Time, vst *vmState, end agent.End) {
	if sch.IsUnreadable(end.Task.Job) {
		vst.holdEnd(end)
		return
	}
	vst.dropUnwantedRun(runKey{end.Task, end.Run})
	tst := sch.reportedTask(end.Task)
	if tst == nil || tst.phase == done {
		return
	}
	sch.markBegun(now, tst, vst.host.ID)
	isCurrent := tst.vm == vst && tst.run == end.Run
	if end.Checkpoint != "" && (isCurrent || tst.vm == nil && end.Run >= tst.run) {
		tst.checkpoint = end.Checkpoint
	}
	switch end.Reason {
	case agent.EndedDone:
		vst.consecutiveFailures = 0
		if isCurrent && !tst.isAdopted && !tst.isResumed {
			tst.step.siblings.Add(now.Sub(tst.startSentAt))
		}
		sch.handleTaskDone(now, tst, vst)
		return
	case agent.EndedFailed:
		sch.handleTaskFailure(now, tst, vst, end.Run)
	}
	if end.Run > tst.run && tst.vm == nil {
		tst.run = end.Run
	}
	if isCurrent {
		sch.requeueTask(tst)
		pauseAfterQuickEnd(now, tst, end.Reason)
	}
}

// minLongRun is how long a run of a long-running task lasts at least, unless it ended at once.
const minLongRun = 2 * time.Second

// pauseAfterQuickEnd makes a long-running task whose runs end at once, by themselves, wait longer each
// time. Each run takes a number, of which a term has 1,000; a VM refuses those of a later term that are
// not higher.
func pauseAfterQuickEnd(now time.Time, tst *taskState, reason agent.EndReason) {
	if !tst.step.plan.IsLongRunning || reason != agent.EndedFailed && reason != agent.EndedDone {
		return
	}
	if tst.isAdopted || now.Sub(tst.startSentAt) >= minLongRun {
		tst.quickEnds = 0
		return
	}
	tst.quickEnds++
	tst.pausedUntil = now.Add(refusalPause(tst.quickEnds))
}

func (sch *Scheduler) handleTaskFailure(now time.Time, tst *taskState, vst *vmState, run int) {
	if slices.Contains(tst.failedRuns, run) || tst.step.job.state.IsEnded() {
		return
	}
	tst.avoidVM = vst.host.ID
	jst := tst.step.job
	if !tst.step.plan.IsLongRunning {
		tst.failedRuns = append(tst.failedRuns, run)
		sch.markDirty(jst)
	}
	if vst.consecutiveFailures++; vst.consecutiveFailures >= quarantineFailures {
		vst.backoffUntil = now.Add(quarantineTime)
		sch.cfg.Event(now, "vmQuarantined", slog.String("vm", vst.host.ID), slog.Int("streak", vst.consecutiveFailures))
	}
	limit := sch.maxAttempts(jst)
	sch.cfg.Event(now, "taskFailed", slog.String("task", tst.id.String()), slog.String("vm", vst.host.ID),
		slog.Int("run", run), slog.Int("failures", len(tst.failedRuns)), slog.Int("limit", limit))
	if !tst.step.plan.IsLongRunning && len(tst.failedRuns) >= limit {
		sch.endJob(now, jst, jobrecord.Failed, "attempts")
	}
}

// stopJob stops the runs of a job that has ended.
func (sch *Scheduler) stopJob(jst *jobState) {
	for _, occ := range jst.occurrences {
		if occ == nil {
			continue
		}
		for _, sst := range occ.steps {
			for i := range sst.tasks {
				if sst.tasks[i].phase != done {
					sch.stopTask(&sst.tasks[i])
				}
			}
		}
	}
}

// handleTaskDone handles the completion of a run of the task on the VM, be it the task's
// current run or another one.
func (sch *Scheduler) handleTaskDone(now time.Time, tst *taskState, vst *vmState) {
	sst := tst.step
	if sst.plan.IsLongRunning {
		if tst.vm == vst {
			sch.requeueTask(tst)
			pauseAfterQuickEnd(now, tst, agent.EndedDone)
		}
		return
	}
	if tst.vm != nil && tst.vm != vst {
		// The current run on another VM goes on; it is stopped as an unwanted run.
		tst.vm.addUnwantedRun(runKey{tst.id, tst.run}, tst)
	}
	sch.markTaskDone(tst)
	if sst.plan.IsGang {
		for i := range sst.tasks {
			if sst.tasks[i].phase != done {
				sch.markTaskDone(&sst.tasks[i])
			}
		}
	}
	if sst.job.state.IsEnded() {
		return
	}
	sch.markDirty(sst.job)
	if sst.isDone() {
		sch.handleStepDone(now, sst)
	}
}

func (sch *Scheduler) markTaskDone(tst *taskState) {
	if tst.phase == waiting {
		tst.step.waitingCount--
	}
	if tst.vm != nil {
		tst.vm.removeTask(tst)
	}
	tst.phase = done
	tst.step.doneCount++
}

func (sch *Scheduler) handleStepDone(now time.Time, sst *stepState) {
	jst := sst.job
	delete(sch.openSteps, sst)
	if !sst.lastStartAt.IsZero() {
		sst.runTime = now.Sub(sst.lastStartAt)
		mdl := sch.runtimeModel(jst.queue.Name)
		mdl.Observe(sst.plan.Estimate, sst.runTime)
		mdl.ObserveSiblings(sst.siblings)
	}
	occ := jst.occurrences[sst.occurrence]
	occ.stepsLeft--
	if occ.stepsLeft > 0 {
		for _, next := range occ.steps {
			sch.openIfReady(occ, next)
		}
		return
	}
	jst.done.Add(sst.occurrence)
	jst.occurrences[sst.occurrence] = nil
	jst.openOccurrences--
	sch.updateOpenTasks(jst)
	if jst.done.Len() == len(jst.occurrences) {
		sch.endJob(now, jst, jobrecord.Completed, "done")
		return
	}
	sch.openDueOccurrences(now, jst)
	sch.updateTimedJobs(jst)
}
