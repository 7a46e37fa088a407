package loop_test

import (
	"slices"
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

// A wake-up must not wait for the interval, and wake-ups that come close together must not
// run the step more often than the pause allows.
func TestEveryOrWokenRunsSoonButNotTooOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wake := make(chan struct{}, 1)
		start, runs := time.Now(), []time.Duration{}
		lop := loop.EveryOrWoken("woken", time.Second, 20*time.Millisecond, wake, func(now time.Time) { runs = append(runs, now.Sub(start)) })
		time.Sleep(300 * time.Millisecond)
		for range 20 {
			select {
			case wake <- struct{}{}:
			default:
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		lop.Stop()
		want := []time.Duration{0, 300 * time.Millisecond, 320 * time.Millisecond}
		if !slices.Equal(runs, want) {
			t.Errorf("runs at %v, want %v", runs, want)
		}
	})
}
