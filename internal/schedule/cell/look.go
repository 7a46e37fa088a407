package cell

import (
	"time"

	"daisywheel/internal/fleet/agent"
)

// Hold returns the renewal to send to a VM, and its target.
func (cel *Cell) Hold(now time.Time, id string) (agent.Target, agent.Hold, bool) {
	mac, ok := cel.vms[id]
	if !ok {
		return agent.Target{}, agent.Hold{}, false
	}
	hld := agent.Hold{Acked: mac.acked}
	// A VM that does not answer is asked without renewing, so that its leases run
	// out on our clock too.
	if mac.isHeld && !mac.isSilent {
		hld.Wait, hld.Until = mac.lookWait(), cel.grant(now, mac)
	}
	return cel.target(mac), hld, true
}

const (
	// idleWait is how long a VM holds back its answer when nothing ends there; it
	// is the longest that VMs accept.
	idleWait = 2 * time.Second
	// busyWait is the same for a VM with tasks that end, most of which do within it.
	// A look that is lost costs as much.
	busyWait = 600 * time.Millisecond
	// startupWait is the same for a VM with a lasting task that is not at work yet: the
	// next task of its step may leave its VM only when it is.
	startupWait = 300 * time.Millisecond
)

// lookWait returns how long the next look may wait for an end.
func (mac *machine) lookWait() time.Duration {
	wait := idleWait
	for _, wrk := range mac.works {
		switch {
		case wrk.step.step.IsLasting && wrk.percent < fullPace:
			return startupWait
		case !wrk.step.step.IsLasting || wrk.phase != running:
			wait = busyWait
		}
	}
	return wait
}

func (cel *Cell) target(mac *machine) agent.Target {
	return agent.Target{VM: mac.host.ID, Address: mac.host.Address, Fence: cel.cfg.Fence}
}

// grant returns the time on the VM's clock up to which its tasks may run, and
// notes until when they may run on our clock.
func (cel *Cell) grant(now time.Time, mac *machine) time.Duration {
	mac.leaseEnd = later(mac.leaseEnd, now.Add(leaseBound(cel.cfg.LeaseMax)))
	return mac.clock + now.Sub(mac.clockAt) + cel.cfg.LeaseMax
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
