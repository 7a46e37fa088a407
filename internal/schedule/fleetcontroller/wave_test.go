package fleetcontroller_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/schedule/fleetcontroller"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// A wave was reported as completed although the maintenance of a machine had not begun: the
// machine had joined after the last list, or a list read in pages had left it out.
func TestWaveWithMachineMissingFromListIsNotCompleted(t *testing.T) {
	for _, tst := range []struct {
		name             string
		named            []string
		hiddenFor, delay time.Duration
	}{
		{"joins after the list", []string{"haul-7"}, 1100 * time.Millisecond, 0},
		{"joins while a list is under way", []string{"haul-7"}, 1500 * time.Millisecond, 900 * time.Millisecond},
		{"others are done", []string{"gate-0", "haul-7"}, 3500 * time.Millisecond, 0},
		{"lists lag", []string{"gate-0", "haul-7"}, 3900 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, plt, began := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul"), time.Now()
				plt.listDelay = tst.delay
				plt.isHidden = func(machine string) bool { return machine == "haul-7" && time.Since(began) < tst.hiddenFor }
				ctl := openController(t, log, plt, "first")
				plt.runFor(ctl, 0, time.Second)
				ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: tst.named, Cap: 2, Within: time.Minute})
				plt.runFor(ctl, 0, 15*time.Second)
				ctl.Close()
				ordered, completed := plt.firstOrderAt("haul-7"), plt.completedAt()
				if ordered.IsZero() || completed.Before(ordered) {
					t.Errorf("wave reported as completed after %s, maintenance of haul-7 begun after %s", completed.Sub(began), ordered.Sub(began))
				}
			})
		})
	}
}

// A wave must also end without a machine that is gone for good, and soon, with few lists.
func TestWaveWithMachineThatIsGoneIsCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		delete(plt.pools, "haul-7")
		ctl := openController(t, log, plt, "first")
		plt.runFor(ctl, 0, 10*time.Second)
		lists := plt.listCount()
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"haul-7"}, Cap: 2, Within: time.Minute})
		plt.runFor(ctl, 0, 5*time.Second)
		if plt.completedAt().IsZero() {
			t.Error("the wave is not completed 5 s after it was requested")
		}
		plt.runFor(ctl, 0, 30*time.Second)
		ctl.Close()
		if count := plt.listCount() - lists; count > 22 {
			t.Errorf("%d lists in 35 s, want one each 3 s once the wave is completed", count)
		}
	})
}

// The operator requested a wave again with another machine, and the running controller kept to
// the first request: it reported the wave as completed without that machine.
func TestWaveRequestedAgainWithOtherMachines(t *testing.T) {
	for after := 200 * time.Millisecond; after <= 4*time.Second; after += 200 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
			ctl := openController(t, log, plt, "first")
			ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
			plt.runFor(ctl, 0, after)
			again := time.Now()
			for range 2 { // a repetition of the same request changes nothing
				ctl.RequestWave(again, maintenance.Wave{Number: 1, Machines: []string{"gate-0", "haul-7"}, Cap: 2, Within: time.Minute})
				plt.runFor(ctl, 0, 6*time.Second)
			}
			ctl.Close()
			ordered := plt.firstOrderAt("haul-7")
			last := plt.reports[len(plt.reports)-1]
			if ordered.IsZero() || !last.isCompleted || last.at.Before(ordered) || len(plt.orders) != 2 || len(plt.reports) > 4 {
				t.Errorf("requested again after %s: orders %v, reports %v", after, plt.orders, plt.reports)
			}
			for _, rpt := range plt.reports {
				if rpt.isCompleted && rpt.at.After(again) && rpt.at.Before(ordered) {
					t.Errorf("requested again after %s: reported as completed before haul-7 was ordered", after)
				}
			}
		})
	}
}

// A controller that was cut off and replaced knew an earlier request of a wave than its
// successor. When it was no longer cut off it reported the wave as completed.
func TestReplacedControllerReportsNoWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		dir := plt.directory()
		var isCut atomic.Bool
		isCut.Store(true)
		var hasTried atomic.Bool // the platform would refuse it
		report := dir.ReportWave
		dir.ReportWave = func(ctx context.Context, rpt directory.WaveReport) error {
			if isCut.Load() {
				return statelog.ErrNotAppended
			}
			hasTried.Store(hasTried.Load() || rpt.IsCompleted)
			return report(ctx, rpt)
		}
		first := openControllerWithConfig(t, log, fleetcontroller.Config{Holder: "first", OrderRate: orderRate, Directory: dir, Journal: journal.New(journal.Config{})})
		first.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		plt.runFor(first, 0, 3*time.Second)
		second := openController(t, log, plt, "second")
		second.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0", "haul-7"}, Cap: 1, Within: time.Minute})
		isCut.Store(false)
		time.Sleep(2 * time.Second) // the second controller orders nothing, as it has no reports
		early := plt.completedAt()
		plt.runFor(second, 0, 10*time.Second)
		first.Close()
		second.Close()
		if !early.IsZero() || hasTried.Load() {
			t.Error("the replaced controller reported the wave as completed")
		}
		if plt.completedAt().IsZero() {
			t.Error("the wave was never reported as completed")
		}
	})
}

// A machine that was down for its maintenance and missing from one list no longer counted
// against the cap, and another one was taken down.
func TestWaveKeepsItsCapWhenAMachineIsMissingFromAList(t *testing.T) {
	checkCapWithShortList(t, 0)
}

// The same, when the order for the machine has had no reply.
func TestWaveKeepsItsCapWhenAnUnansweredMachineIsMissingFromAList(t *testing.T) {
	checkCapWithShortList(t, 4*time.Second)
}

func checkCapWithShortList(t *testing.T, unansweredFor time.Duration) {
	t.Helper()
	for hiddenFrom := 400 * time.Millisecond; hiddenFrom <= 2*time.Second; hiddenFrom += 200 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			log, plt, began := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul"), time.Now()
			plt.isHidden = func(machine string) bool {
				at := time.Since(began)
				return machine == "gate-0" && at >= hiddenFrom && at < hiddenFrom+400*time.Millisecond
			}
			plt.outcomeOf = func(string) directory.OrderOutcome {
				if time.Since(began) < unansweredFor {
					return directory.OrderUnknown
				}
				return directory.OrderDone
			}
			ctl := openController(t, log, plt, "first")
			ctl.RequestWave(began, maintenance.Wave{Number: 1, Machines: []string{"gate-0", "gate-1", "gate-2"}, Cap: 1, Within: time.Minute})
			plt.runFor(ctl, 0, 25*time.Second)
			ctl.Close()
			if len(plt.orders) != 3 {
				t.Errorf("missing after %s: %d orders for 3 machines", hiddenFrom, len(plt.orders))
			}
			plt.checkCap(t, 1)
		})
	}
}

// A wave that was reported as completed could not be traced to what the controller knew.
func TestReportedWaveIsTraceable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		var out bytes.Buffer
		jnl := journal.New(journal.Config{Out: &out})
		ctl := openControllerWithConfig(t, log, fleetcontroller.Config{Holder: "first", OrderRate: orderRate, Directory: plt.directory(), Journal: jnl})
		wav := maintenance.Wave{Number: 7, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute}
		for i := range 9 {
			wav.Machines = append(wav.Machines, fmt.Sprintf("gone-%d", i))
		}
		time.Sleep(100 * time.Millisecond) // the first round is over, which lists the machines
		ctl.RequestWave(time.Now(), wav)
		plt.runFor(ctl, 0, 8*time.Second)
		ctl.Close()
		jnl.Close()
		for _, want := range []string{
			`"completed":false,"machines":10,"done":0,"absent":9,"absentMachines":"gone-0 gone-1 gone-2 gone-3 gone-4","listAge":200000000,"fence":1`,
			`"completed":true,"machines":10,"done":1,"absent":9,"absentMachines":"gone-0 gone-1 gone-2 gone-3 gone-4","listAge":`,
		} {
			if !strings.Contains(out.String(), `"waveReported","process":"","zone":"","wave":7,`+want) {
				t.Errorf("no line with %s in\n%s", want, out.String())
			}
		}
	})
}

// A new fleet controller took a VM for evacuated by a report from before it had asked for
// that. The owner may have opened the VM to tasks again.
func TestVMEvacuatedForAnEarlierControllerIsNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		plt.isBusy = map[string]bool{"gate-0": true}
		wav := maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute}
		first := openController(t, log, plt, "first")
		first.RequestWave(time.Now(), wav)
		plt.runFor(first, 0, 2*time.Second)
		first.Close()
		plt.setBusy(nil)
		plt.listDelay = 50 * time.Millisecond // the report below comes before the first list
		second := openController(t, log, plt, "second")
		second.RequestWave(time.Now(), wav)
		if evacuating, _ := second.HandleReport(time.Now(), plt.poolReport("gate", 0)); len(evacuating) > 0 {
			t.Fatalf("told to evacuate %v before the machines are listed", evacuating)
		}
		time.Sleep(300 * time.Millisecond) // the owner opens the VM to tasks
		if len(plt.orders) > 0 {
			t.Errorf("ordered on a report from before the evacuation was requested: %v", plt.orders)
		}
		plt.runFor(second, 0, 3*time.Second)
		second.Close()
		if len(plt.orders) != 1 {
			t.Errorf("%d orders, want one after the evacuation", len(plt.orders))
		}
	})
}

// A wave with a machine that is gone was shown as in progress again after a change of the
// fleet controller.
func TestCompletedWaveStaysCompletedAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		delete(plt.pools, "haul-7")
		wav := maintenance.Wave{Number: 1, Machines: []string{"gate-0", "haul-7"}, Cap: 2, Within: time.Minute}
		first := openController(t, log, plt, "first")
		first.RequestWave(time.Now(), wav)
		plt.runFor(first, 0, 15*time.Second)
		first.Close()
		before := len(plt.reports)
		second := openController(t, log, plt, "second")
		second.RequestWave(time.Now(), wav)
		plt.runFor(second, 0, 15*time.Second)
		second.Close()
		if plt.completedAt().IsZero() {
			t.Error("the wave was never reported as completed")
		}
		for _, rpt := range plt.reports[before:] {
			if !rpt.isCompleted {
				t.Errorf("reported as in progress by the second controller at %s", rpt.at.Format(time.StampMilli))
			}
		}
	})
}

// A completed wave was requested again with a machine that no list showed yet, and its state
// stayed completed until the machine was listed.
func TestWaveRequestedAgainWithUnlistedMachineIsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt, began := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul"), time.Now()
		plt.isHidden = func(machine string) bool { return machine == "haul-7" && time.Since(began) < 8*time.Second }
		ctl := openController(t, log, plt, "first")
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		plt.runFor(ctl, 0, 5*time.Second)
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0", "haul-7"}, Cap: 2, Within: time.Minute})
		plt.runFor(ctl, 0, time.Second)
		if plt.reports[len(plt.reports)-1].isCompleted {
			t.Error("still completed 1 s after the wave was requested with another machine")
		}
		plt.runFor(ctl, 0, 10*time.Second)
		ctl.Close()
		if !plt.reports[len(plt.reports)-1].isCompleted {
			t.Error("not completed after the maintenance of both machines")
		}
	})
}

// A machine that left after its maintenance held up its wave for 9 s after a change of the
// fleet controller, as lists were read seldom.
func TestMachineThatHasLeftFreesTheCapSoonAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		plt.isBusy = map[string]bool{"gate-1": true}
		wav := maintenance.Wave{Number: 1, Machines: []string{"gate-0", "gate-1"}, Cap: 1, Within: time.Minute}
		first := openController(t, log, plt, "first")
		first.RequestWave(time.Now(), wav)
		plt.runFor(first, 0, 8*time.Second)
		plt.mu.Lock()
		delete(plt.pools, "gate-0")
		plt.mu.Unlock()
		plt.runFor(first, 0, 10*time.Second)
		first.Close()
		plt.setBusy(nil)
		takeover := time.Now()
		second := openController(t, log, plt, "second")
		second.RequestWave(time.Now(), wav)
		plt.runFor(second, 0, 20*time.Second)
		second.Close()
		// The machine is gone after 4 s of lists; an evacuation and an order follow.
		if wait := plt.firstOrderAt("gate-1").Sub(takeover); wait < 0 || wait > 6*time.Second {
			t.Errorf("the next machine was ordered %s after the takeover", wait)
		}
	})
}

// An owner that had been replaced reported from memory that a VM was evacuated, and the machine
// was ordered although the present owner had a task there.
func TestReportOfFormerOwnerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		plt.setBusy(map[string]bool{"gate-0": true})
		ctl := openController(t, log, plt, "first")
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		plt.runFor(ctl, 0, 3*time.Second)
		present := plt.poolReport("gate", 0)
		plt.setBusy(nil)
		former := plt.poolReport("gate", 0)
		present.FencingToken, former.FencingToken = 9, 5
		for range 5 {
			ctl.HandleReport(time.Now(), present)
			ctl.HandleReport(time.Now(), former)
			time.Sleep(50 * time.Millisecond)
		}
		ctl.Close()
		if len(plt.orders) > 0 {
			t.Errorf("orders %v on the report of a former owner", plt.orders)
		}
	})
}

// A wave must not be reported as completed on an order that the platform has not confirmed,
// nor on the record of one that an earlier controller sent.
func TestWaveWithUnconfirmedOrderIsNotCompleted(t *testing.T) {
	for name, out := range map[string]directory.OrderOutcome{
		"no answer": directory.OrderUnknown, "refused": directory.OrderRefused, "busy": directory.OrderBusy, "throttled": directory.OrderThrottled,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
				var isConfirming atomic.Bool
				plt.maintained["1/gate-0"] = true // the platform carries out nothing
				plt.outcomeOf = func(string) directory.OrderOutcome {
					if isConfirming.Load() {
						return directory.OrderDone
					}
					return out
				}
				req := maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute}
				for _, holder := range []string{"first", "second"} {
					ctl := openController(t, log, plt, holder)
					ctl.RequestWave(time.Now(), req)
					plt.runFor(ctl, 0, 8*time.Second)
					isConfirming.Store(holder == "second" && plt.completedAt().IsZero())
					if isConfirming.Load() {
						plt.runFor(ctl, 0, 8*time.Second)
					} else if !plt.completedAt().IsZero() {
						t.Errorf("the %s controller reported the wave as completed, no order was confirmed", holder)
					}
					ctl.Close()
				}
				if plt.completedAt().IsZero() {
					t.Error("the wave was never reported as completed")
				}
			})
		})
	}
}

// The log carried out a first report of a wave seconds late, after the wave was reported as
// completed, and the operator saw it in progress for good.
func TestLateReportDoesNotHideCompletedWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		dir := plt.directory()
		report, calls := dir.ReportWave, atomic.Int32{}
		dir.ReportWave = func(ctx context.Context, rpt directory.WaveReport) error {
			if calls.Add(1) > 1 {
				return report(ctx, rpt)
			}
			go func() {
				time.Sleep(6 * time.Second)
				_ = report(context.Background(), rpt)
			}()
			<-ctx.Done()
			return ctx.Err()
		}
		ctl := openControllerWithConfig(t, log, fleetcontroller.Config{Holder: "first", OrderRate: orderRate, Directory: dir, Journal: journal.New(journal.Config{})})
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute})
		plt.runFor(ctl, 0, 20*time.Second)
		ctl.Close()
		if last := plt.reports[len(plt.reports)-1]; !last.isCompleted {
			t.Errorf("the last report says that the completed wave is in progress: %v", plt.reports)
		}
	})
}

// A report of a former fleet controller that the log carries out late must not take effect after one
// of its successor, and a report that was refused must not leave a gap before the next.
func TestReportsOfWavesFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		dir := plt.directory()
		report, calls := dir.ReportWave, atomic.Int32{}
		var late directory.WaveReport
		dir.ReportWave = func(ctx context.Context, rpt directory.WaveReport) error {
			switch calls.Add(1) {
			case 1:
				return statelog.ErrNotAppended
			case 2:
				late = rpt
				<-ctx.Done()
				return ctx.Err()
			case 3:
				return statelog.ErrNotAppended // says nothing of the one before
			}
			return report(ctx, rpt)
		}
		ctl := openControllerWithConfig(t, log, fleetcontroller.Config{Holder: "first", OrderRate: orderRate, Directory: dir, Journal: journal.New(journal.Config{})})
		req := maintenance.Wave{Number: 1, Machines: []string{"gate-0"}, Cap: 1, Within: time.Minute}
		time.Sleep(100 * time.Millisecond) // the first round is over
		ctl.RequestWave(time.Now(), req)
		plt.runFor(ctl, 0, 20*time.Second)
		if len(plt.reports) != 2 || plt.reports[0].isCompleted || !plt.reports[1].isCompleted {
			t.Errorf("reports %v, want in progress and completed", plt.reports)
		}
		ctl.Close()
		next := openController(t, log, plt, "next")
		next.RequestWave(time.Now(), req)
		plt.runFor(next, 0, 10*time.Second)
		next.Close()
		if err := report(t.Context(), late); !errors.Is(err, statelog.ErrFenced) || !plt.reports[len(plt.reports)-1].isCompleted {
			t.Errorf("a late report of the former controller: %v, reports %v", err, plt.reports)
		}
	})
}

// An entry of the list of machines that can't be read is of a machine that is there: its VM has not
// ended, and a wave is not completed without it.
func TestUnreadableMachineIsNotGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt, began := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul"), time.Now()
		plt.isUnreadable = func(machine string) bool { return machine == "haul-7" && time.Since(began) < 12*time.Second }
		ctl := openController(t, log, plt, "first")
		plt.runFor(ctl, 0, time.Second)
		ctl.RequestWave(time.Now(), maintenance.Wave{Number: 1, Machines: []string{"gate-0", "haul-7"}, Cap: 2, Within: time.Minute})
		for time.Since(began) < 10*time.Second {
			plt.runFor(ctl, 0, 200*time.Millisecond)
			rpt := plt.poolReport("haul", 0)
			for i := range rpt.VMs {
				rpt.VMs[i].IsUnresponsive = strings.Contains(rpt.VMs[i].ID, "haul-7")
			}
			if _, ended := ctl.HandleReport(time.Now(), rpt); len(ended) != 0 {
				t.Fatalf("VMs %v are said to have ended after %s", ended, time.Since(began))
			}
		}
		plt.runFor(ctl, 0, 15*time.Second)
		ctl.Close()
		ordered, completed := plt.firstOrderAt("haul-7"), plt.completedAt()
		if ordered.IsZero() || completed.Before(ordered) {
			t.Errorf("wave reported as completed after %s, maintenance of haul-7 begun after %s", completed.Sub(began), ordered.Sub(began))
		}
		if first := plt.firstOrderAt("gate-0"); first.IsZero() || first.Sub(began) > 5*time.Second {
			t.Errorf("the maintenance of a machine that can be read begins after %s", first.Sub(began))
		}
	})
}
