package configcheck

import (
	"fmt"
	"slices"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
)

// Changes returns what a configuration changes against the one in force, and what that will do.
func Changes(inForce, next *queue.Table) []Finding {
	var found []Finding
	add := func(path, text string, args ...any) {
		found = append(found, Finding{Level: Change, Path: path, Text: fmt.Sprintf(text, args...)})
	}
	if next.Version() <= inForce.Version() {
		found = append(found, Finding{Error, "version", fmt.Sprintf("version %d is not above %d, which is in force: entries ignore it", next.Version(), inForce.Version()), "give it a higher version"})
	}
	for _, que := range next.Queues() {
		path := queuePath(que.Name)
		old, ok := inForce.At(que.Address())
		if !ok {
			add(path, "new, in the pool %s", que.Pool)
			continue
		}
		if old.Pool != que.Pool {
			add(path, "moves from the pool %s to %s: jobs that were accepted stay with %s while that has VMs", old.Pool, que.Pool, old.Pool)
		}
		if old.NeedsKey != que.NeedsKey {
			add(path, "needs an API key: %t, before %t", que.NeedsKey, old.NeedsKey)
		}
		same := old
		same.Name, same.Pool, same.Version, same.Since, same.NeedsKey = que.Name, que.Pool, que.Version, que.Since, que.NeedsKey
		if same != que {
			add(path, "priority %d, attempts %d, deadline factor %g, latency goal %s; before %d, %d, %g, %s", que.Priority, que.MaxAttempts, que.DeadlineFactor, que.LatencyGoal,
				old.Priority, old.MaxAttempts, old.DeadlineFactor, old.LatencyGoal)
		}
	}
	for _, old := range inForce.Queues() {
		if _, ok := next.At(old.Address()); !ok {
			add(queuePath(old.Name), "ends: callers get 404, and its jobs run to their end")
		}
	}
	for _, pol := range next.Pools() {
		if !slices.Contains(inForce.Pools(), pol) {
			add(poolPath(pol.Name), "new, or its standby changes: standby %t", pol.IsStandby)
		}
	}
	for _, old := range inForce.Pools() {
		if !slices.ContainsFunc(next.Pools(), func(pol queue.Pool) bool { return pol.Name == old.Name }) {
			add(poolPath(old.Name), "ends: its jobs run to their end, and it neither gives nor gets VMs")
		}
	}
	if inForce.MaxBody() != next.MaxBody() {
		add("limits", "bodies of %d bytes at most, before %d", next.MaxBody(), inForce.MaxBody())
	}
	return append(found, organisationChanges(inForce.Organisations(), next.Organisations())...)
}

func organisationChanges(inForce, next *organisation.Set) []Finding {
	var found []Finding
	add := func(path, text string, args ...any) {
		found = append(found, Finding{Level: Change, Path: path, Text: fmt.Sprintf(text, args...)})
	}
	for _, org := range next.All() {
		path := organisationPath(org.Name)
		old, ok := inForce.Get(org.Name)
		if !ok {
			add(path, "new, with %d keys", len(next.Digests(org.Name)))
			continue
		}
		if ended := missing(inForce.Digests(org.Name), next.Digests(org.Name)); ended > 0 {
			add(path, "%d of its keys end", ended)
		}
		if added := missing(next.Digests(org.Name), inForce.Digests(org.Name)); added > 0 {
			add(path, "%d keys are added", added)
		}
		if old.Weight != org.Weight {
			add(path, "weight %g, before %g", org.Weight, old.Weight)
		}
		if old.Cap != org.Cap {
			effect := ""
			if isLower(org.Cap, old.Cap) {
				effect = ": nothing is stopped, and nothing starts while more runs"
			}
			add(path, "cap %+v, before %+v%s", org.Cap, old.Cap, effect)
		}
	}
	for _, old := range inForce.All() {
		if _, ok := next.Get(old.Name); !ok {
			add(organisationPath(old.Name), "ends with its %d keys: its jobs run to their end, without a limit", len(inForce.Digests(old.Name)))
		}
	}
	return found
}

// missing returns how many of the texts the others lack.
func missing(texts, others []string) int {
	count := 0
	for _, text := range texts {
		if !slices.Contains(others, text) {
			count++
		}
	}
	return count
}

// isLower reports whether any resource is limited more than before; 0 is no limit.
func isLower(limit, old plan.Demand) bool {
	lower := func(limit, old int64) bool { return limit != 0 && (old == 0 || limit < old) }
	return lower(limit.MilliCores, old.MilliCores) || lower(limit.MemoryMB, old.MemoryMB) || lower(limit.GPUs, old.GPUs)
}
