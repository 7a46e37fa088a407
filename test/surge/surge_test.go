// Package surge measures how slots are divided under the users' demand, in virtual time:
// the pools take turns to burst to five times their mean load, and have a twentieth of
// it otherwise.
package surge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/request/dispatcher"
	"daisywheel/internal/request/router"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/state/fleet"
)

const (
	slotsPerVM  = 8
	pools       = 5
	vmsPerPool  = 10 // per pool, at the users' sites
	burstTime   = 5 * time.Second
	runTime     = 50 * time.Second // two bursts of each pool
	serviceTime = 200 * time.Millisecond
	meanPerSec  = 120.0
	deadlineMs  = 2000
	seed        = 1
)

// plan is one site and one way of dividing the slots.
type plan struct {
	name          string
	zones         int
	entries       int // per zone
	isLending     bool
	isPartitioned bool // each entry uses only its own share of a VM's slots
	vmsPerPool    int  // per pool
}

// result holds the figures of one simulation. An overrun is a request that reached a VM
// with all slots in use.
type result struct {
	served, refused, overRuns int
	p50, p99, p999            time.Duration
	idleWhileWaiting          float64 // mean share of idle slots at times when a request waits
	worstPool                 float64 // share of its requests served, of the worst pool
	goodput                   float64 // served, relative to what own and lendable slots could carry in bursts
}

// simulation is one run of the demand against simulated VMs and the product's dispatchers.
type simulation struct {
	pln       plan
	mu        sync.Mutex
	inUse     map[string]int
	latencies []time.Duration
	offered   [pools]int
	served    [pools]int
	refused   int
	overRuns  int
	idleSum   float64
	samples   int
}

func poolName(idx int) string { return fmt.Sprintf("pool%d", idx) }

func rowOf(idx int) row.Row {
	cfg := row.Config{
		Pool: poolName(idx), Service: poolName(idx), Weight: 10, TakeSlots: 200, LendSlots: 50,
		DownVMs: 2, Queue: 200, DeadlineMs: deadlineMs,
	}
	if idx == pools-1 {
		cfg.LendSlots = 90
	}
	rw, err := row.New(cfg)
	if err != nil {
		panic(err)
	}
	return rw
}

// simulate runs the demand once and returns the figures.
func simulate(t *testing.T, pln plan) result {
	t.Helper()
	sim := &simulation{pln: pln, inUse: map[string]int{}}
	synctest.Test(t, func(*testing.T) {
		sim.run()
	})
	return sim.result()
}

func (sim *simulation) run() {
	var dsps []*dispatcher.Dispatcher
	for zone := range sim.pln.zones {
		dsps = append(dsps, sim.startZone(zone)...)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, dsp := range dsps {
		loops.Go(func() { sim.tick(ctx, dsp) })
	}
	loops.Go(func() { sim.sample(ctx, dsps) })
	var requests sync.WaitGroup
	for idx := range pools {
		requests.Go(func() { sim.sendRequests(&requests, dsps, idx) })
	}
	requests.Wait()
	cancel()
	loops.Wait()
}

// startZone returns the dispatchers of a zone's entries, which share the zone's VMs.
func (sim *simulation) startZone(zone int) []*dispatcher.Dispatcher {
	var names []string
	for idx := range sim.pln.entries {
		names = append(names, fmt.Sprintf("z%d-e%d", zone, idx))
	}
	var dsps []*dispatcher.Dispatcher
	for idx, name := range names {
		dsp := dispatcher.New(dispatcher.Config{Now: time.Now, Router: router.Config{
			Seed: uint64(seed + idx), BorrowDelay: 20 * time.Millisecond, LendDelay: 200 * time.Millisecond,
			IsLendingEnabled: sim.pln.isLending,
		}})
		dsp.Update(func(rtr *router.Router) {
			for idx := range pools {
				rtr.SetRow(rowOf(idx))
			}
			for _, vm := range sim.vms(zone) {
				rtr.SetVM(vm.name, vm.pool, sim.share(name, vm.name, names), true)
			}
		})
		dsps = append(dsps, dsp)
	}
	return dsps
}

type vm struct {
	name, pool string
}

func (sim *simulation) vms(zone int) []vm {
	var vms []vm
	for count := range pools * sim.pln.vmsPerPool {
		if count%sim.pln.zones == zone {
			vms = append(vms, vm{name: fmt.Sprintf("vm%d", count), pool: poolName(count % pools)})
		}
	}
	return vms
}

// share returns how many of the VM's slots the entry may use.
func (sim *simulation) share(entry, vm string, names []string) int {
	if !sim.pln.isPartitioned {
		return slotsPerVM
	}
	slots := slotsPerVM / len(names)
	if fleet.Rank(entry, vm, names) < slotsPerVM%len(names) {
		slots++
	}
	return slots
}

func (sim *simulation) tick(ctx context.Context, dsp *dispatcher.Dispatcher) {
	for ctx.Err() == nil {
		time.Sleep(dispatcher.TickInterval)
		dsp.Tick(time.Now())
	}
}

// sample measures the share of idle slots at times when any request waits.
func (sim *simulation) sample(ctx context.Context, dsps []*dispatcher.Dispatcher) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		waiting := 0
		for _, dsp := range dsps {
			for idx := range pools {
				waiting += dsp.Stats(poolName(idx)).Waiting
			}
		}
		if waiting == 0 {
			continue
		}
		sim.mu.Lock()
		used := 0
		for _, count := range sim.inUse {
			used += min(count, slotsPerVM)
		}
		total := pools * sim.pln.vmsPerPool * slotsPerVM
		sim.idleSum += float64(total-used) / float64(total)
		sim.samples++
		sim.mu.Unlock()
	}
}

// arrivalRate returns the requests per second of a pool at a time since the start.
func arrivalRate(idx int, since time.Duration) float64 {
	if int(since/burstTime)%pools == idx {
		return meanPerSec * 5
	}
	return meanPerSec / 20
}

// sendRequests sends the requests of one pool, with Poisson arrivals, to random entries.
func (sim *simulation) sendRequests(requests *sync.WaitGroup, dsps []*dispatcher.Dispatcher, idx int) {
	rnd := rand.New(rand.NewPCG(seed, uint64(idx)))
	begin := time.Now()
	next := begin
	for next.Sub(begin) < runTime {
		next = next.Add(time.Duration(rnd.ExpFloat64() / arrivalRate(idx, next.Sub(begin)) * float64(time.Second)))
		time.Sleep(time.Until(next))
		dsp := dsps[rnd.IntN(len(dsps))]
		duration := time.Duration((0.5 + rnd.Float64()) * float64(serviceTime))
		requests.Go(func() { sim.sendRequest(dsp, idx, duration) })
	}
}

// sendRequest sends one request that occupies a slot for the duration. A VM with all
// slots in use refuses it, which happens only when slots are not partitioned; it is then
// retried on another VM, up to 3 times.
func (sim *simulation) sendRequest(dsp *dispatcher.Dispatcher, idx int, duration time.Duration) {
	begin := time.Now()
	tkt, err := dsp.Acquire(context.Background(), poolName(idx), time.Time{})
	for try := 0; err == nil && !sim.occupySlot(tkt.VM()); try++ {
		if try == 3 {
			dsp.Release(tkt, router.Result{})
			err = fault.New(code.BackendRefused, "full")
			break
		}
		err = dsp.Retry(context.Background(), tkt, router.Result{IsFailure: true})
	}
	if err == nil {
		time.Sleep(duration)
		sim.releaseSlot(tkt.VM())
		dsp.Release(tkt, router.Result{})
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.offered[idx]++
	if err != nil {
		sim.refused++
		return
	}
	sim.served[idx]++
	sim.latencies = append(sim.latencies, time.Since(begin))
}

func (sim *simulation) occupySlot(vm string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.inUse[vm] >= slotsPerVM {
		sim.overRuns++
		return false
	}
	sim.inUse[vm]++
	return true
}

func (sim *simulation) releaseSlot(vm string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.inUse[vm]--
}

func (sim *simulation) result() result {
	res := result{refused: sim.refused, overRuns: sim.overRuns, worstPool: 1}
	for idx := range pools {
		res.served += sim.served[idx]
		res.worstPool = min(res.worstPool, float64(sim.served[idx])/float64(sim.offered[idx]))
	}
	sort.Slice(sim.latencies, func(i, j int) bool { return sim.latencies[i] < sim.latencies[j] })
	quantile := func(share float64) time.Duration { return sim.latencies[int(share*float64(len(sim.latencies)-1))] }
	res.p50, res.p99, res.p999 = quantile(0.5), quantile(0.99), quantile(0.999)
	if sim.samples > 0 {
		res.idleWhileWaiting = sim.idleSum / float64(sim.samples)
	}
	res.goodput = sim.goodput()
	return res
}

// goodput returns the served share of the requests, relative to the share of a bursting
// pool's demand that its own and the lendable slots could carry.
func (sim *simulation) goodput() float64 {
	own := float64(sim.pln.vmsPerPool * slotsPerVM)
	lendable := own*0.5*float64(pools-2) + own*0.9
	borrowed := min(lendable, own*2)
	perSec := (own + borrowed) / serviceTime.Seconds()
	possible := min(perSec, meanPerSec*5)
	offered, served := 0, 0
	for idx := range pools {
		offered += sim.offered[idx]
		served += sim.served[idx]
	}
	return float64(served) / (float64(offered) * possible / (meanPerSec * 5))
}

func (res result) String() string {
	return fmt.Sprintf("served %d refused %d (%.1f%%) overRuns %d p50 %v p99 %v p99.9 %v idle while waiting %.1f%% goodput %.1f%% worst pool %.1f%%",
		res.served, res.refused, 100*float64(res.refused)/float64(res.served+res.refused), res.overRuns,
		res.p50.Round(time.Millisecond), res.p99.Round(time.Millisecond), res.p999.Round(time.Millisecond),
		100*res.idleWhileWaiting, 100*res.goodput, 100*res.worstPool)
}

func sites() []plan {
	return []plan{
		{name: "compost", zones: 3, entries: 3, vmsPerPool: vmsPerPool},
		{name: "vendors", zones: 4, entries: 2, vmsPerPool: vmsPerPool},
	}
}

// bufferVMs returns the smallest number of VMs per pool with which at most 1% of the
// requests are refused.
func bufferVMs(t *testing.T, pln plan) int {
	t.Helper()
	return 1 + sort.Search(24, func(idx int) bool {
		pln.vmsPerPool = idx + 1
		res := simulate(t, pln)
		return res.refused*100 <= res.refused+res.served
	})
}

// TestLendingNeedsLessBuffer compares the capacity that static shares and lending need to
// refuse at most 1% of the requests. The load averages 1.04 times meanPerSec per pool,
// as a pool has 5 times the mean for a fifth of the time and 0.05 times otherwise.
func TestLendingNeedsLessBuffer(t *testing.T) {
	neededVMs := pools * 1.04 * meanPerSec * serviceTime.Seconds() / slotsPerVM
	for _, site := range sites() {
		static, lending := site, site
		static.isPartitioned, lending.isPartitioned, lending.isLending = true, true, true
		base, res := bufferVMs(t, static), bufferVMs(t, lending)
		cost := func(vms int) float64 { return float64(pools*vms)/neededVMs - 1 }
		t.Logf("%s: static %d VMs per pool, buffer cost %.2f; lending %d VMs, buffer cost %.2f", site.name, base, cost(base), res, cost(res))
		if cost(res) > 0.8*cost(base) {
			t.Errorf("%s: buffer cost %.2f is not clearly less than %.2f", site.name, cost(res), cost(base))
		}
	}
}

// TestLendingCarriesSurge compares lending with static shares and with no coordination
// between the entries, on both sites.
func TestLendingCarriesSurge(t *testing.T) {
	for _, site := range sites() {
		static, uncoordinated, lending := site, site, site
		static.isPartitioned = true
		lending.isPartitioned = true
		lending.isLending = true
		base := simulate(t, static)
		free := simulate(t, uncoordinated)
		res := simulate(t, lending)
		t.Logf("%s static shares:   %v", site.name, base)
		t.Logf("%s no coordination: %v", site.name, free)
		t.Logf("%s lending:         %v", site.name, res)
		if res.goodput < 0.95 {
			t.Errorf("%s: goodput %.3f, must be at least 0.95", site.name, res.goodput)
		}
		if res.overRuns > 0 {
			t.Errorf("%s: requests reached VMs with all %d slots in use %d times", site.name, slotsPerVM, res.overRuns)
		}
		if res.idleWhileWaiting >= base.idleWhileWaiting || res.refused > base.refused {
			t.Errorf("%s: no better than static shares", site.name)
		}
		if res.worstPool < 0.9 {
			t.Errorf("%s: a pool got only %.3f of its requests", site.name, res.worstPool)
		}
	}
}
