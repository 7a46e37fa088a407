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

// Start calls run in a new goroutine. It must return soon after quit is
// closed.
func Start(name string, run func(quit <-chan struct{})) *Loop {
	lop := &Loop{name: name, quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(lop.done)
		run(lop.quit)
	}()
	return lop
}

// Every runs step at once and then each interval until the loop is stopped.
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

// EveryOrWoken runs step at once, each interval and soon after each wake-up, but two runs
// are at least minPause apart.
func EveryOrWoken(name string, interval, minPause time.Duration, wake <-chan struct{}, step func(now time.Time)) *Loop {
	return Start(name, func(quit <-chan struct{}) {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		pause := time.NewTimer(0)
		defer pause.Stop()
		for {
			step(time.Now())
			pause.Reset(minPause)
			select {
			case <-quit:
				return
			case <-pause.C:
			}
			select {
			case <-quit:
				return
			case <-tick.C:
			case <-wake:
			}
		}
	})
}

// Name returns the name of the loop.
func (lop *Loop) Name() string { return lop.name }

// Done returns a channel that is closed when the loop has ended.
func (lop *Loop) Done() <-chan struct{} { return lop.done }

// StopAll stops the loops concurrently and waits until all have ended, so it takes as
// long as the slowest.
func StopAll(loops ...*Loop) {
	for _, lop := range loops {
		lop.once.Do(func() { close(lop.quit) })
	}
	for _, lop := range loops {
		<-lop.done
	}
}

// Stop stops the loop and waits until it has ended.
func (lop *Loop) Stop() {
	lop.once.Do(func() { close(lop.quit) })
	<-lop.done
}
