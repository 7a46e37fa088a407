package balance_test

import (
	"fmt"
	"testing"
	"time"

	"daisywheel/internal/fleet/balance"
)

var now = time.Unix(1000, 0)

// maxTransfers is above the number of transfers that the tests expect.
const maxTransfers = 16

func pool(name string, demand int64, idle, busy int) balance.Pool {
	pol := balance.Pool{Name: name, Demand: demand}
	for i := range idle + busy {
		vm := balance.VM{ID: fmt.Sprintf("%s-%d", name, i), MilliCores: 16000, IsUsable: true, Since: now.Add(-time.Minute)}
		if i >= idle {
			vm.Tasks, vm.LongRunning = 3, 1
		}
		pol.VMs = append(pol.VMs, vm)
	}
	return pol
}

func TestIdleVMsFollowTheBurst(t *testing.T) {
	spare := pool("spare", 0, 2, 0)
	spare.IsStandby = true
	got := balance.Decide(now, []balance.Pool{pool("gate", 160000, 0, 6), pool("haul", 0, 7, 2), spare}, maxTransfers)
	from := map[string]int{}
	for _, trf := range got {
		if trf.To != "gate" {
			t.Errorf("%v does not go to the pool with the burst", trf)
		}
		from[trf.From]++
	}
	if from["spare"] != 2 || from["haul"] != 4 {
		t.Errorf("transfers by pool %v, want all of spare and 4 of haul for 10 VMs and the headroom", from)
	}
}

func TestPoolKeepsWhatItNeeds(t *testing.T) {
	for _, tst := range []struct {
		name  string
		pools []balance.Pool
	}{
		{"no pool has reported", nil},
		{"no pool needs more", []balance.Pool{pool("gate", 10000, 5, 1), pool("haul", 0, 9, 0)}},
		{"VMs with long-running tasks stay", []balance.Pool{pool("gate", 900000, 0, 6), pool("haul", 0, 0, 9)}},
		{"both pools have a deficit", []balance.Pool{pool("gate", 900000, 1, 6), pool("haul", 900000, 1, 6)}},
		{"the last VMs stay", []balance.Pool{pool("gate", 900000, 0, 6), pool("haul", 0, 2, 0)}},
	} {
		if got := balance.Decide(now, tst.pools, maxTransfers); len(got) > 0 {
			t.Errorf("%s: %v", tst.name, got)
		}
	}
}

func TestVMsOfLateWorkMoveToTimelyWork(t *testing.T) {
	late := pool("haul", 0, 6, 0)
	for i := range late.VMs {
		late.VMs[i].Tasks = 6 - i
	}
	got := balance.Decide(now, []balance.Pool{pool("gate", 120000, 0, 7), late}, maxTransfers)
	if len(got) != 2 || got[0].VM != "haul-5" || got[1].VM != "haul-4" {
		t.Errorf("%v, want the two VMs with the fewest tasks", got)
	}
}

func TestLateWorkGetsIdleVMsOnly(t *testing.T) {
	haul := pool("haul", 0, 5, 0)
	haul.VMs[0].Tasks = 1
	gate := pool("gate", 16000, 0, 6)
	gate.LateDemand = 400000
	got := balance.Decide(now, []balance.Pool{gate, haul}, maxTransfers)
	if len(got) != 3 {
		t.Errorf("%v, want the idle VMs of haul except the two that it keeps", got)
	}
	for _, trf := range got {
		if trf.VM == "haul-0" {
			t.Error("a busy VM is evacuated for late work")
		}
	}
}

func TestVMStaysAfterMove(t *testing.T) {
	haul := pool("haul", 0, 5, 0)
	for i := range haul.VMs {
		haul.VMs[i].Since = now.Add(-100 * time.Millisecond)
	}
	if got := balance.Decide(now, []balance.Pool{pool("gate", 900000, 0, 6), haul}, maxTransfers); len(got) > 0 {
		t.Errorf("VMs that have just arrived move again: %v", got)
	}
}

// Expected work only gets VMs that are not needed elsewhere: idle ones, not from the
// standby pool, and not from a pool that expects work itself.
func TestForecastGetsIdleVMsOnly(t *testing.T) {
	spare := pool("spare", 0, 2, 0)
	spare.IsStandby = true
	gate := pool("gate", 16000, 1, 1)
	gate.Forecast = 500000
	haul, ticket := pool("haul", 16000, 5, 0), pool("ticket", 16000, 8, 0)
	haul.VMs[0].Tasks = 1
	ticket.Forecast = 900000
	got := balance.Decide(now, []balance.Pool{gate, haul, spare}, maxTransfers)
	if len(got) != 3 {
		t.Errorf("%v, want the idle VMs of haul except the two that it keeps", got)
	}
	for _, trf := range got {
		if trf.From != "haul" || trf.VM == "haul-0" {
			t.Errorf("%v for expected work", trf)
		}
	}
	if got := balance.Decide(now, []balance.Pool{gate, ticket}, maxTransfers); len(got) > 0 {
		t.Errorf("%v: a pool that expects work itself gives VMs", got)
	}
}

// Long-running tasks of one step run on different VMs, so a pool may lack VMs although
// it has free cores.
func TestPoolGetsVMsForLongRunningTasks(t *testing.T) {
	gate := pool("gate", 16000, 0, 6)
	gate.LongRunningDeficit = 2 * 16000
	got := balance.Decide(now, []balance.Pool{gate, pool("haul", 0, 7, 0)}, maxTransfers)
	if len(got) != 2 || got[0].To != "gate" || got[1].To != "gate" {
		t.Errorf("%v, want two VMs for gate", got)
	}
	gate.Incoming = 2 * 16000
	if got := balance.Decide(now, []balance.Pool{gate, pool("haul", 0, 7, 0)}, maxTransfers); len(got) > 0 {
		t.Errorf("%v although two VMs are already moving to the pool", got)
	}
}

func TestMovesAreBounded(t *testing.T) {
	pools := []balance.Pool{pool("gate", 900000, 0, 6), pool("haul", 0, 12, 0)}
	if got := balance.Decide(now, pools, 3); len(got) != 3 {
		t.Errorf("%d transfers, want the maximum of 3", len(got))
	}
	if got := balance.Decide(now, pools, 0); len(got) > 0 {
		t.Errorf("%v with a maximum of 0", got)
	}
}

// A burst goes from one queue to the next. The forecast of the first holds for seconds
// after its end, in which its idle VMs must go to the second all the same.
func TestIdleVMsFollowTheBurstDespiteAForecastThatHolds(t *testing.T) {
	ended, begun := pool("gate", 20000, 20, 4), pool("haul", 60000, 0, 4)
	ended.Forecast, begun.Forecast = 400000, 400000
	got := balance.Decide(now, []balance.Pool{ended, begun}, maxTransfers)
	if len(got) < 8 || got[0].To != "haul" {
		t.Errorf("%d transfers %v, want half of the VMs at haul", len(got), got)
	}
	begun.Forecast = 60000
	begun.Demand = 50000
	if got = balance.Decide(now, []balance.Pool{ended, begun}, maxTransfers); len(got) > 0 {
		t.Errorf("transfers %v to a pool that needs less than the forecast of the other", got)
	}
}

// The last burst's VMs are busy with work that is late in any case. The VM that is free first goes, also if it has more tasks.
func TestVMThatIsFreeFirstGoes(t *testing.T) {
	old := pool("old", 0, 5, 0)
	for i, vm := range []struct {
		tasks, yielding int
		freeIn          time.Duration
	}{{1, 0, 2 * time.Second}, {5, 5, 0}, {2, 1, time.Second}, {3, 0, 3 * time.Second}, {2, 0, time.Second}} {
		old.VMs[i].Tasks, old.VMs[i].Yielding, old.VMs[i].FreeIn = vm.tasks, vm.yielding, vm.freeIn
	}
	got := balance.Decide(now, []balance.Pool{old, pool("burst", 900000, 0, 6)}, maxTransfers)
	var order []string
	for _, trf := range got {
		if !trf.IsUrgent {
			t.Errorf("%v is not for work that can end in time", trf)
		}
		order = append(order, trf.VM)
	}
	if fmt.Sprint(order) != "[old-1 old-2 old-4]" {
		t.Errorf("order %v, want old-1 old-2 old-4, and two VMs that stay", order)
	}
}

// VMs that go ahead to work that has not arrived, or is late, let their tasks end.
func TestOtherMovesAreNotUrgent(t *testing.T) {
	next := pool("next", 0, 0, 6)
	next.Forecast = 900000
	for _, trf := range balance.Decide(now, []balance.Pool{pool("old", 0, 9, 0), next}, maxTransfers) {
		if trf.IsUrgent {
			t.Errorf("%v is urgent", trf)
		}
	}
}
