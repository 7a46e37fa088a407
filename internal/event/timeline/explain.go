package timeline

import (
	"slices"
	"strings"
	"time"
)

// around is how long before and after a job's own events others may explain them:
// a membership and a lease.
const contextMargin = 7 * time.Second

// worldKinds are the events that change what processes believe of the pools, the
// VMs and what they depend on.
var contextKinds = []string{
	"claimsRegained", "claimsUnread", "cellSettled", "configInForce", "linesLeftOut", "membershipRegained",
	"membershipUnconfirmed", "operatorRegained", "operatorUnread", "ownerLost", "ownerNotAlive", "ownerNotOpened",
	"ownerStarted", "ownerStopped", "poolState", "processStarted", "processStopping", "storeLost", "storeRegained",
	"vmEnded", "vmLapsed", "vmLeaving", "vmListRegained", "vmListUnread", "vmQuarantined", "vmReborn", "vmRegained",
	"vmReplaced", "vmUnanswered",
}

// Explain returns the events of a job, and those of the world around them that
// concern its pool, its VMs or no pool and VM in particular.
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

// isOf reports whether the event names the job or one of its tasks.
func (evt Event) isAbout(job string) bool {
	return slices.ContainsFunc(evt.Details, func(detail string) bool {
		name, value, _ := strings.Cut(detail, "=")
		return name == "job" && value == job || name == "task" && strings.HasPrefix(value, job+".")
	})
}

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
