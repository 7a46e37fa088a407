// Package waver plans maintenance waves: it drains as many VMs at once as the
// pools' availability budgets allow, spread over racks, and gives up on VMs that
// do not come back.
package waver

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"time"

	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/kernel/registry"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Times of the duty.
const (
	interval       = 100 * time.Millisecond
	activeInterval = 500 * time.Millisecond // while a wave runs and nothing changes
	idleInterval   = 5 * time.Second
	stepTimeout    = 2 * time.Second
	phaseTimeout   = 60 * time.Second // in one phase
	maxBacklogWait = 30 * time.Second // longest wait for a pool's queue to empty
	retryInterval  = time.Second
)

func init() {
	registry.Register(registry.Plugin{Name: "waver", Order: 50, Start: start})
}

// Waver plans the drains of its zone.
type Waver struct {
	nod             *node.Node
	phaseStarts     map[string]phaseStart
	lastAttempt     map[string]time.Time
	backloggedSince map[string]time.Time // pools whose drains wait for a surge to end
}

type phaseStart struct {
	phase member.Phase
	epoch int64
	since time.Time
}

func start(nod *node.Node) (func(), error) {
	wvr := &Waver{nod: nod, phaseStarts: map[string]phaseStart{}, lastAttempt: map[string]time.Time{}, backloggedSince: map[string]time.Time{}}
	prt := part.Adaptive("waver", interval, nod.Replica().Changed, wvr.step)
	return prt.Stop, nil
}

// step returns how long it may rest while nothing changes.
func (wvr *Waver) step(time.Time) time.Duration {
	now := wvr.nod.Now()
	rest := idleInterval
	var recs []record.Record
	wvr.nod.Replica().View(func(flt *fleet.Fleet) {
		if !wvr.nod.IsRegistered(flt) {
			return
		}
		for _, name := range flt.Waves() {
			wav, ok := flt.Wave(name)
			if ok && wav.State() == wave.Running && wvr.nod.IsResponsible(flt, "wave/"+name) {
				rest = activeInterval
				recs = append(recs, wvr.plan(flt, now, wav)...)
			}
		}
	})
	if len(recs) == 0 {
		return rest
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := wvr.nod.Proposer().Send(ctx, recs); err != nil {
		wvr.nod.Journal().Warn(now, "drainLost", slog.String("error", err.Error()))
	}
	return rest
}

// plan returns the drains that the budgets allow now and the VMs to give up on.
func (wvr *Waver) plan(flt *fleet.Fleet, now time.Time, wav *wave.Wave) []record.Record {
	recs := wvr.skipStuck(flt, now, wav)
	spare := map[string]int{}
	left := wvr.countByPool(flt)
	for _, mbr := range wvr.candidates(flt, wav) {
		if _, ok := spare[mbr.Pool()]; !ok {
			spare[mbr.Pool()] = flt.Spare(mbr.Pool())
		}
		if mbr.IsAvailable() && spare[mbr.Pool()] < 1 || spare[mbr.Pool()] < 0 {
			continue
		}
		if mbr.IsAvailable() && left[mbr.Pool()].isLastAvailable() {
			continue
		}
		if wvr.isHeldBack(now, mbr.Pool()) || !wvr.isDue(now, mbr.VM()) {
			continue
		}
		if mbr.IsAvailable() {
			spare[mbr.Pool()]--
			left[mbr.Pool()].available--
		}
		recs = append(recs, wvr.nod.NewRecord(now, record.Config{
			Kind: record.VMLeave, VM: mbr.VM(), Epoch: mbr.Epoch(), Pool: mbr.Pool(), Wave: wav.Name(),
		}))
		wvr.nod.Journal().Event(now, "vmDraining", slog.String("vm", mbr.VM()), slog.String("wave", wav.Name()))
	}
	return recs
}

// presence is how many VMs of a pool are in this zone and available.
type poolCount struct {
	total     int
	available int
}

// isLast reports whether a drain would leave callers of this zone without a
// backend server although the pool has several here.
func (prs *poolCount) isLastAvailable() bool { return prs.total > 1 && prs.available < 2 }

// serving counts the zone's VMs by pool.
func (wvr *Waver) countByPool(flt *fleet.Fleet) map[string]*poolCount {
	pools := map[string]*poolCount{}
	for _, name := range flt.VMsIn(wvr.nod.Settings().Zone) {
		mbr, _ := flt.Member(name)
		prs, ok := pools[mbr.Pool()]
		if !ok {
			prs = &poolCount{}
			pools[mbr.Pool()] = prs
		}
		prs.total++
		if mbr.IsAvailable() {
			prs.available++
		}
	}
	return pools
}

func (wvr *Waver) isDue(now time.Time, vm string) bool {
	if last, ok := wvr.lastAttempt[vm]; ok && now.Sub(last) < retryInterval {
		return false
	}
	wvr.lastAttempt[vm] = now
	return true
}

// candidates returns the waiting VMs of this zone: those that are down already
// first, then one rack after the other, so that few racks are open at once.
func (wvr *Waver) candidates(flt *fleet.Fleet, wav *wave.Wave) []member.Member {
	var list []member.Member
	for _, vm := range wav.Waiting() {
		mbr, ok := flt.Member(vm)
		if ok && mbr.Zone() == wvr.nod.Settings().Zone && mbr.Phase() == member.Serving {
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

// isSurging holds drains back while requests of the pool wait, but not for ever.
func (wvr *Waver) isHeldBack(now time.Time, pool string) bool {
	if wvr.nod.Dispatcher().Stats(pool).Waiting == 0 {
		delete(wvr.backloggedSince, pool)
		return false
	}
	since, ok := wvr.backloggedSince[pool]
	if !ok {
		wvr.backloggedSince[pool] = now
		return true
	}
	return now.Sub(since) < maxBacklogWait
}

// giveUp names the VMs that have stayed too long in one phase.
func (wvr *Waver) skipStuck(flt *fleet.Fleet, now time.Time, wav *wave.Wave) []record.Record {
	var recs []record.Record
	cfg := wav.Config()
	for _, vm := range cfg.Active {
		mbr, ok := flt.Member(vm)
		if !ok || mbr.Zone() != wvr.nod.Settings().Zone {
			continue
		}
		was := wvr.phaseStarts[vm]
		if was.phase != mbr.Phase() || was.epoch != mbr.Epoch() || was.since.IsZero() {
			wvr.phaseStarts[vm] = phaseStart{phase: mbr.Phase(), epoch: mbr.Epoch(), since: now}
			continue
		}
		if now.Sub(was.since) < phaseTimeout {
			continue
		}
		recs = append(recs, wvr.nod.NewRecord(now, record.Config{
			Kind: record.WaveName, Wave: wav.Name(), VM: vm,
			Reason:   fmt.Sprintf("%s for more than %s", mbr.Phase(), phaseTimeout),
			ChangeID: fmt.Sprintf("name/%s/%s", wav.Name(), vm),
		}))
	}
	return recs
}
