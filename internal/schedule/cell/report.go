package cell

import (
	"log/slog"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/job/task"
)

// release makes a task whose run has ended wait again.
func (cel *Cell) release(wrk *work) {
	if wrk.vm != nil {
		wrk.vm.remove(wrk)
	}
	if wrk.phase != waiting && wrk.phase != done {
		wrk.step.waitCount++
	}
	if wrk.phase != done {
		wrk.phase = waiting
	}
	wrk.isDoubtful, wrk.percent, wrk.load, wrk.pace = false, 0, 0, fullPace
}

// stop marks a run for stopping; its room stays taken.
func (cel *Cell) stop(wrk *work) {
	if wrk.phase == stopping || wrk.vm == nil {
		return
	}
	wrk.phase, wrk.stopSent, wrk.stopAcked = stopping, time.Time{}, time.Time{}
	cel.halting[wrk] = true
}

// Confirm takes in that this was the pool's owner at a moment.
func (cel *Cell) Confirm(at time.Time) {
	cel.confirmed = later(cel.confirmed, at)
	for wrk, heard := range cel.unsure {
		if wrk.phase == unsure && !cel.confirmed.After(heard) {
			continue
		}
		delete(cel.unsure, wrk)
		if wrk.phase == unsure {
			cel.release(wrk)
		}
	}
}

// Lapse takes in the passage of time: leases that have run out, VMs that are
// gone, occurrences that are due, and ended jobs that need not be kept.
func (cel *Cell) Lapse(now time.Time) {
	for id, mac := range cel.vms {
		// Another owner may have renewed since this one was last confirmed.
		isSilent := now.After(mac.leaseEnd) && cel.confirmed.After(mac.leaseEnd)
		if isSilent && len(mac.works)+len(mac.strays) > 0 {
			cel.cfg.Event(now, "vmLapsed", slog.String("vm", id), slog.Int("tasks", len(mac.works)),
				slog.Duration("silent", now.Sub(mac.heardAt)))
			for _, wrk := range mac.works {
				cel.release(wrk)
			}
			mac.dropStrays()
		}
		if isSilent && !mac.isListed && now.Sub(mac.heardAt) > leaseBound(cel.cfg.LeaseMax) {
			cel.forget(mac)
			cel.cfg.Event(now, "vmGone", slog.String("vm", id))
		}
	}
	for _, ent := range cel.timed {
		cel.openDue(now, ent)
		cel.keepTime(ent)
	}
}

// Forget drops ended jobs that need not be answered any more and returns their ids.
func (cel *Cell) Forget(now time.Time) []string {
	var gone []string
	for len(cel.ended) > 0 {
		ent := cel.jobs[cel.ended[0]]
		if now.Sub(ent.endedAt) < 2*cel.cfg.StatusKept || ent.isDirty || ent.held > 0 {
			break
		}
		gone = append(gone, ent.plan.ID)
		delete(cel.jobs, ent.plan.ID)
		cel.ended = cel.ended[1:]
	}
	return gone
}

// Report takes in what a VM says. Sent is when the question was sent.
func (cel *Cell) Report(now, sent time.Time, id string, rpt agent.Report) {
	mac, ok := cel.vms[id]
	if !ok {
		return
	}
	if rpt.Born != 0 && mac.born != 0 && rpt.Born < mac.born {
		return // an answer of an earlier life
	}
	if rpt.Born != 0 && rpt.Born > mac.born {
		if mac.born != 0 {
			cel.reborn(now, mac, rpt.Born)
		}
		mac.born = rpt.Born
	}
	if !mac.isHeld {
		if !mac.isOld {
			mac.firstHeard = now // a VM of an earlier owner has not just come
		}
		mac.isHeld, mac.isOld = true, false
		mac.leaseEnd = later(mac.leaseEnd, now.Add(leaseBound(cel.cfg.LeaseMax)))
		cel.cfg.Event(now, "vmHeld", slog.String("vm", id), slog.Int64("fence", cel.cfg.Fence),
			slog.Int("active", len(rpt.Active)), slog.Int("ended", len(rpt.Ended)))
	}
	mac.clock, mac.clockAt, mac.heardAt, mac.isSilent = rpt.Clock, now, now, false
	for _, end := range rpt.Ended {
		if end.Number > mac.seen {
			mac.seen = end.Number
			cel.takeEnd(now, mac, end)
		}
	}
	listed := make(map[task.ID]int, len(rpt.Active))
	for _, run := range rpt.Active {
		listed[run.Task] = run.Number
		cel.takeRun(mac, sent, run)
	}
	cel.takeAbsent(now, sent, mac, listed)
}

// find returns the work with the id, if its occurrence is open.
func (cel *Cell) find(tid task.ID) *work {
	ent, ok := cel.jobs[tid.Job]
	if !ok || tid.Occurrence >= len(ent.rounds) || tid.Step >= len(ent.plan.Steps) {
		return nil
	}
	rnd := ent.rounds[tid.Occurrence]
	if rnd == nil || tid.Index >= len(rnd.stages[tid.Step].works) {
		return nil
	}
	return &rnd.stages[tid.Step].works[tid.Index]
}

// takeRun takes in that a run is active on the VM.
func (cel *Cell) takeRun(mac *machine, sent time.Time, run agent.Run) {
	wrk := cel.find(run.Task)
	switch {
	case wrk == nil || wrk.phase == done || wrk.step.job.state.IsEnded() && wrk.vm == nil:
		mac.addStray(stray{run.Task, run.Number}, wrk)
	case wrk.vm == mac && wrk.run == run.Number:
		cel.seeRunning(wrk, sent, run)
	case wrk.vm == nil && wrk.strays == 0 && run.Number >= wrk.run:
		cel.adopt(mac, wrk, run)
	default:
		mac.addStray(stray{run.Task, run.Number}, wrk)
	}
}

func (cel *Cell) seeRunning(wrk *work, sent time.Time, run agent.Run) {
	if wrk.phase == starting && (wrk.isDoubtful || wrk.answered.IsZero()) {
		wrk.phase, wrk.answered, wrk.isDoubtful = running, sent, false
	}
	if run.Checkpoint != "" {
		wrk.checkpoint = run.Checkpoint
	}
	wrk.percent, wrk.load = run.Percent, run.Load
}

// adopt takes over a run that an earlier owner has started.
func (cel *Cell) adopt(mac *machine, wrk *work, run agent.Run) {
	if wrk.phase == waiting {
		wrk.step.waitCount--
	}
	wrk.run, wrk.phase, wrk.answered = run.Number, running, mac.heardAt
	mac.add(wrk)
	wrk.step.job.isBegun = true
	wrk.pace = unknownPace
	cel.seeRunning(wrk, mac.heardAt, run)
}

// unknownPace marks a task whose pace an earlier owner may have set.
const unknownPace = -1

// takeAbsent finds works that the VM should list and does not.
func (cel *Cell) takeAbsent(now, sent time.Time, mac *machine, listed map[task.ID]int) {
	for tid, wrk := range mac.works {
		if num, ok := listed[tid]; ok && num == wrk.run {
			continue
		}
		switch {
		case wrk.phase == stopping && !wrk.stopAcked.IsZero() && sent.After(wrk.stopAcked):
			cel.release(wrk)
		case wrk.phase == starting && wrk.isDoubtful && sent.After(wrk.answered):
			cel.stop(wrk) // it may still arrive
		case wrk.phase == running && sent.After(wrk.answered):
			cel.cfg.Event(now, "runVanished", slog.String("task", tid.String()), slog.String("vm", mac.host.ID))
			cel.stop(wrk)
		}
	}
	for key, stp := range mac.strays {
		if num, ok := listed[key.task]; ok && num == key.run {
			continue
		}
		if !stp.ackedAt.IsZero() && sent.After(stp.ackedAt) {
			mac.dropStray(key)
		}
	}
}
