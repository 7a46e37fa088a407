package poolscheduler

import (
	"log/slog"
	"time"
)

// markBegun records that a VM has begun a run of the task. A start order alone does not
// show that: the VM may refuse it or never receive it.
func (sch *Scheduler) markBegun(now time.Time, tst *taskState, vm string) {
	jst := tst.step.job
	if jst.hasBegun || jst.state.IsEnded() {
		return
	}
	jst.hasBegun = true
	sch.cfg.Event(now, "jobBegun", slog.String("job", jst.plan.ID), slog.String("task", tst.id.String()), slog.String("vm", vm),
		slog.Duration("waited", now.Sub(jst.waitingSince)))
}
