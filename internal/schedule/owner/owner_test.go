package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/runtimestore"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
	"daisywheel/internal/standin/vmfleet"
)

const (
	pool     = "gate"
	maxLease = 6 * time.Second
	// longestLease is the longest lease that VMs grant.
	longestLease = 10 * time.Second
	runTime      = 600 * time.Millisecond

	longRunningID = "00000000000000ff"
)

var passes = queue.Ref{Name: "passes"}

// fixture is an in-memory pool of VMs with a state log; no platform process runs.
type fixture struct {
	t     *testing.T
	store *logstore.Store
	fleet *vmfleet.Fleet
	table *queue.Table
	begun time.Time
	// suspended is the time for which the owners' machines were suspended.
	suspended atomic.Int64 // nanoseconds
	// isClockOdd is set while a look at the owners' clock brings about a panic.
	isClockOdd atomic.Bool
	maxRecord  int
	// maxOpenTasks is the limit of tasks of open jobs; 0 for none.
	maxOpenTasks int
	runtimes     *runtimestore.Store
	runTime      time.Duration // of all tasks but long-running ones
}

func newFixture(t *testing.T, vms int, cfg logstore.Config) *fixture {
	t.Helper()
	cfg.Latency = 4 * time.Millisecond
	var hosts []host.Host
	for i := range vms {
		hosts = append(hosts, host.Host{
			ID: fmt.Sprintf("vm-%d", i), Pool: pool, Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: time.Now().UnixMilli(),
			Capacity: plan.Demand{MilliCores: 4000, MemoryMB: 8000}, Labels: []string{"a", fmt.Sprintf("r%d", i/2)},
		})
	}
	fxt := &fixture{t: t, store: logstore.New(cfg), begun: time.Now(), maxRecord: cfg.MaxRecord, runTime: runTime}
	fxt.fleet = vmfleet.New(time.Now(), vmfleet.Config{
		Latency: time.Millisecond, MaxLease: longestLease,
		Demand: func(task.ID) plan.Demand { return plan.Demand{MilliCores: 1000, MemoryMB: 100} },
		RunTime: func(tid task.ID) time.Duration {
			if tid.Job == longRunningID {
				return time.Hour
			}
			return fxt.runTime
		},
	}, hosts)
	fxt.table = queue.NewTable(1, []queue.Queue{{Name: "passes", Pool: pool, MaxAttempts: 3, DeadlineFactor: 1.6, LatencyGoal: time.Second}},
		[]queue.Pool{{Name: pool}})
	return fxt
}

func (fxt *fixture) open() *owner.Owner {
	fxt.t.Helper()
	return fxt.openWith(fxt.store.Client(), fxt.fleet.Agent())
}

func (fxt *fixture) openWith(log statelog.Client, agt agent.Client) *owner.Owner {
	fxt.t.Helper()
	own, err := owner.Open(fxt.t.Context(), time.Now(), owner.Config{
		RequestReport: func() {}, SinceBoot: fxt.sinceBoot,
		Pool: pool, Address: "peer", MaxLease: maxLease, LongestLease: longestLease, StatusRetention: time.Minute, MaxRecord: fxt.maxRecord, MaxOpenTasks: fxt.maxOpenTasks, StateLog: log, PoolIndex: poolindex.New(poolindex.Config{StateLog: log, Journal: journal.New(journal.Config{})}),
		Agent: agt, Journal: journal.New(journal.Config{}), Metrics: metrics.NewSet(), Table: fxt.table, Runtimes: fxt.runtimes,
	})
	if err != nil {
		fxt.t.Fatal(err)
	}
	fxt.t.Cleanup(own.Close)
	own.SetListedVMs(time.Now(), fxt.fleet.Hosts())
	return own
}

func (fxt *fixture) sinceBoot() time.Duration {
	if fxt.isClockOdd.Load() {
		panic("odd clock")
	}
	return time.Since(fxt.begun) + time.Duration(fxt.suspended.Load())
}

// openEarlier opens an owner as of an earlier version of the program, whose start orders reach any incarnation of
// a VM.
func (fxt *fixture) openEarlier() *owner.Owner {
	fxt.t.Helper()
	agt := fxt.fleet.Agent()
	start := agt.Start
	agt.Start = func(ctx context.Context, tgt agent.Target, ord agent.Start) (agent.Outcome, error) {
		ord.Incarnation = 0
		return start(ctx, tgt, ord)
	}
	return fxt.openWith(fxt.store.Client(), agt)
}

func job(num, width int) *plan.Plan {
	dmd := plan.Demand{MilliCores: 1000, MemoryMB: 100}
	return &plan.Plan{ID: fmt.Sprintf("%016x", num), Spec: "x", Steps: []plan.Step{
		{Count: width, Demand: dmd, Estimate: runTime},
		{Count: 1, Demand: dmd, Estimate: runTime, After: []int{0}},
	}}
}

func (fxt *fixture) submit(own *owner.Owner, pln *plan.Plan) error {
	ctx, cancel := context.WithTimeout(fxt.t.Context(), 2*time.Second)
	defer cancel()
	return own.Submit(ctx, time.Now(), pln, passes)
}

// await waits until a job is completed, at most for a given virtual time.
func (fxt *fixture) await(own *owner.Owner, id string, within time.Duration) {
	fxt.t.Helper()
	limit := time.Now().Add(within)
	for {
		ste, _, err := own.State(passes, id)
		if err == nil && ste == jobrecord.Completed {
			return
		}
		if time.Now().After(limit) {
			fxt.t.Fatalf("job %s is %s (%v) after %s", id, ste, err, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (fxt *fixture) checkInvariants() {
	fxt.t.Helper()
	for _, line := range fxt.fleet.Violations() {
		fxt.t.Error(line)
	}
}

func TestJobRunsOnceThroughAllSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		own := fxt.open()
		if err := fxt.submit(own, job(1, 6)); err != nil {
			t.Fatal(err)
		}
		fxt.await(own, job(1, 6).ID, 4*time.Second)
		if got := fxt.fleet.Starts(); got != 7 {
			t.Errorf("%d starts, want 7", got)
		}
		fxt.checkInvariants()
	})
}

func TestRepeatedSubmissionStoresOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		own := fxt.open()
		errs := make(chan error, 2)
		for range 2 {
			go func() { errs <- fxt.submit(own, job(1, 2)) }()
		}
		for range 2 {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
		fxt.await(own, job(1, 2).ID, 4*time.Second)
		if err := fxt.submit(own, job(1, 2)); err != nil {
			t.Errorf("repeated submission of a completed job: %v", err)
		}
		time.Sleep(3 * time.Second)
		if got := fxt.fleet.Starts(); got != 3 {
			t.Errorf("%d starts, want 3", got)
		}
		fxt.checkInvariants()
	})
}

func TestLostAppendReplyStoresJobOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var left atomic.Int32
		fxt := newFixture(t, 2, logstore.Config{Fault: func(app statelog.AppendRequest) logstore.Fault {
			if len(app.Records) > 0 && app.Topic == "jobs" && strings.Contains(app.Records[0].Key, "/j/") && left.Add(-1) >= 0 {
				return logstore.LostReply
			}
			return logstore.None
		}})
		own := fxt.open()
		left.Store(1)
		if err := fxt.submit(own, job(1, 2)); err != nil {
			t.Fatalf("submit after a retried append: %v", err)
		}
		fxt.await(own, job(1, 2).ID, 4*time.Second)
		fxt.checkInvariants()
	})
}

func TestRefusedJobIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mode atomic.Int32
		fxt := newFixture(t, 2, logstore.Config{Fault: func(app statelog.AppendRequest) logstore.Fault {
			if len(app.Records) == 0 {
				return logstore.None
			}
			return logstore.Fault(mode.Load())
		}})
		own := fxt.open()
		time.Sleep(time.Second)
		mode.Store(int32(logstore.Down))
		if err := fxt.submit(own, job(1, 2)); fault.CodeOf(err) != code.LogUnavailable {
			t.Errorf("submit while the state log refuses appends: %v, want logUnavailable", err)
		}
		mode.Store(int32(logstore.LostRequest))
		if err := fxt.submit(own, job(2, 2)); fault.CodeOf(err) != code.OutcomeUnknown {
			t.Errorf("submit while the state log does not answer: %v, want outcomeUnknown", err)
		}
		mode.Store(int32(logstore.None))
		time.Sleep(5 * time.Second)
		if _, ok, _ := own.State(passes, job(1, 2).ID); ok {
			t.Error("the owner knows a refused job")
		}
		fxt.checkInvariants()
	})
}

// The log refused one append of a pool without running tasks. Its owner then refused all jobs
// for good, as it took the log to be down until another append succeeded.
func TestJobsAreStoredAfterOneRefusedAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isDown atomic.Bool
		fxt := newFixture(t, 1, logstore.Config{Fault: func(statelog.AppendRequest) logstore.Fault {
			if isDown.Load() {
				return logstore.Down
			}
			return logstore.None
		}})
		own := fxt.open()
		time.Sleep(time.Second)
		isDown.Store(true)
		if err := fxt.submit(own, job(1, 1)); fault.CodeOf(err) != code.LogUnavailable {
			t.Errorf("submit while the state log refuses appends: %v, want logUnavailable", err)
		}
		isDown.Store(false)
		time.Sleep(5 * time.Second)
		if err := fxt.submit(own, job(2, 1)); err != nil {
			t.Errorf("submit 5 s after the only refused append: %v", err)
		}
	})
}

func TestNewOwnerFencesPreviousOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 3, logstore.Config{})
		first := fxt.open()
		for num := range 6 {
			if err := fxt.submit(first, job(num, 4)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(300 * time.Millisecond)
		second := fxt.open() // the first owner does not know of it yet
		err := fxt.submit(first, job(99, 1))
		if got := fault.CodeOf(err); got != code.NotReady && got != code.OutcomeUnknown {
			t.Errorf("submit to the fenced owner: %v, want notReady or outcomeUnknown", err)
		}
		<-first.OwnershipLost()
		first.Close()
		for num := range 6 {
			fxt.await(second, job(num, 4).ID, 20*time.Second)
		}
		fxt.checkInvariants()
	})
}

// A queue was shown as empty by an entry whose term was over: jobs that its successor had
// accepted were missing.
func TestEndedTermGivesNoCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		first := fxt.open()
		second := fxt.open()
		<-first.OwnershipLost()
		fxt.submitAll(second, 5)
		if count, err := first.CountQueued(t.Context(), time.Now(), passes); fault.CodeOf(err) != code.NotReady {
			t.Errorf("the former owner counts %d of 5 jobs (%v), want notReady", count, err)
		}
		if count, err := second.CountQueued(t.Context(), time.Now(), passes); count != 5 || err != nil {
			t.Errorf("the owner counts %d of 5 jobs (%v)", count, err)
		}
	})
}

// cutLog returns a client of the log whose reads fail while isCut is set.
func (fxt *fixture) cutLog(isCut *atomic.Bool) statelog.Client {
	log := fxt.store.Client()
	lookup := log.Lookup
	log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
		if isCut.Load() {
			<-ctx.Done()
			return statelog.Record{}, false, ctx.Err()
		}
		return lookup(ctx, topic, part, key)
	}
	return log
}

// An entry that was paused or cut off from the log gave counts in which the jobs that a
// later owner had accepted were missing.
func TestUnconfirmedOwnerGivesNoCount(t *testing.T) {
	for name, isPaused := range map[string]bool{"cut off from the log": false, "paused": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkNoCountOfFormerOwner(t, isPaused) })
		})
	}
}

func checkNoCountOfFormerOwner(t *testing.T, isPaused bool) {
	fxt := newFixture(t, 0, logstore.Config{})
	var isCut atomic.Bool
	first := fxt.openWith(fxt.cutLog(&isCut), fxt.fleet.Agent())
	fxt.submitAll(first, 2)
	time.Sleep(time.Second)
	isCut.Store(true)
	time.Sleep(2 * time.Second)
	second := fxt.open()
	fxt.submitAll(second, 7)
	time.Sleep(2 * time.Second)
	isCut.Store(!isPaused)
	for range 20 {
		if count, err := first.CountQueued(t.Context(), time.Now(), passes); fault.CodeOf(err) != code.NotReady {
			t.Fatalf("the former owner counts %d of 7 jobs (%v), want notReady", count, err)
		}
		time.Sleep(70 * time.Millisecond)
	}
}

// The steady clock of a process does not count the time for which its machine was suspended.
func TestSuspendedOwnerGivesNoCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		var isCut atomic.Bool
		own := fxt.openWith(fxt.cutLog(&isCut), fxt.fleet.Agent())
		time.Sleep(1500 * time.Millisecond) // a check has ended, the next one is not due
		isCut.Store(true)
		fxt.suspended.Store(int64(5 * time.Second))
		if count, err := own.CountQueued(t.Context(), time.Now(), passes); fault.CodeOf(err) != code.NotReady {
			t.Errorf("count %d (%v) after 5 s of suspension, want notReady", count, err)
		}
	})
}

// An owner was paused between the log's answer to a check of its claim and the use of the
// answer. It then took the claim as confirmed now.
func TestOwnerPausedDuringCheckGivesNoCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		log := fxt.store.Client()
		var isPaused atomic.Bool
		lookup := log.Lookup
		log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
			rec, ok, err := lookup(ctx, topic, part, key)
			if isPaused.Load() {
				time.Sleep(4 * time.Second)
			}
			return rec, ok, err
		}
		first := fxt.openWith(log, fxt.fleet.Agent())
		fxt.submitAll(first, 2)
		isPaused.Store(true)
		time.Sleep(1100 * time.Millisecond) // a check has been answered
		second := fxt.open()
		fxt.submitAll(second, 7)
		time.Sleep(1500 * time.Millisecond) // the count may be 2 s old
		for range 60 {
			if count, err := first.CountQueued(t.Context(), time.Now(), passes); fault.CodeOf(err) != code.NotReady {
				t.Fatalf("the former owner counts %d of 7 jobs (%v), want notReady", count, err)
			}
			time.Sleep(70 * time.Millisecond)
		}
	})
}

// Counts must not need the log's answer to each request, and come back with the log.
func TestOwnerCountsThroughLossOfOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		var isCut atomic.Bool
		own := fxt.openWith(fxt.cutLog(&isCut), fxt.fleet.Agent())
		fxt.submitAll(own, 3)
		check := func(when string) {
			t.Helper()
			if count, err := own.CountQueued(t.Context(), time.Now(), passes); count != 3 || err != nil {
				t.Errorf("%s: %d jobs (%v), want 3", when, count, err)
			}
		}
		for range 30 {
			check("in calm")
			time.Sleep(170 * time.Millisecond)
		}
		isCut.Store(true)
		time.Sleep(450 * time.Millisecond)
		check("after a loss of the log that is shorter than the interval of the checks")
		time.Sleep(10 * time.Second)
		isCut.Store(false)
		time.Sleep(1900 * time.Millisecond) // the read in flight times out, the next one follows
		check("after the loss")
	})
}

func (fxt *fixture) submitAll(own *owner.Owner, jobs int) {
	fxt.t.Helper()
	for num := range jobs {
		if err := fxt.submit(own, job(num, 1)); err != nil {
			fxt.t.Fatal(err)
		}
	}
}

// The log was down until VMs had more ends than they list at a time. Their owner, and one that
// took over right after the outage, started tasks again that had run.
func TestTasksRunOnceWhenEndsPileUp(t *testing.T) {
	for name, isReplaced := range map[string]bool{"same owner": false, "new owner": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkEndsPileUp(t, isReplaced) })
		})
	}
}

func checkEndsPileUp(t *testing.T, isReplaced bool) {
	var isDown atomic.Bool
	fxt := newFixture(t, 2, logstore.Config{Fault: func(statelog.AppendRequest) logstore.Fault {
		if isDown.Load() {
			return logstore.Down
		}
		return logstore.None
	}})
	fxt.fleet.SetMaxEnds(10)
	own := fxt.open()
	time.Sleep(time.Second)
	if err := fxt.submit(own, job(1, 60)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	isDown.Store(true)
	time.Sleep(5 * time.Second)
	isDown.Store(false)
	if isReplaced {
		own.Close()
		own = fxt.open()
	}
	defer fxt.checkInvariants()
	fxt.await(own, job(1, 60).ID, 40*time.Second)
}

// A queue that gets a new name keeps its callers' jobs.
func TestJobOfRemovedQueueIsShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		own := fxt.open()
		fxt.submitAll(own, 1)
		if _, ok, err := own.State(queue.Ref{}, job(0, 1).ID); !ok || err != nil {
			t.Errorf("asked by an entry of an earlier version: shown %v (%v)", ok, err)
		}
		renamed := queue.Queue{Name: "renamed", Pool: pool, MaxAttempts: 3}
		for version, want := range map[int64]bool{2: false, 3: true} {
			queues := []queue.Queue{renamed}
			if !want {
				queues = append(queues, queue.Queue{Name: "passes", Pool: pool, MaxAttempts: 3})
			}
			own.SetTable(queue.NewTable(version, queues, []queue.Pool{{Name: pool}}))
			if _, ok, err := own.State(queue.Ref{Name: "renamed"}, job(0, 1).ID); ok != want {
				t.Errorf("version %d: shown %v (%v), want %v", version, ok, err, want)
			}
		}
	})
}

// A route was dropped and one with the same host and prefix added. Its callers were shown none
// of their jobs, and a count without them.
func TestJobsOfRenamedQueueBelongToItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		first := queue.Queue{Name: "first", Host: "h", Prefix: "/p/", Pool: pool, MaxAttempts: 3}
		other := queue.Queue{Name: "other", Host: "h", Prefix: "/o/", Pool: pool, MaxAttempts: 3}
		renamed := first
		renamed.Name = "renamed"
		fxt.table = queue.NewTable(1, []queue.Queue{first, other}, []queue.Pool{{Name: pool}})
		own := fxt.open()
		if err := own.Submit(t.Context(), time.Now(), job(1, 1), first.Ref()); err != nil {
			t.Fatal(err)
		}
		own.Close()
		fxt.table = queue.NewTable(2, []queue.Queue{renamed, other}, []queue.Pool{{Name: pool}})
		own = fxt.open()
		for _, tst := range []struct {
			que  queue.Queue
			want int
		}{{renamed, 1}, {other, 0}} {
			if count, err := own.CountQueued(t.Context(), time.Now(), tst.que.Ref()); count != tst.want || err != nil {
				t.Errorf("queue %s: %d jobs (%v), want %d", tst.que.Name, count, err, tst.want)
			}
		}
		if _, ok, err := own.State(renamed.Ref(), job(1, 1).ID); !ok || err != nil {
			t.Errorf("the renamed queue shows its job: %v (%v)", ok, err)
		}
	})
}

// An entry that routed by an old configuration submitted a job to the former pool of its queue,
// while another entry submitted it to the present one.
func TestOwnerRefusesSubmissionsRoutedByOldConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 0, logstore.Config{})
		own := fxt.open()
		que := queue.Queue{Name: "passes", Pool: pool, MaxAttempts: 3}
		old := queue.NewTable(1, []queue.Queue{que}, []queue.Pool{{Name: pool}}).Queues()[0]
		if err := own.Submit(t.Context(), time.Now(), job(1, 1), old.Ref()); err != nil {
			t.Fatal(err)
		}
		que.Pool = "mill"
		away := queue.NewTable(2, []queue.Queue{que}, []queue.Pool{{Name: pool}, {Name: "mill"}})
		own.SetTable(away)
		if err := own.Submit(t.Context(), time.Now(), job(1, 1), old.Ref()); err != nil {
			t.Errorf("repetition of an accepted job: %v", err)
		}
		if err := own.Submit(t.Context(), time.Now(), job(2, 1), old.Ref()); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("new job routed by version 1: %v, want staleRoute", err)
		}
		if err := own.Submit(t.Context(), time.Now(), job(3, 1), passes); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("new job by an entry that does not tell its version, while another pool has the queue: %v, want staleRoute", err)
		}
		if _, _, err := own.State(old.Ref(), job(2, 1).ID); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("state of an unknown job, routed by version 1: %v, want staleRoute", err)
		}
		if _, err := own.Cancel(t.Context(), time.Now(), old.Ref(), job(2, 1).ID); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("cancel of an unknown job, routed by version 1: %v, want staleRoute", err)
		}
		if _, ok, err := own.State(old.Ref(), job(1, 1).ID); !ok || err != nil {
			t.Errorf("state of a known job, routed by version 1: found %v (%v)", ok, err)
		}
		if _, ok, err := own.State(away.Queues()[0].Ref(), job(2, 1).ID); ok || err != nil {
			t.Errorf("state of an unknown job, routed by version 2: found %v (%v)", ok, err)
		}
		que.Pool = pool
		back := queue.NewTable(3, []queue.Queue{que}, []queue.Pool{{Name: pool}, {Name: "mill"}}).After(away)
		own.SetTable(queue.NewTable(4, []queue.Queue{que}, []queue.Pool{{Name: pool}}).After(back))
		if err := own.Submit(t.Context(), time.Now(), job(2, 1), old.Ref()); fault.CodeOf(err) != code.StaleRoute {
			t.Errorf("new job routed by version 1 after the queue has returned: %v, want staleRoute", err)
		}
		if err := own.Submit(t.Context(), time.Now(), job(4, 1), back.Queues()[0].Ref()); err != nil {
			t.Errorf("new job routed by the version with which the queue has returned: %v", err)
		}
		if err := own.Submit(t.Context(), time.Now(), job(5, 1), passes); err != nil {
			t.Errorf("new job by an entry that does not tell its version: %v", err)
		}
	})
}

func TestTasksOfUnresponsiveVMWaitForLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		first := fxt.open()
		time.Sleep(time.Second)
		for num := range 4 {
			if err := fxt.submit(first, job(num, 2)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(100 * time.Millisecond)
		fxt.fleet.Cut("vm-1", true)
		first.Close()
		second := fxt.open()
		for num := range 4 {
			fxt.await(second, job(num, 2).ID, 40*time.Second)
		}
		fxt.checkInvariants()
	})
}

// An owner in a partitioned zone no longer receives reports from a VM whose leases a later owner
// renews. It must not treat the leases of the VM's tasks as expired.
func TestUnconfirmedOwnerDoesNotExpireTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		var isCut atomic.Bool
		log := fxt.store.Client()
		lookup := log.Lookup
		log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
			if isCut.Load() {
				return statelog.Record{}, false, errors.New("cut off")
			}
			return lookup(ctx, topic, part, key)
		}
		first := fxt.openWith(log, cutAgent(fxt.fleet.Agent(), "vm-0", &isCut))
		time.Sleep(time.Second)
		dmd := plan.Demand{MilliCores: 1000, MemoryMB: 100}
		longRunning := &plan.Plan{ID: longRunningID, Steps: []plan.Step{{Count: 2, Demand: dmd, IsLongRunning: true}}}
		if err := fxt.submit(first, longRunning); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		isCut.Store(true)
		time.Sleep(2500 * time.Millisecond) // until no poll is in flight
		fxt.openWith(fxt.store.Client(), cutAgent(fxt.fleet.Agent(), "vm-1", &isCut))
		time.Sleep(12 * time.Second)
		fxt.checkInvariants()
	})
}

// cutAgent returns an agent client whose polls of one VM fail while isCut is set.
func cutAgent(agt agent.Client, vm string, isCut *atomic.Bool) agent.Client {
	poll := agt.Poll
	agt.Poll = func(ctx context.Context, tgt agent.Target, req agent.Poll) (agent.Report, agent.Outcome, error) {
		if isCut.Load() && tgt.VM == vm {
			<-ctx.Done()
			return agent.Report{}, agent.Unknown, ctx.Err()
		}
		return poll(ctx, tgt, req)
	}
	return agt
}

func TestDelayedStartDoesNotRunElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		own := fxt.open()
		time.Sleep(time.Second)
		fxt.fleet.DelayStarts("vm-0", 3*time.Second)
		fxt.fleet.DelayStarts("vm-1", 5*time.Second)
		if err := fxt.submit(own, job(1, 4)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		fxt.fleet.DelayStarts("vm-0", 0)
		fxt.fleet.DelayStarts("vm-1", 0)
		fxt.await(own, job(1, 4).ID, 20*time.Second)
		time.Sleep(10 * time.Second)
		fxt.checkInvariants()
	})
}

func TestTasksRestartOnNewIncarnationOfVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 1, logstore.Config{})
		own := fxt.open()
		time.Sleep(time.Second)
		if err := fxt.submit(own, job(1, 4)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		fxt.fleet.Reboot(time.Now(), "vm-0")
		own.SetListedVMs(time.Now(), fxt.fleet.Hosts())
		fxt.await(own, job(1, 4).ID, 6*time.Second)
		fxt.checkInvariants()
	})
}

func TestCancelStopsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 1, logstore.Config{})
		own := fxt.open()
		time.Sleep(time.Second)
		if err := fxt.submit(own, job(1, 4)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		found, err := own.Cancel(t.Context(), time.Now(), passes, job(1, 4).ID)
		if !found || err != nil {
			t.Fatalf("cancel: %v %v", found, err)
		}
		time.Sleep(200 * time.Millisecond)
		if got := fxt.fleet.CountRunning(time.Now(), "vm-0"); got != 0 {
			t.Errorf("%d tasks run after the cancellation", got)
		}
		if found, err := own.Cancel(t.Context(), time.Now(), passes, job(7, 1).ID); found || err != nil {
			t.Errorf("cancel of an unknown job: %v %v", found, err)
		}
		fxt.checkInvariants()
	})
}

// A job that ended between the two reads of its state was reported as missing.
func TestJobThatEndsWhileItsStateIsReadIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 1, logstore.Config{})
		own, pln := fxt.open(), job(1, 1)
		if err := fxt.submit(own, pln); err != nil {
			t.Fatal(err)
		}
		log := fxt.store.Client()
		lookup := log.Lookup
		log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
			rec, ok, err := lookup(ctx, topic, part, key)
			if _, err := own.Cancel(ctx, time.Now(), passes, pln.ID); err != nil {
				t.Error(err)
			}
			return rec, ok, err
		}
		ste, ok, err := owner.StoredState(t.Context(), log, pool, 0, pln.ID, nil)
		if !ok || err != nil || ste != jobrecord.Cancelled {
			t.Errorf("state %s, found %t (%v), want cancelled", ste, ok, err)
		}
	})
}

func TestStoredStateFindsOnlyStoredJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 1, logstore.Config{})
		own := fxt.open()
		if err := fxt.submit(own, job(1, 1)); err != nil {
			t.Fatal(err)
		}
		own.Close()
		ste, ok, err := owner.StoredState(t.Context(), fxt.store.Client(), pool, 0, job(1, 1).ID, nil)
		if err != nil || !ok || ste.IsEnded() {
			t.Errorf("stored job: %v %v %v", ste, ok, err)
		}
		if _, ok, err := owner.StoredState(t.Context(), fxt.store.Client(), pool, 0, job(2, 1).ID, nil); ok || err != nil {
			t.Errorf("unknown job: %v %v", ok, err)
		}
	})
}

// VMs lose one answer in 25 for seconds while bursts of short jobs run. A lost answer to a
// poll must not hide the ends of tasks for much longer than the wait of the poll, or the
// later steps of their jobs start late.
func TestLostAnswerToPollDelaysLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 1, logstore.Config{})
		agt, lost, isNextLost := fxt.fleet.Agent(), 0, false
		poll := agt.Poll
		agt.Poll = func(ctx context.Context, tgt agent.Target, req agent.Poll) (agent.Report, agent.Outcome, error) {
			if isNextLost && lost == 0 {
				lost++
				<-ctx.Done()
				return agent.Report{}, agent.Unknown, ctx.Err()
			}
			rpt, out, err := poll(ctx, tgt, req)
			isNextLost = len(rpt.Ended) > 0
			return rpt, out, err
		}
		own := fxt.openWith(fxt.store.Client(), agt)
		time.Sleep(time.Second)
		begun := time.Now()
		if err := fxt.submit(own, job(1, 1)); err != nil {
			t.Fatal(err)
		}
		fxt.await(own, job(1, 1).ID, 10*time.Second)
		if took := time.Since(begun); lost != 1 || took > 2*runTime+400*time.Millisecond {
			t.Errorf("two steps of %s took %s with %d answers lost, want 1 lost", runTime, took, lost)
		}
		fxt.checkInvariants()
	})
}
