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
	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/ledger"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/standin/logstore"
	"daisywheel/internal/standin/vmfleet"
)

const (
	service  = "gate"
	leaseMax = 6 * time.Second
	runTime  = 600 * time.Millisecond

	lastingID = "00000000000000ff"
)

// bench is a pool of VMs with a log, without any process of the platform.
type bench struct {
	t     *testing.T
	store *logstore.Store
	fleet *vmfleet.Fleet
	table *queue.Table
}

func newBench(t *testing.T, vms int, cfg logstore.Config) *bench {
	t.Helper()
	cfg.Latency = 4 * time.Millisecond
	var hosts []host.Host
	for i := range vms {
		hosts = append(hosts, host.Host{
			ID: fmt.Sprintf("vm-%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), Born: time.Now().UnixMilli(),
			Capacity: plan.Demand{MilliCores: 4000, MemoryMB: 8000}, Labels: []string{"a", fmt.Sprintf("r%d", i/2)},
		})
	}
	flt := vmfleet.New(time.Now(), vmfleet.Config{
		Latency: time.Millisecond,
		Demand:  func(task.ID) plan.Demand { return plan.Demand{MilliCores: 1000, MemoryMB: 100} },
		RunTime: func(tid task.ID) time.Duration {
			if tid.Job == lastingID {
				return time.Hour
			}
			return runTime
		},
	}, hosts)
	tab := queue.NewTable(1, []queue.Queue{{Name: "passes", Service: service, MaxAttempts: 3, Factor: 1.6, Goal: time.Second}},
		[]queue.Service{{Name: service}})
	return &bench{t: t, store: logstore.New(cfg), fleet: flt, table: tab}
}

func (bch *bench) open() *owner.Owner {
	bch.t.Helper()
	return bch.openWith(bch.store.Client(), bch.fleet.Agent())
}

func (bch *bench) openWith(arc archive.Client, agt agent.Client) *owner.Owner {
	bch.t.Helper()
	own, err := owner.Open(bch.t.Context(), time.Now(), owner.Config{
		Service: service, Address: "peer", LeaseMax: leaseMax, StatusKept: time.Minute, Archive: arc,
		Agent: agt, Journal: journal.New(journal.Config{}), Metrics: metrics.NewSet(), Table: bch.table,
	})
	if err != nil {
		bch.t.Fatal(err)
	}
	bch.t.Cleanup(own.Close)
	own.SetHosts(time.Now(), bch.fleet.Hosts())
	return own
}

func job(num, width int) *plan.Plan {
	dmd := plan.Demand{MilliCores: 1000, MemoryMB: 100}
	return &plan.Plan{ID: fmt.Sprintf("%016x", num), Spec: "x", Steps: []plan.Step{
		{Count: width, Demand: dmd, Estimate: runTime},
		{Count: 1, Demand: dmd, Estimate: runTime, After: []int{0}},
	}}
}

func (bch *bench) submit(own *owner.Owner, pln *plan.Plan) error {
	ctx, cancel := context.WithTimeout(bch.t.Context(), 2*time.Second)
	defer cancel()
	return own.Submit(ctx, time.Now(), pln, "passes")
}

// await waits in virtual time until a job is completed.
func (bch *bench) await(own *owner.Owner, id string, within time.Duration) {
	bch.t.Helper()
	limit := time.Now().Add(within)
	for {
		ste, _, err := own.State(id)
		if err == nil && ste == ledger.Completed {
			return
		}
		if time.Now().After(limit) {
			bch.t.Fatalf("job %s is %s (%v) after %s", id, ste, err, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (bch *bench) checkPromises() {
	bch.t.Helper()
	for _, line := range bch.fleet.Broken() {
		bch.t.Error(line)
	}
}

func TestJobRunsOnceThroughAllSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 2, logstore.Config{})
		own := bch.open()
		if err := bch.submit(own, job(1, 6)); err != nil {
			t.Fatal(err)
		}
		bch.await(own, job(1, 6).ID, 4*time.Second)
		if got := bch.fleet.Starts(); got != 7 {
			t.Errorf("%d starts, want 7", got)
		}
		bch.checkPromises()
	})
}

func TestRepeatedSubmissionIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 2, logstore.Config{})
		own := bch.open()
		errs := make(chan error, 2)
		for range 2 {
			go func() { errs <- bch.submit(own, job(1, 2)) }()
		}
		for range 2 {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
		bch.await(own, job(1, 2).ID, 4*time.Second)
		if err := bch.submit(own, job(1, 2)); err != nil {
			t.Errorf("repeat after the end: %v", err)
		}
		time.Sleep(3 * time.Second)
		if got := bch.fleet.Starts(); got != 3 {
			t.Errorf("%d starts, want 3", got)
		}
		bch.checkPromises()
	})
}

func TestLostAnswerOfAppendStoresOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var left atomic.Int32
		bch := newBench(t, 2, logstore.Config{Fault: func(app archive.Append) logstore.Fault {
			if len(app.Records) > 0 && app.Topic == "jobs" && strings.Contains(app.Records[0].Key, "/j/") && left.Add(-1) >= 0 {
				return logstore.LostAnswer
			}
			return logstore.None
		}})
		own := bch.open()
		left.Store(1)
		if err := bch.submit(own, job(1, 2)); err != nil {
			t.Fatalf("the repeat of the append has an answer: %v", err)
		}
		bch.await(own, job(1, 2).ID, 4*time.Second)
		bch.checkPromises()
	})
}

func TestRefusalMeansNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fault1 atomic.Int32
		bch := newBench(t, 2, logstore.Config{Fault: func(app archive.Append) logstore.Fault {
			if len(app.Records) == 0 {
				return logstore.None
			}
			return logstore.Fault(fault1.Load())
		}})
		own := bch.open()
		time.Sleep(time.Second)
		fault1.Store(int32(logstore.Down))
		if err := bch.submit(own, job(1, 2)); fault.CodeOf(err) != code.LogUnavailable {
			t.Errorf("while the store refuses: %v, want logUnavailable", err)
		}
		fault1.Store(int32(logstore.LostCall))
		if err := bch.submit(own, job(2, 2)); fault.CodeOf(err) != code.OutcomeUnknown {
			t.Errorf("while the store is silent: %v, want outcomeUnknown", err)
		}
		fault1.Store(int32(logstore.None))
		time.Sleep(5 * time.Second)
		if _, ok, _ := own.State(job(1, 2).ID); ok {
			t.Error("a job that was refused is known")
		}
		bch.checkPromises()
	})
}

func TestLaterOwnerFencesEarlierOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 3, logstore.Config{})
		one := bch.open()
		for num := range 6 {
			if err := bch.submit(one, job(num, 4)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(300 * time.Millisecond)
		two := bch.open() // the first still believes that it owns the pool
		err := bch.submit(one, job(99, 1))
		if got := fault.CodeOf(err); got != code.NotReady && got != code.OutcomeUnknown {
			t.Errorf("the fenced owner answers %v", err)
		}
		<-one.Lost()
		one.Close()
		for num := range 6 {
			bch.await(two, job(num, 4).ID, 20*time.Second)
		}
		bch.checkPromises()
	})
}

func TestTasksOfUnansweredVMWaitForItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 2, logstore.Config{})
		one := bch.open()
		time.Sleep(time.Second)
		for num := range 4 {
			if err := bch.submit(one, job(num, 2)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(100 * time.Millisecond)
		bch.fleet.Cut("vm-1", true)
		one.Close()
		two := bch.open()
		for num := range 4 {
			bch.await(two, job(num, 2).ID, 40*time.Second)
		}
		bch.checkPromises()
	})
}

// An owner in a zone that is cut off sees a VM go silent, while a later owner
// renews its leases. The first must not take the tasks for lapsed.
func TestUnconfirmedOwnerTakesNoTaskForLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 2, logstore.Config{})
		var isCut atomic.Bool
		arc := bch.store.Client()
		lookup := arc.Lookup
		arc.Lookup = func(ctx context.Context, topic string, part int, key string) (archive.Record, bool, error) {
			if isCut.Load() {
				return archive.Record{}, false, errors.New("cut off")
			}
			return lookup(ctx, topic, part, key)
		}
		one := bch.openWith(arc, cutFrom(bch.fleet.Agent(), "vm-0", &isCut))
		time.Sleep(time.Second)
		dmd := plan.Demand{MilliCores: 1000, MemoryMB: 100}
		lasting := &plan.Plan{ID: lastingID, Steps: []plan.Step{{Count: 2, Demand: dmd, IsLasting: true}}}
		if err := bch.submit(one, lasting); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		isCut.Store(true)
		time.Sleep(2500 * time.Millisecond) // until no look is on its way
		bch.openWith(bch.store.Client(), cutFrom(bch.fleet.Agent(), "vm-1", &isCut))
		time.Sleep(12 * time.Second)
		bch.checkPromises()
	})
}

// cutFrom keeps an owner from reaching a VM while isCut is set.
func cutFrom(agt agent.Client, vm string, isCut *atomic.Bool) agent.Client {
	through := agt.Hold
	agt.Hold = func(ctx context.Context, tgt agent.Target, hld agent.Hold) (agent.Report, agent.Outcome, error) {
		if isCut.Load() && tgt.VM == vm {
			<-ctx.Done()
			return agent.Report{}, agent.Unknown, ctx.Err()
		}
		return through(ctx, tgt, hld)
	}
	return agt
}

func TestStartCarriedOutLateRunsNowhereElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 2, logstore.Config{})
		own := bch.open()
		time.Sleep(time.Second)
		bch.fleet.Delay("vm-0", 3*time.Second)
		bch.fleet.Delay("vm-1", 5*time.Second)
		if err := bch.submit(own, job(1, 4)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		bch.fleet.Delay("vm-0", 0)
		bch.fleet.Delay("vm-1", 0)
		bch.await(own, job(1, 4).ID, 20*time.Second)
		time.Sleep(10 * time.Second)
		bch.checkPromises()
	})
}

func TestVMRebornUnderItsIDRunsTasksAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 1, logstore.Config{})
		own := bch.open()
		time.Sleep(time.Second)
		if err := bch.submit(own, job(1, 4)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
		bch.fleet.Reboot(time.Now(), "vm-0")
		own.SetHosts(time.Now(), bch.fleet.Hosts())
		bch.await(own, job(1, 4).ID, 6*time.Second)
		bch.checkPromises()
	})
}

func TestCancelStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 1, logstore.Config{})
		own := bch.open()
		time.Sleep(time.Second)
		if err := bch.submit(own, job(1, 4)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		found, err := own.Cancel(t.Context(), time.Now(), job(1, 4).ID)
		if !found || err != nil {
			t.Fatalf("cancel: %v %v", found, err)
		}
		time.Sleep(200 * time.Millisecond)
		if got := bch.fleet.Running(time.Now(), "vm-0"); got != 0 {
			t.Errorf("%d tasks run after the cancellation", got)
		}
		if found, err := own.Cancel(t.Context(), time.Now(), job(7, 1).ID); found || err != nil {
			t.Errorf("cancel of an unknown job: %v %v", found, err)
		}
		bch.checkPromises()
	})
}

func TestUnknownJobIsProvedAbsentByTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bch := newBench(t, 1, logstore.Config{})
		own := bch.open()
		if err := bch.submit(own, job(1, 1)); err != nil {
			t.Fatal(err)
		}
		own.Close()
		ste, ok, err := owner.Lookup(t.Context(), bch.store.Client(), service, 0, job(1, 1).ID)
		if err != nil || !ok || ste.IsEnded() {
			t.Errorf("stored job: %v %v %v", ste, ok, err)
		}
		if _, ok, err := owner.Lookup(t.Context(), bch.store.Client(), service, 0, job(2, 1).ID); ok || err != nil {
			t.Errorf("unknown job: %v %v", ok, err)
		}
	})
}
