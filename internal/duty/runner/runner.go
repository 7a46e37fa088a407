// Package runner starts, renews and ends the tasks on the VMs of its zone, so
// that the VMs do what the fold says.
package runner

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/kernel/registry"
	"daisywheel/internal/platform/worker"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Times of the duty.
const (
	interval      = 100 * time.Millisecond
	idleInterval  = 5 * time.Second
	pollInterval  = 500 * time.Millisecond // of a VM whose placements have not changed
	callTimeout   = 2 * time.Second
	leaseDuration = 10 * time.Second
	lostAfter     = 3 * leaseDuration // without any answer of the VM's agent
	maxConcurrent = 16
)

func init() {
	registry.Register(registry.Plugin{Name: "runner", Order: 70, Start: start})
}

// Runner drives the agents of its zone's VMs.
type Runner struct {
	nod       *node.Node
	mu        sync.Mutex
	contacts  map[string]agentContact
	peakUsage map[string]shape.Shape // largest use seen, by job
}

type agentContact struct {
	polledAt        time.Time
	answeredAt      time.Time
	lastFingerprint string
	hasTasks        bool
}

func start(nod *node.Node) (func(), error) {
	rnr := &Runner{nod: nod, contacts: map[string]agentContact{}, peakUsage: map[string]shape.Shape{}}
	prt := part.Adaptive("runner", interval, nod.Replica().Changed, rnr.step)
	return prt.Stop, nil
}

// duty is what one VM should run.
type target struct {
	mbr         member.Member
	jobs        map[string]job.Job
	fingerprint string
}

// step returns how long it may rest while nothing changes.
func (rnr *Runner) step(time.Time) time.Duration {
	now := rnr.nod.Now()
	var duties []target
	rest := idleInterval
	rnr.nod.Replica().View(func(flt *fleet.Fleet) {
		if !rnr.nod.IsRegistered(flt) {
			return
		}
		duties = rnr.dueTargets(flt, now)
		if len(flt.Busy(rnr.nod.Settings().Zone)) > 0 {
			rest = interval
		}
	})
	var wtg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for _, dty := range duties {
		slots <- struct{}{}
		wtg.Go(func() {
			defer func() { <-slots }()
			rnr.reconcile(now, dty)
		})
	}
	wtg.Wait()
	return rest
}

// candidates returns the zone's VMs with tasks and those that had tasks when
// they were last asked.
func (rnr *Runner) candidates(flt *fleet.Fleet) []string {
	names := flt.Busy(rnr.nod.Settings().Zone)
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	for vm, last := range rnr.contacts {
		if last.hasTasks && !slices.Contains(names, vm) {
			names = append(names, vm)
		}
	}
	return names
}

// due returns the VMs with tasks whose placements changed or whose poll is due.
func (rnr *Runner) dueTargets(flt *fleet.Fleet, now time.Time) []target {
	var duties []target
	for _, vm := range rnr.candidates(flt) {
		mbr, ok := flt.Member(vm)
		if !ok || !rnr.nod.IsResponsible(flt, vm) {
			continue
		}
		dty := target{mbr: mbr, jobs: map[string]job.Job{}, fingerprint: mbr.Phase().String()}
		for _, name := range flt.Tasks(vm) {
			jb, _ := flt.Job(name)
			dty.jobs[name] = jb
			dty.fingerprint += fmt.Sprintf(" %s/%d", name, jb.Fence())
		}
		rnr.mu.Lock()
		last := rnr.contacts[vm]
		rnr.mu.Unlock()
		if last.lastFingerprint == dty.fingerprint && now.Sub(last.polledAt) < pollInterval {
			continue
		}
		duties = append(duties, dty)
	}
	return duties
}

// drive compares what the agent reports with what the fold says.
func (rnr *Runner) reconcile(now time.Time, dty target) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reports, err := rnr.nod.Worker().Reports(ctx, dty.mbr.Agent())
	if err != nil {
		rnr.handlePollFailure(ctx, now, dty)
		return
	}
	rnr.mu.Lock()
	rnr.contacts[dty.mbr.VM()] = agentContact{polledAt: now, answeredAt: now, lastFingerprint: dty.fingerprint, hasTasks: len(dty.jobs) > 0}
	rnr.mu.Unlock()
	found := map[string]bool{}
	var recs []record.Record
	for _, rpt := range reports {
		jb, ok := dty.jobs[rpt.Name]
		if !ok || jb.Fence() > rpt.Fence {
			rnr.stopUnwanted(ctx, dty, rpt)
			continue
		}
		found[rpt.Name] = true
		rnr.recordUsage(rpt)
		if outcome, ended := rnr.renewOrStop(ctx, dty, jb, rpt); ended {
			recs = append(recs, rnr.endRecord(now, jb, outcome))
		}
	}
	for name, jb := range dty.jobs {
		if found[name] {
			continue
		}
		if dty.mbr.Phase() != member.Serving {
			recs = append(recs, rnr.endRecord(now, jb, record.Displaced))
			continue
		}
		rnr.start(ctx, now, dty, jb)
	}
	rnr.send(ctx, now, recs)
}

// noteUse keeps the largest use that the agent has reported for the task. Usage
// lags, so a short task may end without any.
func (rnr *Runner) recordUsage(rpt worker.Report) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	old := rnr.peakUsage[rpt.Name]
	rnr.peakUsage[rpt.Name] = shape.New(shape.Config{
		Cores:        max(old.Cores(), rpt.Usage.Cores()),
		MemoryMB:     max(old.MemoryMB(), rpt.Usage.MemoryMB()),
		Accelerators: max(old.Accelerators(), rpt.Usage.Accelerators()),
	})
}

// takeUse returns and forgets the largest use of a task that has ended.
func (rnr *Runner) takePeakUsage(name string) shape.Shape {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	use := rnr.peakUsage[name]
	delete(rnr.peakUsage, name)
	return use
}

func (rnr *Runner) stopUnwanted(ctx context.Context, dty target, rpt worker.Report) {
	if rpt.State == "running" {
		// The lease ends the task if the agent cannot be told.
		_ = rnr.nod.Worker().Stop(ctx, dty.mbr.Agent(), rpt.Name, rpt.Fence, true)
	}
}

// follow renews a running task, or checkpoints it on a VM that leaves, and
// returns how the placement ended.
func (rnr *Runner) renewOrStop(ctx context.Context, dty target, jb job.Job, rpt worker.Report) (record.Outcome, bool) {
	switch rpt.State {
	case "done":
		return record.Done, true
	case "failed":
		return record.Failed, true
	case "stopped":
		return record.Lost, true
	}
	if dty.mbr.Phase() != member.Serving {
		err := rnr.nod.Worker().Stop(ctx, dty.mbr.Agent(), rpt.Name, rpt.Fence, true)
		return record.Displaced, err == nil
	}
	// A renewal that is lost is sent again with the next poll, well before the lease ends.
	_ = rnr.nod.Worker().Renew(ctx, dty.mbr.Agent(), taskOf(jb))
	return "", false
}

func taskOf(jb job.Job) worker.Task {
	return worker.Task{
		Name: jb.Name(), Fence: jb.Fence(), LeaseMs: leaseDuration.Milliseconds(),
		Seconds: jb.Config().Seconds, Shape: jb.Reserved(),
	}
}

func (rnr *Runner) start(ctx context.Context, now time.Time, dty target, jb job.Job) {
	err := rnr.nod.Worker().Start(ctx, dty.mbr.Agent(), taskOf(jb))
	if err == nil {
		rnr.nod.Journal().Event(now, "taskStarted", slog.String("job", jb.Name()), slog.String("vm", dty.mbr.VM()))
	}
}

// noAnswer declares the tasks of a VM lost once every lease on it has long ended.
func (rnr *Runner) handlePollFailure(ctx context.Context, now time.Time, dty target) {
	rnr.mu.Lock()
	last := rnr.contacts[dty.mbr.VM()]
	if last.answeredAt.IsZero() {
		last.answeredAt = now
	}
	last.polledAt = now
	last.lastFingerprint = dty.fingerprint
	last.hasTasks = true
	rnr.contacts[dty.mbr.VM()] = last
	rnr.mu.Unlock()
	if now.Sub(last.answeredAt) < lostAfter {
		return
	}
	var recs []record.Record
	for _, jb := range dty.jobs {
		recs = append(recs, rnr.endRecord(now, jb, record.Lost))
	}
	rnr.send(ctx, now, recs)
}

func (rnr *Runner) endRecord(now time.Time, jb job.Job, outcome record.Outcome) record.Record {
	return rnr.nod.NewRecord(now, record.Config{
		Kind: record.JobEnd, JobName: jb.Name(), Fence: jb.Fence(), Outcome: outcome, Shape: rnr.takePeakUsage(jb.Name()),
		ChangeID: fmt.Sprintf("end/%s/%d", jb.Name(), jb.Fence()),
	})
}

func (rnr *Runner) send(ctx context.Context, now time.Time, recs []record.Record) {
	if err := rnr.nod.Proposer().Send(ctx, recs); err != nil {
		rnr.nod.Journal().Warn(now, "taskEndLost", slog.String("error", err.Error()))
	}
}
