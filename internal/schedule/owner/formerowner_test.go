package owner_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// A former owner that is cut off from the log and from all VMs but one, which restarts and has so
// forgotten the fencing token of the next owner, starts tasks there that the next owner starts too.
func TestFormerOwnerStartsNothingOnARestartedVM(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			fxt := newFixture(t, 2, logstore.Config{})
			fxt.runTime = 300 * time.Millisecond
			var isCut atomic.Bool
			errCut := errors.New("cut off")
			log, agt := fxt.store.Client(), fxt.fleet.Agent()
			appendAll, lookup := log.Append, log.Lookup
			log.Append = func(ctx context.Context, app statelog.AppendRequest) (int64, error) {
				if isCut.Load() {
					<-ctx.Done()
					return 0, errCut
				}
				return appendAll(ctx, app)
			}
			log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
				if isCut.Load() {
					<-ctx.Done()
					return statelog.Record{}, false, errCut
				}
				return lookup(ctx, topic, part, key)
			}
			poll, start := agt.Poll, agt.Start
			agt.Poll = func(ctx context.Context, tgt agent.Target, req agent.Poll) (agent.Report, agent.Outcome, error) {
				if isCut.Load() && tgt.VM != "vm-0" {
					<-ctx.Done()
					return agent.Report{}, agent.Unknown, errCut
				}
				return poll(ctx, tgt, req)
			}
			agt.Start = func(ctx context.Context, tgt agent.Target, ord agent.Start) (agent.Outcome, error) {
				if isCut.Load() && tgt.VM != "vm-0" {
					<-ctx.Done()
					return agent.Unknown, errCut
				}
				return start(ctx, tgt, ord)
			}
			former := fxt.openWith(log, agt)
			time.Sleep(time.Minute)
			repeating := &plan.Plan{ID: fmt.Sprintf("%016x", seed), Spec: "x", RepeatCount: 100, FirstAt: time.Now().Add(time.Second), Interval: time.Duration(50+rnd.IntN(400)) * time.Millisecond}
			repeating.Steps = []plan.Step{{Count: 1, Demand: plan.Demand{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}}
			if err := fxt.submit(former, repeating); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
			isCut.Store(true)
			time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
			next := fxt.open()
			time.Sleep(time.Duration(rnd.IntN(60)) * time.Millisecond)
			fxt.fleet.Reboot(time.Now(), "vm-0")
			fxt.await(next, repeating.ID, 2*time.Minute)
			fxt.checkInvariants()
			if t.Failed() {
				t.Logf("seed %d", seed)
			}
		})
	}
}
