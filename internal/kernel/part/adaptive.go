package part

import "time"

// Adaptive runs step at once, and then again when the time that it returned has
// passed or when the channel that wake returns is closed or receives, but never
// twice within the shortest interval. A duty with nothing to do thus costs
// nothing until something changes.
func Adaptive(name string, shortest time.Duration, wake func() <-chan struct{}, step func(now time.Time) time.Duration) *Part {
	return Start(name, func(quit <-chan struct{}) {
		for {
			woken := wake()
			delay := max(step(time.Now()), shortest)
			if !wait(quit, nil, shortest) {
				return
			}
			if !wait(quit, woken, delay-shortest) {
				return
			}
		}
	})
}

// pause waits for the time or for woken, and reports false on quit.
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
