package poolscheduler

import (
	"slices"
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
)

// JobUpdate is the progress of a job to store.
type JobUpdate struct {
	ID       string
	Progress jobrecord.Progress
	// Submission is set when the record of the submission is to be set apart, so that entries
	// of earlier versions, which can't read the progress, do not run the job.
	Submission *jobrecord.Job
	// MayBeSetApart is set when that may have been done.
	MayBeSetApart bool
}

// Batch is the content of one append to the state log. Once it is stored, the run ends
// that it covers are acknowledged to the VMs.
type Batch struct {
	Updates    []JobUpdate
	AddedVMs   []host.Host          // VMs whose record is to be stored before tasks run there
	RemovedVMs []string             // VMs whose record is to be deleted
	endCursors map[string]endCursor // by VM
}

// endCursor is the newest run end of a VM's incarnation that a batch covers.
type endCursor struct{ incarnation, number int64 }

// IsEmpty reports whether there is nothing to store.
func (bat *Batch) IsEmpty() bool { return len(bat.Updates)+len(bat.AddedVMs)+len(bat.RemovedVMs) == 0 }

// TakeBatch returns what has changed since the last batch. The owner appends the
// batch to the state log and then calls CommitBatch or RollBackBatch.
func (sch *Scheduler) TakeBatch() Batch {
	bat := Batch{endCursors: map[string]endCursor{}}
	for id := range sch.dirtyJobs {
		jst := sch.jobs[id]
		jst.isDirty = false
		bat.Updates = append(bat.Updates, newJobUpdate(jst))
	}
	clear(sch.dirtyJobs)
	sch.isUrgent = false
	for id := range sch.vmRecordsToWrite {
		bat.AddedVMs = append(bat.AddedVMs, sch.vms[id].host)
	}
	clear(sch.vmRecordsToWrite)
	for id := range sch.vmRecordsToDelete {
		bat.RemovedVMs = append(bat.RemovedVMs, id)
	}
	clear(sch.vmRecordsToDelete)
	for _, vst := range sch.sortedVMs() {
		if last := vst.lastStorableEnd(); vst.lastEndStored < last {
			bat.endCursors[vst.host.ID] = endCursor{vst.incarnation, last}
		}
	}
	return bat
}

// CommitBatch marks the changes of a batch as stored.
func (sch *Scheduler) CommitBatch(bat Batch) {
	for _, upd := range bat.Updates {
		if jst, ok := sch.jobs[upd.ID]; ok {
			jst.storedState = upd.Progress.State
			jst.isSetApart = jst.isSetApart || upd.Submission != nil
			jst.extraZones = upd.Progress.ExtraZones
			if slices.Contains(jst.extraZones, jst.requestedZone) {
				jst.requestedZone = ""
			}
		}
	}
	for _, hst := range bat.AddedVMs {
		if vst, ok := sch.vms[hst.ID]; ok && vst.host.Address == hst.Address && hst.Incarnation >= vst.host.Incarnation {
			vst.isStored = true
		}
	}
	for id, cur := range bat.endCursors {
		if vst, ok := sch.vms[id]; ok && vst.incarnation == cur.incarnation {
			vst.lastEndStored = max(vst.lastEndStored, cur.number)
		}
	}
}

// RollBackBatch marks the changes of a batch that was not stored as still to be stored,
// so that they become part of the next batch.
func (sch *Scheduler) RollBackBatch(bat Batch) {
	for _, upd := range bat.Updates {
		if jst, ok := sch.jobs[upd.ID]; ok {
			sch.markDirty(jst)
		}
	}
	for _, hst := range bat.AddedVMs {
		if vst, ok := sch.vms[hst.ID]; ok {
			sch.requestVMRecord(vst)
		}
	}
	for _, id := range bat.RemovedVMs {
		if sch.vms[id] == nil {
			sch.vmRecordsToDelete[id] = true
		}
	}
}

// HasUrgentChanges reports whether a change is to be stored that callers or tasks wait for.
func (sch *Scheduler) HasUrgentChanges() bool { return sch.isUrgent }

// HasChanges reports whether there are changes to store, or ends of runs to acknowledge. Ends that
// change nothing, as of stopped runs, have to be acknowledged too.
func (sch *Scheduler) HasChanges() bool {
	if len(sch.dirtyJobs)+len(sch.vmRecordsToWrite)+len(sch.vmRecordsToDelete) > 0 {
		return true
	}
	for _, vst := range sch.vms {
		if vst.lastEndStored < vst.lastStorableEnd() {
			return true
		}
	}
	return false
}

func newJobUpdate(jst *jobState) JobUpdate {
	upd := JobUpdate{ID: jst.plan.ID, Progress: progressOf(jst), MayBeSetApart: jst.plan.IsRepeating() || jst.isSetApart}
	if upd.Progress.IsCompact() && !jst.isSetApart {
		jb := submissionOf(jst)
		upd.Submission = &jb
	}
	return upd
}

func submissionOf(jst *jobState) jobrecord.Job {
	return jobrecord.Job{
		Plan: jst.plan, Queue: jst.queue.Name, Address: jst.queue.Address, FirstAttempt: jst.waitingSince, Zone: jst.homeZone, MaxAttempts: jst.maxAttempts,
		From: jst.from, Organisation: jst.queue.Organisation,
	}
}

func progressOf(jst *jobState) jobrecord.Progress {
	prg := jobrecord.Progress{State: jst.state, Queue: jst.queue.Name, Address: jst.queue.Address, Organisation: jst.queue.Organisation, Ended: jst.endedAt}
	if jst.state.IsEnded() {
		return prg
	}
	if jst.hasBegun {
		prg.State = jobrecord.Running
	}
	prg.ExtraZones = slices.Clone(jst.extraZones)
	if jst.requestedZone != "" && !slices.Contains(prg.ExtraZones, jst.requestedZone) {
		prg.ExtraZones = append(prg.ExtraZones, jst.requestedZone)
	}
	prg.Occurrences, prg.Steps = jst.done.Clone(), len(jst.plan.Steps)
	for num, occ := range jst.occurrences {
		if occ == nil {
			continue
		}
		for _, sst := range occ.steps {
			prg.Done, prg.Failures = stepProgress(num, sst, prg.Done, prg.Failures)
		}
	}
	return prg
}

func stepProgress(num int, sst *stepState, dones []jobrecord.DoneTasks, fails []jobrecord.Failure) ([]jobrecord.DoneTasks, []jobrecord.Failure) {
	don := jobrecord.DoneTasks{Occurrence: num, Step: sst.index, IsAll: sst.isDone()}
	for i := range sst.tasks {
		tst := &sst.tasks[i]
		if tst.phase == done && !don.IsAll {
			don.Indexes = append(don.Indexes, i)
		}
		if len(tst.failedRuns) > 0 && tst.phase != done && !sst.plan.IsLongRunning {
			fails = append(fails, jobrecord.Failure{Occurrence: num, Step: sst.index, Index: i, Runs: tst.failedRuns})
		}
	}
	if don.IsAll || len(don.Indexes) > 0 {
		dones = append(dones, don)
	}
	return dones, fails
}

// RestoreJob adds a job as an earlier owner has stored it. The job may be nil if it has
// ended, as its plan is then no longer stored.
func (sch *Scheduler) RestoreJob(now time.Time, id string, jb *jobrecord.Job, prg jobrecord.Progress) {
	if jb == nil && !prg.State.IsEnded() {
		sch.RestoreUnreadableJob(id)
	}
	if sch.IsUnreadable(id) {
		return
	}
	if prg.State.IsEnded() {
		jst := &jobState{plan: placeholderPlan(id), queue: queue.Ref{Name: prg.Queue, Address: prg.Address, Organisation: prg.Organisation}, state: prg.State, storedState: prg.State, endedAt: now}
		sch.jobs[id] = jst
		sch.endedJobs = append(sch.endedJobs, id)
		if jb != nil {
			// The earlier owner stored the end without removing the submission, from which a
			// later one would run the job again once its end is no longer stored.
			jst.isSetApart = true // possibly
			sch.markDirty(jst)
		}
		return
	}
	sch.restoreOpenJob(now, *jb, prg)
}

// restoreOpenJob adds a job that has not ended.
func (sch *Scheduler) restoreOpenJob(now time.Time, jb jobrecord.Job, prg jobrecord.Progress) *jobState {
	jst := sch.newJobState(firstAttemptTime(now, jb), jb)
	jst.isSetApart = prg.Occurrences.Len() > 0
	jst.extraZones = prg.ExtraZones
	jst.isInherited, jst.storedState = !sch.cfg.IsFirstTerm, prg.State
	jst.hasBegun = prg.State == jobrecord.Running
	sch.jobs[jb.Plan.ID] = jst
	sch.restoreDoneOccurrences(jst, prg)
	sch.openDueOccurrences(now, jst)
	sch.updateTimedJobs(jst)
	sch.restoreTasks(jst, prg)
	sch.updateOpenTasks(jst)
	return jst
}

// restoreDoneOccurrences finds the occurrences whose steps are all done.
func (sch *Scheduler) restoreDoneOccurrences(jst *jobState, prg jobrecord.Progress) {
	jst.done = prg.Occurrences.Clone()
	doneSteps := map[int]int{}
	for _, don := range prg.Done {
		if don.IsAll {
			doneSteps[don.Occurrence]++
		}
	}
	for num, count := range doneSteps {
		if count == len(jst.plan.Steps) {
			jst.done.Add(num)
		}
	}
}

func (sch *Scheduler) restoreTasks(jst *jobState, prg jobrecord.Progress) {
	for _, don := range prg.Done {
		occ := sch.openedOccurrence(jst, don.Occurrence)
		if occ == nil || don.Step >= len(occ.steps) {
			continue
		}
		sst := occ.steps[don.Step]
		for i := range sst.tasks {
			if don.IsAll || slices.Contains(don.Indexes, i) {
				if sst.tasks[i].phase != done {
					sch.markTaskDone(&sst.tasks[i])
				}
			}
		}
		if sst.isDone() {
			occ.stepsLeft--
			delete(sch.openSteps, sst)
		}
	}
	for _, fal := range prg.Failures {
		occ := sch.openedOccurrence(jst, fal.Occurrence)
		if len(fal.Runs) == 0 || occ == nil || fal.Step >= len(occ.steps) || fal.Index >= len(occ.steps[fal.Step].tasks) {
			continue
		}
		tst := &occ.steps[fal.Step].tasks[fal.Index]
		tst.failedRuns = fal.Runs
		tst.run = max(tst.run, slices.Max(fal.Runs))
	}
	for _, occ := range jst.occurrences {
		if occ == nil {
			continue
		}
		for _, sst := range occ.steps {
			sch.openIfReady(occ, sst)
		}
	}
}

// openedOccurrence returns the state of an occurrence, or nil if the occurrence is done
// or does not exist. It opens an occurrence that is not open yet: one with stored
// progress may not be due by this owner's clock.
func (sch *Scheduler) openedOccurrence(jst *jobState, num int) *occurrence {
	if num < 0 || num >= len(jst.occurrences) || jst.done.Has(num) {
		return nil
	}
	if jst.occurrences[num] == nil {
		sch.openOccurrence(jst, num)
	}
	return jst.occurrences[num]
}

// placeholderPlan returns a plan with only the id, for an ended job.
func placeholderPlan(id string) *plan.Plan { return &plan.Plan{ID: id} }
