// Package part runs one duty of a process in its own goroutine and owns its
// shutdown.
package part

import (
	"sync"
	"time"
)

// Part is a running duty. Its done channel is closed when the duty has ended.
type Part struct {
	name string
	quit chan struct{}
	done chan struct{}
	once sync.Once
}

// Start runs duty in a new goroutine. The duty returns soon after quit is closed.
func Start(name string, duty func(quit <-chan struct{})) *Part {
	prt := &Part{name: name, quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(prt.done)
		duty(prt.quit)
	}()
	return prt
}

// Every runs step at once and then each interval until the part is stopped.
func Every(name string, interval time.Duration, step func(now time.Time)) *Part {
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

// Name returns the name of the duty.
func (prt *Part) Name() string { return prt.name }

// Done returns a channel that is closed when the duty has ended.
func (prt *Part) Done() <-chan struct{} { return prt.done }

// StopAll asks the duties to end and waits until all have. Together they take as long
// as the slowest.
func StopAll(parts ...*Part) {
	for _, prt := range parts {
		prt.once.Do(func() { close(prt.quit) })
	}
	for _, prt := range parts {
		<-prt.done
	}
}

// Stop asks the duty to end and waits until it has.
func (prt *Part) Stop() {
	prt.once.Do(func() { close(prt.quit) })
	<-prt.done
}
