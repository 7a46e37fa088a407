package gateway_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/standin/logstore"
)

// A queue has gone to another pool. Its first jobs there wait until the owner of the former one has read of that:
// an owner that lags, or that can't be reached, may accept a repetition. One that has ended may not, and
// the next one starts with the newest configuration.
func TestJobsOfAMovedQueueWaitForTheFormerOwner(t *testing.T) {
	for _, tst := range []struct {
		name   string
		answer error // of the former pool's owner
		isGone bool  // the former owner's entry
		want   code.Code
	}{
		{"it has read of the move", nil, false, code.OK},
		{"it lags", fault.New(code.StaleRoute, "not read yet"), false, code.StaleRoute},
		{"it is not the owner any more", fault.New(code.NotReady, "not the owner"), false, code.OK},
		{"it can't be reached", nil, true, code.NotReady},
	} {
		t.Run(tst.name, func(t *testing.T) {
			t.Parallel()
			log := logstore.New(logstore.Config{}).Client()
			var submitted, minVersion atomic.Int64
			ept := startPeerWith(t, log, func(json.RawMessage) (any, error) {
				submitted.Add(1)
				return map[string]any{}, nil
			})
			ept.Handle("job.state", func(_ context.Context, params json.RawMessage) (any, error) {
				var req struct {
					MinVersion int64 `json:"minVersion"`
				}
				err := json.Unmarshal(params, &req)
				minVersion.Store(req.MinVersion)
				if err == nil {
					err = tst.answer
				}
				return map[string]any{}, err
			})
			former, err := claim.FindOwner(t.Context(), log, claim.Pool("gate"))
			if tst.isGone {
				former = "127.0.0.1:2"
			}
			if err == nil {
				_, err = claim.Acquire(t.Context(), log, claim.Pool("old"), former)
			}
			if err != nil {
				t.Fatal(err)
			}
			gtw := newGateway(t, log, func() bool { return true })
			que := queue.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "old"}
			first := queue.NewTable(3, []queue.Queue{que}, nil)
			gtw.SetTable(time.Now().Add(-time.Hour), first)
			que.Pool = "gate"
			moved := queue.NewTable(5, []queue.Queue{que}, nil).After(first)
			gtw.SetTable(time.Now(), moved)
			gtw.SetTable(time.Now(), queue.NewTable(8, []queue.Queue{que}, nil).After(moved))
			present, _ := moved.At("h/q/")
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			err = gtw.Submit(ctx, time.Now(), present, oneStep("00000000000000e1"))
			if fault.CodeOf(err) != tst.want || (submitted.Load() > 0) != (err == nil) {
				t.Errorf("submission: %v, %d submitted, want code %d", err, submitted.Load(), tst.want)
			}
			if !tst.isGone && minVersion.Load() != 5 {
				t.Errorf("the former owner is asked for version %d, want 5, which moved the queue", minVersion.Load())
			}
		})
	}
}

func oneStep(id string) *plan.Plan { return &plan.Plan{ID: id, Steps: []plan.Step{{Count: 1}}} }

// A former owner that stays silent holds up no submission until its caller's time is over.
func TestSilentFormerOwnerIsNotWaitedForLong(t *testing.T) {
	t.Parallel()
	log := logstore.New(logstore.Config{}).Client()
	var asked atomic.Int64
	ept := startPeerWith(t, log, func(json.RawMessage) (any, error) { return map[string]any{}, nil })
	ept.Handle("job.state", func(ctx context.Context, _ json.RawMessage) (any, error) {
		asked.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	former, err := claim.FindOwner(t.Context(), log, claim.Pool("gate"))
	if err == nil {
		_, err = claim.Acquire(t.Context(), log, claim.Pool("old"), former)
	}
	if err != nil {
		t.Fatal(err)
	}
	gtw := newGateway(t, log, func() bool { return true })
	que := queue.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "old"}
	first := queue.NewTable(3, []queue.Queue{que}, nil)
	gtw.SetTable(time.Now().Add(-time.Hour), first)
	que.Pool = "gate"
	moved := queue.NewTable(5, []queue.Queue{que}, nil).After(first)
	gtw.SetTable(time.Now(), moved)
	present, _ := moved.At("h/q/")
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	if err := gtw.Submit(ctx, time.Now(), present, oneStep("00000000000000e2")); fault.CodeOf(err) != code.NotReady || asked.Load() > 3 {
		t.Errorf("submission: %v after %d questions, want notReady after 3 at most", err, asked.Load())
	}
}
