// Package faults injects random faults into a whole site, drawn by a seed, and checks
// the invariants as the VMs and the callers observe them.
package faults

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"daisywheel/internal/event/timeline"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/standin/callers"
	"daisywheel/internal/standin/faultnet"
	"daisywheel/internal/standin/logservice"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/site"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seedCount = flag.Int("seeds", 1, "number of seeds")
	runLength = flag.Duration("length", 12*time.Second, "length of each run")
)

const (
	faultInterval = 400 * time.Millisecond
	meanPerSec    = 60.0
	recoveryTime  = 8 * time.Second
)

// faultRun is one run of a site under faults.
type faultRun struct {
	t          *testing.T
	rnd        *rand.Rand
	site       *site.Site
	wires      *faultnet.Network
	events     *bytes.Buffer
	faultCount int
	waveCount  int
}

func TestFaultsTogether(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	plan := site.Compost()
	if seed%2 == 0 {
		plan = site.Vendors()
	}
	plan.VMsPerPool = 6
	plan.RebootTime = 300 * time.Millisecond
	plan.ServiceTime = 40 * time.Millisecond
	frn := &faultRun{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), wires: faultnet.New(), events: &bytes.Buffer{}}
	ste, err := site.Start(site.Config{Plan: plan, Seed: seed, Events: frn.events, Dial: frn.wires.Dial, Log: logservice.Config{Retention: 400}})
	if err != nil {
		t.Fatal(err)
	}
	defer ste.Stop()
	frn.site = ste
	var services []string
	for _, pln := range plan.Pools {
		services = append(services, pln.Row.Service)
	}
	calls := callers.Start(callers.Config{
		Services: services, MeanPerSec: meanPerSec, SurgeTime: 2 * time.Second, Delay: time.Millisecond, Seed: seed,
		Entries: func() []string {
			var addresses []string
			for _, prc := range ste.Entries() {
				addresses = append(addresses, prc.Node().Settings().CallerAddress)
			}
			return addresses
		},
	})
	for until := time.Now().Add(*runLength); time.Now().Before(until); time.Sleep(faultInterval) {
		frn.injectFault()
	}
	frn.clearFaults()
	calls.Stop()
	frn.checkInvariants(calls.Tally())
	if t.Failed() {
		frn.writeTimeline(seed)
	}
}

func (frn *faultRun) randomVM() string {
	names := frn.site.VMs()
	return names[frn.rnd.IntN(len(names))]
}

func (frn *faultRun) randomEntry() string {
	entries := frn.site.Entries()
	return entries[frn.rnd.IntN(len(entries))].Node().Settings().Name
}

// setVMFault sets the fault of a random VM.
func (frn *faultRun) setVMFault(flt simvm.Fault) {
	frn.site.VM(frn.randomVM()).SetFault(flt)
}

// injectFault injects or clears one random fault, or starts one random operator action.
// All of these may happen at any moment by the users' brief.
func (frn *faultRun) injectFault() {
	frn.faultCount++
	actions := []func(){
		func() { frn.site.LogService().SetFault(logservice.Fault{IsDown: true}) },
		func() { frn.site.LogService().SetFault(logservice.Fault{Delay: 100 * time.Millisecond}) },
		func() {
			count := 0
			frn.site.LogService().SetFault(logservice.Fault{LoseReply: func() bool { count++; return count%2 == 0 }})
		},
		func() { frn.site.LogService().SetFault(logservice.Fault{}) },
		func() { frn.setVMFault(simvm.Fault{Hangs: true}) },
		func() { frn.setVMFault(simvm.Fault{Drops: true}) },
		func() { frn.setVMFault(simvm.Fault{CutsReply: true}) },
		func() { frn.setVMFault(simvm.Fault{Refuses: true}) },
		func() { frn.setVMFault(simvm.Fault{IsUnresponsive: true}) },
		func() { frn.setVMFault(simvm.Fault{Slow: 300 * time.Millisecond}) },
		func() { frn.setVMFault(simvm.Fault{}) },
		func() { frn.setVMFault(simvm.Fault{}) },
		frn.cutEntry,
		frn.cutZone,
		func() { frn.wires.Cut(nil) },
		func() {
			name := frn.randomEntry()
			frn.wires.Stall(func(entry, _ string) bool { return entry == name })
		},
		frn.moveVM,
		frn.moveVM,
		frn.startWave,
		frn.submitJob,
		frn.crashVM,
		func() { frn.site.VMList().SetDown(frn.rnd.IntN(2) == 0) },
	}
	actions[frn.rnd.IntN(len(actions))]()
}

func (frn *faultRun) cutEntry() {
	name := frn.randomEntry()
	frn.wires.Cut(func(entry, _ string) bool { return entry == name })
}

// cutZone cuts the entries of one zone off from the platform.
func (frn *faultRun) cutZone() {
	zone := strings.Split(frn.randomEntry(), "-e")[0]
	platform := strings.TrimPrefix(frn.site.PlatformBase(), "http://")
	frn.wires.Cut(func(entry, address string) bool { return strings.HasPrefix(entry, zone) && address == platform })
}

// sendChange sends an operator's change in the background.
func (frn *faultRun) sendChange(path string, in any) {
	go func() {
		// Refusals and unknown outcomes are expected; the checks use what the VMs observe.
		_, _ = frn.site.Client().Change(context.Background(), http.MethodPost, path, in)
	}()
}

func (frn *faultRun) moveVM() {
	name := frn.randomVM()
	pool := []string{"gate", "permits", "office", "booking", "portal"}[frn.rnd.IntN(5)]
	isLoan := frn.rnd.IntN(2) == 0
	var vms wire.VMs
	if frn.site.Client().Get(context.Background(), "/v1/vms", &vms) != nil {
		return
	}
	for _, vm := range vms.VMs {
		if vm.Name == name {
			frn.sendChange("/v1/vms/"+name+"/move", wire.Move{To: pool, IsLoan: isLoan, Epoch: vm.Epoch, ChangeID: uuid.NewString()})
		}
	}
}

func (frn *faultRun) startWave() {
	frn.waveCount++
	var names []string
	for range 4 {
		names = append(names, frn.randomVM())
	}
	frn.sendChange("/v1/waves", wire.WaveStart{Name: fmt.Sprint("wave", frn.waveCount), VMs: names, ChangeID: uuid.NewString()})
}

func (frn *faultRun) submitJob() {
	frn.sendChange("/v1/jobs", wire.Job{
		Name: fmt.Sprint("job", frn.faultCount), Team: "t", Kind: "k", Cores: 1 + frn.rnd.IntN(16), MemoryMB: 100,
		Priority: frn.rnd.IntN(100), Seconds: 1, ChangeID: uuid.NewString(),
	})
}

// crashVM crashes a random VM and replaces it 2 s later. A replacement is never crashed.
func (frn *faultRun) crashVM() {
	name := frn.randomVM()
	if strings.HasSuffix(name, "-new") {
		return
	}
	frn.site.CrashVM(name)
	time.AfterFunc(2*time.Second, func() { _ = frn.site.ReplaceVM(name) })
}

// clearFaults ends all faults and gives the site recoveryTime to recover.
func (frn *faultRun) clearFaults() {
	frn.wires.Cut(nil)
	frn.site.LogService().SetFault(logservice.Fault{})
	frn.site.VMList().SetDown(false)
	for _, name := range frn.site.VMs() {
		frn.site.VM(name).SetFault(simvm.Fault{})
	}
	time.Sleep(recoveryTime)
}

func (frn *faultRun) checkInvariants(tly callers.Tally) {
	t := frn.t
	stl := frn.site.Tally()
	t.Logf("served %d, refused as not run %d, unknown %d, reboots %d", tly.Served, tly.RefusedNotRun, tly.Unknown, stl.Boots)
	expectZero := func(name string, count int) {
		if count != 0 {
			t.Errorf("%s: %d", name, count)
		}
	}
	expectZero("requests that ran more than once", frn.site.CountRepeated(callers.IsAtMostOnce))
	expectZero("answers to other requests", tly.Mismatched)
	expectZero("truncated answers", tly.Truncated)
	expectZero("refusals without an outcome", tly.NoOutcome)
	expectZero("violations of the availability budget", stl.BudgetViolations)
	expectZero("requests beyond a VM's slots", int(stl.SlotsExceeded))
	expectZero("connections beyond a VM's limit", int(stl.ConnsExceeded))
	expectZero("requests sent to departing VMs", int(stl.LateWork))
	expectZero("requests interrupted by a planned reboot", int(stl.CutByReboot))
	expectZero("requests on VMs while they moved or rebooted", int(stl.WorkWhileMoving))
	expectZero("tasks on two VMs", stl.DuplicateTasks)
	lost, ran := 0, 0
	for _, id := range tly.Answered {
		if frn.site.Runs(id) == 0 {
			lost++
		}
	}
	for _, id := range tly.NotRun {
		if frn.site.Runs(id) > 0 {
			ran++
		}
	}
	expectZero("requests that were answered but never ran", lost)
	expectZero("requests that were refused as not run but ran", ran)
	if tly.Served == 0 {
		t.Error("nothing was served")
	}
	frn.checkConvergence()
}

// checkConvergence waits until every entry is reachable, has the table revision of the
// entry that answers, and is at most 50 records behind it.
func (frn *faultRun) checkConvergence() {
	var sts wire.Status
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if frn.site.Client().Get(context.Background(), "/v1/status", &sts) != nil {
			continue
		}
		isBehind := slices.ContainsFunc(sts.Entries, func(ent wire.Entry) bool {
			return !ent.IsReachable || ent.TableRev != sts.TableRev || ent.Offset+50 < sts.Offset
		})
		if !isBehind {
			return
		}
	}
	frn.t.Errorf("the entries did not converge: %+v", sts.Entries)
}

// writeTimeline writes the events of the run as text to a file in the temporary directory.
func (frn *faultRun) writeTimeline(seed uint64) {
	tml := timeline.New()
	if err := tml.Read(bytes.NewReader(frn.events.Bytes())); err != nil {
		frn.t.Log(err)
	}
	path := fmt.Sprintf("%s/faults-seed%d.txt", os.TempDir(), seed)
	var out bytes.Buffer
	_ = tml.WriteText(&out)
	_ = os.WriteFile(path, out.Bytes(), 0o600)
	frn.t.Logf("seed %d: wrote the timeline to %s", seed, path)
}
