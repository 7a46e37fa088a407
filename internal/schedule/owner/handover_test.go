package owner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// A job that returns to a pool must not be taken for one that is still leaving, whose record is about
// to be removed.
func TestReturningJobWaitsForTheEndOfItsHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isDown atomic.Bool
		store := logstore.New(logstore.Config{Latency: 4 * time.Millisecond, Fault: func(statelog.AppendRequest) logstore.Fault {
			if isDown.Load() {
				return logstore.Down
			}
			return logstore.None
		}})
		pln := job(1, 1)
		data, err := jobrecord.EncodeJob(jobrecord.Job{Plan: pln, Queue: passes.Name, Address: "h/p/"})
		if err != nil {
			t.Fatal(err)
		}
		log, jnl := store.Client(), journal.New(journal.Config{})
		if _, err := log.Append(t.Context(), statelog.AppendRequest{Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{{Key: pool + "/j/" + pln.ID, Value: data}}}); err != nil {
			t.Fatal(err)
		}
		var passed atomic.Pointer[jobrecord.Handover]
		own, err := owner.Open(t.Context(), time.Now(), owner.Config{
			RequestReport: func() {}, SinceBoot: func() time.Duration { return time.Hour }, Pool: pool, Address: "peer", MaxLease: maxLease,
			HandOver: func(_ context.Context, hnd jobrecord.Handover) error {
				passed.Store(&hnd)
				isDown.Store(true) // the record of the handover can't be removed
				return nil
			},
			StatusRetention: time.Minute, StateLog: log, PoolIndex: poolindex.New(poolindex.Config{StateLog: log, Journal: jnl}), Journal: jnl, Metrics: metrics.NewSet(),
			Table: queue.NewTable(1, []queue.Queue{{Name: passes.Name, Host: "h", Prefix: "/p/", Pool: "mill"}}, []queue.Pool{{Name: pool, IsStandby: true}, {Name: "mill"}}),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(own.Close)
		own.SetListedVMs(time.Now(), nil)
		time.Sleep(2 * time.Second)
		left := passed.Load()
		if left == nil || left.To != "mill" || left.Job.From != pool {
			t.Fatalf("handover %+v, want one to mill", left)
		}
		back := *left
		back.To, back.Previous, back.Job.From = pool, pool, "mill"
		if err := own.Adopt(t.Context(), time.Now(), back); fault.CodeOf(err) != code.NotReady {
			t.Errorf("the job returns before its handover is over: %v, want notReady", err)
		}
		isDown.Store(false)
		time.Sleep(2 * time.Second)
		if err := own.Adopt(t.Context(), time.Now(), back); err != nil {
			t.Errorf("the job returns: %v", err)
		}
		if _, ok, err := own.State(passes, pln.ID); !ok || err != nil {
			t.Errorf("the job that has returned is known: %v (%v)", ok, err)
		}
	})
}
