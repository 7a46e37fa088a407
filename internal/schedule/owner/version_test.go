package owner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/standin/logstore"
)

// The former pool of a queue is asked whether it has read of the queue's move. An owner that has a successor
// it does not know of must not answer for the successor, which may not have read of it.
func TestOnlyThePresentOwnerAnswersForAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		var isCut atomic.Bool
		first := fxt.openWith(fxt.cutLog(&isCut), fxt.fleet.Agent())
		if err := first.LeaveRoute(t.Context(), time.Now(), "h/p/", 1); err != nil {
			t.Errorf("version 1, with which the owner has claimed the pool: %v", err)
		}
		if err := first.LeaveRoute(t.Context(), time.Now(), "h/p/", 2); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("version 2, not yet read: %v, want staleRoute", err)
		}
		first.SetTable(queue.NewTable(2, nil, nil))
		if err := first.LeaveRoute(t.Context(), time.Now(), "h/p/", 2); err != nil {
			t.Errorf("version 2: %v", err)
		}
		isCut.Store(true)
		time.Sleep(3 * time.Second)
		first.SetTable(queue.NewTable(3, nil, nil))
		if err := first.LeaveRoute(t.Context(), time.Now(), "h/p/", 3); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("version 3, cut off from the claims: %v, want staleRoute", err)
		}
		second := fxt.open()
		isCut.Store(false)
		time.Sleep(10 * time.Millisecond)
		if err := first.LeaveRoute(t.Context(), time.Now(), "h/p/", 3); err == nil {
			t.Error("a former owner answers for version 3, which its successor has not read")
		}
		if err := second.LeaveRoute(t.Context(), time.Now(), "h/p/", 3); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("version 3 at the present owner: %v, want staleRoute", err)
		}
	})
}
