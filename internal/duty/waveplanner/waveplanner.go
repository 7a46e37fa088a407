// Package waveplanner plans maintenance waves: it evacuates as many VMs at once as the
// availability budgets of the pools allow, rack by rack, and skips VMs that get
// stuck in a phase.
package waveplanner

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals and timeouts.
const (
	interval       = 100 * time.Millisecond
	activeInterval = 500 * time.Millisecond // while a wave runs and nothing changes
	idleInterval   = 5 * time.Second
	stepTimeout    = 2 * time.Second
	phaseTimeout   = 60 * time.Second // after which a wave skips a VM that is still in the same phase
	maxBacklogWait = 30 * time.Second // longest time for which evacuations wait until a pool's queue is empty
	retryInterval  = time.Second      // until an evacuation without a visible effect is proposed again
)

func init() {
	plugin.Register(plugin.Plugin{Name: "waver", Order: 50, Start: start})
}

// Planner plans the evacuations of its zone's VMs.
type Planner struct {
	nod             *node.Node
	phaseStarts     map[string]phaseStart // by VM
	lastAttempt     map[string]time.Time  // by VM
	backloggedSince map[string]time.Time  // by pool, for pools with queued requests
}

// phaseStart is when this entry first saw a VM in a phase of an epoch.
type phaseStart struct {
	phase member.Phase
	epoch int64
	since time.Time
}

func start(nod *node.Node) (func(), error) {
	pln := &Planner{nod: nod, phaseStarts: map[string]phaseStart{}, lastAttempt: map[string]time.Time{}, backloggedSince: map[string]time.Time{}}
	lop := loop.OnWake("waver", interval, nod.Replica().Changed, pln.step)
	return lop.Stop, nil
}

// step plans the running waves that this entry is responsible for, and returns the
// time until the next step if the applied state does not change.
func (pln *Planner) step(time.Time) time.Duration {
	now := pln.nod.Now()
	wait := idleInterval
	var recs []record.Record
	pln.nod.Replica().View(func(flt *fleet.Fleet) {
		if !pln.nod.IsRegistered(flt) {
			return
		}
		for _, name := range flt.Waves() {
			wav, ok := flt.Wave(name)
			if ok && wav.State() == wave.Running && pln.nod.IsResponsible(flt, "wave/"+name) {
				wait = activeInterval
				recs = append(recs, pln.plan(flt, now, wav)...)
			}
		}
	})
	if len(recs) == 0 {
		return wait
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := pln.nod.Proposer().Append(ctx, recs); err != nil {
		pln.nod.Journal().Warn(now, "drainLost", slog.String("error", err.Error()))
	}
	return wait
}

// plan returns the evacuations that the budgets allow now and the VMs to skip.
func (pln *Planner) plan(flt *fleet.Fleet, now time.Time, wav *wave.Wave) []record.Record {
	recs := pln.skipStuck(flt, now, wav)
	remaining := map[string]int{}
	counts := pln.countByPool(flt)
	for _, mbr := range pln.candidates(flt, wav) {
		if _, ok := remaining[mbr.Pool()]; !ok {
			remaining[mbr.Pool()] = flt.RemainingBudget(mbr.Pool())
		}
		if mbr.IsAvailable() && remaining[mbr.Pool()] < 1 || remaining[mbr.Pool()] < 0 {
			continue
		}
		if mbr.IsAvailable() && counts[mbr.Pool()].isLastAvailable() {
			continue
		}
		if pln.isHeldBack(now, mbr.Pool()) || !pln.isDue(now, mbr.VM()) {
			continue
		}
		if mbr.IsAvailable() {
			remaining[mbr.Pool()]--
			counts[mbr.Pool()].available--
		}
		recs = append(recs, pln.nod.NewRecord(now, record.Config{
			Kind: record.VMLeave, VM: mbr.VM(), Epoch: mbr.Epoch(), Pool: mbr.Pool(), Wave: wav.Name(),
		}))
		pln.nod.Journal().Event(now, "vmDraining", slog.String("vm", mbr.VM()), slog.String("wave", wav.Name()))
	}
	return recs
}

// poolCount is the number of VMs of a pool in this zone and how many are available.
type poolCount struct {
	total     int
	available int
}

// isLastAvailable reports whether an evacuation would leave the callers of this zone
// without a backend server although the pool has several here.
func (pct *poolCount) isLastAvailable() bool { return pct.total > 1 && pct.available < 2 }

// countByPool counts the zone's VMs by pool.
func (pln *Planner) countByPool(flt *fleet.Fleet) map[string]*poolCount {
	pools := map[string]*poolCount{}
	for _, name := range flt.VMsIn(pln.nod.Settings().Zone) {
		mbr, _ := flt.Member(name)
		pct, ok := pools[mbr.Pool()]
		if !ok {
			pct = &poolCount{}
			pools[mbr.Pool()] = pct
		}
		pct.total++
		if mbr.IsAvailable() {
			pct.available++
		}
	}
	return pools
}

// isDue reports whether the evacuation of the VM was last proposed at least a retry
// interval ago. If so, it counts as proposed now.
func (pln *Planner) isDue(now time.Time, vm string) bool {
	if last, ok := pln.lastAttempt[vm]; ok && now.Sub(last) < retryInterval {
		return false
	}
	pln.lastAttempt[vm] = now
	return true
}

// candidates returns the waiting VMs of this zone: first those that are already
// unavailable, then rack by rack, so that few racks are affected at once.
func (pln *Planner) candidates(flt *fleet.Fleet, wav *wave.Wave) []member.Member {
	var list []member.Member
	for _, vm := range wav.Waiting() {
		mbr, ok := flt.Member(vm)
		if ok && mbr.Zone() == pln.nod.Settings().Zone && mbr.Phase() == member.Serving {
			list = append(list, mbr)
		}
	}
	sort.SliceStable(list, func(i, j int) bool {
		if list[i].IsAvailable() != list[j].IsAvailable() {
			return !list[i].IsAvailable()
		}
		return list[i].Rack() < list[j].Rack()
	})
	return list
}

// isHeldBack reports whether evacuations in the pool must wait because requests are
// queued. They wait for at most maxBacklogWait.
func (pln *Planner) isHeldBack(now time.Time, pool string) bool {
	if pln.nod.Dispatcher().Stats(pool).Waiting == 0 {
		delete(pln.backloggedSince, pool)
		return false
	}
	since, ok := pln.backloggedSince[pool]
	if !ok {
		pln.backloggedSince[pool] = now
		return true
	}
	return now.Sub(since) < maxBacklogWait
}

// skipStuck returns records that make the wave skip the VMs that have been in one
// phase for longer than phaseTimeout.
func (pln *Planner) skipStuck(flt *fleet.Fleet, now time.Time, wav *wave.Wave) []record.Record {
	var recs []record.Record
	cfg := wav.Config()
	for _, vm := range cfg.Active {
		mbr, ok := flt.Member(vm)
		if !ok || mbr.Zone() != pln.nod.Settings().Zone {
			continue
		}
		sta := pln.phaseStarts[vm]
		if sta.phase != mbr.Phase() || sta.epoch != mbr.Epoch() || sta.since.IsZero() {
			pln.phaseStarts[vm] = phaseStart{phase: mbr.Phase(), epoch: mbr.Epoch(), since: now}
			continue
		}
		if now.Sub(sta.since) < phaseTimeout {
			continue
		}
		recs = append(recs, pln.nod.NewRecord(now, record.Config{
			Kind: record.WaveSkip, Wave: wav.Name(), VM: vm,
			Reason:   fmt.Sprintf("%s for more than %s", mbr.Phase(), phaseTimeout),
			ChangeID: fmt.Sprintf("name/%s/%s", wav.Name(), vm),
		}))
	}
	return recs
}
