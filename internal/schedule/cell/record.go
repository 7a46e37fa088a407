package cell

import (
	"slices"
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/ledger"
)

// Update is the progress of a job that should be stored.
type Update struct {
	ID       string
	Progress ledger.Progress
}

// Batch is what one append stores. Ends are acknowledged to the VMs when it is.
type Batch struct {
	Updates []Update
	Hosts   []host.Host // VMs that may run tasks from now on
	Gone    []string    // VMs that may not any more
	seen    map[string]vmSeen
}

type vmSeen struct{ born, number int64 }

// IsEmpty reports whether there is nothing to store.
func (bat *Batch) IsEmpty() bool { return len(bat.Updates)+len(bat.Hosts)+len(bat.Gone) == 0 }

// TakeBatch returns what has changed since the last batch.
func (cel *Cell) TakeBatch() Batch {
	bat := Batch{seen: map[string]vmSeen{}}
	for id := range cel.dirty {
		ent := cel.jobs[id]
		ent.isDirty = false
		bat.Updates = append(bat.Updates, Update{ID: id, Progress: progressOf(ent)})
	}
	clear(cel.dirty)
	cel.isUrgent = false
	for id := range cel.newVMs {
		bat.Hosts = append(bat.Hosts, cel.vms[id].host)
	}
	clear(cel.newVMs)
	for id := range cel.goneVMs {
		bat.Gone = append(bat.Gone, id)
	}
	clear(cel.goneVMs)
	for _, mac := range cel.machines() {
		if mac.acked < mac.seen {
			bat.seen[mac.host.ID] = vmSeen{mac.born, mac.seen}
		}
	}
	return bat
}

// Recorded takes in that a batch is stored.
func (cel *Cell) Recorded(bat Batch) {
	for _, upd := range bat.Updates {
		if ent, ok := cel.jobs[upd.ID]; ok {
			ent.recorded = upd.Progress.State
			ent.zones = upd.Progress.Zones
			if slices.Contains(ent.zones, ent.nextZone) {
				ent.nextZone = ""
			}
		}
	}
	for _, hst := range bat.Hosts {
		if mac, ok := cel.vms[hst.ID]; ok && mac.host.Address == hst.Address {
			mac.isRecorded = true
		}
	}
	for id, seen := range bat.seen {
		if mac, ok := cel.vms[id]; ok && mac.born == seen.born {
			mac.acked = max(mac.acked, seen.number)
		}
	}
}

// Returned takes back a batch that is not stored.
func (cel *Cell) Returned(bat Batch) {
	for _, upd := range bat.Updates {
		if ent, ok := cel.jobs[upd.ID]; ok {
			cel.markDirty(ent)
		}
	}
	for _, hst := range bat.Hosts {
		if mac, ok := cel.vms[hst.ID]; ok {
			cel.record(mac)
		}
	}
	for _, id := range bat.Gone {
		if cel.vms[id] == nil {
			cel.goneVMs[id] = true
		}
	}
}

// HasUrgent reports whether something waits to be stored for which callers or tasks
// wait.
func (cel *Cell) HasUrgent() bool { return cel.isUrgent }

// HasChanges reports whether anything waits to be stored.
func (cel *Cell) HasChanges() bool { return len(cel.dirty)+len(cel.newVMs)+len(cel.goneVMs) > 0 }

func progressOf(ent *entry) ledger.Progress {
	prg := ledger.Progress{State: ent.state, Ended: ent.endedAt}
	if ent.state.IsEnded() {
		return prg
	}
	if ent.isBegun {
		prg.State = ledger.Running
	}
	prg.Zones = slices.Clone(ent.zones)
	if ent.nextZone != "" && !slices.Contains(prg.Zones, ent.nextZone) {
		prg.Zones = append(prg.Zones, ent.nextZone)
	}
	for _, num := range ent.doneRounds {
		for i := range ent.plan.Steps {
			prg.Done = append(prg.Done, ledger.StepDone{Occurrence: num, Step: i, IsAll: true})
		}
	}
	for num, rnd := range ent.rounds {
		if rnd == nil || rnd.left == 0 {
			continue
		}
		for _, stg := range rnd.stages {
			prg.Done, prg.Failures = stageProgress(num, stg, prg.Done, prg.Failures)
		}
	}
	return prg
}

func stageProgress(num int, stg *stage, dones []ledger.StepDone, fails []ledger.Failure) ([]ledger.StepDone, []ledger.Failure) {
	don := ledger.StepDone{Occurrence: num, Step: stg.num, IsAll: stg.isDone()}
	for i := range stg.works {
		wrk := &stg.works[i]
		if wrk.phase == done && !don.IsAll {
			don.Indexes = append(don.Indexes, i)
		}
		if len(wrk.failedRuns) > 0 && wrk.phase != done && !stg.step.IsLasting {
			fails = append(fails, ledger.Failure{Occurrence: num, Step: stg.num, Index: i, Runs: wrk.failedRuns})
		}
	}
	if don.IsAll || len(don.Indexes) > 0 {
		dones = append(dones, don)
	}
	return dones, fails
}

// Restore adds a job as an earlier owner has stored it. A job that has ended has
// no plan any more.
func (cel *Cell) Restore(now time.Time, id string, jb *ledger.Job, prg ledger.Progress) {
	if prg.State.IsEnded() || jb == nil {
		ent := &entry{plan: endedPlan(id), state: prg.State, recorded: prg.State, endedAt: now}
		cel.jobs[id] = ent
		if prg.State.IsEnded() {
			cel.ended = append(cel.ended, id)
		}
		return
	}
	ent := cel.newEntry(firstTry(now, *jb), *jb)
	ent.zones = prg.Zones
	ent.isOld, ent.recorded = !cel.cfg.IsFirst, prg.State
	ent.isBegun = prg.State == ledger.Running
	cel.jobs[id] = ent
	cel.restoreDone(ent, prg)
	cel.openDue(now, ent)
	cel.keepTime(ent)
	cel.restoreTasks(ent, prg)
}

// restoreDone finds the occurrences that are done as a whole.
func (cel *Cell) restoreDone(ent *entry, prg ledger.Progress) {
	whole := map[int]int{}
	for _, don := range prg.Done {
		if don.IsAll {
			whole[don.Occurrence]++
		}
	}
	for num, count := range whole {
		if count == len(ent.plan.Steps) {
			ent.doneRounds = append(ent.doneRounds, num)
			ent.roundsDone++
		}
	}
}

func (cel *Cell) restoreTasks(ent *entry, prg ledger.Progress) {
	for _, don := range prg.Done {
		rnd := cel.roundAt(ent, don.Occurrence)
		if rnd == nil || don.Step >= len(rnd.stages) {
			continue
		}
		stg := rnd.stages[don.Step]
		for i := range stg.works {
			if don.IsAll || slices.Contains(don.Indexes, i) {
				if stg.works[i].phase != done {
					cel.settleDone(&stg.works[i])
				}
			}
		}
		if stg.isDone() {
			rnd.left--
			delete(cel.open, stg)
		}
	}
	for _, fal := range prg.Failures {
		rnd := cel.roundAt(ent, fal.Occurrence)
		if len(fal.Runs) == 0 || rnd == nil || fal.Step >= len(rnd.stages) || fal.Index >= len(rnd.stages[fal.Step].works) {
			continue
		}
		wrk := &rnd.stages[fal.Step].works[fal.Index]
		wrk.failedRuns = fal.Runs
		wrk.run = max(wrk.run, slices.Max(fal.Runs))
	}
	for _, rnd := range ent.rounds {
		if rnd == nil {
			continue
		}
		for _, stg := range rnd.stages {
			cel.openIfReady(rnd, stg)
		}
	}
}

// roundAt returns an occurrence that has been opened, or opens it if it has
// progress though it is not due by this owner's clock.
func (cel *Cell) roundAt(ent *entry, num int) *round {
	if num < 0 || num >= len(ent.rounds) || cel.isRoundDone(ent, num) {
		return nil
	}
	if ent.rounds[num] == nil {
		cel.openRound(ent, num)
	}
	return ent.rounds[num]
}

// endedPlan stands for the plan of an ended job, which is not stored any more.
func endedPlan(id string) *plan.Plan { return &plan.Plan{ID: id} }
