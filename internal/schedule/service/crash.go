package service

import (
	"log/slog"
	"time"

	"daisywheel/internal/kernel/crash"
	"daisywheel/internal/kernel/loop"
)

// restartDelay is the pause after a panic in a background loop.
const restartDelay = time.Second

// guard calls fn, and reports whether it returned. A panic is logged: a name, a record or a message that brings one about must
// not cost more than what it is about.
func (svc *Service) guard(task string, fn func()) bool {
	crs := crash.Catch(fn)
	if crs != nil {
		svc.logCrash(task, crs)
	}
	return crs == nil
}

func (svc *Service) logCrash(task string, crs *crash.Crash) {
	svc.cfg.Journal.Warn(time.Now(), "taskCrashed", slog.String("task", task), slog.String("error", crs.Error()), slog.String("stack", crs.Stack()))
}

// guarded returns the step of a loop that goes on with the next step after a panic.
func (svc *Service) guarded(task string, step func(now time.Time)) func(now time.Time) {
	return func(now time.Time) {
		svc.guard(task, func() { step(now) })
	}
}

// start starts a loop that runs again after a panic.
func (svc *Service) start(task string, run func(quit <-chan struct{})) *loop.Loop {
	return loop.Start(task, func(quit <-chan struct{}) {
		for !svc.guard(task, func() { run(quit) }) {
			select {
			case <-quit:
				return
			case <-time.After(restartDelay):
			}
		}
	})
}
