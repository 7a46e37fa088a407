package loop

import "time"

// OnWake runs step at once, and then again when the time that it returned has
// passed or when the channel that wake returns is closed or receives, but never
// twice within minInterval. A loop with nothing to do thus costs next to nothing
// until something changes.
func OnWake(name string, minInterval time.Duration, wake func() <-chan struct{}, step func(now time.Time) time.Duration) *Loop {
	return Start(name, func(quit <-chan struct{}) {
		for {
			woken := wake()
			delay := max(step(time.Now()), minInterval)
			if !wait(quit, nil, minInterval) {
				return
			}
			if !wait(quit, woken, delay-minInterval) {
				return
			}
		}
	})
}

// wait waits for the delay or for woken, and returns false if quit is closed.
func wait(quit, woken <-chan struct{}, delay time.Duration) bool {
	tmr := time.NewTimer(delay)
	defer tmr.Stop()
	select {
	case <-quit:
		return false
	case <-woken:
	case <-tmr.C:
	}
	return true
}
