package poolscheduler

import (
	"log/slog"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/job/task"
)

// requeueTask frees the resources of a task whose run has ended and makes the task wait
// for its next run, unless it is done.
func (sch *Scheduler) requeueTask(tst *taskState) {
	if tst.vm != nil {
		tst.vm.removeTask(tst)
	}
	if tst.phase != waiting && tst.phase != done {
		tst.step.waitingCount++
	}
	if tst.phase != done {
		tst.phase = waiting
	}
	tst.isStartUnknown, tst.percentDone, tst.load, tst.pace = false, 0, 0, fullPercent
}

// stopTask marks the task's run for stopping. The run's resources stay reserved.
func (sch *Scheduler) stopTask(tst *taskState) {
	if tst.phase == stopping || tst.vm == nil {
		return
	}
	tst.phase, tst.stopSentAt, tst.stopAckedAt = stopping, time.Time{}, time.Time{}
	sch.stoppingTasks[tst] = true
}

// ConfirmOwnership records that this owner owned the pool at the given time. Tasks of an
// ended incarnation may start again if its end was learned before that time.
func (sch *Scheduler) ConfirmOwnership(at time.Time) {
	sch.confirmedAt = laterOf(sch.confirmedAt, at)
	for tst, learnedAt := range sch.unconfirmedTasks {
		if tst.phase == unconfirmed && !sch.confirmedAt.After(learnedAt) {
			continue
		}
		delete(sch.unconfirmedTasks, tst)
		if tst.phase == unconfirmed {
			sch.requeueTask(tst)
		}
	}
}

// Tick handles what depends on the time alone: leases that have expired, unlisted VMs
// to drop, and occurrences that are due.
func (sch *Scheduler) Tick(now time.Time) {
	for id, vst := range sch.vms {
		// Another owner may have renewed the leases, unless this owner's ownership was
		// confirmed after they expired.
		isLeaseExpired := now.After(vst.leaseEnd) && sch.confirmedAt.After(vst.leaseEnd)
		// The reports of a VM that answers show what has ended there, and how.
		if isLeaseExpired && vst.isUnresponsive && len(vst.tasks)+len(vst.unwantedRuns) > 0 {
			sch.handleLapse(now, vst)
		}
		if isLeaseExpired && len(vst.tasks) == 0 && !vst.isListed && now.Sub(vst.lastReportAt) > leaseBound(sch.cfg.MaxLease) {
			sch.dropVM(vst)
			sch.cfg.Event(now, "vmGone", slog.String("vm", id))
		}
	}
	for _, jst := range sch.timedJobs {
		sch.openDueOccurrences(now, jst)
		sch.updateTimedJobs(jst)
	}
}

// handleLapse handles the expiry of a VM's leases. Runs that it has not reported may be on a new
// incarnation, whose leases last longer.
func (sch *Scheduler) handleLapse(now time.Time, vst *vmState) {
	lapsed := 0
	for _, tst := range vst.tasks {
		if tst.incarnation == 0 {
			if end := tst.startSentAt.Add(leaseBound(sch.cfg.LongestLease)); !now.After(end) || !sch.confirmedAt.After(end) {
				continue
			}
		}
		lapsed++
		sch.requeueTask(tst)
	}
	if lapsed+len(vst.unwantedRuns) > 0 {
		sch.cfg.Event(now, "vmLapsed", slog.String("vm", vst.host.ID), slog.Int("tasks", lapsed), slog.Int("left", len(vst.tasks)),
			slog.Duration("silent", now.Sub(vst.lastReportAt)))
	}
	vst.dropUnwantedRuns()
}

// DropEndedJobs drops the jobs that ended longer ago than twice the status retention, and
// returns their ids.
func (sch *Scheduler) DropEndedJobs(now time.Time) []string {
	var dropped []string
	for len(sch.endedJobs) > 0 {
		jst := sch.jobs[sch.endedJobs[0]]
		if now.Sub(jst.endedAt) < 2*sch.cfg.StatusRetention || jst.isDirty || jst.placedTasks > 0 {
			break
		}
		dropped = append(dropped, jst.plan.ID)
		delete(sch.jobs, jst.plan.ID)
		sch.endedJobs = sch.endedJobs[1:]
	}
	return dropped
}

// HandleReport handles a VM's report. Sent is the time at which the poll was sent.
func (sch *Scheduler) HandleReport(now, sent time.Time, id string, rpt agent.Report) {
	vst, ok := sch.vms[id]
	if !ok {
		return
	}
	if rpt.Incarnation != 0 && vst.incarnation != 0 && rpt.Incarnation < vst.incarnation {
		if !sent.After(vst.restartedAt) {
			return // a late answer of an earlier incarnation
		}
		// The incarnation has answered a poll that was sent after its end was learned, so the
		// list names one that does not exist.
		sch.cfg.Event(now, "vmNotReborn", slog.String("vm", id), slog.Int64("born", rpt.Incarnation), slog.Int64("listed", vst.incarnation))
		vst.disproved = vst.incarnation
		sch.handleRestart(now, vst, rpt.Incarnation)
		vst.host.Incarnation = rpt.Incarnation
		sch.requestVMRecord(vst)
	}
	if rpt.Incarnation != 0 && rpt.Incarnation > vst.incarnation {
		if vst.incarnation != 0 {
			sch.handleRestart(now, vst, rpt.Incarnation)
		}
		vst.incarnation = rpt.Incarnation
		if rpt.Incarnation > vst.host.Incarnation { // the list does not show it yet
			vst.host.Incarnation = rpt.Incarnation
			sch.requestVMRecord(vst)
			sch.isUrgent = true
		}
	}
	sch.revise(vst)
	if !vst.hasReported {
		if !vst.isUnreconciled {
			vst.firstReportAt = now // a VM that an earlier owner used has not just joined the pool
		}
		vst.hasReported, vst.heldAt = true, now
		vst.leaseEnd = laterOf(vst.leaseEnd, now.Add(leaseBound(sch.cfg.LongestLease))) // an earlier owner may have asked for it
		sch.cfg.Event(now, "vmHeld", slog.String("vm", id), slog.Int64("fence", sch.cfg.FencingToken),
			slog.Int("active", len(rpt.Active)), slog.Int("ended", len(rpt.Ended)))
	}
	sch.noteCompleteness(now, vst, rpt)
	vst.clock, vst.clockAt, vst.lastReportAt, vst.isUnresponsive, vst.isLate = rpt.Clock, now, now, false, false
	for _, end := range rpt.Ended {
		if end.Number > vst.lastEndSeen {
			vst.lastEndSeen = end.Number
			sch.handleRunEnd(now, vst, end)
		}
	}
	vst.unreadableRuns = 0
	activeRuns := make(map[task.ID]int, len(rpt.Active))
	for _, run := range rpt.Active {
		activeRuns[run.Task] = run.Number
		sch.handleActiveRun(now, vst, sent, run)
	}
	if !rpt.IsCut {
		sch.handleAbsentTasks(now, sent, vst, activeRuns)
	}
}

// noteCompleteness records whether the report lists all ends of runs. One that does not
// shows of no run that it is absent, and of no task of an earlier owner that it has not ended.
func (sch *Scheduler) noteCompleteness(now time.Time, vst *vmState, rpt agent.Report) {
	if rpt.IsCut != vst.isReportCut {
		sch.cfg.Event(now, "endsCut", slog.String("vm", vst.host.ID), slog.Bool("cut", rpt.IsCut),
			slog.Int64("seen", vst.lastEndSeen), slog.Int64("stored", vst.lastEndStored))
	}
	vst.isReportCut = rpt.IsCut
	if !rpt.IsCut {
		vst.isUnreconciled = false
	}
}

// findTask returns the state of a task, or nil if it is unknown or its occurrence is not
// open.
func (sch *Scheduler) findTask(tid task.ID) *taskState {
	jst, ok := sch.jobs[tid.Job]
	if !ok || tid.Occurrence >= len(jst.occurrences) || tid.Step >= len(jst.plan.Steps) {
		return nil
	}
	occ := jst.occurrences[tid.Occurrence]
	if occ == nil || tid.Index >= len(occ.steps[tid.Step].tasks) {
		return nil
	}
	return &occ.steps[tid.Step].tasks[tid.Index]
}

// reportedTask is findTask for a task that a VM reports. It opens an occurrence that is not
// due by this owner's clock or since its last tick: an earlier owner has started it.
func (sch *Scheduler) reportedTask(tid task.ID) *taskState {
	if jst, ok := sch.jobs[tid.Job]; ok && !jst.state.IsEnded() {
		sch.openedOccurrence(jst, tid.Occurrence)
	}
	return sch.findTask(tid)
}

// handleActiveRun handles a run that the VM reports as active: it updates the task if
// the run is the current one, adopts the run if the task has none, and otherwise adds
// it to the unwanted runs.
func (sch *Scheduler) handleActiveRun(now time.Time, vst *vmState, sent time.Time, run agent.Run) {
	if sch.IsUnreadable(run.Task.Job) {
		vst.unreadableRuns++
		return
	}
	tst := sch.reportedTask(run.Task)
	if tst != nil {
		sch.markBegun(now, tst, vst.host.ID)
	}
	switch {
	case tst == nil || tst.phase == done || tst.step.job.state.IsEnded() && tst.vm == nil:
		vst.addUnwantedRun(runKey{run.Task, run.Number}, tst)
	case tst.vm == vst && tst.run == run.Number:
		sch.updateRun(tst, sent, run)
	case tst.vm == nil && tst.unwantedRunCount == 0 && run.Number >= tst.run:
		sch.adoptRun(vst, tst, run)
	default:
		vst.addUnwantedRun(runKey{run.Task, run.Number}, tst)
	}
}

func (sch *Scheduler) updateRun(tst *taskState, sent time.Time, run agent.Run) {
	if tst.phase == starting && (tst.isStartUnknown || tst.startAnsweredAt.IsZero()) {
		tst.phase, tst.startAnsweredAt, tst.isStartUnknown = running, sent, false
	}
	if run.Checkpoint != "" {
		tst.checkpoint = run.Checkpoint
	}
	tst.percentDone, tst.load = run.Percent, run.Load
	tst.incarnation, tst.isIncarnationUnknown = tst.vm.incarnation, false
}

// adoptRun makes the run, which an earlier owner started, the current run of the task.
func (sch *Scheduler) adoptRun(vst *vmState, tst *taskState, run agent.Run) {
	if tst.phase == waiting {
		tst.step.waitingCount--
	}
	tst.run, tst.phase, tst.startAnsweredAt = run.Number, running, vst.lastReportAt
	vst.addTask(tst)
	tst.isAdopted, tst.pace = true, unknownPace
	sch.updateRun(tst, vst.lastReportAt, run)
}

// unknownPace is the pace of a task whose pace order failed or that an earlier owner
// started, which may have set its pace.
const unknownPace = -1

// handleAbsentTasks handles the tasks and unwanted runs on the VM that its report does
// not list. Only a report that lists all ends and whose poll was sent after the order's
// outcome was known shows that a run is absent.
func (sch *Scheduler) handleAbsentTasks(now, sent time.Time, vst *vmState, activeRuns map[task.ID]int) {
	for tid, tst := range vst.tasks {
		if num, ok := activeRuns[tid]; ok && num == tst.run {
			continue
		}
		switch {
		case tst.phase == stopping && !tst.stopAckedAt.IsZero() && sent.After(tst.stopAckedAt) && tst.isIncarnationUnknown:
			sch.markUnconfirmed(now, tst)
		case tst.phase == stopping && !tst.stopAckedAt.IsZero() && sent.After(tst.stopAckedAt):
			sch.requeueTask(tst)
		case tst.phase == running && sent.After(tst.startAnsweredAt) && tst.isIncarnationUnknown:
			sch.cfg.Event(now, "runLost", slog.String("task", tid.String()), slog.String("vm", vst.host.ID), slog.Int("run", tst.run))
			sch.markUnconfirmed(now, tst) // it was one of the incarnation that has ended
		case tst.phase == starting && tst.isStartUnknown && sent.After(tst.startAnsweredAt):
			sch.stopTask(tst) // the start order may still arrive
		case tst.phase == running && sent.After(tst.startAnsweredAt):
			sch.cfg.Event(now, "runVanished", slog.String("task", tid.String()), slog.String("vm", vst.host.ID))
			sch.stopTask(tst)
		}
	}
	for key, pst := range vst.unwantedRuns {
		if num, ok := activeRuns[key.task]; ok && num == key.run {
			continue
		}
		if !pst.ackedAt.IsZero() && sent.After(pst.ackedAt) {
			vst.dropUnwantedRun(key)
		}
	}
}
