// Package vmmonitor appends records of what the platform's VM list and health probes
// show of the VMs, and closes departing VMs to new work at once.
package vmmonitor

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/platform/vmlist"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals, timeouts and limits.
const (
	listInterval     = 500 * time.Millisecond
	probeInterval    = time.Second
	probeTimeout     = time.Second
	probesPerTick    = 20              // limits the control traffic of an entry
	failureThreshold = 3               // consecutive failed probes until a VM counts as down
	rankDelay        = 2 * time.Second // additional wait per rank of the entry
	appendTimeout    = 2 * time.Second
)

func init() {
	plugin.Register(plugin.Plugin{Name: "observer", Order: 30, Start: start})
}

// Observer watches the VMs of the entry's zone.
type Observer struct {
	nod       *node.Node
	firstSeen map[string]time.Time // when a difference between list and applied state was first seen, by change id

	mu       sync.Mutex
	failures map[string]int // consecutive failed probes, by VM
	cursor   int            // number of probes so far, which selects the next VMs
}

func start(nod *node.Node) (func(), error) {
	obs := &Observer{nod: nod, firstSeen: map[string]time.Time{}, failures: map[string]int{}}
	list := loop.Every("observer list", listInterval, obs.pollList)
	probe := loop.Every("observer probe", probeInterval, obs.probeVMs)
	return func() {
		probe.Stop()
		list.Stop()
	}, nil
}

// pollList reads the VM list, closes the departing VMs to new work and appends
// records for the differences to the applied state.
func (obs *Observer) pollList(time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	vms, err := obs.nod.VMList().List(ctx, obs.nod.Settings().Zone)
	if err != nil {
		return
	}
	obs.nod.SetDeparting(node.DepartingOf(vms))
	now := obs.nod.Now()
	var recs []record.Record
	obs.nod.Replica().View(func(flt *fleet.Fleet) {
		if !obs.nod.IsRegistered(flt) {
			return
		}
		for _, vm := range vms {
			if cfg, ok := changeFor(flt, vm); ok && obs.isDue(flt, now, cfg.ChangeID) {
				recs = append(recs, obs.nod.NewRecord(now, cfg))
			}
		}
	})
	obs.send(ctx, now, recs)
}

func (obs *Observer) send(ctx context.Context, now time.Time, recs []record.Record) {
	if err := obs.nod.Proposer().Append(ctx, recs); err != nil {
		obs.nod.Journal().Warn(now, "observationLost", slog.String("error", err.Error()))
	}
}

// changeFor returns the record that brings the applied state in line with the
// listed VM, and false if there is nothing to change.
func changeFor(flt *fleet.Fleet, vm vmlist.VM) (record.Config, bool) {
	if vm.IsEntry {
		return goneEntry(flt, vm)
	}
	mbr, ok := flt.Member(vm.Member.VM)
	if !ok {
		_, rev, _ := flt.Row(vm.Member.Pool)
		isNew := rev > 0 && vm.Status != member.Gone
		return record.Config{Kind: record.VMAdd, Member: vm.Member, ChangeID: "add/" + vm.Member.VM}, isNew
	}
	if mbr.Status() == member.Gone {
		return record.Config{}, false
	}
	cfg := record.Config{Kind: record.VMStatus, VM: vm.Member.VM, Status: vm.Status}
	cfg.ChangeID = fmt.Sprintf("list/%s/%s/%d", vm.Member.VM, vm.Status, mbr.Epoch())
	isChanged := vm.Status == member.Departing && mbr.Status() != member.Departing || vm.Status == member.Gone
	return cfg, isChanged
}

// goneEntry returns the record that deregisters an entry whose VM the platform
// lists as gone, that is, ended for good.
func goneEntry(flt *fleet.Fleet, vm vmlist.VM) (record.Config, bool) {
	if vm.Status != member.Gone {
		return record.Config{}, false
	}
	for _, name := range flt.EntriesIn(vm.Member.Zone) {
		facts, _ := flt.Entry(name)
		if facts.VM == vm.Member.VM {
			return record.Config{
				Kind: record.EntryLeave, Entry: name, Incarnation: facts.Incarnation, Reason: "VM gone",
				ChangeID: fmt.Sprintf("gone/%s/%d", name, facts.Incarnation),
			}, true
		}
	}
	return record.Config{}, false
}

// isDue reports whether this entry must append the change: at once if it ranks
// first, otherwise when the difference has lasted for rankDelay per rank.
func (obs *Observer) isDue(flt *fleet.Fleet, now time.Time, key string) bool {
	set := obs.nod.Settings()
	rank := fleet.Rank(set.Name, key, flt.EntriesIn(set.Zone))
	first, ok := obs.firstSeen[key]
	if !ok {
		obs.firstSeen[key] = now
		first = now
	}
	return rank >= 0 && now.Sub(first) >= time.Duration(rank)*rankDelay
}

// probeVMs checks the health of the next VMs that this entry is responsible for.
func (obs *Observer) probeVMs(time.Time) {
	var mbrs []member.Member
	obs.nod.Replica().View(func(flt *fleet.Fleet) {
		if obs.nod.IsRegistered(flt) {
			mbrs = obs.responsibleFor(flt)
		}
	})
	count := min(len(mbrs), probesPerTick)
	var wtg sync.WaitGroup
	for idx := range count {
		mbr := mbrs[(obs.cursor+idx)%len(mbrs)]
		wtg.Go(func() { obs.probeVM(mbr) })
	}
	obs.cursor += count
	wtg.Wait()
}

// responsibleFor returns the serving, not departing VMs of the zone that this entry
// probes.
func (obs *Observer) responsibleFor(flt *fleet.Fleet) []member.Member {
	var mbrs []member.Member
	for _, name := range flt.VMsIn(obs.nod.Settings().Zone) {
		mbr, _ := flt.Member(name)
		if mbr.Phase() == member.Serving && mbr.Status() != member.Departing && obs.nod.IsResponsible(flt, name) {
			mbrs = append(mbrs, mbr)
		}
	}
	return mbrs
}

// probeVM probes one VM and reports a change of its status.
func (obs *Observer) probeVM(mbr member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := obs.nod.Worker().Health(ctx, mbr.Agent())
	obs.mu.Lock()
	if err != nil {
		obs.failures[mbr.VM()]++
	} else {
		delete(obs.failures, mbr.VM())
	}
	failures := obs.failures[mbr.VM()]
	obs.mu.Unlock()
	sts := member.Up
	if failures >= failureThreshold {
		sts = member.Down
	}
	if sts == mbr.Status() || failures > 0 && failures < failureThreshold {
		return
	}
	obs.report(mbr, sts)
}

func (obs *Observer) report(mbr member.Member, sts member.Status) {
	now := obs.nod.Now()
	rec := obs.nod.NewRecord(now, record.Config{Kind: record.VMStatus, VM: mbr.VM(), Status: sts})
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	obs.send(ctx, now, []record.Record{rec})
	obs.nod.Journal().Event(now, "vmStatus", slog.String("vm", mbr.VM()), slog.String("status", sts.String()))
}
