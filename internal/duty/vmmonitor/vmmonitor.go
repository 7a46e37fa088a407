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

// Monitor watches the VMs of the entry's zone.
type Monitor struct {
	nod       *node.Node
	firstSeen map[string]time.Time // when a difference between list and applied state was first seen, by change id

	mu       sync.Mutex
	failures map[string]int // consecutive failed probes, by VM
	cursor   int            // number of probes so far, which selects the next VMs
}

func start(nod *node.Node) (func(), error) {
	mon := &Monitor{nod: nod, firstSeen: map[string]time.Time{}, failures: map[string]int{}}
	list := loop.Every("observer list", listInterval, mon.pollList)
	probe := loop.Every("observer probe", probeInterval, mon.probeVMs)
	return func() {
		probe.Stop()
		list.Stop()
	}, nil
}

// pollList reads the VM list, closes the departing VMs to new work and appends
// records for the differences to the applied state.
func (mon *Monitor) pollList(time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	vms, err := mon.nod.VMList().List(ctx, mon.nod.Settings().Zone)
	if err != nil {
		return
	}
	mon.nod.SetDeparting(node.DepartingOf(vms))
	now := mon.nod.Now()
	var recs []record.Record
	mon.nod.Replica().View(func(flt *fleet.Fleet) {
		if !mon.nod.IsRegistered(flt) {
			return
		}
		for _, vm := range vms {
			if cfg, ok := changeFor(flt, vm); ok && mon.isDue(flt, now, cfg.ChangeID) {
				recs = append(recs, mon.nod.NewRecord(now, cfg))
			}
		}
	})
	mon.send(ctx, now, recs)
}

func (mon *Monitor) send(ctx context.Context, now time.Time, recs []record.Record) {
	if err := mon.nod.Proposer().Append(ctx, recs); err != nil {
		mon.nod.Journal().Warn(now, "observationLost", slog.String("error", err.Error()))
	}
}

// changeFor returns the record that brings the applied state in line with the
// listed VM, and false if there is nothing to change.
func changeFor(flt *fleet.Fleet, vm vmlist.VM) (record.Config, bool) {
	if vm.IsEntry {
		return deregistrationOf(flt, vm)
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

// deregistrationOf returns the record that deregisters an entry whose VM the platform
// lists as gone, that is, ended for good.
func deregistrationOf(flt *fleet.Fleet, vm vmlist.VM) (record.Config, bool) {
	if vm.Status != member.Gone {
		return record.Config{}, false
	}
	for _, name := range flt.EntriesIn(vm.Member.Zone) {
		info, _ := flt.Entry(name)
		if info.VM == vm.Member.VM {
			return record.Config{
				Kind: record.EntryLeave, Entry: name, Incarnation: info.Incarnation, Reason: "VM gone",
				ChangeID: fmt.Sprintf("gone/%s/%d", name, info.Incarnation),
			}, true
		}
	}
	return record.Config{}, false
}

// isDue reports whether this entry must append the change: at once if it ranks
// first, otherwise when the difference has lasted for rankDelay per rank.
func (mon *Monitor) isDue(flt *fleet.Fleet, now time.Time, key string) bool {
	set := mon.nod.Settings()
	rank := fleet.Rank(set.Name, key, flt.EntriesIn(set.Zone))
	first, ok := mon.firstSeen[key]
	if !ok {
		mon.firstSeen[key] = now
		first = now
	}
	return rank >= 0 && now.Sub(first) >= time.Duration(rank)*rankDelay
}

// probeVMs checks the health of the next VMs that this entry is responsible for.
func (mon *Monitor) probeVMs(time.Time) {
	var mbrs []member.Member
	mon.nod.Replica().View(func(flt *fleet.Fleet) {
		if mon.nod.IsRegistered(flt) {
			mbrs = mon.responsibleFor(flt)
		}
	})
	count := min(len(mbrs), probesPerTick)
	var wtg sync.WaitGroup
	for idx := range count {
		mbr := mbrs[(mon.cursor+idx)%len(mbrs)]
		wtg.Go(func() { mon.probeVM(mbr) })
	}
	mon.cursor += count
	wtg.Wait()
}

// responsibleFor returns the serving, not departing VMs of the zone that this entry
// probes.
func (mon *Monitor) responsibleFor(flt *fleet.Fleet) []member.Member {
	var mbrs []member.Member
	for _, name := range flt.VMsIn(mon.nod.Settings().Zone) {
		mbr, _ := flt.Member(name)
		if mbr.Phase() == member.Serving && mbr.Status() != member.Departing && mon.nod.IsResponsible(flt, name) {
			mbrs = append(mbrs, mbr)
		}
	}
	return mbrs
}

// probeVM probes one VM and records a change of its status.
func (mon *Monitor) probeVM(mbr member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := mon.nod.Worker().Health(ctx, mbr.Agent())
	mon.mu.Lock()
	if err != nil {
		mon.failures[mbr.VM()]++
	} else {
		delete(mon.failures, mbr.VM())
	}
	failures := mon.failures[mbr.VM()]
	mon.mu.Unlock()
	sts := member.Up
	if failures >= failureThreshold {
		sts = member.Down
	}
	if sts == mbr.Status() || failures > 0 && failures < failureThreshold {
		return
	}
	mon.recordStatus(mbr, sts)
}

func (mon *Monitor) recordStatus(mbr member.Member, sts member.Status) {
	now := mon.nod.Now()
	rec := mon.nod.NewRecord(now, record.Config{Kind: record.VMStatus, VM: mbr.VM(), Status: sts})
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	mon.send(ctx, now, []record.Record{rec})
	mon.nod.Journal().Event(now, "vmStatus", slog.String("vm", mbr.VM()), slog.String("status", sts.String()))
}
