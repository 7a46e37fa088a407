package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// Several queues leave a pool whose owner can't be reached. Its term is ended, once, and what it has sent to the log and
// arrives later is rejected.
func TestTermOfAnOwnerOutOfReachIsEndedOnce(t *testing.T) {
	t.Parallel()
	log := logstore.New(logstore.Config{}).Client()
	former, err := claim.Acquire(t.Context(), log, claim.Pool("old"), "127.0.0.1:2")
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
	next, err := claim.Acquire(t.Context(), log, claim.Pool("old"), "127.0.0.1:3")
	if err != nil || next.Term() != 3 {
		t.Errorf("term %d (%v), want 3: the former owner's, the end of its term, and the next", next.Term(), err)
	}
}

// Of the pools that lately had a queue, those have to be asked whose owners register no routes. Their claims, as those of
// earlier versions of the program, lack a field.
func TestUnregisteredPoolsAreOfEarlierVersions(t *testing.T) {
	t.Parallel()
	log := logstore.New(logstore.Config{}).Client()
	if _, err := claim.Acquire(t.Context(), log, claim.Pool("new"), "127.0.0.1:2"); err != nil {
		t.Fatal(err)
	}
	_, err := log.Append(t.Context(), statelog.AppendRequest{
		Topic: "cells", ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{{Key: "old", Value: []byte(`{"address":"127.0.0.1:3","term":4}`)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	gtw := newGateway(t, log, func() bool { return true })
	var last *queue.Table
	for version, pool := range []string{"old", "unclaimed", "new", "gate"} {
		tab := queue.NewTable(int64(version+1), []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: pool}}, nil).After(last)
		gtw.SetTable(time.Now(), tab)
		last = tab
	}
	if pools := gtw.UnregisteredPools(t.Context(), "h/q/"); !slices.Equal(pools, []string{"old"}) {
		t.Errorf("pools %v, want old", pools)
	}
	if next, err := claim.Acquire(t.Context(), log, claim.Pool("old"), "127.0.0.1:4"); err != nil || next.Term() != 5 {
		t.Errorf("term %d (%v) after a claim of an earlier version, want 5", next.Term(), err)
	}
	if pools := gtw.UnregisteredPools(t.Context(), "h/q/"); len(pools) > 0 {
		t.Errorf("pools %v after a claim of the present version, want none", pools)
	}
}

// The owner of a queue's former pool does not answer, and another one claims the pool meanwhile, which has to be asked before
// its term is ended. One of an earlier version of the program is given longer, as its successor of that version might accept
// jobs by an earlier route.
func TestNextOwnerIsAsked(t *testing.T) {
	for _, tst := range []struct {
		name, claims string
		after        time.Duration // until the next owner claims the pool
	}{
		{"of an earlier version", "", 2500 * time.Millisecond},
		{"of the present version", `,"registersRoutes":true`, 1200 * time.Millisecond},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			log := logstore.New(logstore.Config{}).Client()
			var claimed atomic.Int64 // UnixNano
			ept := startPeerWith(t, log, func(json.RawMessage) (any, error) { return map[string]any{}, nil })
			ept.Handle("job.state", func(context.Context, json.RawMessage) (any, error) {
				if time.Since(time.Unix(0, claimed.Load())) < 400*time.Millisecond {
					return nil, fault.New(code.NotReady, "about to own the pool")
				}
				return map[string]any{}, nil
			})
			next, err := claim.FindOwner(t.Context(), log, claim.Pool("gate"))
			if err != nil {
				t.Fatal(err)
			}
			put := func(address string, term int) {
				value := fmt.Sprintf(`{"address":%q,"term":%d%s}`, address, term, tst.claims)
				_, err := log.Append(t.Context(), statelog.AppendRequest{Topic: "cells", ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{{Key: "old", Value: []byte(value)}}})
				if err != nil {
					t.Error(err)
				}
			}
			put("127.0.0.1:2", 1)
			time.AfterFunc(tst.after, func() {
				claimed.Store(time.Now().UnixNano())
				put(next, 2)
			})
			watched := log
			watched.Append = func(ctx context.Context, app statelog.AppendRequest) (int64, error) {
				t.Errorf("append to %s: the term is ended", app.Topic)
				return log.Append(ctx, app)
			}
			gtw := newGateway(t, watched, func() bool { return true })
			if err := gtw.CloseRoute(t.Context(), "old", queue.Ref{Name: "q", Address: "h/q/"}, 5); err != nil {
				t.Error(err)
			}
		})
	}
}
