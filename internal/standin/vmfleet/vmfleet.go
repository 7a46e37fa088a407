// Package vmfleet stands in for VMs whose agents run tasks under leases and start
// whatever they are told. It watches from the VMs' side that no task runs twice
// and that no VM holds more than its capacity.
package vmfleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
)

// ErrNoAnswer is what a caller sees of a call without an answer.
var ErrNoAnswer = errors.New("stand-in: no answer")

// Config holds the seams.
type Config struct {
	Latency time.Duration
	// Demand and RunTime tell what a task takes; VMs are not told.
	Demand  func(tid task.ID) plan.Demand
	RunTime func(tid task.ID) time.Duration
	// IsFailing tells whether a run fails; nil: none does.
	IsFailing func(vm string, tid task.ID, run int) bool
}

// Fleet is a number of VMs. It is safe for concurrent use.
type Fleet struct {
	cfg         Config
	mu          sync.Mutex
	vms         map[string]*vm
	completedOn map[task.ID]string // acknowledged ends
	violations  []string
	starts      int
}

type vm struct {
	host         host.Host
	startedAt    time.Time
	fencingToken int64
	leaseUntil   time.Duration
	runs         map[task.ID]*run
	unackedEnds  []agent.End
	endCount     int64
	highestRun   map[task.ID]int
	isCut        bool // calls get no answer
	startDelay   time.Duration
	changed      chan struct{}
}

type run struct {
	number int
	endsAt time.Time
}

// New returns a Fleet of the hosts.
func New(now time.Time, cfg Config, hosts []host.Host) *Fleet {
	flt := &Fleet{cfg: cfg, vms: map[string]*vm{}, completedOn: map[task.ID]string{}}
	for _, hst := range hosts {
		flt.vms[hst.ID] = newVM(now, hst)
	}
	return flt
}

func newVM(now time.Time, hst host.Host) *vm {
	return &vm{host: hst, startedAt: now, runs: map[task.ID]*run{}, highestRun: map[task.ID]int{}, changed: make(chan struct{})}
}

// Hosts returns the announcements of the VMs.
func (flt *Fleet) Hosts() []host.Host {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	var hosts []host.Host
	for _, mac := range flt.vms {
		hosts = append(hosts, mac.host)
	}
	return hosts
}

// Broken returns the promises that were broken, as the VMs saw it.
func (flt *Fleet) Broken() []string {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return append([]string(nil), flt.violations...)
}

// Starts returns how many runs were begun.
func (flt *Fleet) Starts() int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return flt.starts
}

// Running returns how many tasks run on the VM.
func (flt *Fleet) Running(now time.Time, id string) int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.vms[id].advance(now, flt)
	return len(flt.vms[id].runs)
}

// Cut keeps calls to the VM from being answered, or lets them be again.
func (flt *Fleet) Cut(id string, isCut bool) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.vms[id].isCut = isCut
}

// Delay lets starts at the VM go without an answer and be carried out later.
func (flt *Fleet) Delay(id string, by time.Duration) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.vms[id].startDelay = by
}

// Reboot starts the VM anew under its id; it knows nothing of before.
func (flt *Fleet) Reboot(now time.Time, id string) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	hst := flt.vms[id].host
	hst.Born = now.UnixMilli()
	close(flt.vms[id].changed)
	flt.vms[id] = newVM(now, hst)
}

// Agent returns the client of one process.
func (flt *Fleet) Agent() agent.Client {
	return agent.Client{
		Start: flt.startTask, Stop: flt.stopTask, Hold: flt.pollVM,
		Pace: func(context.Context, agent.Target, task.ID, int, int) (agent.Outcome, error) { return agent.Done, nil },
		Drop: func(string) {},
	}
}

// reach finds the VM, or tells why it does not answer.
func (flt *Fleet) findVM(ctx context.Context, tgt agent.Target) (*vm, agent.Outcome, error) {
	select {
	case <-ctx.Done():
		return nil, agent.Unknown, ErrNoAnswer
	case <-time.After(flt.cfg.Latency):
	}
	flt.mu.Lock()
	mac, ok := flt.vms[tgt.VM]
	isCut := ok && mac.isCut
	flt.mu.Unlock()
	switch {
	case !ok:
		return nil, agent.Reborn, errors.New("stand-in: another VM answers")
	case isCut:
		<-ctx.Done()
		return nil, agent.Unknown, ErrNoAnswer
	}
	return mac, agent.Done, nil
}

func (flt *Fleet) startTask(ctx context.Context, tgt agent.Target, ord agent.Start) (agent.Outcome, error) {
	mac, out, err := flt.findVM(ctx, tgt)
	if err != nil {
		return out, err
	}
	flt.mu.Lock()
	delay := mac.startDelay
	flt.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() {
			flt.mu.Lock()
			defer flt.mu.Unlock()
			mac.startRun(time.Now(), flt, tgt, ord)
		})
		<-ctx.Done()
		return agent.Unknown, ErrNoAnswer
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	out = mac.startRun(time.Now(), flt, tgt, ord)
	if out != agent.Done {
		err = errors.Newf("stand-in: refused with outcome %d", out)
	}
	return out, err
}

func (mac *vm) startRun(now time.Time, flt *Fleet, tgt agent.Target, ord agent.Start) agent.Outcome {
	mac.advance(now, flt)
	if tgt.Fence < mac.fencingToken {
		return agent.Fenced
	}
	mac.fencingToken = tgt.Fence
	if ord.Run <= mac.highestRun[ord.Task] {
		return agent.Stale
	}
	mac.leaseUntil = max(mac.leaseUntil, ord.Until)
	mac.highestRun[ord.Task] = ord.Run
	if cur := mac.runs[ord.Task]; cur == nil || cur.number != ord.Run {
		flt.starts++
		flt.checkStart(now, mac, ord)
		mac.runs[ord.Task] = &run{number: ord.Run, endsAt: now.Add(flt.cfg.RunTime(ord.Task))}
	}
	mac.notify()
	return agent.Done
}

// watchStart notes what a start breaks.
func (flt *Fleet) checkStart(now time.Time, mac *vm, ord agent.Start) {
	used := flt.cfg.Demand(ord.Task)
	for tid := range mac.runs {
		used = used.Plus(flt.cfg.Demand(tid))
	}
	if !used.Fits(mac.host.Capacity) {
		flt.violations = append(flt.violations, fmt.Sprintf("VM %s is over its capacity by task %s", mac.host.ID, ord.Task))
	}
	for _, other := range flt.vms {
		other.advance(now, flt)
		if other.runs[ord.Task] != nil {
			flt.violations = append(flt.violations, fmt.Sprintf("task %s runs on %s and %s", ord.Task, other.host.ID, mac.host.ID))
		}
	}
	if by, isDone := flt.completedOn[ord.Task]; isDone {
		flt.violations = append(flt.violations, fmt.Sprintf("task %s starts on %s, though done on %s", ord.Task, mac.host.ID, by))
	}
}

func (mac *vm) notify() {
	close(mac.changed)
	mac.changed = make(chan struct{})
}

func (mac *vm) clock(now time.Time) time.Duration { return now.Sub(mac.startedAt) }

// advance ends the runs whose time has come, and all of them when the lease has
// run out.
func (mac *vm) advance(now time.Time, flt *Fleet) {
	for tid, rn := range mac.runs {
		how := agent.EndedDone
		lapse := mac.startedAt.Add(mac.leaseUntil)
		switch {
		case !now.Before(rn.endsAt) && rn.endsAt.Before(lapse):
			if flt.cfg.IsFailing != nil && flt.cfg.IsFailing(mac.host.ID, tid, rn.number) {
				how = agent.EndedFailed
			}
		case now.After(lapse):
			how = agent.EndedLapsed
		default:
			continue
		}
		mac.endRun(tid, rn, how)
	}
}

func (mac *vm) endRun(tid task.ID, rn *run, how agent.How) {
	delete(mac.runs, tid)
	mac.endCount++
	mac.unackedEnds = append(mac.unackedEnds, agent.End{Number: mac.endCount, Task: tid, Run: rn.number, How: how})
}

func (flt *Fleet) stopTask(ctx context.Context, tgt agent.Target, tid task.ID, number int) (agent.Outcome, error) {
	mac, out, err := flt.findVM(ctx, tgt)
	if err != nil {
		return out, err
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	mac.advance(time.Now(), flt)
	if tgt.Fence < mac.fencingToken {
		return agent.Fenced, errors.New("stand-in: fenced")
	}
	mac.fencingToken = tgt.Fence
	mac.highestRun[tid] = max(mac.highestRun[tid], number)
	if rn := mac.runs[tid]; rn != nil && rn.number <= number {
		mac.endRun(tid, rn, agent.EndedStopped)
		mac.notify()
	}
	return agent.Done, nil
}

func (flt *Fleet) pollVM(ctx context.Context, tgt agent.Target, hld agent.Hold) (agent.Report, agent.Outcome, error) {
	mac, out, err := flt.findVM(ctx, tgt)
	if err != nil {
		return agent.Report{}, out, err
	}
	deadline := time.Now().Add(hld.Wait)
	for {
		flt.mu.Lock()
		now := time.Now()
		if flt.vms[tgt.VM] != mac {
			flt.mu.Unlock()
			return agent.Report{}, agent.Unknown, ErrNoAnswer // its life has ended meanwhile
		}
		mac.advance(now, flt)
		if tgt.Fence < mac.fencingToken {
			flt.mu.Unlock()
			return agent.Report{}, agent.Fenced, errors.New("stand-in: fenced")
		}
		mac.fencingToken = tgt.Fence
		mac.leaseUntil = max(mac.leaseUntil, hld.Until)
		flt.acknowledge(mac, hld.Acked)
		if len(mac.unackedEnds) > 0 || !now.Before(deadline) {
			rpt := mac.report(now)
			flt.mu.Unlock()
			return rpt, agent.Done, nil
		}
		changed, next := mac.changed, mac.nextEnd(deadline)
		flt.mu.Unlock()
		select {
		case <-ctx.Done():
			return agent.Report{}, agent.Unknown, ErrNoAnswer
		case <-changed:
		case <-time.After(time.Until(next)):
		}
	}
}

func (mac *vm) nextEnd(deadline time.Time) time.Time {
	for _, rn := range mac.runs {
		if rn.endsAt.Before(deadline) {
			deadline = rn.endsAt
		}
	}
	return deadline
}

func (flt *Fleet) acknowledge(mac *vm, acked int64) {
	for len(mac.unackedEnds) > 0 && mac.unackedEnds[0].Number <= acked {
		if mac.unackedEnds[0].How == agent.EndedDone {
			flt.completedOn[mac.unackedEnds[0].Task] = mac.host.ID
		}
		mac.unackedEnds = mac.unackedEnds[1:]
	}
}

func (mac *vm) report(now time.Time) agent.Report {
	rpt := agent.Report{Born: mac.host.Born, Clock: mac.clock(now), Ended: append([]agent.End(nil), mac.unackedEnds...)}
	for tid, rn := range mac.runs {
		rpt.Active = append(rpt.Active, agent.Run{Task: tid, Number: rn.number, Percent: 100})
	}
	return rpt
}
