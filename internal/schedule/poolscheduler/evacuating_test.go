package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// startAll starts the waiting tasks and lets their VMs report them at work.
func startAll(sch *poolscheduler.Scheduler) {
	for _, ord := range starts(sch.Plan(start)) {
		sch.HandleStartOutcome(start, ord, agent.Done)
		sch.HandleReport(start, start, ord.Target.VM, agent.Report{Incarnation: 1, Active: []agent.Run{{Task: ord.Task, Number: ord.Run, Percent: 100}}})
	}
}

// A pool that has lent its VMs may have no other VM for a long-running task. The task must be
// stopped all the same, or the maintenance wave never ends.
func TestLongRunningTaskIsStoppedWithoutAnotherVM(t *testing.T) {
	sch, events := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1))
	stp := step(2, 100)
	stp.IsLongRunning, stp.MaxPerVM, stp.MaxUnavailable = true, 1, 1
	accept(start, sch, stp)
	startAll(sch)
	sch.SetEvacuating(start, map[string]bool{"a": true, "b": true})
	if stops := len(sch.Plan(start)); stops > 0 {
		t.Errorf("%d stops before another VM could be found", stops)
	}
	later := start.Add(3 * time.Second)
	orders := sch.Plan(later)
	if len(orders) != 1 || orders[0].Kind != poolscheduler.StopTask {
		t.Errorf("orders %+v, want one stop, as only one task may be unavailable", orders)
	}
	if events["taskMoved"] != len(orders) {
		t.Errorf("%d stops are logged, want all", events["taskMoved"])
	}
}

// In a wave of 254 machines, of which 98 may be down, further VMs are to be evacuated all
// the time, while only one task of a step may be unavailable. They must not starve a VM
// that was to be evacuated before them.
func TestVMThatWaitsLongestIsEvacuatedFirst(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1), vm("z", 1))
	stp := step(3, 100)
	stp.IsLongRunning, stp.MaxPerVM, stp.MaxUnavailable = true, 1, 1
	accept(start, sch, stp)
	startAll(sch)
	sch.SetEvacuating(start, map[string]bool{"z": true})
	later := start.Add(time.Second)
	sch.SetListedVMs(later, []host.Host{vm("a", 1), vm("b", 1), vm("c", 1), vm("z", 1)})
	sch.CommitBatch(sch.TakeBatch())
	sch.HandleReport(later, later, "c", agent.Report{Incarnation: 1})
	sch.SetEvacuating(later, map[string]bool{"a": true, "b": true, "z": true})
	orders := sch.Plan(later)
	if len(orders) != 1 || orders[0].Kind != poolscheduler.StopTask || orders[0].Target.VM != "z" {
		t.Errorf("orders %+v, want one stop on z, which has waited longest", orders)
	}
}

// A rack fails, and another VM with a task of the same step is to be evacuated for
// maintenance before the lease of the failed VM has expired. Found by a search over
// simulated days, on day 5528-3 of site compost.
func TestTaskOnUnresponsiveVMIsUnavailable(t *testing.T) {
	for _, tst := range []struct {
		name string
		fail func(sch *poolscheduler.Scheduler)
	}{
		{"does not answer", func(sch *poolscheduler.Scheduler) { sch.HandlePollFailure("b") }},
		{"is late to answer", func(sch *poolscheduler.Scheduler) { sch.HandleLatePoll(start, "b") }},
	} {
		sch, _ := newScheduler(true)
		addVMs(start, sch, vm("a", 1), vm("b", 1))
		stp := step(2, 100)
		stp.IsLongRunning, stp.MaxPerVM, stp.MaxUnavailable = true, 1, 1
		accept(start, sch, stp)
		startAll(sch)
		sch.SetListedVMs(start, []host.Host{vm("a", 1), vm("b", 1), vm("c", 1)})
		sch.CommitBatch(sch.TakeBatch())
		sch.HandleReport(start, start, "c", agent.Report{Incarnation: 1})
		tst.fail(sch)
		sch.SetEvacuating(start, map[string]bool{"a": true})
		for _, now := range []time.Time{start, start.Add(3 * time.Second)} {
			if orders := sch.Plan(now); len(orders) != 0 {
				t.Errorf("orders %+v while the other task's VM %s, want none", orders, tst.name)
			}
		}
	}
}

func TestLongRunningTasksAvoidVMsDueForMaintenance(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1), vm("c", 1))
	sch.SetMaintenanceDue(map[string]bool{"a": true, "b": true})
	stp := step(2, 100)
	stp.IsLongRunning = true
	accept(start, sch, stp)
	for _, ord := range starts(sch.Plan(start)) {
		if ord.Target.VM != "c" {
			t.Errorf("task %s starts on %s, which a maintenance wave will reach", ord.Task, ord.Target.VM)
		}
	}
}

func TestBalanceInputReportsMissingVMsOfLongRunningTasks(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1))
	stp := step(3, 100)
	stp.IsLongRunning, stp.MaxPerVM = true, 1
	accept(start, sch, stp)
	if got := len(starts(sch.Plan(start))); got != 2 {
		t.Fatalf("%d starts, want one on each VM", got)
	}
	if got := sch.BalanceInput(start).LongRunningDeficit; got != 4000 {
		t.Errorf("%d thousandths of a core are missing, want one VM of 4000", got)
	}
	addVMs(start, sch, vm("a", 1), vm("b", 1), vm("c", 1))
	sch.Plan(start)
	if got := sch.BalanceInput(start).LongRunningDeficit; got != 0 {
		t.Errorf("%d thousandths of a core are missing once all tasks have a VM", got)
	}
}

// The tasks of a step are moved one after the other, so the time until a report shows a
// moved task at work bounds the speed of a maintenance wave.
func TestVMWithStartingLongRunningTaskIsPolledOften(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	stp := step(1, 100)
	stp.IsLongRunning = true
	accept(start, sch, stp)
	ord := starts(sch.Plan(start))[0]
	sch.HandleStartOutcome(start, ord, agent.Done)
	wait := func(percent int) time.Duration {
		sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Active: []agent.Run{{Task: ord.Task, Number: ord.Run, Percent: percent}}})
		_, poll, _ := sch.NextPoll(start, "a")
		return poll.Wait
	}
	if starting, atWork := wait(40), wait(100); starting > 500*time.Millisecond || atWork < 4*starting {
		t.Errorf("polls wait %s for a starting task and %s for one at work", starting, atWork)
	}
}

// A new owner does not know yet what runs on a VM that has not reported to it, for example
// because it is overloaded. It must not report the VM as free of tasks, or the VM is taken
// down for maintenance while tasks of an earlier owner are at work there.
func TestVMThatHasNotReportedCountsAsInUse(t *testing.T) {
	sch, _ := newScheduler(false)
	sch.RestoreVM(start, vm("a", 1))
	sch.RestoreVM(start, vm("b", 1))
	sch.SetListedVMs(start, []host.Host{vm("a", 1), vm("b", 1)})
	sch.HandleReport(start, start, "b", agent.Report{Incarnation: 1})
	sch.SetEvacuating(start, map[string]bool{"a": true, "b": true})
	vms := sch.BalanceInput(start).VMs
	if len(vms) != 2 || vms[0].Tasks == 0 || vms[1].Tasks != 0 {
		t.Errorf("VMs %+v, want a in use until it reports and b free", vms)
	}
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1})
	if vms = sch.BalanceInput(start).VMs; vms[0].Tasks != 0 {
		t.Errorf("VM %+v, want it free after its report", vms[0])
	}
}

// An earlier owner stops a task of a step and loses the pool. The VM still reports the task
// at work, as a stop takes a while. The new owner must not stop another task of the step
// before later reports show that the first one goes on. Found in a score of a large site.
func TestAdoptedTaskMayBeStoppingForAWhile(t *testing.T) {
	sch, _ := newScheduler(false)
	stp := step(2, 100)
	stp.IsLongRunning, stp.MaxPerVM, stp.MaxUnavailable = true, 1, 1
	pln := &plan.Plan{ID: jobID, Steps: []plan.Step{stp}}
	report := func(now time.Time) {
		for idx, id := range []string{"a", "b"} {
			run := agent.Run{Task: task.ID{Job: jobID, Index: idx}, Number: 1, Percent: 100}
			sch.HandleReport(now, now, id, agent.Report{Incarnation: 1, Active: []agent.Run{run}})
		}
		sch.HandleReport(now, now, "c", agent.Report{Incarnation: 1})
	}
	for _, id := range []string{"a", "b", "c"} {
		sch.RestoreVM(start, vm(id, 1))
	}
	sch.RestoreJob(start, jobID, &jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: pln}, jobrecord.Progress{State: jobrecord.Running})
	sch.SetListedVMs(start, []host.Host{vm("a", 1), vm("b", 1), vm("c", 1)})
	report(start)
	sch.SetEvacuating(start, map[string]bool{"a": true})
	if orders := sch.Plan(start); len(orders) > 0 {
		t.Errorf("orders %+v right after the takeover, want none", orders)
	}
	if _, poll, _ := sch.NextPoll(start, "b"); poll.Wait > 500*time.Millisecond {
		t.Errorf("the next report of an adopted task may come after %s", poll.Wait)
	}
	later := start.Add(1100 * time.Millisecond)
	report(later)
	if orders := sch.Plan(later); len(orders) != 1 || orders[0].Kind != poolscheduler.StopTask {
		t.Errorf("orders %+v once both tasks are known to go on, want one stop", orders)
	}
}

// Guards against tasks on a VM that is about to be ordered away: it was evacuated, ended and came back under its
// id, and got tasks until the next answer of the fleet controller, which rests its order on the report before.
func TestVMThatHasComeBackIsStillToBeEvacuated(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	sch.SetEvacuating(start, map[string]bool{"a": true})
	sch.EndIncarnation(start, "a", sch.Revision("a"))
	addVMs(start, sch, vm("a", 2))
	accept(start, sch, step(1, 1000))
	if orders := starts(sch.Plan(start)); len(orders) > 0 {
		t.Errorf("%d tasks start on a VM that is to be evacuated", len(orders))
	}
	sch.SetEvacuating(start, nil)
	if orders := starts(sch.Plan(start)); len(orders) != 1 {
		t.Errorf("%d tasks start once the evacuation is lifted, want 1", len(orders))
	}
}
