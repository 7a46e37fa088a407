package owner_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// routed is a queue with an address, by the route of one version to a pool.
func routed(version int64, pool string) *queue.Table {
	return queue.NewTable(version, []queue.Queue{{Name: "routed", Host: "h", Prefix: "/r/", Pool: pool, MaxAttempts: 3}},
		[]queue.Pool{{Name: "gate"}, {Name: "mill"}})
}

// openRouted opens the owner of a pool with a configuration. Functions of the configuration that are nil stay so.
func openRouted(t *testing.T, log statelog.Client, name string, tab *queue.Table, fns owner.Config) *owner.Owner {
	t.Helper()
	jnl := journal.New(journal.Config{})
	fns.Pool, fns.Address, fns.Table, fns.StateLog, fns.Journal, fns.Metrics = name, name, tab, log, jnl, metrics.NewSet()
	fns.MaxLease, fns.LongestLease, fns.StatusRetention = maxLease, longestLease, time.Minute
	fns.PoolIndex = poolindex.New(poolindex.Config{StateLog: log, Journal: jnl})
	fns.RequestReport = func() {}
	own, err := owner.Open(t.Context(), time.Now(), fns)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(own.Close)
	return own
}

// Of two owners that know different routes of a queue, the one with the earlier route accepts nothing, whichever is
// the first to accept a job.
func TestOwnerWithAnEarlierRouteAcceptsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Config{Latency: 4 * time.Millisecond})
		first, second := routed(1, "gate"), routed(2, "mill")
		var gate *owner.Owner
		var closed atomic.Int64
		mill := openRouted(t, store.Client(), "mill", second, owner.Config{
			CloseRoute: func(ctx context.Context, pool string, que queue.Ref, version int64) error {
				closed.Add(1)
				if pool != "gate" || que.Address != "h/r/" || version != 2 {
					t.Errorf("the pool %s is to leave %s by version %d", pool, que.Address, version)
				}
				gate.SetTable(second)
				return gate.LeaveRoute(ctx, time.Now(), que.Address, version)
			},
			IsInPool: func(_ context.Context, _ string, _ queue.Ref, id string) (bool, error) {
				return id == job(1, 1).ID, nil
			},
		})
		gate = openRouted(t, store.Client(), "gate", first, owner.Config{})
		if err := gate.Submit(t.Context(), time.Now(), job(1, 1), first.Queues()[0].Ref()); err != nil {
			t.Errorf("job by the only route that is registered: %v", err)
		}
		if err := mill.Submit(t.Context(), time.Now(), job(2, 1), second.Queues()[0].Ref()); err != nil || closed.Load() != 1 {
			t.Errorf("job by the later route: %v, %d questions to the other pool", err, closed.Load())
		}
		if err := mill.Submit(t.Context(), time.Now(), job(1, 1), second.Queues()[0].Ref()); err != nil {
			t.Errorf("job that the other pool has: %v", err)
		}
		if _, found, err := mill.State(second.Queues()[0].Ref(), job(1, 1).ID); found || err != nil {
			t.Errorf("a job that the other pool has is stored again: %t (%v)", found, err)
		}
		if err := gate.Submit(t.Context(), time.Now(), job(3, 1), first.Queues()[0].Ref()); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("job by the earlier route, after the owner has left it: %v, want staleRoute", err)
		}
		gate.Close()
		late := openRouted(t, store.Client(), "gate", first, owner.Config{})
		if err := late.Submit(t.Context(), time.Now(), job(4, 1), first.Queues()[0].Ref()); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("job by the earlier route, at an owner that has not read of the later one: %v, want staleRoute", err)
		}
	})
}

// Guards against a job that is lost: its submission waited to be stored in the former pool of its queue, the owner of
// the present pool took it for accepted and said so, and the former pool could not store it.
func TestJobThatIsBeingStoredIsNotTakenForAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}).Client()
		add := log.Append
		log.Append = func(ctx context.Context, app statelog.AppendRequest) (int64, error) {
			if app.Topic != "jobs" || len(app.Records) == 0 {
				return add(ctx, app)
			}
			time.Sleep(150 * time.Millisecond)
			return 0, statelog.ErrNotAppended
		}
		first := routed(1, "gate")
		ref := first.Queues()[0].Ref()
		own := openRouted(t, log, "gate", first, owner.Config{})
		refused := make(chan error, 1)
		go func() { refused <- own.Submit(t.Context(), time.Now(), job(1, 1), ref) }()
		time.Sleep(100 * time.Millisecond)
		own.SetTable(routed(2, "mill"))
		if err := own.LeaveRoute(t.Context(), time.Now(), ref.Address, 2); err != nil {
			t.Errorf("the owner does not leave the route: %v", err)
		}
		ref.Version = 0
		if _, found, err := own.State(ref, job(1, 1).ID); found || err != nil {
			t.Errorf("the owner of the present pool gets: found %t (%v)", found, err)
		}
		if err := <-refused; err == nil {
			t.Error("the job was accepted without being stored")
		}
	})
}

// A route is proved once a term, not with each job: the log is read twice at most, however many jobs come.
func TestOpenRouteCostsNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}).Client()
		newest := log.Newest
		var reads atomic.Int64
		log.Newest = func(ctx context.Context, topic string, part int) ([]statelog.Record, int64, error) {
			if topic == "queues" {
				reads.Add(1)
			}
			return newest(ctx, topic, part)
		}
		tab := routed(1, "gate")
		own := openRouted(t, log, "gate", tab, owner.Config{})
		for num := range 50 {
			if err := own.Submit(t.Context(), time.Now(), job(num+1, 1), tab.Queues()[0].Ref()); err != nil {
				t.Fatal(err)
			}
		}
		if got := reads.Load(); got > 2 {
			t.Errorf("%d reads of the index for 50 jobs, want 2 at most", got)
		}
	})
}

// While the route can't be registered, submissions are refused before their callers' time is over, and at once as soon as
// that has lasted; later the route opens.
func TestSubmissionIsRefusedWhileItsRouteIsNotOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isDown atomic.Bool
		store := logstore.New(logstore.Config{Latency: 4 * time.Millisecond, Fault: func(app statelog.AppendRequest) logstore.Fault {
			if isDown.Load() && app.Topic == "queues" {
				return logstore.Down
			}
			return logstore.None
		}})
		tab := routed(1, "gate")
		own := openRouted(t, store.Client(), "gate", tab, owner.Config{})
		isDown.Store(true)
		for _, limit := range []time.Duration{800 * time.Millisecond, 10 * time.Millisecond} {
			sent := time.Now()
			err := own.Submit(t.Context(), sent, job(1, 1), tab.Queues()[0].Ref())
			if cod := fault.CodeOf(err); cod != code.NotReady && cod != code.LogUnavailable || time.Since(sent) > limit {
				t.Errorf("%v after %s, want a refusal within %s", err, time.Since(sent), limit)
			}
		}
		isDown.Store(false)
		time.Sleep(100 * time.Millisecond)
		if err := own.Submit(t.Context(), time.Now(), job(1, 1), tab.Queues()[0].Ref()); err != nil {
			t.Errorf("after the index can be written again: %v", err)
		}
	})
}

// A job that moves on from one former pool to another while it is looked up is found, as the pools are asked in the order
// in which they had the queue.
func TestFormerPoolsAreAskedInTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}).Client()
		for since, name := range []string{"west", "south", "east"} {
			tab := routed(int64(since+1), name)
			own := openRouted(t, log, name, tab, owner.Config{})
			if err := own.Submit(t.Context(), time.Now(), job(since+1, 1), tab.Queues()[0].Ref()); err != nil {
				t.Fatal(err)
			}
		}
		var asked []string
		tab := routed(9, "gate")
		own := openRouted(t, log, "gate", tab, owner.Config{
			CloseRoute: func(context.Context, string, queue.Ref, int64) error { return nil },
			IsInPool: func(_ context.Context, pool string, _ queue.Ref, _ string) (bool, error) {
				asked = append(asked, pool)
				return false, nil
			},
		})
		if err := own.Submit(t.Context(), time.Now(), job(9, 1), tab.Queues()[0].Ref()); err != nil || !slices.Equal(asked, []string{"west", "south", "east"}) {
			t.Errorf("%v, asked %v, want west, south and east", err, asked)
		}
	})
}

// An owner of an earlier version of the program has registered no route. The pool is asked all the same if this entry
// has read that it lately had the queue.
func TestPoolsWithoutRegistrationAreAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked []string
		tab := routed(2, "gate")
		own := openRouted(t, logstore.New(logstore.Config{Latency: 4 * time.Millisecond}).Client(), "gate", tab, owner.Config{
			UnregisteredPools: func(_ context.Context, address string) []string {
				if address != "h/r/" {
					t.Errorf("asked for pools of %s", address)
				}
				return []string{"gate", "mill"}
			},
			CloseRoute: func(_ context.Context, pool string, _ queue.Ref, _ int64) error {
				asked = append(asked, pool)
				return nil
			},
			IsInPool: func(_ context.Context, _ string, _ queue.Ref, id string) (bool, error) {
				return id == job(1, 1).ID, nil
			},
		})
		for num := range 2 {
			if err := own.Submit(t.Context(), time.Now(), job(num+1, 1), tab.Queues()[0].Ref()); err != nil {
				t.Fatal(err)
			}
			if _, found, err := own.State(tab.Queues()[0].Ref(), job(num+1, 1).ID); found != (num == 1) || err != nil {
				t.Errorf("job %d: stored here %t (%v)", num+1, found, err)
			}
		}
		if !slices.Equal(asked, []string{"mill"}) {
			t.Errorf("asked %v, want mill once", asked)
		}
	})
}

// A queue that the owner's configuration has no longer is accepted by its sender's route, until another pool that had it
// by a later one says so. Then the route has to be opened again, which finds that pool.
func TestRouteOfARemovedQueueIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Config{Latency: 4 * time.Millisecond})
		first, second := routed(1, "gate"), routed(2, "mill")
		ref := first.Queues()[0].Ref()
		gate := openRouted(t, store.Client(), "gate", queue.NewTable(3, nil, []queue.Pool{{Name: "gate"}, {Name: "mill"}}), owner.Config{})
		if err := gate.Submit(t.Context(), time.Now(), job(1, 1), ref); err != nil {
			t.Fatal(err)
		}
		mill := openRouted(t, store.Client(), "mill", second, owner.Config{
			CloseRoute: func(ctx context.Context, _ string, que queue.Ref, version int64) error {
				return gate.LeaveRoute(ctx, time.Now(), que.Address, version)
			},
			IsInPool: func(context.Context, string, queue.Ref, string) (bool, error) { return false, nil },
		})
		if err := mill.Submit(t.Context(), time.Now(), job(2, 1), second.Queues()[0].Ref()); err != nil {
			t.Fatal(err)
		}
		if err := gate.Submit(t.Context(), time.Now(), job(3, 1), ref); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("job of a queue that another pool had later: %v, want staleRoute", err)
		}
	})
}

// Guards against a job that is stored in two pools: a former owner, which has not noticed its successor yet, left the route
// for it. It had read the later route, and its successor had not, and accepted jobs.
func TestFormerOwnerDoesNotLeaveARouteForItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := logstore.New(logstore.Config{Latency: 4 * time.Millisecond})
		first := openRouted(t, store.Client(), "gate", routed(2, "mill"), owner.Config{})
		old := routed(1, "gate")
		second := openRouted(t, store.Client(), "gate", old, owner.Config{})
		if err := second.Submit(t.Context(), time.Now(), job(1, 1), old.Queues()[0].Ref()); err != nil {
			t.Fatal(err)
		}
		if err := first.LeaveRoute(t.Context(), time.Now(), "h/r/", 2); err == nil {
			t.Error("the former owner has left the route, and its successor accepts jobs by it")
		}
		second.SetTable(routed(2, "mill"))
		if err := second.LeaveRoute(t.Context(), time.Now(), "h/r/", 2); err != nil {
			t.Errorf("the present owner: %v", err)
		}
	})
}
