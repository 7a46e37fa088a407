// Package demo runs a whole site on loopback with load, edits, a move, a wave, jobs
// and faults, and reports what the VMs and the callers saw.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/standin/callers"
	"daisywheel/internal/standin/logservice"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/site"
)

// Settings of the demo.
const (
	meanPerSec       = 120.0            // requests to each service
	defaultRunTime   = 60 * time.Second // over which the steps are spread when there is no time limit
	finishTimeout    = 8 * time.Second  // longest wait for the wave and the jobs at the end
	surgeCount       = 10               // surges within the run time
	jobCount         = 12
	progressInterval = time.Second
	waveName         = "spring"
	clearLine        = "\r\x1b[K" // returns to the start of a terminal's line and clears it
	waveInterval     = 50 * time.Millisecond
)

// Config holds the demo's arguments. If For is 0, the demo runs until Quit is closed.
type Config struct {
	For      time.Duration
	Seed     uint64
	Plan     site.Plan
	Progress io.Writer
	IsLive   bool // Progress is a terminal, on which one line is updated in place
	Events   io.Writer
	Quit     <-chan struct{}
}

// Report is the result of the demo. Its counts of violated invariants come from the
// stand-in VMs and callers.
type Report struct {
	Site             string  `json:"site"`
	Seed             uint64  `json:"seed"`
	Served           int     `json:"served"`
	RefusedNotRun    int     `json:"refusedNotRun"`
	Unknown          int     `json:"unknown"`
	Lost             int     `json:"lost"`      // answered requests that no VM ran
	Doubled          int     `json:"doubled"`   // requests that ran more than once and must not
	NotRunRan        int     `json:"notRunRan"` // requests that ran but were refused as not run
	Crossed          int     `json:"crossed"`   // replies that belong to another request
	Truncated        int     `json:"truncated"`
	BudgetViolations int     `json:"budgetViolations"`
	SlotsExceeded    int64   `json:"slotsExceeded"`
	ConnsExceeded    int64   `json:"connsExceeded"`
	LateWork         int64   `json:"lateWork"`
	CutByReboot      int64   `json:"cutByReboot"`
	TwinTasks        int     `json:"twinTasks"` // tasks that ran on two VMs at once
	JobsDone         int     `json:"jobsDone"`
	JobsSubmitted    int     `json:"jobsSubmitted"`
	VMMoves          int     `json:"vmMoves"`
	WaveDone         bool    `json:"waveDone"`
	WaveVMs          int     `json:"waveVMs"`
	RollOutSeconds   float64 `json:"rollOutSeconds"`
	ConfigInForceMs  int64   `json:"configInForceMs"`
	BufferCost       float64 `json:"bufferCost"` // share of the slot time that was not used
	DelayP50Ms       float64 `json:"delayP50Ms"`
	DelayP99Ms       float64 `json:"delayP99Ms"`
	Broken           string  `json:"broken"` // names of the violated invariants, separated by commas
}

// Demo is one run.
type Demo struct {
	cfg           Config
	site          *site.Site
	load          *callers.Callers
	report        Report
	startedAt     time.Time
	waveStartedAt time.Time
	movedVM       string
	waveLoop      *loop.Loop
	mu            sync.Mutex
	wave          wire.Wave // as last read
	waveDoneAt    time.Time
	isInterrupted bool // Quit was closed before the end
}

// Run runs the demo and returns its report.
func Run(cfg Config) (Report, error) {
	dmo := &Demo{cfg: cfg, report: Report{Site: cfg.Plan.Name, Seed: cfg.Seed}}
	ste, err := site.Start(site.Config{Plan: cfg.Plan, Seed: cfg.Seed, Events: cfg.Events})
	if err != nil {
		return dmo.report, err
	}
	dmo.site = ste
	defer ste.Stop()
	dmo.printAddresses()
	var services []string
	for _, pln := range cfg.Plan.Pools {
		services = append(services, pln.Row.Service)
	}
	runTime := cfg.For
	if runTime == 0 {
		runTime = defaultRunTime
	}
	dmo.load = callers.Start(callers.Config{
		Services: services, MeanPerSec: meanPerSec, SurgeTime: runTime / surgeCount, Delay: cfg.Plan.CallerDelay,
		Seed: cfg.Seed, Entries: dmo.callerAddresses,
	})
	dmo.startedAt = time.Now()
	dmo.runSteps(runTime)
	dmo.finish()
	return dmo.report, nil
}

func (dmo *Demo) callerAddresses() []string {
	var addresses []string
	for _, prc := range dmo.site.Entries() {
		addresses = append(addresses, prc.Node().Settings().CallerAddress)
	}
	return addresses
}

func (dmo *Demo) printf(format string, args ...any) {
	clear := ""
	if dmo.cfg.IsLive {
		clear = clearLine
	}
	_, _ = fmt.Fprintf(dmo.cfg.Progress, clear+format+"\n", args...)
}

// progressf prints a progress line, which the next line replaces on a terminal.
func (dmo *Demo) progressf(format string, args ...any) {
	if !dmo.cfg.IsLive {
		dmo.printf(format, args...)
		return
	}
	_, _ = fmt.Fprintf(dmo.cfg.Progress, clearLine+format, args...)
}

func (dmo *Demo) printAddresses() {
	var addresses []string
	for _, prc := range dmo.site.Entries() {
		set := prc.Node().Settings()
		dmo.printf("entry %-8s zone %-6s callers http://%s/s/  operators %s", set.Name, set.Zone, set.CallerAddress, set.OperatorAddress)
		addresses = append(addresses, set.OperatorAddress)
	}
	dmo.printf("In a second terminal:")
	dmo.printf("  export DAISYWHEEL_OPERATOR=%s", strings.Join(addresses, ","))
	dmo.printf("  export DAISYWHEEL_TOKEN=%s", dmo.site.Token())
}

// step is one event of the demo, which happens after a share of the run time.
type step struct {
	share float64
	name  string
	run   func() error
}

func (dmo *Demo) steps() []step {
	return []step{
		{0.08, "an operator raises a queue limit", dmo.editTable},
		{0.12, "an operator moves a VM to another pool", dmo.moveVM},
		{0.16, "jobs are submitted", dmo.submitJobs},
		{0.20, "a maintenance wave starts over two pools", dmo.startWave},
		{0.35, "a VM fails for good", dmo.crashVM},
		{0.45, "the platform replaces the VM", dmo.replaceVM},
		{0.50, "the log service goes down", dmo.stopLog},
		{0.58, "the log service is back but loses some replies", dmo.loseLogReplies},
		{0.64, "the log service works again", dmo.restoreLog},
		{0.66, "a backend server accepts requests but never answers", dmo.hangBackend},
		{0.72, "the backend server works again", dmo.restoreBackend},
		{0.76, "an entry is replaced", dmo.replaceEntry},
	}
}

// runSteps runs the steps at their times. Without a time limit the site then goes on
// serving until Quit is closed.
func (dmo *Demo) runSteps(runTime time.Duration) {
	for _, stp := range dmo.steps() {
		at := dmo.startedAt.Add(time.Duration(stp.share * float64(runTime)))
		if !dmo.waitUntil(at) {
			return
		}
		dmo.printf("%6.1fs %s", time.Since(dmo.startedAt).Seconds(), stp.name)
		if err := stp.run(); err != nil {
			dmo.printf("%6.1fs   %v", time.Since(dmo.startedAt).Seconds(), err)
		}
	}
	if dmo.cfg.For > 0 {
		dmo.waitUntil(dmo.startedAt.Add(runTime))
		return
	}
	dmo.printf("All steps are done; the site serves until Ctrl-C.")
	dmo.waitUntil(dmo.startedAt.Add(365 * 24 * time.Hour))
}

// waitUntil prints progress until the given time. It returns false if Quit is closed
// first.
func (dmo *Demo) waitUntil(at time.Time) bool {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	end := time.NewTimer(time.Until(at))
	defer end.Stop()
	for {
		select {
		case <-dmo.cfg.Quit:
			dmo.isInterrupted = true
			return false
		case <-end.C:
			return true
		case <-tick.C:
			tly := dmo.load.Tally()
			dmo.progressf("%6.1fs served %d, refused %d, unknown %d", time.Since(dmo.startedAt).Seconds(), tly.Served, tly.RefusedNotRun, tly.Unknown)
		}
	}
}

func (dmo *Demo) pool(idx int) string { return dmo.cfg.Plan.Pools[idx].Row.Pool }

func (dmo *Demo) change(path string, in any) (wire.Answer, error) {
	return dmo.site.Client().Change(context.Background(), http.MethodPost, path, in)
}

func (dmo *Demo) editTable() error {
	var tbl wire.Table
	if err := dmo.site.Client().Get(context.Background(), "/v1/table", &tbl); err != nil {
		return err
	}
	for _, rw := range tbl.Rows {
		if rw.Pool != dmo.pool(0) {
			continue
		}
		edt := wire.Edit{Row: rw, BaseRev: rw.Rev, ChangeID: uuid.NewString(), Author: "demo"}
		edt.Row.Queue += 50
		ans, err := dmo.site.Client().Change(context.Background(), http.MethodPut, "/v1/table/rows/"+rw.Pool, edt)
		if err != nil {
			return err
		}
		if len(ans.LaggingEntries) > 0 {
			return errors.Newf("the change is not in force at the entries %v", ans.LaggingEntries)
		}
		dmo.report.ConfigInForceMs = ans.InForceMs
	}
	return nil
}

func (dmo *Demo) vm(name string) (wire.VM, error) {
	var vms wire.VMs
	if err := dmo.site.Client().Get(context.Background(), "/v1/vms", &vms); err != nil {
		return wire.VM{}, err
	}
	for _, vm := range vms.VMs {
		if vm.Name == name {
			return vm, nil
		}
	}
	return wire.VM{}, errors.Newf("no VM %s", name)
}

func (dmo *Demo) moveVM() error {
	spare := dmo.pool(len(dmo.cfg.Plan.Pools) - 1)
	dmo.movedVM = spare + "-01"
	vm, err := dmo.vm(dmo.movedVM)
	if err != nil {
		return err
	}
	_, err = dmo.change("/v1/vms/"+vm.Name+"/move", wire.Move{
		To: dmo.pool(0), IsLoan: true, Epoch: vm.Epoch, ChangeID: uuid.NewString(), Author: "demo",
	})
	return err
}

func (dmo *Demo) submitJobs() error {
	for idx := range jobCount {
		jb := wire.Job{
			Name: fmt.Sprintf("settle-%02d", idx), Team: "ledger", Kind: "settlement", Cores: 2 + idx%4,
			MemoryMB: 4096, Priority: 10, Seconds: 2, ChangeID: uuid.NewString(), Author: "demo",
		}
		if _, err := dmo.change("/v1/jobs", jb); err != nil {
			return err
		}
		dmo.report.JobsSubmitted++
	}
	return nil
}

// watchWave reads the wave and records the time at which it is first seen done.
func (dmo *Demo) watchWave(now time.Time) {
	var wav wire.Wave
	if dmo.site.Client().Get(context.Background(), "/v1/waves/"+waveName, &wav) != nil {
		return
	}
	dmo.mu.Lock()
	defer dmo.mu.Unlock()
	dmo.wave = wav
	if wav.State == "done" && dmo.waveDoneAt.IsZero() {
		dmo.waveDoneAt = now
	}
}

func (dmo *Demo) startWave() error {
	dmo.waveStartedAt = time.Now()
	dmo.waveLoop = loop.Every("wave", waveInterval, dmo.watchWave)
	_, err := dmo.change("/v1/waves", wire.WaveStart{
		Name: waveName, Pools: []string{dmo.pool(1), dmo.pool(2)}, ChangeID: uuid.NewString(), Author: "demo",
	})
	return err
}

func (dmo *Demo) crashVM() error {
	dmo.site.CrashVM(dmo.pool(3) + "-03")
	return nil
}

func (dmo *Demo) replaceVM() error { return dmo.site.ReplaceVM(dmo.pool(3) + "-03") }

func (dmo *Demo) stopLog() error {
	dmo.site.LogService().SetFault(logservice.Fault{IsDown: true})
	return nil
}

func (dmo *Demo) loseLogReplies() error {
	count := 0
	dmo.site.LogService().SetFault(logservice.Fault{LoseReply: func() bool {
		count++
		return count%3 == 0
	}})
	return nil
}

func (dmo *Demo) restoreLog() error {
	dmo.site.LogService().SetFault(logservice.Fault{})
	return nil
}

func (dmo *Demo) hangBackend() error {
	dmo.site.VM(dmo.pool(3) + "-04").SetFault(simvm.Fault{Hangs: true})
	return nil
}

func (dmo *Demo) restoreBackend() error {
	dmo.site.VM(dmo.pool(3) + "-04").SetFault(simvm.Fault{})
	return nil
}

// replaceEntry starts a new entry and stops the first one gracefully.
func (dmo *Demo) replaceEntry() error {
	set := dmo.site.Entries()[0].Node().Settings()
	if err := dmo.site.AddEntry(set.Zone, set.Name+"x"); err != nil {
		return err
	}
	go dmo.site.StopEntry(set.Name)
	return nil
}

// finish waits for the wave and the jobs, stops the load and fills the report.
func (dmo *Demo) finish() {
	deadline := time.Now().Add(finishTimeout)
	for time.Now().Before(deadline) && !dmo.isFinished() && !dmo.isInterrupted {
		time.Sleep(50 * time.Millisecond)
	}
	elapsed := time.Since(dmo.startedAt)
	if dmo.waveLoop != nil {
		dmo.waveLoop.Stop()
	}
	dmo.load.Stop()
	dmo.fillReport(elapsed)
}

func (dmo *Demo) isFinished() bool {
	dmo.mu.Lock()
	dmo.report.WaveDone = !dmo.waveDoneAt.IsZero()
	dmo.report.WaveVMs = len(dmo.wave.Done)
	if dmo.report.WaveDone {
		dmo.report.RollOutSeconds = dmo.waveDoneAt.Sub(dmo.waveStartedAt).Seconds()
	}
	dmo.mu.Unlock()
	var jobs wire.Jobs
	if dmo.site.Client().Get(context.Background(), "/v1/jobs", &jobs) != nil {
		return false
	}
	dmo.report.JobsDone = 0
	for _, jb := range jobs.Jobs {
		if jb.State == "done" {
			dmo.report.JobsDone++
		}
	}
	return dmo.report.WaveDone && dmo.report.JobsDone == dmo.report.JobsSubmitted
}

func (dmo *Demo) fillReport(elapsed time.Duration) {
	rpt := &dmo.report
	tly := dmo.load.Tally()
	rpt.Served, rpt.RefusedNotRun, rpt.Unknown = tly.Served, tly.RefusedNotRun, tly.Unknown
	rpt.Crossed, rpt.Truncated = tly.Mismatched, tly.Truncated
	for _, id := range tly.Answered {
		if dmo.site.Runs(id) == 0 {
			rpt.Lost++
		}
	}
	for _, id := range tly.NotRun {
		if dmo.site.Runs(id) > 0 {
			rpt.NotRunRan++
		}
	}
	rpt.Doubled = dmo.site.CountRepeated(callers.IsAtMostOnce)
	for code, count := range tly.Refusals {
		dmo.printf("  refusals with code %s: %d", code, count)
	}
	rpt.DelayP50Ms, rpt.DelayP99Ms = dmo.load.LatencyMs(50), dmo.load.LatencyMs(99)
	stl := dmo.site.Tally()
	rpt.BudgetViolations, rpt.TwinTasks = stl.BudgetViolations, stl.DuplicateTasks
	rpt.SlotsExceeded, rpt.ConnsExceeded = stl.SlotsExceeded, stl.ConnsExceeded
	rpt.LateWork, rpt.CutByReboot = stl.LateWork, stl.CutByReboot
	slots := float64(len(dmo.site.VMs()) * simvm.MaxSlots)
	rpt.BufferCost = 1 - stl.BusySlotTime.Seconds()/(slots*elapsed.Seconds())
	if vm, err := dmo.vm(dmo.movedVM); err == nil && vm.Pool != vm.Home {
		rpt.VMMoves = 1
	}
	rpt.Broken = rpt.listViolations(tly.NoOutcome, dmo.isInterrupted)
}

// listViolations returns the names of the violated invariants, separated by commas.
// An interrupted run need not finish its wave and jobs.
func (rpt *Report) listViolations(dishonest int, isInterrupted bool) string {
	var names []string
	add := func(isViolated bool, name string) {
		if isViolated {
			names = append(names, name)
		}
	}
	add(rpt.Lost > 0, "lost")
	add(rpt.Doubled > 0, "doubled")
	add(rpt.NotRunRan > 0, "notRunRan")
	add(rpt.Crossed > 0, "crossed")
	add(rpt.Truncated > 0, "truncated")
	add(rpt.BudgetViolations > 0, "budget")
	add(rpt.SlotsExceeded > 0, "slots")
	add(rpt.ConnsExceeded > 0, "connections")
	add(rpt.LateWork > 0, "lateWork")
	add(rpt.CutByReboot > 0, "cutByReboot")
	add(rpt.TwinTasks > 0, "twinTasks")
	add(dishonest > 0, "refusalWithoutOutcome")
	add(!isInterrupted && rpt.JobsSubmitted > rpt.JobsDone, "jobsNotDone")
	add(!isInterrupted && !rpt.WaveDone && rpt.JobsSubmitted > 0, "waveNotDone")
	return strings.Join(names, ",")
}

// Line returns the report as one line of JSON.
func (rpt *Report) Line() (string, error) {
	data, err := json.Marshal(rpt)
	return string(data), errors.Wrap(err, "encode report")
}
