package owner_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// put appends records of the pool.
func (fxt *fixture) put(recs ...statelog.Record) {
	fxt.t.Helper()
	for i := range recs {
		recs[i].Key = pool + "/" + recs[i].Key
	}
	fxt.append(recs)
}

// append appends records.
func (fxt *fixture) append(recs []statelog.Record) {
	fxt.t.Helper()
	if _, err := fxt.store.Client().Append(fxt.t.Context(), statelog.AppendRequest{Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Records: recs}); err != nil {
		fxt.t.Fatal(err)
	}
}

func (fxt *fixture) encode(pln *plan.Plan) []byte {
	fxt.t.Helper()
	data, err := jobrecord.EncodeJob(jobrecord.Job{Plan: pln, Queue: passes.Name})
	if err != nil {
		fxt.t.Fatal(err)
	}
	return data
}

// A job whose progress could not be read ran again from its first task. So did one whose
// submission could not be read, once a caller had submitted it again.
func TestJobsWithUnreadableRecordsAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		odd := []byte(`{"state":"later"}`)
		fxt.put(statelog.Record{Key: "j/" + job(1, 1).ID, Value: fxt.encode(job(1, 1))}, statelog.Record{Key: "p/" + job(1, 1).ID, Value: odd})
		fxt.put(statelog.Record{Key: "j/" + job(2, 1).ID, Value: odd})
		fxt.put(statelog.Record{Key: "j/" + job(3, 1).ID, Value: fxt.encode(job(3, 1))}, statelog.Record{Key: "later/" + job(3, 1).ID, Value: odd})
		fxt.put(statelog.Record{Key: "p/" + job(4, 1).ID, Value: []byte(`{"state":1}`)})
		own := fxt.open()
		for num := 1; num <= 4; num++ {
			if err := fxt.submit(own, job(num, 1)); err != nil {
				t.Errorf("job %d, which is stored, is submitted again: %v", num, err)
			}
		}
		if err := fxt.submit(own, job(5, 1)); err != nil {
			t.Fatal(err)
		}
		fxt.await(own, job(5, 1).ID, 5*time.Second)
		if got := fxt.fleet.Starts(); got != 2 {
			t.Errorf("%d starts, want the 2 of the job that can be read", got)
		}
		if got, want := fxt.keys(job(3, 1).ID), []string{pool + "/j/" + job(3, 1).ID, pool + "/later/" + job(3, 1).ID}; !slices.Equal(got, want) {
			t.Errorf("records %v, want %v", got, want)
		}
	})
}

// A new owner could not read the records of VMs and started tasks elsewhere that ran there.
func TestTasksOnVMsWithUnreadableRecordsAreNotStartedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		own := fxt.open()
		lasting := &plan.Plan{ID: longRunningID, Spec: "x", Steps: []plan.Step{{Count: 1, Demand: plan.Demand{MilliCores: 1000, MemoryMB: 100}, IsLongRunning: true}}}
		if err := fxt.submit(own, lasting); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		own.Close()
		fxt.put(statelog.Record{Key: "v/vm-0", Value: []byte("?")}, statelog.Record{Key: "v/vm-1", Value: []byte("?")})
		busy, idle := "vm-0", "vm-1"
		if fxt.fleet.CountRunning(time.Now(), busy) == 0 {
			busy, idle = idle, busy
		}
		fxt.fleet.Cut(busy, true)
		fxt.open()
		time.Sleep(4 * time.Second)
		if got := fxt.fleet.CountRunning(time.Now(), idle); got != 0 {
			t.Error("the task starts on one VM while it runs on the other")
		}
		time.Sleep(20 * time.Second) // the leases expire
		if got := fxt.fleet.CountRunning(time.Now(), idle); got != 1 {
			t.Errorf("%d tasks run after the leases have expired, want 1", got)
		}
		fxt.checkInvariants()
	})
}
