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

// ErrSilent is what a caller sees of a call without an answer.
var ErrSilent = errors.New("stand-in: no answer")

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
	cfg    Config
	mu     sync.Mutex
	vms    map[string]*vm
	doneOf map[task.ID]string // acknowledged ends
	broken []string
	starts int
}

type vm struct {
	host    host.Host
	start   time.Time
	fence   int64
	until   time.Duration
	runs    map[task.ID]*run
	ends    []agent.End
	count   int64
	highest map[task.ID]int
	isCut   bool // calls get no answer
	delayed time.Duration
	changed chan struct{}
}

type run struct {
	number int
	endsAt time.Time
}

// New returns a Fleet of the hosts.
func New(now time.Time, cfg Config, hosts []host.Host) *Fleet {
	flt := &Fleet{cfg: cfg, vms: map[string]*vm{}, doneOf: map[task.ID]string{}}
	for _, hst := range hosts {
		flt.vms[hst.ID] = newVM(now, hst)
	}
	return flt
}

func newVM(now time.Time, hst host.Host) *vm {
	return &vm{host: hst, start: now, runs: map[task.ID]*run{}, highest: map[task.ID]int{}, changed: make(chan struct{})}
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
	return append([]string(nil), flt.broken...)
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
	flt.vms[id].delayed = by
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
		Start: flt.startTask, Stop: flt.stopTask, Hold: flt.hold,
		Pace: func(context.Context, agent.Target, task.ID, int, int) (agent.Outcome, error) { return agent.Done, nil },
		Drop: func(string) {},
	}
}

// reach finds the VM, or tells why it does not answer.
func (flt *Fleet) reach(ctx context.Context, tgt agent.Target) (*vm, agent.Outcome, error) {
	select {
	case <-ctx.Done():
		return nil, agent.Unknown, ErrSilent
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
		return nil, agent.Unknown, ErrSilent
	}
	return mac, agent.Done, nil
}

func (flt *Fleet) startTask(ctx context.Context, tgt agent.Target, ord agent.Start) (agent.Outcome, error) {
	mac, out, err := flt.reach(ctx, tgt)
	if err != nil {
		return out, err
	}
	flt.mu.Lock()
	delay := mac.delayed
	flt.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() {
			flt.mu.Lock()
			defer flt.mu.Unlock()
			mac.begin(time.Now(), flt, tgt, ord)
		})
		<-ctx.Done()
		return agent.Unknown, ErrSilent
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	out = mac.begin(time.Now(), flt, tgt, ord)
	if out != agent.Done {
		err = errors.Newf("stand-in: refused with outcome %d", out)
	}
	return out, err
}

func (mac *vm) begin(now time.Time, flt *Fleet, tgt agent.Target, ord agent.Start) agent.Outcome {
	mac.advance(now, flt)
	if tgt.Fence < mac.fence {
		return agent.Fenced
	}
	mac.fence = tgt.Fence
	if ord.Run <= mac.highest[ord.Task] {
		return agent.Stale
	}
	mac.until = max(mac.until, ord.Until)
	mac.highest[ord.Task] = ord.Run
	if cur := mac.runs[ord.Task]; cur == nil || cur.number != ord.Run {
		flt.starts++
		flt.watchStart(now, mac, ord)
		mac.runs[ord.Task] = &run{number: ord.Run, endsAt: now.Add(flt.cfg.RunTime(ord.Task))}
	}
	mac.notify()
	return agent.Done
}

// watchStart notes what a start breaks.
func (flt *Fleet) watchStart(now time.Time, mac *vm, ord agent.Start) {
	used := flt.cfg.Demand(ord.Task)
	for tid := range mac.runs {
		used = used.Plus(flt.cfg.Demand(tid))
	}
	if !used.Fits(mac.host.Capacity) {
		flt.broken = append(flt.broken, fmt.Sprintf("VM %s is over its capacity by task %s", mac.host.ID, ord.Task))
	}
	for _, other := range flt.vms {
		other.advance(now, flt)
		if other.runs[ord.Task] != nil {
			flt.broken = append(flt.broken, fmt.Sprintf("task %s runs on %s and %s", ord.Task, other.host.ID, mac.host.ID))
		}
	}
	if by, isDone := flt.doneOf[ord.Task]; isDone {
		flt.broken = append(flt.broken, fmt.Sprintf("task %s starts on %s, though done on %s", ord.Task, mac.host.ID, by))
	}
}

func (mac *vm) notify() {
	close(mac.changed)
	mac.changed = make(chan struct{})
}

func (mac *vm) clock(now time.Time) time.Duration { return now.Sub(mac.start) }

// advance ends the runs whose time has come, and all of them when the lease has
// run out.
func (mac *vm) advance(now time.Time, flt *Fleet) {
	for tid, rn := range mac.runs {
		how := agent.EndedDone
		lapse := mac.start.Add(mac.until)
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
		mac.end(tid, rn, how)
	}
}

func (mac *vm) end(tid task.ID, rn *run, how agent.How) {
	delete(mac.runs, tid)
	mac.count++
	mac.ends = append(mac.ends, agent.End{Number: mac.count, Task: tid, Run: rn.number, How: how})
}

func (flt *Fleet) stopTask(ctx context.Context, tgt agent.Target, tid task.ID, number int) (agent.Outcome, error) {
	mac, out, err := flt.reach(ctx, tgt)
	if err != nil {
		return out, err
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	mac.advance(time.Now(), flt)
	if tgt.Fence < mac.fence {
		return agent.Fenced, errors.New("stand-in: fenced")
	}
	mac.fence = tgt.Fence
	mac.highest[tid] = max(mac.highest[tid], number)
	if rn := mac.runs[tid]; rn != nil && rn.number <= number {
		mac.end(tid, rn, agent.EndedStopped)
		mac.notify()
	}
	return agent.Done, nil
}

func (flt *Fleet) hold(ctx context.Context, tgt agent.Target, hld agent.Hold) (agent.Report, agent.Outcome, error) {
	mac, out, err := flt.reach(ctx, tgt)
	if err != nil {
		return agent.Report{}, out, err
	}
	deadline := time.Now().Add(hld.Wait)
	for {
		flt.mu.Lock()
		now := time.Now()
		if flt.vms[tgt.VM] != mac {
			flt.mu.Unlock()
			return agent.Report{}, agent.Unknown, ErrSilent // its life has ended meanwhile
		}
		mac.advance(now, flt)
		if tgt.Fence < mac.fence {
			flt.mu.Unlock()
			return agent.Report{}, agent.Fenced, errors.New("stand-in: fenced")
		}
		mac.fence = tgt.Fence
		mac.until = max(mac.until, hld.Until)
		flt.acknowledge(mac, hld.Acked)
		if len(mac.ends) > 0 || !now.Before(deadline) {
			rpt := mac.report(now)
			flt.mu.Unlock()
			return rpt, agent.Done, nil
		}
		changed, next := mac.changed, mac.nextEnd(deadline)
		flt.mu.Unlock()
		select {
		case <-ctx.Done():
			return agent.Report{}, agent.Unknown, ErrSilent
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
	for len(mac.ends) > 0 && mac.ends[0].Number <= acked {
		if mac.ends[0].How == agent.EndedDone {
			flt.doneOf[mac.ends[0].Task] = mac.host.ID
		}
		mac.ends = mac.ends[1:]
	}
}

func (mac *vm) report(now time.Time) agent.Report {
	rpt := agent.Report{Born: mac.host.Born, Clock: mac.clock(now), Ended: append([]agent.End(nil), mac.ends...)}
	for tid, rn := range mac.runs {
		rpt.Active = append(rpt.Active, agent.Run{Task: tid, Number: rn.number, Percent: 100})
	}
	return rpt
}
