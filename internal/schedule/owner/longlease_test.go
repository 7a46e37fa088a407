package owner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/standin/logstore"
)

// A VM restarted, took start orders before its owner learned of it, and could not be reached from
// then on. Its new clock made the leases as long as it grants, 10 s, where the owner expected 6 s.
// The tasks started elsewhere while they ran on. Some of the owners are replaced meanwhile.
func TestLeasesOfARestartedVMLastAsLongAsItGrants(t *testing.T) {
	for seed := range uint64(80) {
		synctest.Test(t, func(t *testing.T) {
			open := (*fixture).open
			if seed >= 40 {
				open = (*fixture).openEarlier
			}
			rnd := rand.New(rand.NewPCG(seed, 0))
			ms := func(low, high int) time.Duration { return time.Duration(low+rnd.IntN(high-low)) * time.Millisecond }
			fxt := newFixture(t, 2, logstore.Config{})
			fxt.runTime = 9500 * time.Millisecond
			own := open(fxt)
			time.Sleep(time.Minute + ms(0, 5000))
			fxt.fleet.Reboot(time.Now(), "vm-0")
			time.Sleep(ms(0, 1900))
			pln := &plan.Plan{ID: fmt.Sprintf("%016x", seed), Spec: "x", Steps: []plan.Step{{Count: 6, Demand: plan.Demand{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}}}
			if err := fxt.submit(own, pln); err != nil {
				t.Fatal(err)
			}
			time.Sleep(ms(5, 400))
			fxt.fleet.Cut("vm-0", true)
			if seed%2 == 0 {
				time.Sleep(ms(0, 3000))
				own.Close()
				own = fxt.open() // of the present version
			}
			time.Sleep(40 * time.Second)
			fxt.checkInvariants()
			fxt.await(own, pln.ID, time.Minute)
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		})
	}
}
