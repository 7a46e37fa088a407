// Package taskrunner starts, renews and stops the tasks on the VMs of its zone, so
// that the VMs run what the applied state says.
package taskrunner

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/platform/vmagent"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals, timeouts and limits.
const (
	interval      = 100 * time.Millisecond
	idleInterval  = 5 * time.Second
	pollInterval  = 500 * time.Millisecond // for a VM whose placements have not changed
	callTimeout   = 2 * time.Second
	leaseDuration = 10 * time.Second
	lostAfter     = 3 * leaseDuration // time without a reply from the VM's agent until its tasks count as lost
	maxConcurrent = 16                // VMs that are reconciled at the same time
)

func init() {
	plugin.Register(plugin.Plugin{Name: "runner", Order: 70, Start: start})
}

// Runner makes the agents of its zone's VMs run the placed tasks.
type Runner struct {
	nod       *node.Node
	mu        sync.Mutex
	contacts  map[string]agentContact // by VM
	peakUsage map[string]shape.Shape  // largest reported usage of each running job, by job name
}

// agentContact is what is known from the latest poll of a VM's agent.
type agentContact struct {
	polledAt        time.Time
	answeredAt      time.Time // last successful poll, or first failed poll if none has succeeded
	lastFingerprint string    // fingerprint of the target at the poll
	hasTasks        bool
}

func start(nod *node.Node) (func(), error) {
	rnr := &Runner{nod: nod, contacts: map[string]agentContact{}, peakUsage: map[string]shape.Shape{}}
	lop := loop.OnWake("runner", interval, nod.Replica().Changed, rnr.step)
	return lop.Stop, nil
}

// target is what one VM should run according to the applied state.
type target struct {
	mbr         member.Member
	jobs        map[string]job.Job
	fingerprint string // phase of the VM, names and fencing tokens of the jobs
}

// step reconciles the VMs that are due and returns the time until the next step
// if the applied state does not change.
func (rnr *Runner) step(time.Time) time.Duration {
	now := rnr.nod.Now()
	var targets []target
	wait := idleInterval
	rnr.nod.Replica().View(func(flt *fleet.Fleet) {
		if !rnr.nod.IsRegistered(flt) {
			return
		}
		targets = rnr.dueTargets(flt, now)
		if len(flt.VMsWithTasks(rnr.nod.Settings().Zone)) > 0 {
			wait = interval
		}
	})
	var wtg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for _, tgt := range targets {
		slots <- struct{}{}
		wtg.Go(func() {
			defer func() { <-slots }()
			rnr.reconcile(now, tgt)
		})
	}
	wtg.Wait()
	return wait
}

// candidates returns the zone's VMs with tasks and those that had tasks at their
// latest poll.
func (rnr *Runner) candidates(flt *fleet.Fleet) []string {
	names := flt.VMsWithTasks(rnr.nod.Settings().Zone)
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	for vm, last := range rnr.contacts {
		if last.hasTasks && !slices.Contains(names, vm) {
			names = append(names, vm)
		}
	}
	return names
}

// dueTargets returns the targets of the VMs whose placements changed or whose
// poll is due, as far as this entry is responsible for them.
func (rnr *Runner) dueTargets(flt *fleet.Fleet, now time.Time) []target {
	var targets []target
	for _, vm := range rnr.candidates(flt) {
		mbr, ok := flt.Member(vm)
		if !ok || !rnr.nod.IsResponsible(flt, vm) {
			continue
		}
		tgt := target{mbr: mbr, jobs: map[string]job.Job{}, fingerprint: mbr.Phase().String()}
		for _, name := range flt.Tasks(vm) {
			jb, _ := flt.Job(name)
			tgt.jobs[name] = jb
			tgt.fingerprint += fmt.Sprintf(" %s/%d", name, jb.FencingToken())
		}
		rnr.mu.Lock()
		last := rnr.contacts[vm]
		rnr.mu.Unlock()
		if last.lastFingerprint == tgt.fingerprint && now.Sub(last.polledAt) < pollInterval {
			continue
		}
		targets = append(targets, tgt)
	}
	return targets
}

// reconcile compares the tasks that the agent reports with the target: it renews,
// starts and stops tasks and records those that have ended.
func (rnr *Runner) reconcile(now time.Time, tgt target) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reports, err := rnr.nod.Worker().Reports(ctx, tgt.mbr.Agent())
	if err != nil {
		rnr.handlePollFailure(ctx, now, tgt)
		return
	}
	rnr.mu.Lock()
	rnr.contacts[tgt.mbr.VM()] = agentContact{polledAt: now, answeredAt: now, lastFingerprint: tgt.fingerprint, hasTasks: len(tgt.jobs) > 0}
	rnr.mu.Unlock()
	found := map[string]bool{}
	var recs []record.Record
	for _, rpt := range reports {
		jb, ok := tgt.jobs[rpt.Name]
		if !ok || jb.FencingToken() > rpt.FencingToken {
			rnr.stopUnwanted(ctx, tgt, rpt)
			continue
		}
		found[rpt.Name] = true
		rnr.recordUsage(rpt)
		if outcome, ended := rnr.renewOrStop(ctx, tgt, jb, rpt); ended {
			recs = append(recs, rnr.endRecord(now, jb, outcome))
		}
	}
	for name, jb := range tgt.jobs {
		if found[name] {
			continue
		}
		if tgt.mbr.Phase() != member.Serving {
			recs = append(recs, rnr.endRecord(now, jb, record.Displaced))
			continue
		}
		rnr.start(ctx, now, tgt, jb)
	}
	rnr.send(ctx, now, recs)
}

// recordUsage updates the largest usage that the agent has reported for the task.
// Usage reports lag, so a short task may end without any.
func (rnr *Runner) recordUsage(rpt vmagent.Report) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	old := rnr.peakUsage[rpt.Name]
	rnr.peakUsage[rpt.Name] = shape.New(shape.Config{
		Cores:        max(old.Cores(), rpt.Usage.Cores()),
		MemoryMB:     max(old.MemoryMB(), rpt.Usage.MemoryMB()),
		Accelerators: max(old.Accelerators(), rpt.Usage.Accelerators()),
	})
}

// takePeakUsage returns and deletes the largest usage of a task that has ended.
func (rnr *Runner) takePeakUsage(name string) shape.Shape {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	peak := rnr.peakUsage[name]
	delete(rnr.peakUsage, name)
	return peak
}

// stopUnwanted stops a task that the target does not contain.
func (rnr *Runner) stopUnwanted(ctx context.Context, tgt target, rpt vmagent.Report) {
	if rpt.State == "running" {
		// If the call fails, the task ends when its lease expires.
		_ = rnr.nod.Worker().Stop(ctx, tgt.mbr.Agent(), rpt.Name, rpt.FencingToken, true)
	}
}

// renewOrStop renews the lease of a running task, or stops it with a checkpoint
// when the VM is no longer serving. It returns the outcome of the placement and
// whether the placement has ended.
func (rnr *Runner) renewOrStop(ctx context.Context, tgt target, jb job.Job, rpt vmagent.Report) (record.Outcome, bool) {
	switch rpt.State {
	case "done":
		return record.Done, true
	case "failed":
		return record.Failed, true
	case "stopped":
		return record.Lost, true
	}
	if tgt.mbr.Phase() != member.Serving {
		err := rnr.nod.Worker().Stop(ctx, tgt.mbr.Agent(), rpt.Name, rpt.FencingToken, true)
		return record.Displaced, err == nil
	}
	// A lost renewal is repeated with the next poll, well before the lease expires.
	_ = rnr.nod.Worker().Renew(ctx, tgt.mbr.Agent(), taskOf(jb))
	return "", false
}

func taskOf(jb job.Job) vmagent.Task {
	return vmagent.Task{
		Name: jb.Name(), FencingToken: jb.FencingToken(), LeaseMs: leaseDuration.Milliseconds(),
		Seconds: jb.Config().Seconds, Shape: jb.Reserved(),
	}
}

func (rnr *Runner) start(ctx context.Context, now time.Time, tgt target, jb job.Job) {
	err := rnr.nod.Worker().Start(ctx, tgt.mbr.Agent(), taskOf(jb))
	if err == nil {
		rnr.nod.Journal().Event(now, "taskStarted", slog.String("job", jb.Name()), slog.String("vm", tgt.mbr.VM()))
	}
}

// handlePollFailure records the tasks of a VM as lost once its agent has not
// replied for lostAfter; every lease there has expired well before.
func (rnr *Runner) handlePollFailure(ctx context.Context, now time.Time, tgt target) {
	rnr.mu.Lock()
	last := rnr.contacts[tgt.mbr.VM()]
	if last.answeredAt.IsZero() {
		last.answeredAt = now
	}
	last.polledAt = now
	last.lastFingerprint = tgt.fingerprint
	last.hasTasks = true
	rnr.contacts[tgt.mbr.VM()] = last
	rnr.mu.Unlock()
	if now.Sub(last.answeredAt) < lostAfter {
		return
	}
	var recs []record.Record
	for _, jb := range tgt.jobs {
		recs = append(recs, rnr.endRecord(now, jb, record.Lost))
	}
	rnr.send(ctx, now, recs)
}

func (rnr *Runner) endRecord(now time.Time, jb job.Job, outcome record.Outcome) record.Record {
	return rnr.nod.NewRecord(now, record.Config{
		Kind: record.JobEnd, JobName: jb.Name(), FencingToken: jb.FencingToken(), Outcome: outcome, Shape: rnr.takePeakUsage(jb.Name()),
		ChangeID: fmt.Sprintf("end/%s/%d", jb.Name(), jb.FencingToken()),
	})
}

func (rnr *Runner) send(ctx context.Context, now time.Time, recs []record.Record) {
	if err := rnr.nod.Proposer().Append(ctx, recs); err != nil {
		rnr.nod.Journal().Warn(now, "taskEndLost", slog.String("error", err.Error()))
	}
}
