package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/ledger"
)

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
		stg.taken = now.Sub(stg.startedAt)
		cel.model(ent.queue).Observe(stg.step.Estimate, stg.taken)
	}
	rnd := ent.rounds[stg.occurrence]
	rnd.left--
	if rnd.left > 0 {
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
