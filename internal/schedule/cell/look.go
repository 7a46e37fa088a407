package cell

import (
	"time"

	"daisywheel/internal/fleet/agent"
)

// Hold returns the renewal to send to a VM, and its target.
func (cel *Cell) Hold(now time.Time, id string) (agent.Target, agent.Hold, bool) {
	vst, ok := cel.vms[id]
	if !ok {
		return agent.Target{}, agent.Hold{}, false
	}
	hld := agent.Hold{Acked: vst.lastEndStored}
	// A VM that does not answer is asked without renewing, so that its leases run
	// out on our clock too.
	if vst.hasReported && !vst.isUnresponsive {
		hld.Wait, hld.Until = vst.pollWait(), cel.extendLease(now, vst)
	}
	return cel.target(vst), hld, true
}

const (
	// idleWait is how long a VM holds back its answer when nothing ends there; it
	// is the longest that VMs accept.
	idlePollWait = 2 * time.Second
	// busyWait is the same for a VM with tasks that end, most of which do within it.
	// A look that is lost costs as much.
	busyPollWait = 600 * time.Millisecond
	// startupWait is the same for a VM with a lasting task that is not at work yet: the
	// next task of its step may leave its VM only when it is.
	startupPollWait = 300 * time.Millisecond
)

// lookWait returns how long the next look may wait for an end.
func (vst *vmState) pollWait() time.Duration {
	wait := idlePollWait
	for _, tst := range vst.tasks {
		switch {
		case tst.step.plan.IsLasting && tst.percentDone < fullPace:
			return startupPollWait
		case !tst.step.plan.IsLasting || tst.phase != running:
			wait = busyPollWait
		}
	}
	return wait
}

func (cel *Cell) target(vst *vmState) agent.Target {
	return agent.Target{VM: vst.host.ID, Address: vst.host.Address, Fence: cel.cfg.Fence}
}

// grant returns the time on the VM's clock up to which its tasks may run, and
// notes until when they may run on our clock.
func (cel *Cell) extendLease(now time.Time, vst *vmState) time.Duration {
	vst.leaseEnd = laterOf(vst.leaseEnd, now.Add(leaseBound(cel.cfg.LeaseMax)))
	return vst.clock + now.Sub(vst.clockAt) + cel.cfg.LeaseMax
}

func laterOf(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
