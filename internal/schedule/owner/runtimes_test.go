package owner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/estimate"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/runtimestore"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// runJobs runs jobs of one step each, whose callers declare a tenth of what they take, one after the other.
func (fxt *fixture) runJobs(own *owner.Owner, from, count int) {
	fxt.t.Helper()
	for num := from; num < from+count; num++ {
		pln := &plan.Plan{ID: fmt.Sprintf("%016x", num), Steps: []plan.Step{{Count: 2, Demand: plan.Demand{MilliCores: 1000}, Estimate: runTime / 10}}}
		if err := own.Submit(fxt.t.Context(), time.Now(), pln, passes); err != nil {
			fxt.t.Fatal(err)
		}
		time.Sleep(2 * runTime)
	}
}

// stored returns the model of the queue that is stored.
func (fxt *fixture) stored(sto *runtimestore.Store) estimate.State {
	fxt.t.Helper()
	mdl, err := sto.Load(fxt.t.Context(), time.Now(), fxt.table.Queues()[0].Address())
	if err != nil {
		fxt.t.Fatal(err)
	}
	return mdl.State()
}

// What an owner has learned of run times is known to the next one, and not lost in an outage of the log.
func TestRuntimesOutliveTheirOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		fxt.runtimes = runtimestore.New(runtimestore.Config{StateLog: fxt.store.Client(), Journal: journal.New(journal.Config{})})
		first := fxt.open()
		fxt.runJobs(first, 1, 10)
		time.Sleep(6 * time.Second)
		learned := fxt.stored(fxt.runtimes)
		if learned.Count != 10 {
			t.Fatalf("%d steps are stored, want 10", learned.Count)
		}
		first.Close()

		// The next owner reads them although the log fails at first.
		var isDown atomic.Bool
		isDown.Store(true)
		log := fxt.store.Client()
		lookup := log.Lookup
		log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
			if isDown.Load() && topic == "runtimes" {
				return statelog.Record{}, false, statelog.ErrNotAppended
			}
			return lookup(ctx, topic, part, key)
		}
		sto := fxt.runtimes
		fxt.runtimes = runtimestore.New(runtimestore.Config{StateLog: log, Journal: journal.New(journal.Config{})})
		second := fxt.open()
		fxt.runJobs(second, 100, 3)
		time.Sleep(6 * time.Second)
		if got := fxt.stored(sto); got != learned {
			t.Errorf("stored %+v before the earlier observations were read, want %+v", got, learned)
		}
		isDown.Store(false)
		time.Sleep(11 * time.Second)
		if got := fxt.stored(sto); got.Count != 13 {
			t.Errorf("%d steps are stored, want those of both owners", got.Count)
		}
	})
}
