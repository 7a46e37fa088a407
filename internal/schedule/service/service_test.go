package service_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/service"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
	"daisywheel/internal/standin/vmfleet"
)

const (
	pool        = "gate"
	otherPool   = "mill"           // without queues in the first configuration
	testTimeout = 30 * time.Second // bound of one wait; no test depends on its length
)

var passes = queue.Queue{Name: "passes", Host: "h", Prefix: "/p/", Pool: pool, MaxAttempts: 3, DeadlineFactor: 1.6, LatencyGoal: time.Second}

func demand(task.ID) plan.Demand { return plan.Demand{MilliCores: 1000, MemoryMB: 100} }

// site is a set of entries with one pool of VMs and a shared log.
type site struct {
	t         *testing.T
	fleet     *vmfleet.Fleet
	store     *logstore.Store
	entries   []*service.Service
	addresses []string // peer addresses of the entries
	metrics   []*metrics.Set
	table     atomic.Pointer[queue.Table]
	tables    tableLog
	refused   atomic.Int32 // entry whose reads of configurations are refused, or noEntry
	late      atomic.Int32 // entry whose long polls for configurations get no answer, or noEntry
	hidden    atomic.Int32 // entry that the others read a wrong address of, so that they can't reach it, or noEntry
	off       atomic.Bool  // the VMs of pool are off
	paged     atomic.Bool  // the list of VMs comes in pages: by the first, vm-0 is not draining, by the last it is
	panicVM   atomic.Value // id of the VM whose reports bring about a panic
	odd       atomic.Bool  // the announcement of vm-0 and one that names no VM can't be read
	cut       atomic.Int32 // entry whose joins fail, or noEntry or allEntries
	down      atomic.Bool  // the log fails all joins, appends and reads
}

// maxKeyAge is how long a key may be used after its revocation.
const maxKeyAge = time.Second

// entryMilliCores is the default CPU of an entry.
const entryMilliCores = 400

func startSite(t *testing.T, entries int) *site {
	t.Helper()
	ste := newSite(t, []string{pool, pool, pool, otherPool})
	ste.putTable(1, passes)
	for range entries {
		ste.startEntry(entryMilliCores)
	}
	return ste
}

// newSite returns a site without entries and with a VM of each of the pools.
func newSite(t *testing.T, pools []string) *site {
	t.Helper()
	var hosts []host.Host
	for i, owner := range pools {
		hosts = append(hosts, host.Host{
			ID: fmt.Sprintf("vm-%d", i), Pool: owner, Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: time.Now().UnixMilli(),
			Capacity: plan.Demand{MilliCores: 4000, MemoryMB: 8000},
		})
	}
	ste := &site{t: t, fleet: vmfleet.New(time.Now(), vmfleet.Config{
		Demand: demand, RunTime: func(task.ID) time.Duration { return 50 * time.Millisecond },
	}, hosts)}
	ste.store = logstore.New(logstore.Config{})
	ste.cut.Store(noEntry)
	ste.late.Store(noEntry)
	ste.refused.Store(noEntry)
	ste.hidden.Store(noEntry)
	return ste
}

func (ste *site) startEntry(milliCores int) *service.Service {
	ste.t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		ste.t.Fatal(err)
	}
	address := lsn.Addr().String()
	if err := lsn.Close(); err != nil {
		ste.t.Fatal(err)
	}
	set := metrics.NewSet()
	svc, err := service.Start(time.Now(), service.Config{
		Name: fmt.Sprintf("entry-%d", len(ste.entries)), PeerAddress: address, Partitions: 16, MilliCores: milliCores,
		MaxLease: 6 * time.Second, MaxKeyAge: maxKeyAge, StatusRetention: time.Minute, StateLog: ste.stateLog(len(ste.entries)), Directory: ste.directory(len(ste.entries)), Agent: ste.agent(),
		Journal: journal.New(journal.Config{}), Metrics: set,
	})
	if err != nil {
		ste.t.Fatal(err)
	}
	ste.entries = append(ste.entries, svc)
	ste.addresses = append(ste.addresses, address)
	ste.metrics = append(ste.metrics, set)
	return svc
}

// agent returns the client of the VMs, with the panic that panicVM selects.
func (ste *site) agent() agent.Client {
	agt := ste.fleet.Agent()
	poll := agt.Poll
	agt.Poll = func(ctx context.Context, tgt agent.Target, req agent.Poll) (agent.Report, agent.Outcome, error) {
		if ste.panicVM.Load() == tgt.VM {
			panic("odd report")
		}
		return poll(ctx, tgt, req)
	}
	return agt
}

// stateLog returns the entry's client of the log, with the failures that cut and down
// select.
func (ste *site) stateLog(entry int) statelog.Client {
	log := ste.store.Client()
	join := log.Join
	log.Join = func(ctx context.Context, mbr statelog.Member) (statelog.Assignment, error) {
		if cut := ste.cut.Load(); cut == int32(entry) || cut == allEntries || ste.down.Load() {
			return statelog.Assignment{}, errors.New("the log is unreachable")
		}
		return join(ctx, mbr)
	}
	add, lookup, newest := log.Append, log.Lookup, log.Newest
	log.Append = func(ctx context.Context, app statelog.AppendRequest) (int64, error) {
		if ste.down.Load() {
			return 0, statelog.ErrNotAppended
		}
		return add(ctx, app)
	}
	log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
		if ste.down.Load() {
			return statelog.Record{}, false, statelog.ErrNotAppended
		}
		rec, ok, err := lookup(ctx, topic, part, key)
		if hidden := ste.hidden.Load(); topic == "cells" && hidden != noEntry && hidden != int32(entry) {
			rec.Value = bytes.ReplaceAll(rec.Value, []byte(ste.addresses[hidden]), []byte("127.0.0.1:2"))
		}
		return rec, ok, err
	}
	log.Newest = func(ctx context.Context, topic string, part int) ([]statelog.Record, int64, error) {
		if ste.down.Load() {
			return nil, 0, statelog.ErrNotAppended
		}
		return newest(ctx, topic, part)
	}
	return log
}

// After an outage of the state log the entries recover in any order. An entry that reads the
// claims before its own membership and the owner's are confirmed again must leave the
// pool to its owner.
func TestOwnerKeepsPoolThroughStateLogOutage(t *testing.T) {
	ste := startSite(t, 1)
	ste.awaitOwner(ste.entries[0])
	ste.submit(ste.entries[0], job(1))
	token := ste.entries[0].Owner(pool).FencingToken()
	second := ste.startEntry(entryMilliCores) // is assigned the pool's partition
	time.Sleep(time.Second)
	ste.down.Store(true)
	time.Sleep(2500 * time.Millisecond)
	ste.cut.Store(allEntries)
	ste.down.Store(false)
	time.Sleep(700 * time.Millisecond)
	ste.cut.Store(0)
	time.Sleep(700 * time.Millisecond)
	ste.cut.Store(noEntry)
	time.Sleep(1500 * time.Millisecond)
	if second.Owner(pool) != nil {
		t.Error("another entry claimed the pool of a live owner")
	}
	if own := ste.entries[0].Owner(pool); own == nil || own.FencingToken() != token {
		t.Error("the owner lost the pool, or claimed it again")
	}
	ste.stop()
	ste.checkInvariants()
}

// Values of site.cut that do not name an entry.
const (
	noEntry    = -1
	allEntries = -2
)

// stop stops all entries.
func (ste *site) stop() {
	for _, svc := range ste.entries {
		svc.SetStopping()
		svc.Resign()
		svc.Stop()
	}
}

// awaitOwner waits until the entry owns the pool.
func (ste *site) awaitOwner(svc *service.Service) {
	ste.t.Helper()
	for limit := time.Now().Add(testTimeout); svc.Owner(pool) == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			ste.t.Fatal("the entry does not own the pool")
		}
	}
}

// putTable puts a version of the configuration in force.
func (ste *site) putTable(version int64, queues ...queue.Queue) {
	ste.put(queue.NewTable(version, queues, []queue.Pool{{Name: pool}, {Name: otherPool}}))
}

func (ste *site) put(tab *queue.Table) {
	ste.table.Store(tab)
	ste.tables.add(tab)
}

// tableLog holds all versions of the configuration.
type tableLog struct {
	mu   sync.Mutex
	tabs []*queue.Table
}

func (log *tableLog) add(tab *queue.Table) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.tabs = append(log.tabs, tab)
}

// page returns the versions from the offset on; from directory.StartCursor on only the last one.
func (log *tableLog) page(cursor int64) directory.OperatorPage {
	log.mu.Lock()
	defer log.mu.Unlock()
	page := directory.OperatorPage{Next: int64(len(log.tabs)), IsSnapshot: cursor == directory.StartCursor}
	if page.IsSnapshot {
		cursor = page.Next - 1
	}
	for _, tab := range log.tabs[cursor:] {
		page.Records = append(page.Records, directory.OperatorRecord{Table: tab})
	}
	return page
}

// awaitTable waits until all entries have read the configuration in force.
func (ste *site) awaitTable() {
	ste.t.Helper()
	for _, svc := range ste.entries {
		for limit := time.Now().Add(testTimeout); svc.Table() == nil || svc.Table().Version() != ste.table.Load().Version(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(limit) {
				ste.t.Fatal("an entry does not read the configuration")
			}
		}
	}
}

// pages is the number of pages that announce vm-0 as it was, while site.paged is set.
const pages = 20

func (ste *site) directory(entry int) directory.Client {
	return directory.Client{
		Hosts: func(_ context.Context, cursor int64) (directory.HostPage, error) {
			page := directory.HostPage{IsSnapshot: cursor == directory.StartCursor, Next: 1}
			if ste.paged.Load() {
				time.Sleep(100 * time.Millisecond)
				page.HasMore = cursor < pages
				page.Next = min(max(cursor, 0)+1, pages+1)
			}
			for _, hst := range ste.fleet.Hosts() {
				hst.IsDraining = ste.paged.Load() && hst.ID == "vm-0" && !page.HasMore
				if ste.off.Load() && hst.Pool == pool {
					page.Changes = append(page.Changes, directory.HostChange{ID: hst.ID, IsGone: true})
					continue
				}
				chg := directory.HostChange{ID: hst.ID, Host: hst}
				if ste.odd.Load() && hst.ID == "vm-0" {
					chg = directory.HostChange{ID: hst.ID, Err: errors.New("deeply nested")}
				}
				page.Changes = append(page.Changes, chg)
			}
			if ste.odd.Load() {
				page.Changes = append(page.Changes, directory.HostChange{ID: "odd", Err: errors.New("a port out of range")})
			}
			return page, nil
		},
		OperatorRecords: func(ctx context.Context, cursor int64, wait time.Duration) (directory.OperatorPage, error) {
			for limit := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
				if ste.refused.Load() == int32(entry) {
					return directory.OperatorPage{}, statelog.ErrNotAppended
				}
				if ste.late.Load() == int32(entry) && wait > 0 {
					<-ctx.Done()
					return directory.OperatorPage{}, ctx.Err()
				}
				if page := ste.tables.page(cursor); len(page.Records) > 0 || !time.Now().Before(limit) || ctx.Err() != nil {
					return page, ctx.Err()
				}
			}
		},
		ReportWave: func(context.Context, directory.WaveReport) error { return nil },
		Machines:   func(context.Context) ([]directory.Machine, error) { return nil, nil },
	}
}

// submit retries the submission until the job is accepted, as callers do.
func (ste *site) submit(through *service.Service, pln *plan.Plan) {
	ste.t.Helper()
	ste.submitTo(passes, through, pln)
}

func (ste *site) submitTo(que queue.Queue, through *service.Service, pln *plan.Plan) {
	ste.t.Helper()
	ste.submitBy(ste.queueAt(que), through, pln)
}

// submitBy is submitTo by a route that the configuration may not have any more.
func (ste *site) submitBy(que queue.Queue, through *service.Service, pln *plan.Plan) {
	ste.t.Helper()
	for limit := time.Now().Add(testTimeout); ; {
		ctx, cancel := context.WithTimeout(ste.t.Context(), 3*time.Second)
		err := through.Gateway().Submit(ctx, time.Now(), que, pln)
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			ste.t.Fatalf("job %s is not accepted: %v", pln.ID, err)
		}
	}
}

func (ste *site) await(through *service.Service, id string) {
	ste.t.Helper()
	ste.awaitIn(passes, through, id)
}

// awaitIn waits until the job of the queue has ended.
func (ste *site) awaitIn(que queue.Queue, through *service.Service, id string) {
	ste.t.Helper()
	que = ste.queueAt(que)
	for limit := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(ste.t.Context(), 3*time.Second)
		state, found, err := through.Gateway().State(ctx, que, id)
		cancel()
		if err == nil && !found {
			ste.t.Fatalf("job %s is not known", id)
		}
		if err == nil && state.IsEnded() && state != jobrecord.Failed {
			return
		}
		if time.Now().After(limit) {
			ste.t.Fatalf("job %s is %s (%v)", id, state, err)
		}
	}
}

func (ste *site) checkInvariants() {
	ste.t.Helper()
	for _, line := range ste.fleet.Violations() {
		ste.t.Error(line)
	}
}

func job(num int) *plan.Plan {
	return &plan.Plan{ID: fmt.Sprintf("%016x", num), Spec: "x", Steps: []plan.Step{{Count: 3, Demand: demand(task.ID{}), Estimate: 50 * time.Millisecond}}}
}

func TestJobSubmittedThroughTwoEntriesRunsOnce(t *testing.T) {
	ste := startSite(t, 2)
	done := make(chan struct{})
	for _, svc := range ste.entries {
		go func() {
			defer func() { done <- struct{}{} }()
			ste.submit(svc, job(1))
		}()
	}
	<-done
	<-done
	for _, svc := range ste.entries {
		ste.await(svc, job(1).ID)
	}
	if got := ste.fleet.Starts(); got != 3 {
		t.Errorf("%d task starts, want 3", got)
	}
	for _, svc := range ste.entries {
		svc.SetStopping()
		svc.Resign()
		svc.Stop()
	}
	ste.checkInvariants()
}

func TestAnotherEntryTakesOverFromOneThatStops(t *testing.T) {
	ste := startSite(t, 2)
	for num := range 4 {
		ste.submit(ste.entries[num%2], job(num))
	}
	first, second := ste.entries[0], ste.entries[1]
	if first.Owner(pool) == nil {
		first, second = second, first
	}
	first.SetStopping()
	first.Resign()
	for num := 4; num < 8; num++ {
		ste.submit(first, job(num)) // is forwarded to the new owner
	}
	for num := range 8 {
		ste.await(second, job(num).ID)
	}
	first.Stop()
	second.SetStopping()
	second.Resign()
	second.Stop()
	ste.checkInvariants()
}

func TestUnknownJobIsUnknownEverywhere(t *testing.T) {
	ste := startSite(t, 2)
	ste.submit(ste.entries[0], job(1))
	for _, svc := range ste.entries {
		_, found, err := svc.Gateway().State(t.Context(), passes, job(2).ID)
		if found || err != nil {
			t.Errorf("state of an unknown job: %v %v", found, err)
		}
		found, err = svc.Gateway().Cancel(t.Context(), time.Now(), passes, job(2).ID)
		if found || err != nil {
			t.Errorf("cancel of an unknown job: %v %v", found, err)
		}
		svc.SetStopping()
	}
	for _, svc := range ste.entries {
		svc.Resign()
		svc.Stop()
	}
}

// The callers of one queue were shown the job of another queue of the same pool, and could
// cancel it.
func TestJobIsUnknownInOtherQueues(t *testing.T) {
	ste := startSite(t, 2)
	ste.submit(ste.entries[0], job(1))
	other := passes
	other.Name, other.Prefix = "other", "/o/"
	for _, svc := range ste.entries {
		if state, found, err := svc.Gateway().State(t.Context(), other, job(1).ID); found || err != nil {
			t.Errorf("state in another queue: %v %v %v", state, found, err)
		}
		if found, err := svc.Gateway().Cancel(t.Context(), time.Now(), other, job(1).ID); found || err != nil {
			t.Errorf("cancel in another queue: %v %v", found, err)
		}
		if err := svc.Gateway().Submit(t.Context(), time.Now(), other, job(1)); fault.CodeOf(err) != code.KeyConflict {
			t.Errorf("submit to another queue: %v, want keyConflict", err)
		}
	}
	ste.await(ste.entries[0], job(1).ID)
	ste.stop()
	ste.checkInvariants()
}

func TestPoolGoesToTheLargestEntry(t *testing.T) {
	ste := startSite(t, 0)
	small := ste.startEntry(192)
	ste.submit(small, job(1))
	large := ste.startEntry(800)
	ste.awaitOwner(large)
	ste.submit(small, job(2))
	ste.await(small, job(1).ID)
	ste.await(large, job(2).ID)
	large.SetStopping()
	large.Resign()
	ste.submit(small, job(3)) // without a larger entry the small one owns the pool again
	ste.await(small, job(3).ID)
	ste.awaitOwner(small)
	ste.stop()
	ste.checkInvariants()
}

// A fleet controller that may have been replaced must stop accepting reports; otherwise
// its successor never learns the state of the pools.
func TestControllerWithoutStateLogAcceptsNoReports(t *testing.T) {
	ste := startSite(t, 1)
	ste.awaitOwner(ste.entries[0])
	lnk := rpc.New(rpc.Config{})
	defer lnk.Close()
	report := func() error {
		var answer any
		return lnk.Call(t.Context(), ste.addresses[0], "fleet.report", struct {
			Name string `json:"name"`
		}{pool}, &answer)
	}
	for limit := time.Now().Add(testTimeout); report() != nil; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("no report is accepted: %v", report())
		}
	}
	ste.cut.Store(0)
	for limit := time.Now().Add(4 * time.Second); report() == nil; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("reports are still accepted 4 s after the membership was last confirmed")
		}
	}
	ste.stop()
}

// The configuration sent queues with accepted jobs to another pool: one by its route, the other
// by a new route at the same address. All jobs were answered as unknown, those that waited were
// never run, and repeated submissions would have run again in the new pool.
func TestJobsOfMovedQueuesStayFoundAndRunOnce(t *testing.T) {
	const jobs = 4
	ste := startSite(t, 2)
	second := queue.Queue{Name: "second", Host: "h", Prefix: "/s/", Pool: pool, MaxAttempts: 3, DeadlineFactor: 1.6}
	ste.putTable(2, passes, second)
	ste.awaitTable()
	plans := make([]*plan.Plan, 2*jobs)
	queues := []queue.Queue{passes, second}
	for num := range plans {
		plans[num] = job(num)
		plans[num].Steps[0].Count = 30 // 12 run at a time
		ste.submitTo(queues[num%2], ste.entries[num/2%2], plans[num])
	}
	for i := range queues {
		queues[i].Pool = otherPool
	}
	queues[1].Name = "third"
	ste.putTable(3, queues...)
	ste.awaitTable()
	found, err := ste.entries[0].Gateway().Cancel(t.Context(), time.Now(), ste.queueAt(queues[1]), plans[2*jobs-1].ID)
	if !found || err != nil {
		t.Errorf("cancel of an accepted job: %v (%v)", found, err)
	}
	for num, pln := range plans {
		ste.submitTo(queues[num%2], ste.entries[num%2], pln) // a repetition
		ste.awaitIn(queues[num%2], ste.entries[num%2], pln.ID)
	}
	ste.stop()
	ste.entries = nil
	restarted := ste.startEntry(entryMilliCores) // knows only the last configuration
	ste.awaitTable()
	for num, pln := range plans {
		ste.awaitIn(queues[num%2], restarted, pln.ID)
	}
	ste.submitTo(queues[0], restarted, job(99))
	ste.awaitIn(queues[0], restarted, job(99).ID)
	ste.stop()
	ste.checkInvariants()
}

// The configuration dropped a pool whose VMs went on, and its owner ended. The pool got no other one, so
// that its accepted jobs never ran.
func TestJobsOfADroppedPoolRunToTheirEndAfterAChangeOfOwner(t *testing.T) {
	const jobs = 3
	ste := startSite(t, 1)
	plans := make([]*plan.Plan, jobs)
	for num := range plans {
		plans[num] = job(num)
		plans[num].Steps[0].Count = 300 // 12 run at a time
		ste.submit(ste.entries[0], plans[num])
	}
	moved := passes
	moved.Pool = otherPool
	ste.put(queue.NewTable(2, []queue.Queue{moved}, []queue.Pool{{Name: otherPool}}))
	ste.awaitTable()
	ste.stop()
	ste.entries = nil
	for range 2 {
		ste.startEntry(entryMilliCores)
	}
	ste.awaitTable()
	for num, pln := range plans {
		ste.awaitIn(moved, ste.entries[num%2], pln.ID)
	}
	if count, err := ste.entries[0].Gateway().Queued(t.Context(), ste.queueAt(moved)); count != 0 || err != nil {
		t.Errorf("%d jobs wait (%v), want none", count, err)
	}
	ste.stop()
	ste.checkInvariants()
}

// The VMs of a pool were switched off after its queue had got another pool. Its accepted jobs waited
// for them.
func TestJobsOfAPoolWithoutVMsGoToTheNextPool(t *testing.T) {
	const jobs = 3
	ste := startSite(t, 2)
	plans := make([]*plan.Plan, jobs)
	for num := range plans {
		plans[num] = job(num)
		plans[num].Steps[0].Count = 150 // 12 run at a time
		ste.submit(ste.entries[num%2], plans[num])
	}
	moved := passes
	moved.Pool = otherPool
	ste.put(queue.NewTable(2, []queue.Queue{moved}, []queue.Pool{{Name: pool, IsStandby: true}, {Name: otherPool}}))
	ste.off.Store(true)
	for _, hst := range ste.fleet.Hosts() {
		if hst.Pool == pool {
			ste.fleet.Reboot(time.Now(), hst.ID) // what ran there has ended
			ste.fleet.Cut(hst.ID, true)
		}
	}
	ste.awaitTable()
	for num, pln := range plans {
		ste.awaitIn(moved, ste.entries[num%2], pln.ID)
	}
	ste.stop()
	ste.entries = nil
	restarted := ste.startEntry(entryMilliCores)
	ste.awaitTable()
	for _, pln := range plans {
		ste.awaitIn(moved, restarted, pln.ID)
	}
	if count, err := restarted.Gateway().Queued(t.Context(), ste.queueAt(moved)); count != 0 || err != nil {
		t.Errorf("%d jobs wait (%v), want none", count, err)
	}
	ste.stop()
	ste.checkInvariants()
}

// queueAt returns the queue as the configuration in force has it.
func (ste *site) queueAt(que queue.Queue) queue.Queue {
	found, _, ok := ste.table.Load().Match(que.Host, que.Prefix)
	if !ok {
		ste.t.Fatalf("no queue at %s", que.Prefix)
	}
	return found
}

// Another writer left odd entries among those of the VMs, one of them under the id of a VM. They
// name no VM to use, and the others hold.
func TestOddEntriesInTheListNameNoVM(t *testing.T) {
	ste := startSite(t, 1)
	ste.submit(ste.entries[0], job(1))
	ste.await(ste.entries[0], job(1).ID)
	ste.odd.Store(true)
	time.Sleep(3 * time.Second) // an unlisted VM is used for 2.5 s, as the platform's list may lag behind
	if ste.runsOn("vm-0", job(2)) {
		t.Error("tasks run on a VM whose entry can't be read")
	}
	ste.odd.Store(false)
	time.Sleep(time.Second)
	if !ste.runsOn("vm-0", job(3)) {
		t.Error("no task runs on a VM whose entry can be read again")
	}
	ste.stop()
	ste.checkInvariants()
}

// runsOn runs the job with more tasks than the VMs hold at a time, and reports whether any ran on
// the VM.
func (ste *site) runsOn(vm string, pln *plan.Plan) bool {
	ste.t.Helper()
	pln.Steps[0].Count = 60
	ste.submit(ste.entries[0], pln)
	hasRun := false
	for limit := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		hasRun = hasRun || ste.fleet.CountRunning(time.Now(), vm) > 0
		state, _, err := ste.entries[0].Gateway().State(ste.t.Context(), passes, pln.ID)
		if err == nil && state.IsEnded() {
			return hasRun
		}
		if time.Now().After(limit) {
			ste.t.Fatalf("job %s is %s (%v)", pln.ID, state, err)
		}
	}
}

// Guards against tasks on a VM that drains: a new owner read the list of VMs a page each 250 ms, and used the VMs as
// the first pages showed them. The last page has them as they are.
func TestListOfVMsIsUsedOnceItIsRead(t *testing.T) {
	ste := startSite(t, 0)
	ste.paged.Store(true)
	ste.startEntry(entryMilliCores)
	if ste.runsOn("vm-0", job(1)) {
		t.Error("tasks run on a VM that drains")
	}
	ste.stop()
	ste.checkInvariants()
}
