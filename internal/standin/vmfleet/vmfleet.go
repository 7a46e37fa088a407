// Package vmfleet is a stand-in for VMs whose agents run tasks under leases and do
// not limit what they start. It checks on the VMs that no task runs twice and that
// no VM exceeds its capacity.
package vmfleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
)

// ErrNoAnswer is the error of a call that gets no answer.
var ErrNoAnswer = errors.New("stand-in: no answer")

// maxSilence is how long a connection stays silent after its VM was rebooted.
const maxSilence = time.Minute

// Config holds the latency of each call and function fields that describe the tasks.
type Config struct {
	Latency time.Duration
	// Demand and RunTime return the demand and the run time of a task, which are not
	// part of a start order.
	Demand  func(tid task.ID) plan.Demand
	RunTime func(tid task.ID) time.Duration
	// Limit returns the group of a task, and what the group may have running on all VMs; 0 of a resource is no
	// limit. If it is nil, or for no group, there is none.
	Limit func(tid task.ID) (group string, limit plan.Demand)
	// MaxLease is the longest lease that a VM grants; 0: any.
	MaxLease time.Duration
	// IsFailing reports whether a run fails. If it is nil, no run fails.
	IsFailing func(vm string, tid task.ID, run int) bool
}

// Fleet is a set of VMs. It is safe for concurrent use.
type Fleet struct {
	cfg         Config
	mu          sync.Mutex
	vms         map[string]*vm
	maxEnds     int                   // that a report lists
	completedOn map[task.ID]string    // VM whose completed run of the task was acknowledged
	startedAt   map[task.ID]time.Time // when a run of the task was last started
	violations  []string
	starts      int
}

type vm struct {
	host         host.Host
	startedAt    time.Time
	fencingToken int64
	leaseUntil   time.Duration // on the VM's clock
	runs         map[task.ID]*run
	unackedEnds  []agent.End
	endCount     int64
	endedAt      map[int64]time.Time // of unackedEnds, by number
	lapses       []lapse
	highestRun   map[task.ID]int
	isCut        bool          // calls get no answer
	startDelay   time.Duration // starts are carried out after it, without an answer; 0: at once
	changed      chan struct{} // closed and replaced when an order starts or ends a run
}

// lapse is an expiry of the leases of a VM, and when the VM answered a poll afterwards.
type lapse struct{ at, answeredAt time.Time }

type run struct {
	number int
	endsAt time.Time
}

// New returns a Fleet with a VM for each host.
func New(now time.Time, cfg Config, hosts []host.Host) *Fleet {
	flt := &Fleet{cfg: cfg, vms: map[string]*vm{}, maxEnds: 500, completedOn: map[task.ID]string{}, startedAt: map[task.ID]time.Time{}}
	for _, hst := range hosts {
		flt.vms[hst.ID] = newVM(now, hst)
	}
	return flt
}

func newVM(now time.Time, hst host.Host) *vm {
	return &vm{host: hst, startedAt: now, runs: map[task.ID]*run{}, endedAt: map[int64]time.Time{}, highestRun: map[task.ID]int{}, changed: make(chan struct{})}
}

// Hosts returns the VMs as they announce themselves to the platform.
func (flt *Fleet) Hosts() []host.Host {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	var hosts []host.Host
	for _, vmo := range flt.vms {
		hosts = append(hosts, vmo.host)
	}
	return hosts
}

// Violations returns the violations of invariants that the VMs saw.
func (flt *Fleet) Violations() []string {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return append([]string(nil), flt.violations...)
}

// Starts returns how many runs were started.
func (flt *Fleet) Starts() int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return flt.starts
}

// CountRunning returns the number of tasks that run on the VM at now.
func (flt *Fleet) CountRunning(now time.Time, id string) int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.vms[id].advance(now, flt)
	return len(flt.vms[id].runs)
}

// CountUnacknowledged returns the number of ends on the VM that are not acknowledged.
func (flt *Fleet) CountUnacknowledged(id string) int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return len(flt.vms[id].unackedEnds)
}

// Cut sets whether calls to the VM get no answer.
func (flt *Fleet) Cut(id string, isCut bool) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.vms[id].isCut = isCut
}

// SetMaxEnds sets how many ends a report lists, 500 by default.
func (flt *Fleet) SetMaxEnds(count int) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.maxEnds = count
}

// DelayStarts makes the VM carry out starts after the delay, without an answer. A delay of
// 0 ends this.
func (flt *Fleet) DelayStarts(id string, delay time.Duration) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.vms[id].startDelay = delay
}

// Reboot begins a new incarnation of the VM under the same id, without any state of
// the old one.
func (flt *Fleet) Reboot(now time.Time, id string) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	hst := flt.vms[id].host
	hst.Incarnation = now.UnixMilli()
	close(flt.vms[id].changed)
	flt.vms[id] = newVM(now, hst)
}

// Incarnation returns the start time of the VM's incarnation in Unix ms, 0 for an unknown VM.
func (flt *Fleet) Incarnation(id string) int64 {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	if vmo, ok := flt.vms[id]; ok {
		return vmo.host.Incarnation
	}
	return 0
}

// Agent returns a client of the VMs' agents for one process.
func (flt *Fleet) Agent() agent.Client {
	return agent.Client{
		Start: flt.startTask, Stop: flt.stopTask, Poll: flt.pollVM,
		Pace: func(context.Context, agent.Target, task.ID, int, int) (agent.Outcome, error) { return agent.Done, nil },
		Drop: func(string) {},
	}
}

// findVM returns the VM after the latency, or the outcome and error of a call that
// does not reach it.
func (flt *Fleet) findVM(ctx context.Context, tgt agent.Target) (*vm, agent.Outcome, error) {
	select {
	case <-ctx.Done():
		return nil, agent.Unknown, ErrNoAnswer
	case <-time.After(flt.cfg.Latency):
	}
	flt.mu.Lock()
	vmo, ok := flt.vms[tgt.VM]
	isCut := ok && vmo.isCut
	flt.mu.Unlock()
	switch {
	case !ok:
		return nil, agent.WrongIncarnation, errors.New("stand-in: another VM answers")
	case isCut:
		<-ctx.Done()
		return nil, agent.Unknown, ErrNoAnswer
	}
	return vmo, agent.Done, nil
}

func (flt *Fleet) startTask(ctx context.Context, tgt agent.Target, ord agent.Start) (agent.Outcome, error) {
	vmo, out, err := flt.findVM(ctx, tgt)
	if err != nil {
		return out, err
	}
	flt.mu.Lock()
	delay := vmo.startDelay
	flt.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() {
			flt.mu.Lock()
			defer flt.mu.Unlock()
			vmo.startRun(time.Now(), flt, tgt, ord)
		})
		<-ctx.Done()
		return agent.Unknown, ErrNoAnswer
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	if ord.Incarnation != 0 && ord.Incarnation != vmo.host.Incarnation {
		return agent.WrongIncarnation, errors.New("stand-in: another incarnation answers")
	}
	out = vmo.startRun(time.Now(), flt, tgt, ord)
	if out != agent.Done {
		err = errors.Newf("stand-in: refused with outcome %d", out)
	}
	return out, err
}

func (vmo *vm) startRun(now time.Time, flt *Fleet, tgt agent.Target, ord agent.Start) agent.Outcome {
	vmo.advance(now, flt)
	if tgt.FencingToken < vmo.fencingToken {
		return agent.Fenced
	}
	vmo.fencingToken = tgt.FencingToken
	if ord.Until <= vmo.clock(now) {
		return agent.Refused // the order is late
	}
	if ord.Run <= vmo.highestRun[ord.Task] {
		return agent.Stale
	}
	vmo.extendLease(now, flt, ord.Until)
	vmo.highestRun[ord.Task] = ord.Run
	if cur := vmo.runs[ord.Task]; cur == nil || cur.number != ord.Run {
		flt.starts++
		flt.startedAt[ord.Task] = now
		flt.checkStart(now, vmo, ord)
		vmo.runs[ord.Task] = &run{number: ord.Run, endsAt: now.Add(flt.cfg.RunTime(ord.Task))}
	}
	vmo.notify()
	return agent.Done
}

// checkStart records the invariants that a start violates.
func (flt *Fleet) checkStart(now time.Time, vmo *vm, ord agent.Start) {
	used := flt.cfg.Demand(ord.Task)
	for tid := range vmo.runs {
		used = used.Plus(flt.cfg.Demand(tid))
	}
	if !used.Fits(vmo.host.Capacity) {
		flt.violations = append(flt.violations, fmt.Sprintf("VM %s exceeds its capacity with task %s", vmo.host.ID, ord.Task))
	}
	flt.checkLimit(now, ord.Task)
	for _, other := range flt.vms {
		other.advance(now, flt)
		if other.runs[ord.Task] != nil {
			flt.violations = append(flt.violations, fmt.Sprintf("task %s runs on %s and %s", ord.Task, other.host.ID, vmo.host.ID))
		}
	}
	if doneBy, isDone := flt.completedOn[ord.Task]; isDone {
		flt.violations = append(flt.violations, fmt.Sprintf("task %s starts on %s after it completed on %s", ord.Task, vmo.host.ID, doneBy))
	}
}

// checkLimit records a start that brings the task's group over its limit.
func (flt *Fleet) checkLimit(now time.Time, started task.ID) {
	if flt.cfg.Limit == nil {
		return
	}
	group, limit := flt.cfg.Limit(started)
	if group == "" {
		return
	}
	used := flt.cfg.Demand(started)
	for _, vmo := range flt.vms {
		vmo.advance(now, flt)
		for tid := range vmo.runs {
			if other, _ := flt.cfg.Limit(tid); other == group {
				used = used.Plus(flt.cfg.Demand(tid))
			}
		}
	}
	exceeds := func(used, limit int64) bool { return limit > 0 && used > limit }
	if exceeds(used.MilliCores, limit.MilliCores) || exceeds(used.MemoryMB, limit.MemoryMB) || exceeds(used.GPUs, limit.GPUs) {
		flt.violations = append(flt.violations, fmt.Sprintf("group %s runs %+v with task %s, its limit is %+v", group, used, started, limit))
	}
}

func (vmo *vm) notify() {
	close(vmo.changed)
	vmo.changed = make(chan struct{})
}

// extendLease extends the leases of all runs to a time on the VM's clock, as far as the VM allows.
func (vmo *vm) extendLease(now time.Time, flt *Fleet, until time.Duration) {
	if flt.cfg.MaxLease > 0 {
		until = min(until, vmo.clock(now)+flt.cfg.MaxLease)
	}
	vmo.leaseUntil = max(vmo.leaseUntil, until)
}

func (vmo *vm) clock(now time.Time) time.Duration { return now.Sub(vmo.startedAt) }

// advance ends the runs whose run time is over, and all runs once the lease has
// expired.
func (vmo *vm) advance(now time.Time, flt *Fleet) {
	for tid, rn := range vmo.runs {
		reason := agent.EndedDone
		leaseEnd := vmo.startedAt.Add(vmo.leaseUntil)
		switch {
		case !now.Before(rn.endsAt) && rn.endsAt.Before(leaseEnd):
			if flt.cfg.IsFailing != nil && flt.cfg.IsFailing(vmo.host.ID, tid, rn.number) {
				reason = agent.EndedFailed
			}
		case now.After(leaseEnd):
			reason = agent.EndedLeaseExpired
		default:
			continue
		}
		vmo.endRun(now, tid, rn, reason)
	}
}

func (vmo *vm) endRun(now time.Time, tid task.ID, rn *run, reason agent.EndReason) {
	delete(vmo.runs, tid)
	vmo.endCount++
	vmo.endedAt[vmo.endCount] = now
	vmo.unackedEnds = append(vmo.unackedEnds, agent.End{Number: vmo.endCount, Task: tid, Run: rn.number, Reason: reason})
}

func (flt *Fleet) stopTask(ctx context.Context, tgt agent.Target, tid task.ID, runNumber int) (agent.Outcome, error) {
	vmo, out, err := flt.findVM(ctx, tgt)
	if err != nil {
		return out, err
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	vmo.advance(time.Now(), flt)
	if tgt.FencingToken < vmo.fencingToken {
		return agent.Fenced, errors.New("stand-in: a later fencing token has been used")
	}
	vmo.fencingToken = tgt.FencingToken
	vmo.highestRun[tid] = max(vmo.highestRun[tid], runNumber)
	if rn := vmo.runs[tid]; rn != nil && rn.number <= runNumber {
		vmo.endRun(time.Now(), tid, rn, agent.EndedStopped)
		vmo.notify()
	}
	return agent.Done, nil
}

func (flt *Fleet) pollVM(ctx context.Context, tgt agent.Target, poll agent.Poll) (agent.Report, agent.Outcome, error) {
	vmo, out, err := flt.findVM(ctx, tgt)
	if err != nil {
		return agent.Report{}, out, err
	}
	if poll.Incarnation != vmo.host.Incarnation {
		poll = agent.Poll{}
	}
	deadline := time.Now().Add(poll.Wait)
	for {
		flt.mu.Lock()
		now := time.Now()
		if flt.vms[tgt.VM] != vmo { // it has been rebooted during the wait, so the connection is silent
			flt.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(maxSilence): // for calls without a deadline
			}
			return agent.Report{}, agent.Unknown, ErrNoAnswer
		}
		vmo.advance(now, flt)
		if tgt.FencingToken < vmo.fencingToken {
			flt.mu.Unlock()
			return agent.Report{}, agent.Fenced, errors.New("stand-in: a later fencing token has been used")
		}
		vmo.fencingToken = tgt.FencingToken
		vmo.noteLapse(now)
		vmo.extendLease(now, flt, poll.Until)
		flt.acknowledge(vmo, poll.Acked)
		if len(vmo.unackedEnds) > 0 || !now.Before(deadline) {
			rpt := vmo.report(now, flt.maxEnds)
			flt.mu.Unlock()
			return rpt, agent.Done, nil
		}
		changed, nextAt := vmo.changed, vmo.nextEnd(deadline)
		flt.mu.Unlock()
		select {
		case <-ctx.Done():
			return agent.Report{}, agent.Unknown, ErrNoAnswer
		case <-changed:
		case <-time.After(time.Until(nextAt)):
		}
	}
}

func (vmo *vm) nextEnd(deadline time.Time) time.Time {
	for _, rn := range vmo.runs {
		if rn.endsAt.Before(deadline) {
			deadline = rn.endsAt
		}
	}
	return deadline
}

func (flt *Fleet) acknowledge(vmo *vm, acked int64) {
	for len(vmo.unackedEnds) > 0 && vmo.unackedEnds[0].Number <= acked {
		end := vmo.unackedEnds[0]
		if end.Reason == agent.EndedDone {
			flt.completedOn[end.Task] = vmo.host.ID
			if started := flt.startedAt[end.Task]; started.After(vmo.endedAt[end.Number]) && !vmo.hadLapsed(started) {
				flt.violations = append(flt.violations, fmt.Sprintf("task %s has started again after it completed on %s, which is acknowledged", end.Task, vmo.host.ID))
			}
		}
		delete(vmo.endedAt, end.Number)
		vmo.unackedEnds = vmo.unackedEnds[1:]
	}
}

// onTheWay is how long a start order may be on its way.
const onTheWay = 20 * time.Millisecond

// hadLapsed reports whether a start elsewhere was ordered after the VM's leases had expired and
// before the VM answered again. Its sender could not know which runs had completed before.
func (vmo *vm) hadLapsed(started time.Time) bool {
	return slices.ContainsFunc(vmo.lapses, func(lps lapse) bool {
		return started.After(lps.at) && started.Before(lps.answeredAt.Add(onTheWay))
	})
}

// noteLapse notes that the VM answers a poll after its leases have expired.
func (vmo *vm) noteLapse(now time.Time) {
	if end := vmo.startedAt.Add(vmo.leaseUntil); vmo.leaseUntil > 0 && now.After(end) {
		vmo.lapses = append(vmo.lapses, lapse{end, now})
	}
}

func (vmo *vm) report(now time.Time, maxEnds int) agent.Report {
	listed := vmo.unackedEnds[:min(len(vmo.unackedEnds), maxEnds)]
	rpt := agent.Report{
		Incarnation: vmo.host.Incarnation, Clock: vmo.clock(now), Ended: append([]agent.End(nil), listed...), IsCut: len(listed) == maxEnds,
	}
	for tid, rn := range vmo.runs {
		rpt.Active = append(rpt.Active, agent.Run{Task: tid, Number: rn.number, Percent: 100})
	}
	return rpt
}
