// Package handovers hands jobs over between the owners of pools, in virtual time, while owners are
// replaced and answers are lost.
package handovers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
	"daisywheel/internal/standin/vmfleet"
)

const (
	pool          = "gate"
	maxLease      = 6 * time.Second
	runTime       = 600 * time.Millisecond
	longRunningID = "00000000000000ff"
)

var passes = queue.Ref{Name: "passes"}

// job returns a job of two steps, the first of which has the given number of tasks.
func job(num, width int) *plan.Plan {
	dmd := plan.Demand{MilliCores: 1000, MemoryMB: 100}
	return &plan.Plan{ID: fmt.Sprintf("%016x", num), Spec: "x", Steps: []plan.Step{
		{Count: width, Demand: dmd, Estimate: runTime},
		{Count: 1, Demand: dmd, Estimate: runTime, After: []int{0}},
	}}
}

// site has three pools, one of which is active. The VMs of the others are off. Handovers
// between their owners get lost and have lost answers.
type site struct {
	t      *testing.T
	store  *logstore.Store
	fleet  *vmfleet.Fleet
	mu     sync.Mutex
	rnd    *rand.Rand
	table  *queue.Table
	lossy  string                  // pool whose handovers have no answers; empty for none
	owners map[string]*owner.Owner // the newest one of each pool
}

func newSite(t *testing.T, seed uint64) *site {
	hosts := []host.Host{}
	for i, name := range []string{pool, pool, "mill", "mill", "shop", "shop"} {
		hosts = append(hosts, host.Host{
			ID: fmt.Sprintf("vm-%d", i), Pool: name, Address: fmt.Sprintf("10.0.0.%d:80", i), Incarnation: time.Now().UnixMilli(),
			Capacity: plan.Demand{MilliCores: 4000, MemoryMB: 8000},
		})
	}
	return &site{
		t: t, store: logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), rnd: rand.New(rand.NewPCG(seed, 0)), owners: map[string]*owner.Owner{},
		fleet: vmfleet.New(time.Now(), vmfleet.Config{
			Latency: time.Millisecond,
			Demand:  func(task.ID) plan.Demand { return plan.Demand{MilliCores: 1000, MemoryMB: 100} },
			RunTime: func(tid task.ID) time.Duration {
				if tid.Job == longRunningID {
					return time.Hour
				}
				return runTime
			},
		}, hosts),
	}
}

// route sends the queue to an active pool; the others are off.
func (ste *site) route(version int64, active string) {
	var pools []queue.Pool
	for _, name := range []string{pool, "mill", "shop"} {
		pools = append(pools, queue.Pool{Name: name, IsStandby: name != active})
	}
	tab := queue.NewTable(version, []queue.Queue{{Name: passes.Name, Host: "h", Prefix: "/p/", Pool: active, MaxAttempts: 3, DeadlineFactor: 1.6}}, pools)
	ste.mu.Lock()
	defer ste.mu.Unlock()
	isFirst := ste.table == nil
	ste.table = tab
	for _, hst := range ste.fleet.Hosts() {
		if !isFirst {
			ste.fleet.Reboot(time.Now(), hst.ID) // what ran there ends with its power
		}
		ste.fleet.Cut(hst.ID, hst.Pool != active)
	}
	for name, own := range ste.owners {
		own.SetTable(tab)
		own.SetListedVMs(time.Now(), ste.hosts(name))
	}
}

// hosts returns the VMs of a pool, which are listed while it is active. The caller holds the lock.
func (ste *site) hosts(name string) []host.Host {
	var hosts []host.Host
	for _, hst := range ste.fleet.Hosts() {
		if hst.Pool == name && ste.table.IsActive(name) {
			hosts = append(hosts, hst)
		}
	}
	return hosts
}

// draw returns a number from 0 to count-1.
func (ste *site) draw(count int) int {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	return ste.rnd.IntN(count)
}

// open opens an owner of the pool. An earlier one is closed, or goes on without being told.
func (ste *site) open(name string) {
	ste.t.Helper()
	log, jnl := ste.store.Client(), journal.New(journal.Config{})
	ste.mu.Lock()
	last, isTold, tab := ste.owners[name], ste.rnd.IntN(2) == 0, ste.table
	ste.mu.Unlock()
	if last != nil && isTold {
		last.Close()
	}
	own, err := owner.Open(ste.t.Context(), time.Now(), owner.Config{
		RequestReport: func() {}, SinceBoot: func() time.Duration { return time.Hour }, HandOver: ste.handOver,
		Pool: name, Address: name, MaxLease: maxLease, StatusRetention: 10 * time.Minute, StateLog: log, PoolIndex: poolindex.New(poolindex.Config{StateLog: log, Journal: jnl}),
		Agent: ste.fleet.Agent(), Journal: jnl, Metrics: metrics.NewSet(), Table: tab,
	})
	if err != nil {
		ste.t.Fatal(err)
	}
	ste.t.Cleanup(own.Close)
	ste.mu.Lock()
	defer ste.mu.Unlock()
	own.SetListedVMs(time.Now(), ste.hosts(name))
	ste.owners[name] = own
}

// handOver passes a handover to the newest owner, as the gateway does.
func (ste *site) handOver(ctx context.Context, hnd jobrecord.Handover) error {
	log := ste.store.Client()
	if hnd.Previous != "" {
		_, found, err := owner.StoredHandover(ctx, log, hnd.Previous, 0, hnd.Job.Plan.ID, func(queue.Ref) bool { return true })
		if found || err != nil {
			return fmt.Errorf("the last handover is not over (%w)", err)
		}
	}
	ste.mu.Lock()
	own, share := ste.owners[hnd.To], ste.rnd.Float64()
	if hnd.Job.From == ste.lossy {
		share = 0.4
	}
	ste.mu.Unlock()
	if share < 0.2 {
		return errors.New("the request is lost")
	}
	err := own.Adopt(ctx, time.Now(), hnd)
	if share < 0.5 {
		return errors.New("the answer is lost")
	}
	return err
}

// Jobs of a pool whose VMs are off go to the queue's next pool, on to others and back, while owners of
// all are replaced and handovers are repeated.
func TestHandedOverJobsRunOnce(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			const jobs = 8
			ste := newSite(t, seed)
			ste.route(1, pool)
			halfDone, err := jobrecord.EncodeProgress(jobrecord.Progress{State: jobrecord.Running, Queue: passes.Name, Done: []jobrecord.DoneTasks{{Step: 0, IsAll: true}}})
			if err != nil {
				t.Fatal(err)
			}
			plans := map[string]*plan.Plan{}
			var recs []statelog.Record
			for num := range jobs {
				pln := job(num, 3)
				switch num {
				case 1:
					pln.RepeatCount, pln.FirstAt, pln.Interval = 12, time.Now(), time.Second
				case 2:
					pln = &plan.Plan{ID: longRunningID, Spec: "x", Steps: []plan.Step{{Count: 2, Demand: plan.Demand{MilliCores: 1000, MemoryMB: 100}, IsLongRunning: true}}}
				}
				data, err := jobrecord.EncodeJob(jobrecord.Job{Plan: pln, Queue: passes.Name, Address: "h/p/", FirstAttempt: time.Now()})
				if err != nil {
					t.Fatal(err)
				}
				recs = append(recs, statelog.Record{Key: pool + "/j/" + pln.ID, Value: data})
				if num > 2 && num%2 == 0 {
					recs = append(recs, statelog.Record{Key: pool + "/p/" + pln.ID, Value: halfDone})
				}
				plans[pln.ID] = pln
			}
			if _, err := ste.store.Client().Append(t.Context(), statelog.AppendRequest{Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Records: recs}); err != nil {
				t.Fatal(err)
			}
			names := []string{pool, "mill", "shop"}
			for _, name := range names {
				ste.open(name)
			}
			active := "mill"
			ste.route(2, active)
			for version := int64(3); version < 8; version++ {
				for range 1 + ste.draw(8) {
					lossy := append(names, "", "")[ste.draw(len(names)+2)]
					ste.mu.Lock()
					ste.lossy = lossy
					ste.mu.Unlock()
					time.Sleep(time.Duration(ste.draw(5000)) * time.Millisecond)
					ste.open(names[ste.draw(len(names))])
				}
				active = names[ste.draw(len(names))]
				ste.route(version, active)
			}
			ste.mu.Lock()
			ste.lossy = ""
			ste.mu.Unlock()
			time.Sleep(2 * time.Minute)
			for id, pln := range plans {
				done := 0
				for _, name := range names {
					ste.mu.Lock()
					ste2, ok, err := ste.owners[name].State(passes, id)
					ste.mu.Unlock()
					switch {
					case err != nil || !ok:
					case pln.IsLongRunning() && ste2 == jobrecord.Running && name == active, ste2 == jobrecord.Completed:
						done++
					default:
						t.Errorf("seed %d: job %s is %s in the pool %s", seed, id, ste2, name)
					}
				}
				if done != 1 {
					t.Errorf("seed %d: job %s is in %d pools, want 1", seed, id, done)
				}
			}
			recs, _, err = ste.store.Client().Newest(t.Context(), "jobs", 0)
			for _, rec := range recs {
				if err != nil || strings.Contains(rec.Key, "/m/") {
					t.Errorf("seed %d: the record %s is left (%v)", seed, rec.Key, err)
				}
			}
			for _, line := range ste.fleet.Violations() {
				t.Errorf("seed %d: %s", seed, line)
			}
		})
	}
}
