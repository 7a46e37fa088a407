package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/ledger"
)

// handleRunEnd handles the end of a run that a VM reports.
func (cel *Cell) handleRunEnd(now time.Time, vst *vmState, end agent.End) {
	vst.dropUnwantedRun(runKey{end.Task, end.Run})
	tst := cel.findTask(end.Task)
	if tst == nil || tst.phase == done {
		return
	}
	isCurrent := tst.vm == vst && tst.run == end.Run
	if end.Checkpoint != "" && (isCurrent || tst.vm == nil && end.Run >= tst.run) {
		tst.checkpoint = end.Checkpoint
	}
	switch end.How {
	case agent.EndedDone:
		vst.consecutiveFailures = 0
		cel.handleTaskDone(now, tst, vst)
		return
	case agent.EndedFailed:
		cel.handleTaskFailure(now, tst, vst, end.Run)
	}
	if end.Run > tst.run && tst.vm == nil {
		tst.run = end.Run
	}
	if isCurrent {
		cel.requeueTask(tst)
	}
}

func (cel *Cell) handleTaskFailure(now time.Time, tst *taskState, vst *vmState, run int) {
	if slices.Contains(tst.failedRuns, run) || tst.step.job.state.IsEnded() {
		return
	}
	tst.avoidVM = vst.host.ID
	jst := tst.step.job
	if !tst.step.plan.IsLasting {
		tst.failedRuns = append(tst.failedRuns, run)
		cel.markDirty(jst)
	}
	if vst.consecutiveFailures++; vst.consecutiveFailures >= quarantineFailures {
		vst.backoffUntil = now.Add(quarantineTime)
		cel.cfg.Event(now, "vmQuarantined", slog.String("vm", vst.host.ID), slog.Int("streak", vst.consecutiveFailures))
	}
	que, _ := cel.queueOf(jst.queue)
	cel.cfg.Event(now, "taskFailed", slog.String("task", tst.id.String()), slog.String("vm", vst.host.ID),
		slog.Int("run", run), slog.Int("failures", len(tst.failedRuns)), slog.Int("limit", que.MaxAttempts))
	if !tst.step.plan.IsLasting && len(tst.failedRuns) >= que.MaxAttempts {
		cel.endJob(now, jst, ledger.Failed, "attempts")
	}
}

// stopJob stops the runs of a job that has ended.
func (cel *Cell) stopJob(jst *jobState) {
	for _, occ := range jst.occurrences {
		if occ == nil {
			continue
		}
		for _, sst := range occ.steps {
			for i := range sst.tasks {
				if sst.tasks[i].phase != done {
					cel.stopTask(&sst.tasks[i])
				}
			}
		}
	}
}

// handleTaskDone handles that a run of the task has completed on the VM, whether it is
// the current run or not.
func (cel *Cell) handleTaskDone(now time.Time, tst *taskState, vst *vmState) {
	sst := tst.step
	if sst.plan.IsLasting {
		if tst.vm == vst {
			cel.requeueTask(tst)
		}
		return
	}
	if tst.vm != nil && tst.vm != vst {
		// Another run of the task goes on; it is stopped as an unwanted run.
		tst.vm.addUnwantedRun(runKey{tst.id, tst.run}, tst)
	}
	cel.markTaskDone(tst)
	if sst.plan.IsGang {
		for i := range sst.tasks {
			if sst.tasks[i].phase != done {
				cel.markTaskDone(&sst.tasks[i])
			}
		}
	}
	if sst.job.state.IsEnded() {
		return
	}
	cel.markDirty(sst.job)
	if sst.isDone() {
		cel.handleStepDone(now, sst)
	}
}

func (cel *Cell) markTaskDone(tst *taskState) {
	if tst.phase == waiting {
		tst.step.waitingCount--
	}
	if tst.vm != nil {
		tst.vm.removeTask(tst)
	}
	tst.phase = done
	tst.step.doneCount++
}

func (cel *Cell) handleStepDone(now time.Time, sst *stepState) {
	jst := sst.job
	delete(cel.openSteps, sst)
	if !sst.lastStartAt.IsZero() {
		sst.runTime = now.Sub(sst.lastStartAt)
		cel.runtimeModel(jst.queue).Observe(sst.plan.Estimate, sst.runTime)
	}
	occ := jst.occurrences[sst.occurrence]
	occ.stepsLeft--
	if occ.stepsLeft > 0 {
		for _, next := range occ.steps {
			cel.openIfReady(occ, next)
		}
		return
	}
	jst.doneOccurrenceCount++
	jst.doneOccurrences = append(jst.doneOccurrences, sst.occurrence)
	if jst.doneOccurrenceCount == len(jst.occurrences) {
		cel.endJob(now, jst, ledger.Completed, "done")
	}
}
