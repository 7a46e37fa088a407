// Package placer decides which VM each pending job runs on.
package placer

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"time"

	"daisywheel/internal/job/job"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/kernel/registry"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Times and bounds of the duty.
const (
	interval        = 50 * time.Millisecond
	pendingInterval = 200 * time.Millisecond // while jobs wait and nothing changes
	idleInterval    = 5 * time.Second
	stepTimeout     = 2 * time.Second
	rankDelay       = 300 * time.Millisecond
	batchSize       = 64
	retryInterval   = 500 * time.Millisecond
)

func init() {
	registry.Register(registry.Plugin{Name: "placer", Order: 60, Start: start})
}

// Placer proposes placements.
type Placer struct {
	nod         *node.Node
	firstSeen   map[string]time.Time // when a pending job was first seen
	lastAttempt map[string]time.Time
}

func start(nod *node.Node) (func(), error) {
	plc := &Placer{nod: nod, firstSeen: map[string]time.Time{}, lastAttempt: map[string]time.Time{}}
	prt := part.Adaptive("placer", interval, nod.Replica().Changed, plc.step)
	return prt.Stop, nil
}

// step returns how long it may rest while nothing changes.
func (plc *Placer) step(time.Time) time.Duration {
	now := plc.nod.Now()
	var recs []record.Record
	rest := idleInterval
	plc.nod.Replica().View(func(flt *fleet.Fleet) {
		if plc.nod.IsRegistered(flt) {
			recs = plc.plan(flt, now)
		}
		if flt.HasPending() {
			rest = pendingInterval
		}
	})
	if len(recs) == 0 {
		return rest
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := plc.nod.Proposer().Send(ctx, recs); err != nil {
		plc.nod.Journal().Warn(now, "placementLost", slog.String("error", err.Error()))
	}
	return rest
}

// plan returns placements for the jobs that this entry is to place, the most
// urgent first.
func (plc *Placer) plan(flt *fleet.Fleet, now time.Time) []record.Record {
	due := plc.due(flt, now)
	if len(due) == 0 {
		return nil
	}
	brd := newFreeCapacity(flt)
	var recs []record.Record
	for _, jb := range plc.pendingByPriority(flt) {
		vm, ok := brd.place(jb)
		if !due[jb.Name()] {
			continue // another entry's job keeps the room that it will get
		}
		if !ok {
			recs = append(recs, plc.preempt(brd, now, jb)...)
			continue
		}
		plc.lastAttempt[jb.Name()] = now
		recs = append(recs, plc.nod.NewRecord(now, record.Config{
			Kind: record.JobPlace, JobName: jb.Name(), VM: vm, Fence: jb.Fence(), Shape: brd.reservation(jb),
		}))
	}
	return recs
}

// byPriority returns the pending jobs that are looked at in one step, the most
// urgent first. A job of lesser priority thus never takes the room that was made
// for an urgent one, whichever entries place the two.
func (plc *Placer) pendingByPriority(flt *fleet.Fleet) []job.Job {
	var jobs []job.Job
	for _, name := range flt.PendingJobs() {
		jb, _ := flt.Job(name)
		jobs = append(jobs, jb)
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].Config().Priority > jobs[j].Config().Priority })
	return jobs[:min(len(jobs), batchSize)]
}

// due returns the pending jobs that this entry ranks first for, and those that
// entries of a better rank have left waiting.
func (plc *Placer) due(flt *fleet.Fleet, now time.Time) map[string]bool {
	due := map[string]bool{}
	pending := flt.PendingJobs()
	seen := map[string]time.Time{}
	entries := flt.Entries()
	for _, name := range pending {
		first, ok := plc.firstSeen[name]
		if !ok {
			first = now
		}
		seen[name] = first
		rank := fleet.Rank(plc.nod.Settings().Name, "job/"+name, entries)
		if now.Sub(first) < time.Duration(rank)*rankDelay || now.Sub(plc.lastAttempt[name]) < retryInterval {
			continue
		}
		due[name] = true
	}
	plc.firstSeen = seen
	for name := range plc.lastAttempt {
		if _, ok := seen[name]; !ok {
			delete(plc.lastAttempt, name)
		}
	}
	return due
}

// displace makes room for an urgent job by ending lesser tasks on one VM. The
// tasks are checkpointed by the VM's runner and queue again.
func (plc *Placer) preempt(brd *freeCapacity, now time.Time, jb job.Job) []record.Record {
	if !jb.IsUrgent() {
		return nil
	}
	victims := brd.victims(jb)
	var recs []record.Record
	for _, vic := range victims {
		recs = append(recs, plc.nod.NewRecord(now, record.Config{
			Kind: record.JobEnd, JobName: vic.Name(), Fence: vic.Fence(), Outcome: record.Displaced,
			ChangeID: fmt.Sprintf("displace/%s/%d", vic.Name(), vic.Fence()),
		}))
	}
	if len(recs) > 0 {
		plc.nod.Journal().Event(now, "jobsDisplaced", slog.String("job", jb.Name()), slog.Int("count", len(recs)))
	}
	return recs
}

// isUsable reports whether new jobs may go to the VM.
func isUsable(mbr member.Member) bool { return mbr.IsAvailable() && !mbr.IsQuarantined() }
