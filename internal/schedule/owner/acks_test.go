package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/standin/logstore"
)

// Ends of runs that were stopped change nothing that is stored. They were acknowledged with the next
// change of the pool only, so that a VM with more of them than it lists showed no other ends.
func TestEndsThatChangeNothingAreAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 1, logstore.Config{})
		fxt.fleet.SetMaxEnds(2)
		own := fxt.open()
		for num := range 2 {
			pln := &plan.Plan{ID: job(num, 1).ID, Spec: "x", Steps: []plan.Step{{Count: 2 + num, Demand: plan.Demand{MilliCores: 1000, MemoryMB: 100}, IsLongRunning: true}}}
			if num == 0 {
				pln.ID = longRunningID
			}
			fxt.runTime = time.Hour
			if err := fxt.submit(own, pln); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if found, err := own.Cancel(t.Context(), time.Now(), passes, pln.ID); !found || err != nil {
				t.Fatal(found, err)
			}
			time.Sleep(3 * time.Second)
			if got := fxt.fleet.CountUnacknowledged("vm-0"); got != 0 {
				t.Errorf("%d ends are not acknowledged 3 s after the job was cancelled", got)
			}
		}
	})
}
