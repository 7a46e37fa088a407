package loop_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/kernel/loop"
)

// Stopping the loops one after the other would take the sum of their times.
func TestStopAllStopsConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var loops []*loop.Loop
		for range 4 {
			loops = append(loops, loop.Start("slow", func(quit <-chan struct{}) {
				<-quit
				time.Sleep(time.Second) // the time of a call that must end first
			}))
		}
		start := time.Now()
		loop.StopAll(loops...)
		if took := time.Since(start); took > time.Second {
			t.Errorf("four loops that take a second each took %s to stop", took)
		}
	})
}
