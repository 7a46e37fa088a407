package fleetcontroller_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/kernel/crash"
	"daisywheel/internal/schedule/fleetcontroller"
	"daisywheel/internal/standin/logstore"
)

// set changes the platform under its lock.
func (plt *fakePlatform) set(change func()) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	change()
}

// A panic of the fleet controller ended the process, and with it the owners of pools there. It ends its term, and it neither
// orders machines any more nor keeps those waiting that report to it.
func TestPanicEndsTheTermOfTheController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plt, log := newFakePlatform("gate", "haul"), logstore.New(logstore.Config{})
		ctl := openController(t, log, plt, "one")
		plt.runFor(ctl, 8000, 2*time.Second)
		plt.set(func() { plt.isHidden = func(string) bool { panic("odd list") } })
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Within: time.Minute, Cap: 1})
		time.Sleep(2 * time.Second)
		for name, ch := range map[string]<-chan struct{}{"Crashed": ctl.Crashed(), "Lost": ctl.Lost()} {
			select {
			case <-ch:
			default:
				t.Errorf("%s is open after a panic", name)
			}
		}
		ordered := 0
		plt.set(func() { plt.isHidden, ordered = nil, len(plt.orders) })
		plt.runFor(ctl, 80000, 3*time.Second)
		ctl.Close()
		if len(plt.orders) != ordered {
			t.Errorf("%d orders after the panic", len(plt.orders)-ordered)
		}
		next := openController(t, log, plt, "two")
		next.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Within: time.Minute, Cap: 1})
		plt.runFor(next, 8000, 20*time.Second)
		next.Close()
		if len(plt.attempts) == 0 {
			t.Error("the next fleet controller does not carry the wave out")
		}
	})
}

// Guards against a lock that is held for ever after a panic in a round of decisions.
func TestPanicUnderTheLockOfTheController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		plt, begun := newFakePlatform("gate"), time.Now()
		var isOdd atomic.Bool
		ctl := openControllerWithConfig(t, logstore.New(logstore.Config{}), fleetcontroller.Config{
			Holder: "one", OrderRate: orderRate, Directory: plt.directory(), Journal: journal.New(journal.Config{}), SinceBoot: func() time.Duration {
				if isOdd.Load() {
					panic("odd clock")
				}
				return time.Since(begun)
			},
		})
		time.Sleep(time.Second)
		isOdd.Store(true)
		time.Sleep(time.Second)
		isOdd.Store(false)
		if crs := crash.Catch(func() { plt.runFor(ctl, 8000, time.Second) }); crs != nil {
			t.Errorf("report after a panic: %v", crs)
		}
		ctl.Close()
		select {
		case <-ctl.Crashed():
		default:
			t.Error("the term goes on after a panic")
		}
	})
}
