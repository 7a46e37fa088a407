package quota_test

import (
	"slices"
	"testing"
	"time"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/job/plan"
)

func TestDivide(t *testing.T) {
	for _, tst := range []struct {
		limit  int64
		wishes []int64
		want   []int64
	}{
		{100, []int64{20, 30}, []int64{20, 30}},
		{100, []int64{20, 300}, []int64{20, 80}},
		{100, []int64{300, 20, 200}, []int64{40, 20, 40}},
		{0, []int64{5}, []int64{0}},
		{-7, []int64{5, 0}, []int64{0, 0}},
		{10, nil, []int64{}},
	} {
		if got := quota.Divide(tst.limit, tst.wishes); !slices.Equal(got, tst.want) {
			t.Errorf("%d among %d: %d, want %d", tst.limit, tst.wishes, got, tst.want)
		}
	}
}

func cores(num int64) plan.Demand { return plan.Demand{MilliCores: num} }

// site reports the use of one organisation with a limit of 100.
type site struct {
	ledger *quota.Ledger
	orgs   *organisation.Set
	seq    int64
}

func newSite(t *testing.T) *site {
	t.Helper()
	orgs := organisation.NewSet()
	if err := orgs.Add(organisation.Organisation{Name: "acme", Cap: cores(100)}, nil); err != nil {
		t.Fatal(err)
	}
	return &site{ledger: quota.NewLedger(), orgs: orgs}
}

// report returns the allowance in the reply to a report.
func (ste *site) report(pool string, held, used, want, late int64) int64 {
	ste.seq++
	ste.ledger.Handle(time.Time{}, quota.Report{Pool: pool, Fence: 1, Seq: ste.seq, Usages: []quota.Usage{
		{Organisation: "acme", Held: cores(held), Used: cores(used), Want: cores(want), Late: cores(late)},
	}})
	return ste.ledger.Grant(pool, ste.orgs)[0].Allowance.MilliCores
}

// One queue bursts after the other: what the first no longer needs goes to the second with its next report.
func TestAllowanceFollowsTheBurst(t *testing.T) {
	ste := newSite(t)
	if got := ste.report("a", 0, 0, 300, 0); got != 100 {
		t.Errorf("first pool in its burst gets %d, want all", got)
	}
	if got := ste.report("b", 0, 0, 200, 0); got != 0 {
		t.Errorf("second pool gets %d while the first holds all", got)
	}
	if got := ste.report("a", 100, 100, 0, 50); got != 50 {
		t.Errorf("the first pool keeps %d, want half, as its part is no more", got)
	}
	if got := ste.report("a", 50, 40, 0, 50); got != 40 {
		t.Errorf("the first pool keeps %d, want what it runs", got)
	}
	if got := ste.report("b", 0, 0, 200, 0); got != 50 {
		t.Errorf("second pool gets %d, want what the first has said that it does not hold", got)
	}
	ste.report("a", 0, 0, 0, 0)
	if got := ste.report("b", 50, 50, 150, 0); got != 100 {
		t.Errorf("second pool gets %d, want all that the first no longer holds", got)
	}
}

// Work that can end in time goes before work that is late in any case.
func TestLateWorkGetsTheRest(t *testing.T) {
	ste := newSite(t)
	if got := ste.report("a", 0, 0, 0, 500); got != 100 {
		t.Errorf("late work alone gets %d, want all", got)
	}
	ste.report("b", 0, 0, 60, 0)
	if got := ste.report("a", 100, 30, 0, 500); got != 40 {
		t.Errorf("first pool keeps %d, want what it runs and what the other does not want", got)
	}
}

// An old report that arrives late must not lower what is counted.
func TestOldReportsAreIgnored(t *testing.T) {
	led := quota.NewLedger()
	if !led.Handle(time.Time{}, quota.Report{Pool: "a", Fence: 2, Seq: 5}) {
		t.Error("first report is ignored")
	}
	for _, rpt := range []quota.Report{{Pool: "a", Fence: 2, Seq: 5}, {Pool: "a", Fence: 2, Seq: 4}, {Pool: "a", Fence: 1, Seq: 9}} {
		if led.Handle(time.Time{}, rpt) {
			t.Errorf("%+v is not ignored", rpt)
		}
	}
	if !led.Handle(time.Time{}, quota.Report{Pool: "a", Fence: 3, Seq: 1}) {
		t.Error("the report of a later owner is ignored")
	}
}
