package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/request/router"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

func newDispatcher(onPause func()) *Dispatcher {
	dsp := New(Config{Now: time.Now, OnPause: onPause})
	rw, err := row.New(row.Config{Pool: "a", Service: "a", Weight: 1, Queue: 10, DeadlineMs: 5000})
	if err != nil {
		panic(err)
	}
	dsp.SetRow(rw)
	dsp.Update(func(rtr *router.Router) { rtr.SetVM("v", "a", 1, true) })
	return dsp
}

// Guards against placing requests on outdated information: after a pause of the
// process, requests wait until it has read the log and the VM list again, and a VM
// that left the pool during the pause gets none of them.
func TestPausedProcessRefreshesBeforePlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dsp *Dispatcher
		refreshed := false
		dsp = newDispatcher(func() {
			time.Sleep(300 * time.Millisecond)
			dsp.Update(func(rtr *router.Router) {
				rtr.SetVM("v", "a", 0, false)
				rtr.SetVM("w", "a", 1, true)
			})
			refreshed = true
		})
		dsp.Tick(time.Now())
		time.Sleep(5 * time.Second) // no tick: the process is paused
		go func() {
			time.Sleep(400 * time.Millisecond)
			dsp.Tick(time.Now())
		}()
		tkt, err := dsp.Acquire(context.Background(), "a", time.Time{})
		if err != nil || !refreshed || tkt.VM() != "w" {
			t.Fatalf("placed on %q before the refresh (%v)", tkt.VM(), err)
		}
	})
}

func TestCancelledCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dsp := newDispatcher(nil)
		first, err := dsp.Acquire(context.Background(), "a", time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		if _, err := dsp.Acquire(ctx, "a", time.Time{}); fault.CodeOf(err) != code.DeadlinePassed {
			t.Fatalf("got %v", err)
		}
		if sts := dsp.Stats("a"); sts.Waiting != 0 {
			t.Fatalf("%d requests still wait", sts.Waiting)
		}
		dsp.Release(first, router.Result{})
		if dsp.TotalInFlight() != 0 {
			t.Fatal("a slot was lost")
		}
	})
}

func TestWaitEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dsp := newDispatcher(nil)
		if _, err := dsp.Acquire(context.Background(), "a", time.Time{}); err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(time.Second)
			dsp.Tick(time.Now())
		}()
		begin := time.Now()
		_, err := dsp.Acquire(context.Background(), "a", begin.Add(500*time.Millisecond))
		if fault.CodeOf(err) != code.DeadlinePassed || time.Since(begin) != time.Second {
			t.Fatalf("got %v after %v", err, time.Since(begin))
		}
	})
}
