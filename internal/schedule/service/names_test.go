package service_test

import (
	"fmt"
	"testing"

	"daisywheel/internal/fleet/queue"
)

// poolNames has names that are also ours or could be taken for two names, and such as metrics and the log have to escape.
var poolNames = []string{"fleet", "pool:fleet", "pool", "waves", "jobs", "gate"}

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
	ste.stop()
	ste.checkInvariants()
}
