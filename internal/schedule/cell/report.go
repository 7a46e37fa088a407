package cell

import (
	"log/slog"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/job/task"
)

// requeueTask frees the resources of a task whose run has ended and makes the task wait
// for its next run, unless it is done.
func (cel *Cell) requeueTask(tst *taskState) {
	if tst.vm != nil {
		tst.vm.removeTask(tst)
	}
	if tst.phase != waiting && tst.phase != done {
		tst.step.waitingCount++
	}
	if tst.phase != done {
		tst.phase = waiting
	}
	tst.isStartUnknown, tst.percentDone, tst.load, tst.pace = false, 0, 0, fullPace
}

// stopTask marks the task's run for stopping. The run's resources stay reserved.
func (cel *Cell) stopTask(tst *taskState) {
	if tst.phase == stopping || tst.vm == nil {
		return
	}
	tst.phase, tst.stopSentAt, tst.stopAckedAt = stopping, time.Time{}, time.Time{}
	cel.stoppingTasks[tst] = true
}

// Confirm records that this was the pool's owner at a time. Tasks whose VM's end was
// learned before that time may start again.
func (cel *Cell) Confirm(at time.Time) {
	cel.confirmedAt = laterOf(cel.confirmedAt, at)
	for tst, learnedAt := range cel.unconfirmedTasks {
		if tst.phase == unconfirmed && !cel.confirmedAt.After(learnedAt) {
			continue
		}
		delete(cel.unconfirmedTasks, tst)
		if tst.phase == unconfirmed {
			cel.requeueTask(tst)
		}
	}
}

// Lapse handles what depends on the time alone: leases that have expired, unlisted VMs
// to drop, and occurrences that are due.
func (cel *Cell) Lapse(now time.Time) {
	for id, vst := range cel.vms {
		// A later owner may have renewed the leases, unless this one was confirmed as the
		// owner after they expired.
		isLeaseExpired := now.After(vst.leaseEnd) && cel.confirmedAt.After(vst.leaseEnd)
		if isLeaseExpired && len(vst.tasks)+len(vst.unwantedRuns) > 0 {
			cel.cfg.Event(now, "vmLapsed", slog.String("vm", id), slog.Int("tasks", len(vst.tasks)),
				slog.Duration("silent", now.Sub(vst.lastReportAt)))
			for _, tst := range vst.tasks {
				cel.requeueTask(tst)
			}
			vst.dropUnwantedRuns()
		}
		if isLeaseExpired && !vst.isListed && now.Sub(vst.lastReportAt) > leaseBound(cel.cfg.LeaseMax) {
			cel.dropVM(vst)
			cel.cfg.Event(now, "vmGone", slog.String("vm", id))
		}
	}
	for _, jst := range cel.timedJobs {
		cel.openDueOccurrences(now, jst)
		cel.updateTimedJobs(jst)
	}
}

// Forget drops ended jobs whose status need not be kept any more, after twice
// StatusKept, and returns their ids.
func (cel *Cell) Forget(now time.Time) []string {
	var dropped []string
	for len(cel.endedJobs) > 0 {
		jst := cel.jobs[cel.endedJobs[0]]
		if now.Sub(jst.endedAt) < 2*cel.cfg.StatusKept || jst.isDirty || jst.placedTasks > 0 {
			break
		}
		dropped = append(dropped, jst.plan.ID)
		delete(cel.jobs, jst.plan.ID)
		cel.endedJobs = cel.endedJobs[1:]
	}
	return dropped
}

// Report handles a VM's report. Sent is the time at which the poll was sent.
func (cel *Cell) Report(now, sent time.Time, id string, rpt agent.Report) {
	vst, ok := cel.vms[id]
	if !ok {
		return
	}
	if rpt.Born != 0 && vst.incarnation != 0 && rpt.Born < vst.incarnation {
		return // a late answer of an earlier incarnation
	}
	if rpt.Born != 0 && rpt.Born > vst.incarnation {
		if vst.incarnation != 0 {
			cel.handleRestart(now, vst, rpt.Born)
		}
		vst.incarnation = rpt.Born
	}
	if !vst.hasReported {
		if !vst.isUnreconciled {
			vst.firstReportAt = now // a VM that an earlier owner used has not just joined the pool
		}
		vst.hasReported, vst.isUnreconciled = true, false
		vst.leaseEnd = laterOf(vst.leaseEnd, now.Add(leaseBound(cel.cfg.LeaseMax)))
		cel.cfg.Event(now, "vmHeld", slog.String("vm", id), slog.Int64("fence", cel.cfg.Fence),
			slog.Int("active", len(rpt.Active)), slog.Int("ended", len(rpt.Ended)))
	}
	vst.clock, vst.clockAt, vst.lastReportAt, vst.isUnresponsive = rpt.Clock, now, now, false
	for _, end := range rpt.Ended {
		if end.Number > vst.lastEndSeen {
			vst.lastEndSeen = end.Number
			cel.handleRunEnd(now, vst, end)
		}
	}
	listed := make(map[task.ID]int, len(rpt.Active))
	for _, run := range rpt.Active {
		listed[run.Task] = run.Number
		cel.handleActiveRun(vst, sent, run)
	}
	cel.handleAbsentTasks(now, sent, vst, listed)
}

// findTask returns the state of a task, or nil if it is unknown or its occurrence is not
// open.
func (cel *Cell) findTask(tid task.ID) *taskState {
	jst, ok := cel.jobs[tid.Job]
	if !ok || tid.Occurrence >= len(jst.occurrences) || tid.Step >= len(jst.plan.Steps) {
		return nil
	}
	occ := jst.occurrences[tid.Occurrence]
	if occ == nil || tid.Index >= len(occ.steps[tid.Step].tasks) {
		return nil
	}
	return &occ.steps[tid.Step].tasks[tid.Index]
}

// handleActiveRun handles a run that the VM reports as active: it updates the task if
// the run is the current one, adopts the run if the task has none, and otherwise adds
// it to the unwanted runs.
func (cel *Cell) handleActiveRun(vst *vmState, sent time.Time, run agent.Run) {
	tst := cel.findTask(run.Task)
	switch {
	case tst == nil || tst.phase == done || tst.step.job.state.IsEnded() && tst.vm == nil:
		vst.addUnwantedRun(runKey{run.Task, run.Number}, tst)
	case tst.vm == vst && tst.run == run.Number:
		cel.updateRun(tst, sent, run)
	case tst.vm == nil && tst.unwantedRuns == 0 && run.Number >= tst.run:
		cel.adoptRun(vst, tst, run)
	default:
		vst.addUnwantedRun(runKey{run.Task, run.Number}, tst)
	}
}

func (cel *Cell) updateRun(tst *taskState, sent time.Time, run agent.Run) {
	if tst.phase == starting && (tst.isStartUnknown || tst.startAnsweredAt.IsZero()) {
		tst.phase, tst.startAnsweredAt, tst.isStartUnknown = running, sent, false
	}
	if run.Checkpoint != "" {
		tst.checkpoint = run.Checkpoint
	}
	tst.percentDone, tst.load = run.Percent, run.Load
}

// adoptRun makes a run that an earlier owner started the task's current run.
func (cel *Cell) adoptRun(vst *vmState, tst *taskState, run agent.Run) {
	if tst.phase == waiting {
		tst.step.waitingCount--
	}
	tst.run, tst.phase, tst.startAnsweredAt = run.Number, running, vst.lastReportAt
	vst.addTask(tst)
	tst.step.job.isBegun = true
	tst.pace = unknownPace
	cel.updateRun(tst, vst.lastReportAt, run)
}

// unknownPace is the pace of a task whose pace order failed or that an earlier owner
// started, which may have set its pace.
const unknownPace = -1

// handleAbsentTasks handles the tasks and unwanted runs on the VM that its report does
// not list. Only a report whose poll was sent after the order's outcome was known shows
// that a run is absent.
func (cel *Cell) handleAbsentTasks(now, sent time.Time, vst *vmState, listed map[task.ID]int) {
	for tid, tst := range vst.tasks {
		if num, ok := listed[tid]; ok && num == tst.run {
			continue
		}
		switch {
		case tst.phase == stopping && !tst.stopAckedAt.IsZero() && sent.After(tst.stopAckedAt):
			cel.requeueTask(tst)
		case tst.phase == starting && tst.isStartUnknown && sent.After(tst.startAnsweredAt):
			cel.stopTask(tst) // the start order may still arrive
		case tst.phase == running && sent.After(tst.startAnsweredAt):
			cel.cfg.Event(now, "runVanished", slog.String("task", tid.String()), slog.String("vm", vst.host.ID))
			cel.stopTask(tst)
		}
	}
	for key, pst := range vst.unwantedRuns {
		if num, ok := listed[key.task]; ok && num == key.run {
			continue
		}
		if !pst.ackedAt.IsZero() && sent.After(pst.ackedAt) {
			vst.dropUnwantedRun(key)
		}
	}
}
