package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// The records of a pool named gate/j were read as those of the pool gate too, where they share a partition, so that its jobs
// ran in both.
func TestRecordsOfAPoolWhoseNameBeginsWithAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		vm, err := jobrecord.EncodeHost(host.Host{
			ID: "vm-7", Address: "10.0.0.7:80", Incarnation: 1, Capacity: plan.Demand{MilliCores: 4000, MemoryMB: 8000},
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, other := range []string{"/j", "/v", "/p", "/j/v", "/"} {
			recs := []statelog.Record{{Key: "v/vm-7", Value: vm}, {Key: "j/" + job(1, 1).ID, Value: fxt.encode(job(1, 1))}, {Key: "p/" + job(2, 1).ID, Value: []byte("?")}}
			for i := range recs {
				recs[i].Key = pool + other + "/" + recs[i].Key
			}
			fxt.append(recs)
		}
		own := fxt.open()
		time.Sleep(2 * time.Second)
		if rpt := own.BalanceInput(time.Now()); len(rpt.VMs) != 2 {
			t.Errorf("%d VMs, want those of the pool: %+v", len(rpt.VMs), rpt.VMs)
		}
		for num := 1; num <= 2; num++ {
			if _, ok, err := own.State(passes, job(num, 1).ID); ok || err != nil {
				t.Errorf("job %d is known (%v)", num, err)
			}
		}
		if count, err := own.CountQueued(t.Context(), time.Now(), passes); count != 0 || err != nil {
			t.Errorf("%d jobs wait (%v), want none", count, err)
		}
		if got := fxt.fleet.Starts(); got != 0 {
			t.Errorf("%d starts, want none", got)
		}
	})
}
