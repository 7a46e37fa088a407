// Package loop runs background loops, each in its own goroutine, and stops them.
package loop

import (
	"sync"
	"time"
)

// Loop is a running background loop. Its done channel is closed when the loop has
// ended.
type Loop struct {
	name string
	quit chan struct{}
	done chan struct{}
	once sync.Once
}

// Start runs the loop in a new goroutine. The loop must return soon after quit is
// closed.
func Start(name string, loop func(quit <-chan struct{})) *Loop {
	prt := &Loop{name: name, quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(prt.done)
		loop(prt.quit)
	}()
	return prt
}

// Every runs step at once and then each interval until the part is stopped.
func Every(name string, interval time.Duration, step func(now time.Time)) *Loop {
	return Start(name, func(quit <-chan struct{}) {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		step(time.Now())
		for {
			select {
			case <-quit:
				return
			case now := <-tick.C:
				step(now)
			}
		}
	})
}

// Name returns the name of the loop.
func (prt *Loop) Name() string { return prt.name }

// Done returns a channel that is closed when the loop has ended.
func (prt *Loop) Done() <-chan struct{} { return prt.done }

// StopAll stops the parts concurrently and waits until all have ended, so it takes as
// long as the slowest.
func StopAll(parts ...*Loop) {
	for _, prt := range parts {
		prt.once.Do(func() { close(prt.quit) })
	}
	for _, prt := range parts {
		<-prt.done
	}
}

// Stop stops the loop and waits until it has ended.
func (prt *Loop) Stop() {
	prt.once.Do(func() { close(prt.quit) })
	<-prt.done
}
