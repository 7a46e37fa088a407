package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/kernel/crash"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/standin/logstore"
)

// checkCrashed checks that the term has ended by a panic, and that the owner refuses requests instead of hanging.
func (fxt *fixture) checkCrashed(own *owner.Owner) {
	fxt.t.Helper()
	synctest.Wait()
	for name, ch := range map[string]<-chan struct{}{"Crashed": own.Crashed(), "OwnershipLost": own.OwnershipLost()} {
		select {
		case <-ch:
		default:
			fxt.t.Errorf("%s is open after a panic", name)
		}
	}
	if _, _, err := own.State(passes, job(1, 1).ID); fault.CodeOf(err) != code.NotReady {
		fxt.t.Errorf("state after a panic: %v, want notReady", err)
	}
	own.SetTable(fxt.table)
	own.Close()
}

// A panic in a loop of an owner ended the process. It ends the term, and the next owner runs the jobs.
func TestPanicInALoopEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		agt := fxt.fleet.Agent()
		var isOdd atomic.Bool
		poll := agt.Poll
		agt.Poll = func(ctx context.Context, tgt agent.Target, req agent.Poll) (agent.Report, agent.Outcome, error) {
			if isOdd.Load() {
				panic("odd report")
			}
			return poll(ctx, tgt, req)
		}
		own := fxt.openWith(fxt.store.Client(), agt)
		if err := fxt.submit(own, job(1, 3)); err != nil {
			t.Fatal(err)
		}
		isOdd.Store(true)
		time.Sleep(3 * time.Second)
		fxt.checkCrashed(own)
		isOdd.Store(false)
		fxt.await(fxt.open(), job(1, 3).ID, 20*time.Second)
		fxt.checkInvariants()
	})
}

// The same for an order to a VM, which has a goroutine of its own.
func TestPanicInAnOrderEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		agt := fxt.fleet.Agent()
		agt.Start = func(context.Context, agent.Target, agent.Start) (agent.Outcome, error) { panic("odd order") }
		own := fxt.openWith(fxt.store.Client(), agt)
		if err := fxt.submit(own, job(1, 3)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		fxt.checkCrashed(own)
	})
}

// Guards against a lock that is held for ever after a panic, at which the service would hang with all pools.
func TestPanicUnderTheLockEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		own := fxt.open()
		fxt.isClockOdd.Store(true)
		crs := crash.Catch(func() { _, _ = own.CountQueued(t.Context(), time.Now(), passes) })
		fxt.isClockOdd.Store(false)
		if crs == nil || crs.Value() != "odd clock" {
			t.Fatalf("panic %v", crs)
		}
		time.Sleep(time.Second)
		fxt.checkCrashed(own)
	})
}
