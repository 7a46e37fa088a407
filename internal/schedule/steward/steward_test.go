package steward_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/upkeep"
	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/steward"
	"daisywheel/internal/standin/logstore"
)

const (
	orderLease = 3 * time.Second
	orderRate  = 100
)

// order is one order as the platform saw it.
type order struct {
	at      time.Time
	machine string
	holder  string
	fence   int64
}

// platform stands in for the list of machines and takes orders for them. A machine
// that is ordered is away for a while and comes back in another life.
type platform struct {
	mu     sync.Mutex
	pools  map[string]string // by machine
	lives  map[string]int
	backAt map[string]time.Time
	orders []order
	busy   map[string]bool // machines with a task that does not end
	// leaving are the VMs that the steward has asked to be emptied.
	leaving map[string]bool
	// maintained are the machines of waves whose maintenance has been ordered: another
	// order is answered alike and does nothing.
	maintained map[string]bool
	// answer is told of each order and may replace its outcome.
	answer func(machine string) directory.Ordered
	// listTakes is how long the list is on its way.
	listTakes time.Duration
}

const awayFor = 1500 * time.Millisecond

func newPlatform(pools ...string) *platform {
	plt := &platform{pools: map[string]string{}, lives: map[string]int{}, backAt: map[string]time.Time{}, maintained: map[string]bool{}, leaving: map[string]bool{}}
	for _, pool := range pools {
		for i := range 8 {
			plt.pools[fmt.Sprintf("%s-%d", pool, i)] = pool
		}
	}
	return plt
}

func (plt *platform) vm(machine string) string {
	return fmt.Sprintf("vm-%s-%d", machine, plt.lives[machine])
}

func (plt *platform) list(context.Context) ([]directory.Machine, error) {
	defer time.Sleep(plt.listTakes)
	plt.mu.Lock()
	defer plt.mu.Unlock()
	var all []directory.Machine
	for name, pool := range plt.pools {
		mac := directory.Machine{Name: name, Pool: pool, MilliCores: 16000}
		if mac.IsUp = !time.Now().Before(plt.backAt[name]); mac.IsUp {
			mac.VM = plt.vm(name)
		}
		all = append(all, mac)
	}
	return all, nil
}

func (plt *platform) take(machine, pool, holder string, fence int64) (directory.Ordered, error) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	now := time.Now()
	plt.orders = append(plt.orders, order{now, machine, holder, fence})
	plt.pools[machine] = pool
	plt.lives[machine]++
	plt.backAt[machine] = now.Add(awayFor)
	return directory.OrderDone, nil
}

func (plt *platform) directory() directory.Client {
	return directory.Client{
		Machines: plt.list,
		Move: func(_ context.Context, machine, pool, holder string, fence int64) (directory.Ordered, error) {
			return plt.take(machine, pool, holder, fence)
		},
		Maintain: func(_ context.Context, machine string, wave int64, holder string, fence int64) (directory.Ordered, error) {
			plt.mu.Lock()
			pool, key := plt.pools[machine], fmt.Sprint(wave, "/", machine)
			isDone, answer := plt.maintained[key], plt.answer
			plt.maintained[key] = true
			plt.mu.Unlock()
			out := directory.OrderDone
			if !isDone {
				out, _ = plt.take(machine, pool, holder, fence)
			}
			if answer != nil {
				out = answer(machine)
			}
			return out, nil
		},
		ReportWave: func(context.Context, int64, bool) error { return nil },
	}
}

func tasksOf(isBusy bool) int {
	if isBusy {
		return 1
	}
	return 0
}

// report is what a pool's owner says, whose VMs are idle and empty.
func (plt *platform) report(pool string, wanted int64) balance.Pool {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	pol := balance.Pool{Name: pool, Wanted: wanted}
	for name, at := range plt.pools {
		if at == pool && !time.Now().Before(plt.backAt[name]) {
			pol.VMs = append(pol.VMs, balance.VM{ID: plt.vm(name), MilliCores: 16000, IsUsable: true, IsLeaving: plt.leaving[plt.vm(name)], Tasks: tasksOf(plt.busy[name])})
		}
	}
	return pol
}

// tell reports both pools, with the VMs that the steward wants emptied as empty, as it
// said before and says now.
func (plt *platform) tell(ctl *steward.Steward, gateWants int64) {
	now := time.Now()
	for _, pol := range []balance.Pool{plt.report("gate", gateWants), plt.report("haul", 0)} {
		leaving, _ := ctl.Report(now, pol)
		plt.mu.Lock()
		for _, vm := range pol.VMs {
			plt.leaving[vm.ID] = slices.Contains(leaving, vm.ID)
		}
		plt.mu.Unlock()
		ctl.Report(now, plt.report(pol.Name, pol.Wanted))
	}
}

func open(t *testing.T, store *logstore.Store, plt *platform, name string) *steward.Steward {
	t.Helper()
	tab := queue.NewTable(1, nil, []queue.Service{{Name: "gate"}, {Name: "haul"}})
	ctl, err := steward.Open(t.Context(), time.Now(), steward.Config{
		Holder: name, Address: name, OrderLease: orderLease, OrderRate: orderRate, Archive: store.Client(), Directory: plt.directory(),
		Journal: journal.New(journal.Config{}), Table: func() *queue.Table { return tab },
	})
	if err != nil {
		t.Fatal(err)
	}
	return ctl
}

func (plt *platform) run(ctl *steward.Steward, gateWants int64, dur time.Duration) {
	for limit := time.Now().Add(dur); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
		plt.tell(ctl, gateWants)
	}
}

// Another steward may order machines at once, but not those that the one before has
// ordered within the lease.
func TestHoldersKeepApartOnEachMachineAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		first := open(t, store, plt, "first")
		plt.run(first, 10*16000, 2*time.Second)
		early := len(plt.orders)
		if early == 0 {
			t.Fatal("the first steward has moved nothing")
		}
		second := open(t, store, plt, "second")
		changed := time.Now()
		second.Request(changed, upkeep.Wave{Number: 1, Machines: []string{"gate-0", "gate-1", plt.orders[0].machine}, Cap: 3, Within: time.Minute})
		plt.run(second, 0, 8*time.Second)
		first.Close()
		second.Close()
		lastOf := map[string]order{}
		var soonest time.Duration
		for _, ord := range plt.orders {
			last, isKnown := lastOf[ord.machine]
			if isKnown && last.holder != ord.holder && ord.at.Sub(last.at) < orderLease {
				t.Errorf("%s: %s orders %s after %s", ord.machine, ord.holder, ord.at.Sub(last.at), last.holder)
			}
			if isKnown && ord.fence < last.fence {
				t.Errorf("%s: fence %d after %d", ord.machine, ord.fence, last.fence)
			}
			lastOf[ord.machine] = ord
			if ord.holder == "second" && soonest == 0 {
				soonest = ord.at.Sub(changed)
			}
		}
		if len(plt.orders) < early+3 {
			t.Errorf("%d orders of the wave, want 3", len(plt.orders)-early)
		}
		if soonest > time.Second {
			t.Errorf("the second steward's first order comes after %s, though no one else orders that machine", soonest)
		}
	})
}

func TestWaveKeepsItsCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		ctl := open(t, store, plt, "first")
		var all []string
		for name := range plt.pools {
			all = append(all, name)
		}
		ctl.Request(time.Now(), upkeep.Wave{Number: 7, Machines: all, Cap: 2, Within: time.Minute})
		plt.run(ctl, 0, 40*time.Second)
		ctl.Close()
		if len(plt.orders) != len(all) {
			t.Errorf("%d orders for %d machines", len(plt.orders), len(all))
		}
		plt.checkCap(t, 2)
	})
}

// checkCap reports orders that took a machine down while so many others were.
func (plt *platform) checkCap(t *testing.T, most int) {
	t.Helper()
	for i, ord := range plt.orders {
		down := 0
		for _, other := range plt.orders[:i] {
			if ord.at.Sub(other.at) < awayFor {
				down++
			}
		}
		if down >= most {
			t.Errorf("%s is taken down while %d others are", ord.machine, down)
		}
	}
}

func (plt *platform) names() []string {
	var all []string
	for name := range plt.pools {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// Hunted days 03c2-3 and 5528-3 of the compost site: the entry of the steward is
// replaced while machines of a wave are down, and those that it had stored as done
// were not counted by its successor.
func TestWaveKeepsItsCapOverAChangeOfSteward(t *testing.T) {
	for led := 100 * time.Millisecond; led <= 2*time.Second; led += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
			wav := upkeep.Wave{Number: 7, Machines: plt.names(), Cap: 4, Within: time.Minute}
			plt.busy = map[string]bool{}
			for _, name := range plt.names()[2:] {
				plt.busy[name] = true
			}
			first := open(t, store, plt, "first")
			first.Request(time.Now(), wav)
			plt.run(first, 0, 500*time.Millisecond)
			plt.setBusy(nil) // more become empty, so their orders store what was done before
			plt.run(first, 0, led)
			first.Close()
			second := open(t, store, plt, "second")
			second.Request(time.Now(), wav)
			plt.run(second, 0, 40*time.Second)
			second.Close()
			if len(plt.orders) != len(wav.Machines) {
				t.Errorf("led %s: %d orders for %d machines", led, len(plt.orders), len(wav.Machines))
			}
			plt.checkCap(t, 4)
		})
	}
}

// An order without an answer is repeated, and answered as done though the machine is
// back already. Its VM must not be kept empty for the rest of the term.
func TestRepeatedOrderOfADoneMaintenanceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		began := time.Now()
		plt.answer = func(string) directory.Ordered {
			if time.Since(began) < 4*time.Second {
				return directory.OrderUnknown
			}
			return directory.OrderDone
		}
		ctl := open(t, store, plt, "first")
		ctl.Request(began, upkeep.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		plt.run(ctl, 0, 8*time.Second)
		leaving, _ := ctl.Report(time.Now(), plt.report("gate", 0))
		ctl.Close()
		if len(leaving) != 0 {
			t.Errorf("VMs to be emptied: %v, want none after the wave", leaving)
		}
	})
}

// The same over a change of steward, whose successor does not know the outcome.
func TestRestoredMaintenanceThatWasDoneEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		wav := upkeep.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute}
		plt.answer = func(string) directory.Ordered { return directory.OrderUnknown }
		first := open(t, store, plt, "first")
		first.Request(time.Now(), wav)
		plt.run(first, 0, time.Second)
		first.Close()
		plt.mu.Lock()
		plt.answer = nil
		plt.mu.Unlock()
		time.Sleep(3 * time.Second)
		second := open(t, store, plt, "second")
		second.Request(time.Now(), wav)
		plt.run(second, 0, 12*time.Second)
		leaving, _ := second.Report(time.Now(), plt.report("gate", 0))
		second.Close()
		if len(leaving) != 0 {
			t.Errorf("VMs to be emptied: %v, want none after the wave", leaving)
		}
	})
}

// A VM that has started anew by itself is ordered down; the list that was asked for
// before shows it up in another life, which is not the end of its maintenance.
func TestListFromBeforeAnOrderDoesNotEndIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		plt.listTakes = 150 * time.Millisecond
		ctl := open(t, store, plt, "first")
		ctl.Request(time.Now(), upkeep.Wave{Number: 1, Machines: plt.names(), Cap: 2, Within: time.Minute})
		for limit := time.Now().Add(25 * time.Second); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
			plt.restart("gate-" + fmt.Sprint(int(time.Until(limit)/time.Second)%8))
			plt.tell(ctl, 0)
		}
		ctl.Close()
		plt.checkCap(t, 2)
	})
}

func TestPoolWithLastingTasksIsToldWhichVMsAreDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		ctl := open(t, store, plt, "first")
		ctl.Request(time.Now(), upkeep.Wave{Number: 1, Machines: []string{"gate-0", "gate-1", "haul-0"}, Cap: 1, Within: time.Minute})
		plt.run(ctl, 0, time.Second)
		pol := plt.report("gate", 0)
		if due := ctl.Due(pol); len(due) != 0 {
			t.Errorf("%v are due in a pool without lasting tasks", due)
		}
		pol.VMs[0].Lasting = 1
		first := ctl.Due(pol)
		plt.run(ctl, 0, 20*time.Second)
		pol = plt.report("gate", 0)
		pol.VMs[0].Lasting = 1
		last := ctl.Due(pol)
		ctl.Close()
		if len(first) == 0 || len(first) > 2 {
			t.Errorf("%v are due early in the wave, want VMs of gate-0 and gate-1", first)
		}
		if len(last) != 0 {
			t.Errorf("%v are due after the wave", last)
		}
	})
}

// Drawn day 64e3 of osoc: a steward that was cut off is replaced, and nobody reports to
// it any more, so it has nothing to store and never hears that it was. When the seat
// falls to its entry again, the fleet has no steward.
func TestReplacedStewardWithoutOrdersFindsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		first := open(t, store, plt, "first")
		time.Sleep(2 * time.Second)
		select {
		case <-first.Lost():
			t.Fatal("lost without a successor")
		default:
		}
		second := open(t, store, plt, "second")
		time.Sleep(2 * time.Second)
		select {
		case <-first.Lost():
		default:
			t.Error("the first steward does not know that it was replaced 2 s ago")
		}
		first.Close()
		second.Close()
	})
}

// VMs that are empty and only wait for the store keep waiting, so that they move as
// soon as it is back.
func TestEmptyVMsWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := logstore.New(logstore.Config{Latency: 4 * time.Millisecond, Fault: func(app archive.Append) logstore.Fault {
			if now := time.Since(began); app.Topic == "fleet" && now > 100*time.Millisecond && now < 6*time.Second {
				return logstore.Down
			}
			return logstore.None
		}})
		plt := newPlatform("gate", "haul")
		ctl := open(t, store, plt, "first")
		plt.run(ctl, 10*16000, time.Second)
		plt.run(ctl, 0, 4*time.Second) // nothing more is accepted, so nothing more is wanted
		leaving, _ := ctl.Report(time.Now(), plt.report("haul", 0))
		if len(leaving) == 0 {
			t.Error("the VMs that were emptied before are not kept empty")
		}
		plt.run(ctl, 0, 1500*time.Millisecond)
		ctl.Close()
		if len(plt.orders) == 0 {
			t.Error("nothing was ordered half a second after the store was back")
		}
	})
}

// setBusy says which machines have a task that does not end.
func (plt *platform) setBusy(busy map[string]bool) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.busy = busy
}

// restart gives a machine that is up another life.
func (plt *platform) restart(machine string) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	if !time.Now().Before(plt.backAt[machine]) {
		plt.lives[machine]++
	}
}

// A steward that has been idle leaves nothing for its successor to keep away from.
func TestIdleStewardHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		first := open(t, store, plt, "first")
		plt.run(first, 10*16000, time.Second)
		plt.run(first, 0, orderLease+3*time.Second)
		early := len(plt.orders)
		if early == 0 {
			t.Fatal("the first steward has moved nothing")
		}
		second := open(t, store, plt, "second")
		changed := time.Now()
		var all []string
		for name := range plt.pools {
			all = append(all, name)
		}
		second.Request(changed, upkeep.Wave{Number: 1, Machines: all, Cap: len(all), Within: time.Minute})
		plt.run(second, 0, time.Second)
		first.Close()
		second.Close()
		if got := len(plt.orders) - early; got != len(all) {
			t.Errorf("%d of %d machines are ordered within a second", got, len(all))
		}
	})
}

// A machine that is long in emptying gives its place to another one of the wave, but
// it is not filled again when there is no other.
func TestLastMachineOfAWaveIsEmptiedToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newPlatform("gate", "haul")
		plt.busy = map[string]bool{"gate-0": true}
		ctl := open(t, store, plt, "first")
		ctl.Request(time.Now(), upkeep.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		plt.run(ctl, 0, 20*time.Second)
		leaving, _ := ctl.Report(time.Now(), plt.report("gate", 0))
		if len(leaving) != 1 {
			t.Errorf("VMs to be emptied: %v, want that of the wave", leaving)
		}
		ctl.Request(time.Now(), upkeep.Wave{Number: 2, Machines: []string{"gate-0", "gate-1"}, Cap: 1, Within: time.Minute})
		plt.setBusy(nil)
		plt.run(ctl, 0, 20*time.Second)
		ctl.Close()
		if len(plt.orders) != 3 {
			t.Errorf("%d orders, want one for the first wave and two for the second", len(plt.orders))
		}
	})
}
