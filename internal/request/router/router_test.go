package router

import (
	"fmt"
	"testing"
	"time"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
)

var begin = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func rowOf(pool string, change func(cfg *row.Config)) row.Row {
	cfg := row.Config{Pool: pool, Service: pool, Weight: 10, TakeSlots: 200, LendSlots: 50, DownVMs: 1, Queue: 4, DeadlineMs: 1000}
	if change != nil {
		change(&cfg)
	}
	rw, err := row.New(cfg)
	if err != nil {
		panic(err)
	}
	return rw
}

// newRouter returns a router with pools a and b of two VMs with four slots each.
func newRouter() *Router {
	rtr := New(Config{Seed: 1, BorrowDelay: 20 * time.Millisecond, LendDelay: 100 * time.Millisecond, IsLendingEnabled: true})
	for _, pool := range []string{"a", "b"} {
		rtr.SetRow(rowOf(pool, nil))
		for idx := range 2 {
			rtr.SetVM(fmt.Sprintf("%s%d", pool, idx), pool, 4, true)
		}
	}
	return rtr
}

func admit(t testing.TB, rtr *Router, now time.Time, pool string, count int) []*Ticket {
	t.Helper()
	var tkts []*Ticket
	for range count {
		tkt, cd := rtr.Admit(now, pool, time.Time{})
		if cd != code.OK {
			t.Fatalf("request %d of %s: %s", len(tkts), pool, cd.Name())
		}
		tkts = append(tkts, tkt)
	}
	return tkts
}

func TestQueueIsBounded(t *testing.T) {
	rtr := newRouter()
	admit(t, rtr, begin, "a", 8+4)
	if _, cd := rtr.Admit(begin, "a", time.Time{}); cd != code.QueueFull {
		t.Fatalf("got %s", cd.Name())
	}
}

func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	rtr := newRouter()
	tkts := admit(t, rtr, begin, "a", 8)
	for _, tkt := range tkts {
		rtr.Complete(begin.Add(800*time.Millisecond), tkt, Result{})
	}
	now := begin.Add(time.Second)
	admit(t, rtr, now, "a", 8+1)
	if _, cd := rtr.Admit(now, "a", now.Add(50*time.Millisecond)); cd != code.DeadlineTooNear {
		t.Fatalf("got %s", cd.Name())
	}
}

func TestEarliestDeadlineIsPlacedFirst(t *testing.T) {
	rtr := newRouter()
	running := admit(t, rtr, begin, "a", 8)
	late, _ := rtr.Admit(begin, "a", begin.Add(900*time.Millisecond))
	early, _ := rtr.Admit(begin, "a", begin.Add(500*time.Millisecond))
	placed := rtr.Complete(begin.Add(time.Millisecond), running[0], Result{})
	if len(placed) != 1 || placed[0] != early || late.VM() != "" {
		t.Fatal("the request with the later deadline was placed first")
	}
}

func TestLendingRespectsLendSlots(t *testing.T) {
	rtr := newRouter()
	admit(t, rtr, begin, "a", 8+4)
	if placed, _ := rtr.Tick(begin.Add(10 * time.Millisecond)); len(placed) > 0 {
		t.Fatal("lent before BorrowDelay had passed")
	}
	placed, _ := rtr.Tick(begin.Add(30 * time.Millisecond))
	if len(placed) != 4 {
		t.Fatalf("lent %d slots, want 4: half of b's 8", len(placed))
	}
	admit(t, rtr, begin.Add(31*time.Millisecond), "a", 2)
	if placed, _ := rtr.Tick(begin.Add(80 * time.Millisecond)); len(placed) > 0 {
		t.Fatal("lent more than lendSlots allows")
	}
	if sts := rtr.Stats("b"); sts.Lent != 4 || rtr.Stats("a").Borrowed != 4 {
		t.Fatalf("lent %d", sts.Lent)
	}
	// A lent slot that becomes free goes to the queue of the lending pool first.
	own := admit(t, rtr, begin.Add(90*time.Millisecond), "b", 4+1)
	returned := rtr.Complete(begin.Add(95*time.Millisecond), placed[0], Result{})
	if len(returned) != 1 || returned[0] != own[4] {
		t.Fatal("a lent slot did not go back to the queue of the lending pool")
	}
}

func TestBorrowingRespectsTakeSlots(t *testing.T) {
	rtr := newRouter()
	rtr.SetRow(rowOf("a", func(cfg *row.Config) { cfg.TakeSlots = 25 }))
	admit(t, rtr, begin, "a", 8+4)
	if placed, _ := rtr.Tick(begin.Add(50 * time.Millisecond)); len(placed) != 2 {
		t.Fatalf("borrowed %d, want a quarter of 8", len(placed))
	}
}

func TestLentSlotsAreSharedByWeight(t *testing.T) {
	rtr := newRouter()
	rtr.SetRow(rowOf("a", func(cfg *row.Config) { cfg.Weight, cfg.Queue = 30, 40 }))
	rtr.SetRow(rowOf("b", func(cfg *row.Config) { cfg.Weight, cfg.Queue = 10, 40 }))
	rtr.SetRow(rowOf("spare", func(cfg *row.Config) { cfg.LendSlots = 100 }))
	for idx := range 4 {
		rtr.SetVM(fmt.Sprint("s", idx), "spare", 4, true)
	}
	admit(t, rtr, begin, "a", 8+20)
	admit(t, rtr, begin, "b", 8+20)
	rtr.Tick(begin.Add(50 * time.Millisecond))
	if one, two := rtr.Stats("a").Borrowed, rtr.Stats("b").Borrowed; one != 12 || two != 4 {
		t.Fatalf("borrowed %d and %d, want 12 and 4", one, two)
	}
}

func TestEjectionRespectsDownVMs(t *testing.T) {
	rtr := newRouter()
	for range 40 {
		tkt, cd := rtr.Admit(begin, "a", time.Time{})
		if cd != code.OK {
			t.Fatal(cd.Name())
		}
		rtr.Complete(begin, tkt, Result{IsFailure: true})
	}
	if sts := rtr.Stats("a"); sts.Ejected != 1 {
		t.Fatalf("%d VMs are ejected, the row allows 1 down", sts.Ejected)
	}
	rtr.Tick(begin.Add(2 * minEjectTime))
	if sts := rtr.Stats("a"); sts.Ejected != 0 {
		t.Fatal("the ejection did not end")
	}
}

func TestClosedVMGetsNoNewRequests(t *testing.T) {
	rtr := newRouter()
	tkts := admit(t, rtr, begin, "a", 8)
	rtr.SetVM("a0", "a", 4, false)
	waiting := admit(t, rtr, begin, "a", 4)
	for _, tkt := range tkts {
		rtr.Complete(begin.Add(time.Millisecond), tkt, Result{})
	}
	for _, tkt := range waiting {
		if tkt.VM() == "a0" {
			t.Fatal("a closed VM got a queued request")
		}
	}
	if rtr.InFlight("a0") != 0 {
		t.Fatalf("%d requests in flight on the closed VM", rtr.InFlight("a0"))
	}
}

func TestRetryGoesToAnotherVM(t *testing.T) {
	rtr := newRouter()
	for range 20 {
		tkt, _ := rtr.Admit(begin, "a", time.Time{})
		first := tkt.VM()
		rtr.Complete(begin, tkt, Result{IsRetry: true})
		if tkt.VM() == first || tkt.VM() == "" {
			t.Fatalf("first %s, then %q", first, tkt.VM())
		}
		rtr.Complete(begin, tkt, Result{})
	}
}

// Guards against reusing the slot of an attempt that ended without a complete
// reply while the backend server still works on it. The slot was once freed
// immediately.
func TestAbandonedAttemptKeepsItsSlot(t *testing.T) {
	rtr := newRouter()
	tkts := admit(t, rtr, begin, "a", 8)
	waiting := admit(t, rtr, begin, "a", 1)[0]
	vm := tkts[0].VM()
	rtr.Complete(begin, tkts[0], Result{IsAbandoned: true, IsFailure: true})
	if waiting.VM() != "" || rtr.InFlight(vm) != 4 {
		t.Fatalf("the slot was reused; %d requests in flight", rtr.InFlight(vm))
	}
	rtr.cfg.IsLendingEnabled = false
	rtr.Tick(begin.Add(abandonedHoldTime))
	if waiting.VM() != vm {
		t.Fatal("the slot was not freed in time")
	}
}

func TestReducedShareIsExceededUntilRequestsEnd(t *testing.T) {
	rtr := newRouter()
	tkts := admit(t, rtr, begin, "a", 8)
	rtr.SetVM("a0", "a", 2, true)
	if rtr.IsWithinShares() {
		t.Fatal("IsWithinShares with four requests on a share of two")
	}
	for _, tkt := range tkts {
		rtr.Complete(begin, tkt, Result{})
	}
	if !rtr.IsWithinShares() {
		t.Fatal("not IsWithinShares although no request runs")
	}
}

// BenchmarkDecision admits, places and ends one request at several sizes.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ pools, vms int }{{16, 73}, {157, 730}, {1570, 7300}} {
		b.Run(fmt.Sprintf("pools=%d/vms=%d", size.pools, size.vms), func(b *testing.B) {
			rtr := New(Config{Seed: 1, IsLendingEnabled: true})
			for idx := range size.pools {
				rtr.SetRow(rowOf(fmt.Sprint("p", idx), nil))
			}
			for idx := range size.vms {
				rtr.SetVM(fmt.Sprint("v", idx), fmt.Sprint("p", idx%size.pools), 4, true)
			}
			names := make([]string, size.pools)
			for idx := range names {
				names[idx] = fmt.Sprint("p", idx)
			}
			now := begin
			b.ReportAllocs()
			for idx := 0; b.Loop(); idx++ {
				now = now.Add(time.Microsecond)
				tkt, cd := rtr.Admit(now, names[idx%len(names)], time.Time{})
				if cd != code.OK {
					b.Fatal(cd.Name())
				}
				rtr.Complete(now, tkt, Result{})
			}
		})
	}
}
