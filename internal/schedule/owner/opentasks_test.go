package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/standin/logstore"
)

// A burst of large jobs was accepted until their tasks exceeded the memory of the owner, and of each owner after it. Jobs are
// refused with a time while the tasks of those that are open take the pool's part, and accepted again once these end.
func TestLargeJobsAreRefusedWhileTheMemoryIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		fxt.maxOpenTasks = 30
		own := fxt.open()
		for num := 1; num <= 2; num++ {
			if err := fxt.submit(own, job(num, 13)); err != nil {
				t.Fatalf("job %d: %v", num, err)
			}
		}
		for range 2 { // the second time is a repetition
			err := fxt.submit(own, job(3, 13))
			if fault.CodeOf(err) != code.QueueFull || fault.RetryAfterOf(err) <= 0 {
				t.Errorf("job beyond the limit: %v, want queueFull with a time", err)
			}
		}
		if err := fxt.submit(own, job(1, 13)); err != nil {
			t.Errorf("repetition of an accepted job: %v", err)
		}
		own.Close()
		own = fxt.open() // it restores what was accepted
		if err := fxt.submit(own, job(3, 13)); fault.CodeOf(err) != code.QueueFull {
			t.Errorf("job beyond the limit after a change of owner: %v, want queueFull", err)
		}
		for num := 1; num <= 2; num++ {
			fxt.await(own, job(num, 13).ID, 30*time.Second)
		}
		if err := fxt.submit(own, job(4, 60)); err != nil {
			t.Errorf("a job above the limit in a pool without others: %v", err)
		}
		fxt.await(own, job(4, 60).ID, time.Minute)
		fxt.checkInvariants()
	})
}
