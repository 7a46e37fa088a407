package gateway_test

import (
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// Several queues leave a pool whose owner can't be reached. Its term is ended, once, and what it has sent to the log and
// arrives later is rejected.
func TestTermOfAnOwnerOutOfReachIsEndedOnce(t *testing.T) {
	t.Parallel()
	log := logstore.New(logstore.Config{}).Client()
	former, err := claim.Acquire(t.Context(), log, "old", "127.0.0.1:2")
	if err != nil {
		t.Fatal(err)
	}
	late := statelog.AppendRequest{
		Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Producer: "old", Epoch: former.FencingToken(), Seq: 1,
		Records: []statelog.Record{{Key: "old/j/1", Value: []byte("{}")}},
	}
	gtw := newGateway(t, log, func() bool { return true })
	var grp sync.WaitGroup
	for _, address := range []string{"h/p/", "h/q/", "h/r/"} {
		grp.Go(func() {
			if err := gtw.CloseRoute(t.Context(), "old", queue.Ref{Name: address, Address: address}, 5); err != nil {
				t.Error(err)
			}
		})
	}
	grp.Wait()
	if _, err := log.Append(t.Context(), late); !errors.Is(err, statelog.ErrFenced) {
		t.Errorf("append of the former owner: %v, want fenced", err)
	}
	next, err := claim.Acquire(t.Context(), log, "old", "127.0.0.1:3")
	if err != nil || next.Term() != 3 {
		t.Errorf("term %d (%v), want 3: the former owner's, the end of its term, and the next", next.Term(), err)
	}
}
