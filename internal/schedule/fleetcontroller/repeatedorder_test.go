package fleetcontroller_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/schedule/fleetcontroller"
	"daisywheel/internal/standin/logstore"
)

// orderWithoutAnswers orders two evacuated machines of a wave while the platform neither carries out
// nor answers orders.
func orderWithoutAnswers(t *testing.T, plt *fakePlatform, ctl *fleetcontroller.Controller) {
	t.Helper()
	plt.setSilent(true)
	ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0", "gate-1"}, Cap: 2, Within: time.Minute})
	plt.runFor(ctl, 0, 2*time.Second)
	if plt.attemptCount() < 2 {
		t.Fatalf("%d orders sent, want 2 or more", plt.attemptCount())
	}
}

func (plt *fakePlatform) attemptCount() int {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	return len(plt.attempts)
}

func (plt *fakePlatform) orderCount() int {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	return len(plt.orders)
}

func (plt *fakePlatform) setSilent(isSilent bool) {
	plt.mu.Lock()
	defer plt.mu.Unlock()
	plt.isSilent = isSilent
}

// Guards against maintenance that ends more tasks of a step than may be missed: orders without an answer
// were repeated after the owner had given the machines tasks again.
func TestOrderIsRepeatedOnlyForAMachineThatIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		ctl := openController(t, log, plt, "first")
		orderWithoutAnswers(t, plt, ctl)
		time.Sleep(5 * time.Second) // without reports; owners lift evacuations after 4 s
		clear(plt.evacuating)
		plt.isBusy = map[string]bool{"gate-0": true, "gate-1": true}
		plt.setSilent(false)
		time.Sleep(time.Second)
		if plt.orderCount() > 0 {
			t.Errorf("%d machines ordered by reports of over 5 s before", plt.orderCount())
		}
		plt.runFor(ctl, 0, 2*time.Second)
		if plt.orderCount() > 0 {
			t.Errorf("%d machines ordered with tasks at work", plt.orderCount())
		}
		plt.isBusy = map[string]bool{"gate-1": true}
		plt.runFor(ctl, 0, 5*time.Second)
		ctl.Close()
		if plt.orderCount() != 1 || plt.firstOrderAt("gate-0").IsZero() {
			t.Errorf("%d machines ordered, want gate-0, which is evacuated again", plt.orderCount())
		}
	})
}

// The entry of the fleet controller was suspended after a report that a VM is evacuated. The owner has
// lifted the evacuation meanwhile.
func TestOrderIsNotSentByAReportFromBeforeASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		began := time.Now()
		var suspended atomic.Int64
		ctl := openControllerWithConfig(t, log, fleetcontroller.Config{
			Holder: "first", OrderRate: orderRate, Directory: plt.directory(), Journal: journal.New(journal.Config{}),
			SinceBoot: func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) },
		})
		orderWithoutAnswers(t, plt, ctl)
		before := plt.attemptCount()
		suspended.Store(int64(6 * time.Second))
		time.Sleep(time.Second)
		if after := plt.attemptCount(); after > before {
			t.Errorf("%d orders sent by reports from before the suspension", after-before)
		}
		plt.setSilent(false)
		plt.runFor(ctl, 0, 3*time.Second)
		if plt.orderCount() != 2 {
			t.Errorf("%d machines ordered by reports from after the suspension, want 2", plt.orderCount())
		}
		ctl.Close()
	})
}

// Guards against maintenance that ends tasks by a report that was on its way for longer than its owner keeps the VM
// closed, as when a cut between the entries heals.
func TestOrderIsNotSentByAReportThatArrivesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		ctl := openController(t, log, plt, "first")
		defer ctl.Close()
		time.Sleep(time.Second)
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		time.Sleep(300 * time.Millisecond)
		report := func() balance.Pool {
			rpt := plt.poolReport("gate", 0)
			rpt.HasAcks = true
			return rpt
		}
		asked, _ := ctl.HandleReport(time.Now(), report())
		if len(asked) != 1 {
			t.Fatalf("asked to evacuate %v, want a VM", asked)
		}
		late := report()
		late.AckedTerm, late.AckedAt = ctl.Stamp()
		plt.evacuating[asked[0]] = true
		evacuated := plt.poolReport("gate", 0).VMs
		late.VMs = evacuated
		time.Sleep(5 * time.Second) // the owner lifts the evacuation after 4 s
		ctl.HandleReport(time.Now(), late)
		time.Sleep(time.Second)
		if plt.orderCount() > 0 {
			t.Errorf("%d machines ordered by a report of 5 s before", plt.orderCount())
		}
		earlier := report()
		earlier.VMs, earlier.AckedTerm = evacuated, late.AckedTerm-1
		_, earlier.AckedAt = ctl.Stamp()
		ctl.HandleReport(time.Now(), earlier)
		time.Sleep(time.Second)
		if plt.orderCount() > 0 {
			t.Errorf("%d machines ordered by a report that acknowledges another controller", plt.orderCount())
		}
		present := report()
		present.VMs = evacuated
		present.AckedTerm, present.AckedAt = ctl.Stamp()
		ctl.HandleReport(time.Now(), present)
		time.Sleep(time.Second)
		if plt.orderCount() != 1 {
			t.Errorf("%d machines ordered by a present report, want 1", plt.orderCount())
		}
	})
}

// Guards against an order for a VM that ends the tasks of another one: the machine has restarted under a new id
// since the last list, and its owner still reports the former VM, which does not answer, as evacuated.
func TestOrderNeedsAListThatShowsTheVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		ctl := openController(t, log, plt, "first")
		defer ctl.Close()
		time.Sleep(time.Second)
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		time.Sleep(300 * time.Millisecond)
		asked, _ := ctl.HandleReport(time.Now(), plt.poolReport("gate", 0))
		if len(asked) != 1 {
			t.Fatalf("asked to evacuate %v, want a VM", asked)
		}
		plt.mu.Lock()
		plt.isUnlisted = true
		plt.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		plt.evacuating[asked[0]] = true
		former := plt.poolReport("gate", 0)
		for i := range former.VMs {
			former.VMs[i].IsUnresponsive = former.VMs[i].ID == asked[0]
		}
		plt.mu.Lock()
		plt.incarnations["gate-0"]++
		plt.mu.Unlock()
		ctl.HandleReport(time.Now(), former)
		time.Sleep(time.Second)
		if plt.orderCount() > 0 {
			t.Errorf("%d machines ordered by a list of over 1.5 s before", plt.orderCount())
		}
		plt.mu.Lock()
		plt.isUnlisted = false
		plt.mu.Unlock()
		ctl.HandleReport(time.Now(), former)
		time.Sleep(time.Second)
		if plt.orderCount() > 0 {
			t.Errorf("%d machines ordered that have another VM", plt.orderCount())
		}
		plt.runFor(ctl, 0, 2*time.Second)
		if plt.orderCount() != 1 {
			t.Errorf("%d machines ordered, want 1 once its present VM is evacuated", plt.orderCount())
		}
	})
}

// Guards against a move that ends tasks: by the controller's configuration, which is old, the VM's pool is on
// standby, but its owner reports tasks there.
func TestVMOfAStandbyPoolThatIsReportedIsEvacuatedFirst(t *testing.T) {
	for _, isReported := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
			tab := queue.NewTable(1, nil, []queue.Pool{{Name: "gate"}, {Name: "haul", IsStandby: true}})
			ctl := openControllerWithConfig(t, log, fleetcontroller.Config{
				Holder: "first", OrderRate: orderRate, Directory: plt.directory(), Journal: journal.New(journal.Config{}), Table: func() *queue.Table { return tab },
			})
			defer ctl.Close()
			for range 10 {
				if isReported {
					ctl.HandleReport(time.Now(), plt.poolReport("haul", 0))
				}
				ctl.HandleReport(time.Now(), plt.poolReport("gate", 20*16000))
				time.Sleep(200 * time.Millisecond)
			}
			if count := plt.orderCount(); (count > 0) == isReported {
				t.Errorf("%d machines ordered, reported by an owner: %v", count, isReported)
			}
		})
	}
}
