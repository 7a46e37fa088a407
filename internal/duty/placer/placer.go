// Package placer decides which VM each pending job runs on.
package placer

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"time"

	"daisywheel/internal/job/job"
	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals, timeouts and limits.
const (
	interval        = 50 * time.Millisecond
	pendingInterval = 200 * time.Millisecond // while jobs are pending and nothing changes
	idleInterval    = 5 * time.Second
	stepTimeout     = 2 * time.Second
	rankDelay       = 300 * time.Millisecond // additional wait per rank of the entry
	batchSize       = 64                     // pending jobs that one step considers
	retryInterval   = 500 * time.Millisecond // until a placement without a visible effect is proposed again
)

func init() {
	plugin.Register(plugin.Plugin{Name: "placer", Order: 60, Start: start})
}

// Placer proposes placements.
type Placer struct {
	nod         *node.Node
	firstSeen   map[string]time.Time // when a pending job was first seen, by job name
	lastAttempt map[string]time.Time // when a placement was last proposed, by job name
}

func start(nod *node.Node) (func(), error) {
	plc := &Placer{nod: nod, firstSeen: map[string]time.Time{}, lastAttempt: map[string]time.Time{}}
	lop := loop.OnWake("placer", interval, nod.Replica().Changed, plc.step)
	return lop.Stop, nil
}

// step proposes placements and returns the time until the next step if the applied
// state does not change.
func (plc *Placer) step(time.Time) time.Duration {
	now := plc.nod.Now()
	var recs []record.Record
	wait := idleInterval
	plc.nod.Replica().View(func(flt *fleet.Fleet) {
		if plc.nod.IsRegistered(flt) {
			recs = plc.plan(flt, now)
		}
		if flt.HasPending() {
			wait = pendingInterval
		}
	})
	if len(recs) == 0 {
		return wait
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := plc.nod.Proposer().Append(ctx, recs); err != nil {
		plc.nod.Journal().Warn(now, "placementLost", slog.String("error", err.Error()))
	}
	return wait
}

// plan returns placements for the jobs that this entry must place now, by
// descending priority, and preemptions for urgent jobs that fit nowhere.
func (plc *Placer) plan(flt *fleet.Fleet, now time.Time) []record.Record {
	due := plc.due(flt, now)
	if len(due) == 0 {
		return nil
	}
	frc := newFreeCapacity(flt)
	var recs []record.Record
	for _, jb := range plc.pendingByPriority(flt) {
		vm, ok := frc.place(jb)
		if !due[jb.Name()] {
			continue // placed by another entry; the capacity stays reserved for it
		}
		if !ok {
			recs = append(recs, plc.preempt(frc, now, jb)...)
			continue
		}
		plc.lastAttempt[jb.Name()] = now
		recs = append(recs, plc.nod.NewRecord(now, record.Config{
			Kind: record.JobPlace, JobName: jb.Name(), VM: vm, FencingToken: jb.FencingToken(), Shape: frc.reservation(jb),
		}))
	}
	return recs
}

// pendingByPriority returns up to batchSize pending jobs by descending priority.
// Because it includes the jobs of other entries, a job of lower priority never gets
// the capacity that was freed for an urgent one, whichever entries place the two.
func (plc *Placer) pendingByPriority(flt *fleet.Fleet) []job.Job {
	var jobs []job.Job
	for _, name := range flt.PendingJobs() {
		jb, _ := flt.Job(name)
		jobs = append(jobs, jb)
	}
	sort.SliceStable(jobs, func(i, j int) bool { return jobs[i].Config().Priority > jobs[j].Config().Priority })
	return jobs[:min(len(jobs), batchSize)]
}

// due returns the pending jobs that this entry ranks first for, and those that the
// entries ranked before it have left pending for rankDelay per rank.
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

// preempt returns records that end tasks of lower priority on one VM so that an
// urgent job fits there. The VM's agent checkpoints the tasks, and they are queued
// again.
func (plc *Placer) preempt(frc *freeCapacity, now time.Time, jb job.Job) []record.Record {
	if !jb.IsUrgent() {
		return nil
	}
	victims := frc.victims(jb)
	var recs []record.Record
	for _, vic := range victims {
		recs = append(recs, plc.nod.NewRecord(now, record.Config{
			Kind: record.JobEnd, JobName: vic.Name(), FencingToken: vic.FencingToken(), Outcome: record.Displaced,
			ChangeID: fmt.Sprintf("displace/%s/%d", vic.Name(), vic.FencingToken()),
		}))
	}
	if len(recs) > 0 {
		plc.nod.Journal().Event(now, "jobsDisplaced", slog.String("job", jb.Name()), slog.Int("count", len(recs)))
	}
	return recs
}

// isUsable reports whether new jobs may go to the VM.
func isUsable(mbr member.Member) bool { return mbr.IsAvailable() && !mbr.IsQuarantined() }
