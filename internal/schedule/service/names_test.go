package service_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"daisywheel/internal/fleet/queue"
)

// poolNames has names that are also ours or could be taken for two names, and such as metrics and the log have to escape.
var poolNames = []string{"fleet", "pool:fleet", "pool", "waves", "jobs", "gate",
	`mill "B"`, `mill\`, "mill\n", "mill\x00", "café", "日本", `",pool="`, "}", " ", "a=b", strings.Repeat("n", 200)}

// The owner of a pool named fleet and the fleet controller took each other for the holder of one claim. After a change of
// owner the pool had none, and its jobs stayed queued.
func TestPoolsOfAnyNameAreServed(t *testing.T) {
	ste := newSite(t, poolNames)
	var queues []queue.Queue
	var pools []queue.Pool
	for i, name := range poolNames {
		queues = append(queues, queue.Queue{Name: name, Host: "h", Prefix: fmt.Sprintf("/%d/", i), Pool: name, MaxAttempts: 3, DeadlineFactor: 1.6})
		pools = append(pools, queue.Pool{Name: name})
	}
	ste.put(queue.NewTable(1, queues, pools))
	for round := range 2 {
		for range 2 {
			ste.startEntry(entryMilliCores)
		}
		ste.awaitTable()
		for i, que := range queues {
			ste.submitTo(que, ste.entries[i%2], job(round*len(queues)+i))
		}
		if round == 0 {
			ste.stop()
			ste.entries, ste.addresses = nil, nil
		}
	}
	for i, que := range queues {
		for round := range 2 {
			ste.awaitIn(que, ste.entries[round], job(round*len(queues)+i).ID)
		}
	}
	ste.checkMetrics()
	ste.stop()
	ste.checkInvariants()
}

// sample matches a line of metrics.
var sample = regexp.MustCompile(`^[a-z_]+(\{([a-z]+="([^"\\\n]|\\[\\"n])*",?)+\})? [-0-9.e+]+$`)

// checkMetrics checks that each line of metrics can be read, and that each pool has its own.
func (ste *site) checkMetrics() {
	ste.t.Helper()
	pools := map[string]bool{}
	for _, set := range ste.metrics {
		var text bytes.Buffer
		set.WritePrometheus(&text)
		for line := range strings.Lines(text.String()) {
			if !sample.MatchString(strings.TrimSuffix(line, "\n")) {
				ste.t.Errorf("metrics have the line %q", line)
			}
			if rest, ok := strings.CutPrefix(line, `daisywheel_append_seconds_count{pool="`); ok {
				name, _, _ := strings.Cut(rest, `"} `)
				pools[strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n").Replace(name)] = true
			}
		}
	}
	for _, name := range poolNames {
		if !pools[name] {
			ste.t.Errorf("pool %q has no metrics", name)
		}
	}
}
