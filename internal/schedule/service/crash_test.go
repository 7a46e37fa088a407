package service_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/queue"
)

// A panic in what one pool's owner does ended the process, and with it the owners of other pools. It costs its own pool.
func TestPanicCostsOnlyItsOwnPool(t *testing.T) {
	ste := newSite(t, []string{pool, pool, otherPool})
	ste.panicVM.Store("vm-2")
	other := queue.Queue{Name: "other", Host: "h", Prefix: "/o/", Pool: otherPool, MaxAttempts: 3, DeadlineFactor: 1.6, LatencyGoal: time.Second}
	ste.putTable(1, passes, other)
	ste.startEntry(entryMilliCores)
	for num := range 8 {
		ste.submit(ste.entries[0], job(num))
		ste.await(ste.entries[0], job(num).ID)
		time.Sleep(300 * time.Millisecond)
	}
	ste.panicVM.Store("")
	ste.submitTo(other, ste.entries[0], job(9))
	ste.awaitIn(other, ste.entries[0], job(9).ID)
	ste.stop()
	ste.checkInvariants()
}
