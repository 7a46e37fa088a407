// Package configcheck finds what is wrong with a configuration that entries would accept: entries that can
// never match, limits that contradict each other, and what changes against the version in force.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
)

// Level is how bad a finding is.
type Level string

// Levels of findings.
const (
	Error   Level = "error"   // something that is configured can't work
	Warning Level = "warning" // something probably does not do what is meant
	Change  Level = "change"  // a difference to the version in force
)

// Finding is one thing that was found.
type Finding struct {
	Level Level
	Path  string // of what it is about, as queues["name"]
	Text  string
	Fix   string // what to do; empty for changes
}

// minSpecLimit is the largest body below which the longest spec of a job can't be sent.
const minSpecLimit = plan.MaxSpecBytes + 500

// Check returns the findings on a configuration.
func Check(tab *queue.Table) []Finding {
	var found []Finding
	add := func(lvl Level, path, fix, text string, args ...any) {
		found = append(found, Finding{Level: lvl, Path: path, Text: fmt.Sprintf(text, args...), Fix: fix})
	}
	for _, reason := range tab.Unusable() {
		add(Error, "names", "give it a usable name", "it is left out: %s", reason)
	}
	pools := map[string]queue.Pool{}
	for _, pol := range tab.Pools() {
		if _, ok := pools[pol.Name]; ok {
			add(Error, poolPath(pol.Name), "give each pool a name of its own", "the pool is named twice")
		}
		pools[pol.Name] = pol
	}
	used, names, needsKey := map[string]bool{}, map[string]bool{}, false
	for i, que := range tab.Queues() {
		path := queuePath(que.Name)
		used[que.Pool], needsKey = true, needsKey || que.NeedsKey
		if names[que.Name] {
			add(Error, path, "give each queue a name of its own", "the queue is named twice")
		}
		names[que.Name] = true
		if first := firstMatch(tab.Queues(), que); first != i {
			add(Error, path, "remove one of them, or change its host or prefix", "it never matches, as the queue %q has the same host and prefix", tab.Queues()[first].Name)
		}
		if que.Host == "" || !strings.HasPrefix(que.Prefix, "/") {
			add(Error, path, "give it a host, and a prefix that begins with a slash", "it never matches: host %q, prefix %q", que.Host, que.Prefix)
		} else if !strings.HasSuffix(que.Prefix, "/") {
			add(Warning, path, "end the prefix with a slash", "the prefix %q does not end with a slash, so ids follow it directly", que.Prefix)
		}
		switch pol, ok := pools[que.Pool]; {
		case !ok:
			add(Error, path, "add the pool, or send the queue to another", "its pool %q is not configured: its jobs never run", que.Pool)
		case pol.IsStandby:
			add(Warning, path, "send the queue to a pool that is on", "its pool %q is on standby, so its VMs are off", que.Pool)
		}
		if que.DeadlineFactor < 1 {
			add(Warning, path, "raise the deadline factor to 1 or more", "deadline factor %g: a job that runs at once ends late", que.DeadlineFactor)
		}
		if que.LatencyGoal < 0 || que.Priority < 0 {
			add(Error, path, "use 0 or more", "priority %d, latency goal %s", que.Priority, que.LatencyGoal)
		}
	}
	for _, pol := range tab.Pools() {
		if !pol.IsStandby && !used[pol.Name] {
			add(Warning, poolPath(pol.Name), "send a queue there, or put it on standby", "no queue uses the pool, and its VMs are on")
		}
	}
	if limit := tab.MaxBody(); limit > 0 && limit < minSpecLimit {
		add(Warning, "limits", fmt.Sprintf("raise the largest body to %d bytes or more", minSpecLimit), "bodies of %d bytes at most: a spec of %d bytes can't be sent", limit, plan.MaxSpecBytes)
	}
	return append(found, checkOrganisations(tab.Organisations(), needsKey)...)
}

func checkOrganisations(orgs *organisation.Set, needsKey bool) []Finding {
	var found []Finding
	hasKeys := false
	for _, org := range orgs.All() {
		path := organisationPath(org.Name)
		keys := len(orgs.Digests(org.Name))
		hasKeys = hasKeys || keys > 0
		if keys == 0 {
			found = append(found, Finding{Warning, path, "it has no API key, so its callers are refused", "give it a key, or remove it"})
		}
		if org.Weight == 0 {
			found = append(found, Finding{Warning, path, "its weight is 0: in a full pool it gets what the others leave", "give it a weight"})
		}
		if limit := org.Cap; org.HasCap() && (limit.MilliCores == 0 || limit.MemoryMB == 0) {
			found = append(found, Finding{Warning, path, fmt.Sprintf("cap of %d thousandths of a core and %d MB: 0 is no limit, and the other one is what holds it back", limit.MilliCores, limit.MemoryMB), "limit both, or neither"})
		}
	}
	switch {
	case needsKey && !hasKeys:
		found = append(found, Finding{Error, "organisations", "queues need a key, and no organisation has one: nobody can call them", "add keys, or make the queues public"})
	case orgs != nil && hasKeys && !needsKey:
		found = append(found, Finding{Warning, "organisations", "there are keys, and no queue needs one", "remove public from the queues that should need a key"})
	}
	return found
}

// firstMatch returns the index of the queue that a request to the address of que reaches.
func firstMatch(queues []queue.Queue, que queue.Queue) int {
	return slices.IndexFunc(queues, func(other queue.Queue) bool { return other.Address() == que.Address() && other.Prefix == que.Prefix })
}

func queuePath(name string) string        { return fmt.Sprintf("queues[%q]", name) }
func poolPath(name string) string         { return fmt.Sprintf("pools[%q]", name) }
func organisationPath(name string) string { return fmt.Sprintf("organisations[%q]", name) }
