package cell

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/ledger"
)

// SetHosts takes in the VMs that the platform lists for the pool. A VM that is
// no longer listed is kept while it answers or while its tasks may run.
func (cel *Cell) SetHosts(now time.Time, hosts []host.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, hst := range hosts {
		listed[hst.ID] = true
		if born, isOver := cel.over[hst.ID]; isOver && hst.Born <= born {
			continue // its announcement has not been removed yet
		}
		delete(cel.over, hst.ID)
		cel.takeHost(now, hst)
	}
	for id := range cel.over {
		if !listed[id] {
			delete(cel.over, id)
		}
	}
	for id, mac := range cel.vms {
		if mac.isListed && !listed[id] {
			mac.isListed = false
			cel.cfg.Event(now, "vmUnlisted", slog.String("vm", id), slog.Int("tasks", len(mac.works)))
		}
	}
}

func (cel *Cell) takeHost(now time.Time, hst host.Host) {
	mac, ok := cel.vms[hst.ID]
	if !ok {
		mac = newMachine(hst)
		cel.addVM(mac)
		cel.record(mac)
		cel.cfg.Event(now, "vmListed", slog.String("vm", hst.ID), slog.String("zone", hst.Zone), slog.Int64("born", hst.Born))
	}
	if mac.host.IsDraining != hst.IsDraining {
		cel.cfg.Event(now, "vmDraining", slog.String("vm", hst.ID), slog.Bool("draining", hst.IsDraining))
	}
	if mac.isOld && hst.Born > mac.host.Born && mac.host.Born != 0 {
		mac.isOld = false // a new life holds nothing of before
	}
	isMoved := mac.host.Address != hst.Address
	mac.host, mac.isListed = hst, true
	if isMoved {
		cel.record(mac)
	}
	if hst.Born != 0 && mac.born != 0 && hst.Born > mac.born {
		cel.reborn(now, mac, hst.Born)
	}
}

func (cel *Cell) addVM(mac *machine) {
	cel.vms[mac.host.ID] = mac
	cel.ordered = nil
}

// machines returns the VMs by id.
func (cel *Cell) machines() []*machine {
	if cel.ordered == nil {
		cel.ordered = make([]*machine, 0, len(cel.vms))
		for _, mac := range cel.vms {
			cel.ordered = append(cel.ordered, mac)
		}
		slices.SortFunc(cel.ordered, func(one, two *machine) int { return strings.Compare(one.host.ID, two.host.ID) })
	}
	return cel.ordered
}

// record asks for the VM to be stored before it is used.
func (cel *Cell) record(mac *machine) {
	mac.isRecorded = false
	cel.newVMs[mac.host.ID] = true
	delete(cel.goneVMs, mac.host.ID)
}

// forget drops a VM on which nothing can run any more.
func (cel *Cell) forget(mac *machine) {
	delete(cel.vms, mac.host.ID)
	cel.ordered = nil
	delete(cel.newVMs, mac.host.ID)
	cel.goneVMs[mac.host.ID] = true
}

// RestoreHost adds a VM that an earlier owner may have used.
func (cel *Cell) RestoreHost(now time.Time, hst host.Host) {
	mac := newMachine(hst)
	mac.isOld, mac.isRecorded = true, true
	mac.leaseEnd = now.Add(OwnerReach + leaseBound(cel.cfg.LeaseMax))
	cel.addVM(mac)
}

// reborn takes in that the VM has started anew: what ran there has ended. A
// start without an answer may still reach the new life, so it is stopped there.
func (cel *Cell) reborn(now time.Time, mac *machine, born int64) {
	cel.cfg.Event(now, "vmReborn", slog.String("vm", mac.host.ID), slog.Int64("born", born), slog.Int("tasks", len(mac.works)))
	mac.born, mac.isHeld, mac.isOld, mac.seen, mac.acked = born, false, false, 0, 0
	mac.dropStrays()
	for _, wrk := range mac.works {
		if wrk.phase == starting || wrk.isDoubtful {
			cel.stop(wrk)
			wrk.stopAcked = time.Time{}
			continue
		}
		cel.release(wrk)
	}
}

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
func (cel *Cell) Confirm(at time.Time) { cel.confirmed = later(cel.confirmed, at) }

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

// Hold returns the renewal to send to a VM, and its target.
func (cel *Cell) Hold(now time.Time, id string) (agent.Target, agent.Hold, bool) {
	mac, ok := cel.vms[id]
	if !ok {
		return agent.Target{}, agent.Hold{}, false
	}
	hld := agent.Hold{Acked: mac.acked}
	// A VM that does not answer is asked without renewing, so that its leases run
	// out on our clock too.
	if mac.isHeld && !mac.isSilent {
		hld.Wait, hld.Until = mac.lookWait(), cel.grant(now, mac)
	}
	return cel.target(mac), hld, true
}

const (
	// idleWait is how long a VM holds back its answer when nothing ends there; it
	// is the longest that VMs accept.
	idleWait = 2 * time.Second
	// busyWait is the same for a VM with tasks that end, most of which do within it.
	// A look that is lost costs as much.
	busyWait = 600 * time.Millisecond
	// startupWait is the same for a VM with a lasting task that is not at work yet: the
	// next task of its step may leave its VM only when it is.
	startupWait = 300 * time.Millisecond
)

// lookWait returns how long the next look may wait for an end.
func (mac *machine) lookWait() time.Duration {
	wait := idleWait
	for _, wrk := range mac.works {
		switch {
		case wrk.step.step.IsLasting && wrk.percent < fullPace:
			return startupWait
		case !wrk.step.step.IsLasting || wrk.phase != running:
			wait = busyWait
		}
	}
	return wait
}

func (cel *Cell) target(mac *machine) agent.Target {
	return agent.Target{VM: mac.host.ID, Address: mac.host.Address, Fence: cel.cfg.Fence}
}

// grant returns the time on the VM's clock up to which its tasks may run, and
// notes until when they may run on our clock.
func (cel *Cell) grant(now time.Time, mac *machine) time.Duration {
	mac.leaseEnd = later(mac.leaseEnd, now.Add(leaseBound(cel.cfg.LeaseMax)))
	return mac.clock + now.Sub(mac.clockAt) + cel.cfg.LeaseMax
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
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
	wrk.run, wrk.phase, wrk.answered = run.Number, running, mac.heardAt
	wrk.step.waitCount--
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

// takeEnd takes in the end of a run.
func (cel *Cell) takeEnd(now time.Time, mac *machine, end agent.End) {
	mac.dropStray(stray{end.Task, end.Run})
	wrk := cel.find(end.Task)
	if wrk == nil || wrk.phase == done {
		return
	}
	isCurrent := wrk.vm == mac && wrk.run == end.Run
	if end.Checkpoint != "" && (isCurrent || wrk.vm == nil && end.Run >= wrk.run) {
		wrk.checkpoint = end.Checkpoint
	}
	switch end.How {
	case agent.EndedDone:
		mac.streak = 0
		cel.taskDone(now, wrk, mac)
		return
	case agent.EndedFailed:
		cel.taskFailed(now, wrk, mac, end.Run)
	}
	if end.Run > wrk.run && wrk.vm == nil {
		wrk.run = end.Run
	}
	if isCurrent {
		cel.release(wrk)
	}
}

func (cel *Cell) taskFailed(now time.Time, wrk *work, mac *machine, run int) {
	if slices.Contains(wrk.failedRuns, run) || wrk.step.job.state.IsEnded() {
		return
	}
	wrk.avoid = mac.host.ID
	ent := wrk.step.job
	if !wrk.step.step.IsLasting {
		wrk.failedRuns = append(wrk.failedRuns, run)
		cel.markDirty(ent)
	}
	if mac.streak++; mac.streak >= streakLimit {
		mac.quietUntil = now.Add(streakPause)
		cel.cfg.Event(now, "vmQuarantined", slog.String("vm", mac.host.ID), slog.Int("streak", mac.streak))
	}
	que, _ := cel.queueOf(ent.queue)
	cel.cfg.Event(now, "taskFailed", slog.String("task", wrk.id.String()), slog.String("vm", mac.host.ID),
		slog.Int("run", run), slog.Int("failures", len(wrk.failedRuns)), slog.Int("limit", que.MaxAttempts))
	if !wrk.step.step.IsLasting && len(wrk.failedRuns) >= que.MaxAttempts {
		cel.endJob(now, ent, ledger.Failed, "attempts")
	}
}

// stopAll stops what still runs of a job that has ended.
func (cel *Cell) stopAll(ent *entry) {
	for _, rnd := range ent.rounds {
		if rnd == nil {
			continue
		}
		for _, stg := range rnd.stages {
			for i := range stg.works {
				if stg.works[i].phase != done {
					cel.stop(&stg.works[i])
				}
			}
		}
	}
}

// taskDone takes in that a task is done, by whichever run.
func (cel *Cell) taskDone(now time.Time, wrk *work, mac *machine) {
	stg := wrk.step
	if stg.step.IsLasting {
		if wrk.vm == mac {
			cel.release(wrk)
		}
		return
	}
	if wrk.vm != nil && wrk.vm != mac {
		// Another copy still runs; it is stopped as a stray once it is listed.
		wrk.vm.addStray(stray{wrk.id, wrk.run}, wrk)
	}
	cel.settleDone(wrk)
	if stg.step.IsGang {
		for i := range stg.works {
			if stg.works[i].phase != done {
				cel.settleDone(&stg.works[i])
			}
		}
	}
	if stg.job.state.IsEnded() {
		return
	}
	cel.markDirty(stg.job)
	if stg.isDone() {
		cel.stageDone(now, stg)
	}
}

func (cel *Cell) settleDone(wrk *work) {
	if wrk.phase == waiting {
		wrk.step.waitCount--
	}
	if wrk.vm != nil {
		wrk.vm.remove(wrk)
	}
	wrk.phase = done
	wrk.step.doneCount++
}

func (cel *Cell) stageDone(now time.Time, stg *stage) {
	ent := stg.job
	delete(cel.open, stg)
	if !stg.startedAt.IsZero() {
		cel.model(ent.queue).Observe(stg.step.Estimate, now.Sub(stg.startedAt))
	}
	rnd := ent.rounds[stg.occurrence]
	rnd.left--
	if rnd.left > 0 {
		ent.remaining = remaining(ent.plan, rnd)
		for _, next := range rnd.stages {
			cel.openIfReady(rnd, next)
		}
		return
	}
	ent.roundsDone++
	ent.doneRounds = append(ent.doneRounds, stg.occurrence)
	if ent.roundsDone == len(ent.rounds) {
		cel.endJob(now, ent, ledger.Completed, "done")
	}
}

// Unanswered takes in that a look at the VM failed. It gets no new work before
// it answers again.
func (cel *Cell) Unanswered(id string) {
	if mac, ok := cel.vms[id]; ok {
		mac.isSilent = true
	}
}

// Replaced takes in that another VM answers at the address: the life has ended
// with all that ran there.
func (cel *Cell) Replaced(now time.Time, id string) {
	mac, ok := cel.vms[id]
	if !ok {
		return
	}
	cel.cfg.Event(now, "vmReplaced", slog.String("vm", id), slog.Int("tasks", len(mac.works)))
	for _, wrk := range mac.works {
		cel.release(wrk)
	}
	mac.dropStrays()
	cel.forget(mac)
	cel.over[id] = max(mac.born, mac.host.Born)
}
