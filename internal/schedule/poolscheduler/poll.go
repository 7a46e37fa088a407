package poolscheduler

import (
	"time"

	"daisywheel/internal/fleet/agent"
)

// NextPoll returns the next poll to send to a VM and its target. It reports false if the
// VM is unknown. A poll asks for a report and renews the leases of the VM's tasks.
func (sch *Scheduler) NextPoll(now time.Time, id string) (agent.Target, agent.Poll, bool) {
	vst, ok := sch.vms[id]
	if !ok {
		return agent.Target{}, agent.Poll{}, false
	}
	poll := agent.Poll{Incarnation: vst.incarnation, Acked: vst.lastEndStored}
	// A poll of a VM that does not answer renews nothing, so that its leases expire by
	// the owner's clock too.
	if vst.hasReported && !vst.isUnresponsive {
		poll.Wait, poll.Until = vst.pollWait(), sch.extendLease(now, vst)
	}
	return sch.target(vst), poll, true
}

const (
	// idlePollWait is how long a VM delays its answer to a poll while no run ends
	// there. It is the longest wait that VMs accept.
	idlePollWait = 2 * time.Second
	// busyPollWait is the wait for a VM with tasks that are expected to end, most of
	// which do within it. A lost poll costs as much time.
	busyPollWait = 600 * time.Millisecond
	// startupPollWait is the wait for a VM with a long-running task that is not at work
	// yet, or not known to be: the next task of its step may be moved only after that.
	startupPollWait = 300 * time.Millisecond
)

// pollWait returns how long the VM may delay its answer to the next poll.
func (vst *vmState) pollWait() time.Duration {
	wait := idlePollWait
	for _, tst := range vst.tasks {
		switch {
		case tst.step.plan.IsLongRunning && (tst.percentDone < fullPercent || tst.mayBeStopping()):
			return startupPollWait
		case !tst.step.plan.IsLongRunning || tst.phase != running:
			wait = busyPollWait
		}
	}
	return wait
}

func (sch *Scheduler) target(vst *vmState) agent.Target {
	return agent.Target{VM: vst.host.ID, Address: vst.host.Address, FencingToken: sch.cfg.FencingToken}
}

// extendLease returns the new end of the VM's lease by the VM's clock, and raises
// leaseEnd to the latest time at which it ends by the owner's clock.
func (sch *Scheduler) extendLease(now time.Time, vst *vmState) time.Duration {
	vst.leaseEnd = laterOf(vst.leaseEnd, now.Add(leaseBound(sch.cfg.MaxLease)))
	return vst.clock + now.Sub(vst.clockAt) + sch.cfg.MaxLease
}

func laterOf(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
