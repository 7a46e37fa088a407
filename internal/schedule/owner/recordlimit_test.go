package owner_test

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// keys returns the keys of the pool's records of a job.
func (fxt *fixture) keys(id string) []string {
	fxt.t.Helper()
	recs, _, err := fxt.store.Client().Newest(fxt.t.Context(), "jobs", 0)
	if err != nil {
		fxt.t.Fatal(err)
	}
	var keys []string
	for _, rec := range recs {
		if strings.HasSuffix(rec.Key, id) {
			keys = append(keys, rec.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// The progress of a scheduled job grew with each occurrence. Once it was longer than a record
// may be, nothing of the pool could be stored any more: no job, no cancellation, no end.
func TestScheduledJobDoesNotOutgrowARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const steps, times = 64, 150
		fxt := newFixture(t, 50, logstore.Config{MaxRecord: 44 << 10})
		own := fxt.open()
		time.Sleep(time.Second)
		repeating := &plan.Plan{ID: job(1, 1).ID, RepeatCount: times, FirstAt: time.Now(), Interval: 250 * time.Millisecond}
		for range steps {
			repeating.Steps = append(repeating.Steps, plan.Step{Count: 1, Demand: plan.Demand{MilliCores: 1000, MemoryMB: 100}, Estimate: runTime})
		}
		if err := fxt.submit(own, repeating); err != nil {
			t.Fatal(err)
		}
		if keys, want := fxt.keys(repeating.ID), []string{"gate/j/" + repeating.ID}; !slices.Equal(keys, want) {
			t.Errorf("records %v, want %v", keys, want)
		}
		time.Sleep(27 * time.Second)
		if err := fxt.submit(own, job(2, 1)); err != nil {
			t.Errorf("submit beside a long progress: %v", err)
		}
		if found, err := own.Cancel(t.Context(), time.Now(), passes, job(2, 1).ID); !found || err != nil {
			t.Errorf("cancel beside a long progress: %v %v", found, err)
		}
		// Entries of earlier versions know neither the form of the progress nor the key of the
		// submission, so they leave the job alone and show its state.
		if keys, want := fxt.keys(repeating.ID), []string{"gate/n/" + repeating.ID, "gate/p/" + repeating.ID}; !slices.Equal(keys, want) {
			t.Errorf("records %v, want %v", keys, want)
		}
		own.Close()
		own = fxt.open()
		fxt.await(own, repeating.ID, 60*time.Second)
		if got := fxt.fleet.Starts(); got < steps*times {
			t.Errorf("%d starts, want at least %d", got, steps*times)
		}
		time.Sleep(time.Second)
		if keys, want := fxt.keys(repeating.ID), []string{"gate/p/" + repeating.ID}; !slices.Equal(keys, want) {
			t.Errorf("records of the ended job %v, want %v", keys, want)
		}
		fxt.checkInvariants()
	})
}

// storeHalfDone stores jobs of earlier owners: most tasks of the first step are done, the rest
// has no VM to run on, and the second step has one task.
func (fxt *fixture) storeHalfDone(jobs, tasks int) {
	fxt.t.Helper()
	indexes := make([]int, tasks-1)
	for i := range indexes {
		indexes[i] = i
	}
	dmd := plan.Demand{MilliCores: 1000, MemoryMB: 100}
	for num := range jobs {
		pln := &plan.Plan{ID: job(num, 1).ID, Steps: []plan.Step{{Count: tasks, Demand: dmd, Label: "nowhere"}, {Count: 1, Demand: dmd}}}
		data, err := jobrecord.EncodeJob(jobrecord.Job{Plan: pln, Queue: passes.Name, FirstAttempt: time.Now()})
		if err != nil {
			fxt.t.Fatal(err)
		}
		progress, err := jobrecord.EncodeProgress(jobrecord.Progress{
			State: jobrecord.Running, Queue: passes.Name, Done: []jobrecord.DoneTasks{{Indexes: indexes}},
		})
		if err != nil {
			fxt.t.Fatal(err)
		}
		if _, err := fxt.store.Client().Append(fxt.t.Context(), statelog.AppendRequest{Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{
			{Key: "gate/j/" + pln.ID, Value: data}, {Key: "gate/p/" + pln.ID, Value: progress},
		}}); err != nil {
			fxt.t.Fatal(err)
		}
	}
}

// After an outage of the log, the progress of many jobs was longer than an append may be. It was
// refused again and again, together with everything else.
func TestChangesBeyondOneAppendAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 70
		var isDown atomic.Bool
		fxt := newFixture(t, 25, logstore.Config{MaxAppend: 1 << 20, MaxRecord: 64 << 10, Fault: func(statelog.AppendRequest) logstore.Fault {
			if isDown.Load() {
				return logstore.Down
			}
			return logstore.None
		}})
		fxt.storeHalfDone(jobs, 4000)
		own := fxt.open()
		time.Sleep(100 * time.Millisecond)
		isDown.Store(true)
		time.Sleep(4 * time.Second)
		isDown.Store(false)
		time.Sleep(2 * time.Second)
		if got := fxt.fleet.Starts(); got != jobs {
			t.Fatalf("%d starts, want %d, so that the progress of all jobs has changed", got, jobs)
		}
		if err := fxt.submit(own, job(99, 1)); err != nil {
			t.Errorf("submit after the outage: %v", err)
		}
		fxt.await(own, job(99, 1).ID, 5*time.Second)
		for num := range jobs {
			if found, err := own.Cancel(t.Context(), time.Now(), passes, job(num, 1).ID); !found || err != nil {
				t.Fatalf("cancel after the outage: %v %v", found, err)
			}
		}
		fxt.checkInvariants()
	})
}

// The progress of many jobs goes into two appends, and the owner is replaced between them. Ends
// whose effect is in the second one must not have been acknowledged.
func TestEndsWaitForTheLastAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 70
		var isDown, isCut atomic.Bool
		fxt := newFixture(t, 25, logstore.Config{MaxAppend: 1 << 20, Fault: func(app statelog.AppendRequest) logstore.Fault {
			if isDown.Load() || isCut.Load() && app.Epoch > 0 && len(app.Records) > 0 {
				return logstore.Down
			}
			isLarge := len(app.Records) > jobs/2 && app.Epoch > 0
			if isLarge {
				isCut.Store(true) // from the next append on
			}
			return logstore.None
		}})
		fxt.storeHalfDone(jobs, 4000)
		own := fxt.open()
		time.Sleep(100 * time.Millisecond)
		isDown.Store(true)
		time.Sleep(3 * time.Second)
		isDown.Store(false)
		time.Sleep(500 * time.Millisecond)
		if !isCut.Load() {
			t.Fatal("no append was long")
		}
		own.Close()
		isCut.Store(false)
		fxt.open()
		time.Sleep(3 * time.Second)
		fxt.checkInvariants()
	})
}

// A job that can't be stored must not keep others from being stored.
func TestUnstorableJobsHarmNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{MaxRecord: 16 << 10})
		fxt.maxRecord = 4 << 10 // what earlier owners stored is longer
		fxt.storeHalfDone(1, 2000)
		own := fxt.open()
		time.Sleep(2 * time.Second)
		if ste, ok, err := own.State(passes, job(0, 1).ID); ste != jobrecord.Failed || !ok || err != nil {
			t.Errorf("job with a progress of 9,000 bytes is %s, %v (%v), want failed", ste, ok, err)
		}
		long := job(5, 1)
		long.Steps[0].Image = strings.Repeat("x", 5000)
		if err := fxt.submit(own, long); fault.CodeOf(err) != code.BadShape {
			t.Errorf("submission of 5,000 bytes: %v, want badShape", err)
		}
		if err := fxt.submit(own, job(6, 1)); err != nil {
			t.Errorf("submission beside one that can't be stored: %v", err)
		}
		fxt.await(own, job(6, 1).ID, 5*time.Second)
		fxt.checkInvariants()
	})
}

// Jobs that wait to be stored go into as many appends as they need.
func TestManySubmissionsAtOnceAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs = 400
		fxt := newFixture(t, 1, logstore.Config{MaxAppend: 1 << 20, MaxRecord: 64 << 10})
		own := fxt.open()
		errs := make(chan error, jobs)
		for num := range jobs {
			pln := job(num, 1)
			pln.Spec = strings.Repeat("\"", plan.MaxSpecBytes) // has twice the length in a record
			go func() { errs <- own.Submit(t.Context(), time.Now(), pln, passes) }()
		}
		for range jobs {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
		if got := len(fxt.keys(fmt.Sprintf("%03x", jobs-1))); got != 1 {
			t.Errorf("%d records of the last job, want 1", got)
		}
	})
}

// The end of a job was stored in one append and its submission removed in the next, which was not
// carried out. The job ran again once its end had been dropped.
func TestEndedJobWithASubmissionDoesNotRunAgain(t *testing.T) {
	for _, prefix := range []string{"j/", "n/"} {
		synctest.Test(t, func(t *testing.T) {
			fxt := newFixture(t, 1, logstore.Config{})
			pln := job(1, 1)
			submission, err := jobrecord.EncodeJob(jobrecord.Job{Plan: pln, Queue: passes.Name})
			if err != nil {
				t.Fatal(err)
			}
			end, err := jobrecord.EncodeProgress(jobrecord.Progress{State: jobrecord.Completed, Queue: passes.Name, Ended: time.Now()})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := fxt.store.Client().Append(t.Context(), statelog.AppendRequest{Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{
				{Key: pool + "/" + prefix + pln.ID, Value: submission}, {Key: pool + "/p/" + pln.ID, Value: end},
			}}); err != nil {
				t.Fatal(err)
			}
			own := fxt.open()
			time.Sleep(3 * time.Minute) // longer than ends are stored
			if err := fxt.submit(own, job(2, 1)); err != nil {
				t.Fatal(err)
			}
			fxt.await(own, job(2, 1).ID, 5*time.Second)
			own.Close()
			fxt.open()
			time.Sleep(5 * time.Second)
			if got := fxt.fleet.Starts(); got != 2 {
				t.Errorf("%d starts, want the 2 of the other job", got)
			}
			if got := fxt.keys(pln.ID); len(got) != 0 {
				t.Errorf("records %v of a job that has ended long ago", got)
			}
		})
	}
}
