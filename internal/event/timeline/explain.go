package timeline

import (
	"slices"
	"strings"
	"time"
)

// contextMargin is how long before the first and after the last event of a job other
// events may explain them: the duration of a group membership plus that of a lease.
const contextMargin = 7 * time.Second

// contextKinds are the kinds of events that change what the processes know of the
// pools, the VMs and the services that they depend on.
var contextKinds = []string{
	"claimsRegained", "claimsUnread", "cellSettled", "configInForce", "linesLeftOut", "membershipRegained",
	"membershipUnconfirmed", "operatorNotCaughtUp", "operatorRegained", "operatorUnread", "ownerLost", "ownerNotAlive", "ownerNotOpened",
	"ownerStarted", "ownerStopped", "poolState", "processStarted", "processStopping", "storeLost", "storeRegained",
	"vmEndIgnored", "vmEnded", "vmLapsed", "vmLeaving", "vmListRegained", "vmListUnread", "vmQuarantined", "vmReborn", "vmRegained",
	"vmReplaced", "vmUnanswered",
}

// Explain returns the events of a job, and the events of contextKinds at about the same
// time that name the job's pools and VMs, or no pool or VM.
func (tml *Timeline) Explain(job string) *Timeline {
	var own []Event
	for _, evt := range tml.events {
		if evt.isAbout(job) {
			own = append(own, evt)
		}
	}
	out := &Timeline{skipped: tml.skipped}
	if len(own) == 0 {
		return out
	}
	first, last := own[0].At.Add(-contextMargin), own[len(own)-1].At.Add(contextMargin)
	pools, vms := poolsAndVMs(own)
	for _, evt := range tml.events {
		isNear := !evt.At.Before(first) && !evt.At.After(last)
		if evt.isAbout(job) || isNear && evt.isContextFor(pools, vms) {
			out.events = append(out.events, evt)
		}
	}
	return out
}

// isAbout reports whether the event names the job or one of its tasks.
func (evt Event) isAbout(job string) bool {
	return slices.ContainsFunc(evt.Details, func(detail string) bool {
		name, value, _ := strings.Cut(detail, "=")
		return name == "job" && value == job || name == "task" && strings.HasPrefix(value, job+".")
	})
}

// isContextFor reports whether the event is of contextKinds and names none but the
// given pools and VMs.
func (evt Event) isContextFor(pools, vms []string) bool {
	if !slices.Contains(contextKinds, evt.Kind) {
		return false
	}
	pool := evt.detail("pool")
	return (pool == "" || slices.Contains(pools, pool)) && (evt.VM == "" || slices.Contains(vms, evt.VM))
}

func (evt Event) detail(name string) string {
	for _, detail := range evt.Details {
		if value, ok := strings.CutPrefix(detail, name+"="); ok {
			return value
		}
	}
	return ""
}

// poolsAndVMs returns the pools and VMs that the events name, with repetitions.
func poolsAndVMs(events []Event) (pools, vms []string) {
	for _, evt := range events {
		if pool := evt.detail("pool"); pool != "" {
			pools = append(pools, pool)
		}
		if evt.VM != "" {
			vms = append(vms, evt.VM)
		}
	}
	return pools, vms
}
