package poolscheduler_test

import (
	"log/slog"
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

var start = time.Unix(1000, 0)

const jobID = "00112233445566ff"

func newScheduler(isFirstTerm bool) (*poolscheduler.Scheduler, map[string]int) {
	events := map[string]int{}
	sch := poolscheduler.New(poolscheduler.Config{
		Name: "gate", FencingToken: 5, MaxLease: 5 * time.Second, StatusRetention: time.Minute, IsFirstTerm: isFirstTerm,
		Event: func(_ time.Time, kind string, _ ...slog.Attr) { events[kind]++ },
	})
	sch.SetTable(queue.NewTable(1, []queue.Queue{{Name: "q", Pool: "gate", MaxAttempts: 2, DeadlineFactor: 1.5}}, nil))
	return sch, events
}

func vm(id string, incarnation int64) host.Host {
	return host.Host{ID: id, Pool: "gate", Address: id, Incarnation: incarnation, Capacity: plan.Demand{MilliCores: 4000, MemoryMB: 4000}}
}

// addVMs lists the VMs, stores their records and lets them report.
func addVMs(now time.Time, sch *poolscheduler.Scheduler, hosts ...host.Host) {
	sch.SetListedVMs(now, hosts)
	sch.CommitBatch(sch.TakeBatch())
	for _, hst := range hosts {
		sch.HandleReport(now, now, hst.ID, agent.Report{Incarnation: hst.Incarnation})
	}
}

func accept(now time.Time, sch *poolscheduler.Scheduler, steps ...plan.Step) {
	sch.Accept(now, jobrecord.Job{Queue: "q", FirstAttempt: now, Plan: &plan.Plan{ID: jobID, Steps: steps}})
}

func step(count int, milliCores int64) plan.Step {
	return plan.Step{Count: count, Demand: plan.Demand{MilliCores: milliCores, MemoryMB: 1}, Estimate: time.Second}
}

func starts(orders []poolscheduler.Order) []poolscheduler.Order {
	var list []poolscheduler.Order
	for _, ord := range orders {
		if ord.Kind == poolscheduler.StartTask {
			list = append(list, ord)
		}
	}
	return list
}

// A VM's announcement stays listed for a while after its incarnation has ended.
func TestEndedIncarnationIsNotAddedAgain(t *testing.T) {
	sch, events := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	sch.EndIncarnation(start, "a", sch.Revision("a"))
	for range 3 {
		sch.SetListedVMs(start, []host.Host{vm("a", 1)})
	}
	if events["vmListed"] != 1 {
		t.Errorf("an ended incarnation was added %d times as a new VM", events["vmListed"]-1)
	}
	sch.SetListedVMs(start, []host.Host{vm("a", 2)})
	if events["vmListed"] != 2 {
		t.Error("a new incarnation under the same id was not added")
	}
}

// Announcements expire during an outage of the state log and are back within 2 s of its
// end. A VM that answers gets tasks meanwhile; one that stays unlisted longer gets none.
func TestVMThatAnswersGetsTasksAfterItsAnnouncementExpired(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	sch.SetListedVMs(start, nil)
	now := start.Add(time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
	accept(now, sch, step(8, 1000))
	if got := len(starts(sch.Plan(now))); got != 4 {
		t.Errorf("%d starts on a VM of 4 cores 1 s after its announcement expired, want 4", got)
	}
	now = start.Add(3 * time.Second)
	var ended []agent.End
	for i := range 4 {
		ended = append(ended, agent.End{Number: int64(i + 1), Task: task.ID{Job: jobID, Index: i}, Run: 1, Reason: agent.EndedDone})
	}
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: ended})
	if got := len(starts(sch.Plan(now))); got != 0 {
		t.Errorf("%d starts on a VM that has not been listed for 3 s", got)
	}
}

// A job's deadline counts from its caller's first attempt. A job that was refused until
// it cannot be done in time comes after one that still can.
func TestDeadlineCountsFromFirstAttempt(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	late := jobrecord.Job{Queue: "q", FirstAttempt: start.Add(-4 * time.Second), Plan: &plan.Plan{ID: "00000000000000aa", Steps: []plan.Step{step(4, 1000)}}}
	sch.Accept(start, late)
	accept(start, sch, step(4, 1000))
	orders := starts(sch.Plan(start))
	for _, ord := range orders {
		if ord.Task.Job != jobID {
			t.Errorf("task %s starts before the job that can end in time", ord.Task)
		}
	}
	if len(orders) != 4 {
		t.Errorf("%d starts, want 4", len(orders))
	}
}

func TestStartsWithinCapacity(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1))
	accept(start, sch, step(9, 1500))
	if got := len(starts(sch.Plan(start))); got != 4 {
		t.Errorf("%d starts of 1.5 cores on two VMs of 4, want 4", got)
	}
	if got := len(starts(sch.Plan(start))); got != 0 {
		t.Errorf("%d more starts while all cores are taken", got)
	}
}

// A VM gets no tasks while a run that the scheduler does not know is active there.
func TestVMWithUnwantedRunGetsNoTasks(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	other := task.ID{Job: "ffffffffffffffff"}
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Active: []agent.Run{{Task: other, Number: 1}}})
	accept(start, sch, step(1, 1000))
	orders := sch.Plan(start)
	if len(starts(orders)) != 0 || len(orders) != 1 || orders[0].Kind != poolscheduler.StopTask {
		t.Fatalf("orders %+v, want one stop of the unknown run", orders)
	}
	sch.HandleStopOutcome(start, orders[0], agent.Done)
	later := start.Add(time.Millisecond)
	sch.HandleReport(later, later, "a", agent.Report{Incarnation: 1})
	if len(starts(sch.Plan(later))) != 1 {
		t.Error("no start after the unwanted run has ended")
	}
}

func TestAttemptsAreCountedOncePerRun(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(1, 1000))
	for run := 1; run <= 2; run++ {
		ord := starts(sch.Plan(start))
		if len(ord) != 1 {
			t.Fatalf("run %d: %d starts", run, len(ord))
		}
		sch.HandleStartOutcome(start, ord[0], agent.Done)
		end := agent.End{Number: int64(run), Task: ord[0].Task, Run: ord[0].Run, Reason: agent.EndedFailed}
		for range 3 {
			sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Ended: []agent.End{end}})
		}
	}
	if len(starts(sch.Plan(start))) != 0 {
		t.Error("started again after two failed runs, the limit of the queue")
	}
	bat := sch.TakeBatch()
	sch.CommitBatch(bat)
	if ste, _ := sch.State(jobID); ste != jobrecord.Failed {
		t.Errorf("state %s, want failed", ste)
	}
}

func TestCompletedIsShownOnlyWhenStored(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(1, 1000))
	ord := starts(sch.Plan(start))[0]
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: 1, Task: ord.Task, Run: ord.Run, Reason: agent.EndedDone}}})
	if ste, _ := sch.State(jobID); ste != jobrecord.Running {
		t.Errorf("state %s before the end is stored, want running", ste)
	}
	if _, poll, _ := sch.NextPoll(start, "a"); poll.Acked != 0 {
		t.Error("the end is acknowledged before it is stored")
	}
	bat := sch.TakeBatch()
	sch.RollBackBatch(bat)
	sch.CommitBatch(sch.TakeBatch())
	if ste, _ := sch.State(jobID); ste != jobrecord.Completed {
		t.Errorf("state %s after the end is stored, want completed", ste)
	}
	if _, poll, _ := sch.NextPoll(start, "a"); poll.Acked != 1 {
		t.Error("the end is not acknowledged after it is stored")
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	gang := step(5, 1000)
	gang.IsGang = true
	accept(start, sch, gang)
	if got := len(starts(sch.Plan(start))); got != 0 {
		t.Fatalf("%d of 5 members started on 4 cores", got)
	}
	addVMs(start, sch, vm("a", 1), vm("b", 1))
	orders := starts(sch.Plan(start))
	if len(orders) != 5 {
		t.Fatalf("%d members started, want 5", len(orders))
	}
	for _, ord := range orders {
		if ord.Run != orders[0].Run {
			t.Errorf("run %d and run %d in one gang", ord.Run, orders[0].Run)
		}
	}
}

func TestUnansweredStartIsStoppedBeforeItsTaskStartsElsewhere(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(1, 1000))
	ord := starts(sch.Plan(start))[0]
	sch.HandleStartOutcome(start, ord, agent.Unknown)
	now := start.Add(10 * time.Millisecond)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
	orders := sch.Plan(now)
	if len(starts(orders)) != 0 || len(orders) != 1 || orders[0].Kind != poolscheduler.StopTask || orders[0].Run != ord.Run {
		t.Fatalf("orders %+v, want a stop of the unanswered start", orders)
	}
	sch.HandleStopOutcome(now, orders[0], agent.Done)
	now = now.Add(10 * time.Millisecond)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
	if again := starts(sch.Plan(now)); len(again) != 1 || again[0].Run <= ord.Run {
		t.Errorf("after the stop: %+v, want a higher run", again)
	}
}

// A new owner does not start tasks that may still run on a VM that has not reported, even
// if the VM is no longer listed.
func TestInheritedTasksWaitUntilEveryVMHasReported(t *testing.T) {
	sch, _ := newScheduler(false)
	sch.RestoreVM(start, vm("a", 1))
	sch.RestoreVM(start, vm("b", 1))
	pln := &plan.Plan{ID: jobID, Steps: []plan.Step{step(2, 1000)}}
	sch.RestoreJob(start, jobID, &jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: pln}, jobrecord.Progress{State: jobrecord.Running})
	sch.SetListedVMs(start, []host.Host{vm("a", 1)}) // b is no longer listed
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1})
	if got := len(starts(sch.Plan(start))); got != 0 {
		t.Fatalf("%d tasks start that may still run on b", got)
	}
	running := agent.Run{Task: task.ID{Job: jobID, Index: 1}, Number: 1}
	sch.HandleReport(start, start, "b", agent.Report{Incarnation: 1, Active: []agent.Run{running}})
	orders := starts(sch.Plan(start))
	if len(orders) != 1 || orders[0].Task.Index != 0 || orders[0].Target.VM != "a" {
		t.Errorf("starts %+v, want task 0 on a, as task 1 runs on b", orders)
	}
}

func TestLongRunningTasksMoveOneAtATime(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1), vm("c", 1))
	longRunning := step(2, 1000)
	longRunning.IsLongRunning, longRunning.MaxPerVM, longRunning.MaxUnavailable = true, 1, 1
	accept(start, sch, longRunning)
	var active = map[string]agent.Run{}
	for _, ord := range starts(sch.Plan(start)) {
		sch.HandleStartOutcome(start, ord, agent.Done)
		active[ord.Target.VM] = agent.Run{Task: ord.Task, Number: ord.Run, Percent: 100}
	}
	evacuating := map[string]bool{}
	for id, run := range active {
		sch.HandleReport(start, start, id, agent.Report{Incarnation: 1, Active: []agent.Run{run}})
		evacuating[id] = true
	}
	sch.SetEvacuating(start, evacuating)
	if got := len(sch.Plan(start)); got != 1 {
		t.Errorf("%d tasks are stopped at once, want 1", got)
	}
}

// When a VM is moved to another pool, the run ends that it reports are lost. Their effect
// must be stored before the VM counts as empty.
func TestVMIsEmptyOnlyWhenItsEndsAreStored(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(1, 1000))
	ord := starts(sch.Plan(start))[0]
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: 1, Task: ord.Task, Run: ord.Run, Reason: agent.EndedDone}}})
	if got := sch.BalanceInput(start).VMs[0].Tasks; got == 0 {
		t.Error("the VM counts as empty before the end is stored")
	}
	sch.CommitBatch(sch.TakeBatch())
	if got := sch.BalanceInput(start).VMs[0].Tasks; got != 0 {
		t.Errorf("the VM counts %d tasks after the end is stored", got)
	}
}

// Bursts reach a pool within a second. Its owner must not wait for its next regular report
// when a second of work for a VM has arrived, nor when a VM that is to move is free.
func TestReportIsDueInABurstAndWhenAVMIsEvacuated(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1))
	sch.BalanceInput(start)
	accept(start, sch, step(3, 1000))
	if sch.IsReportDue(start) {
		t.Error("a report is due after three seconds of work for a core")
	}
	sch.Accept(start, jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: "00000000000000b1", Steps: []plan.Step{step(1, 1000)}}})
	if !sch.IsReportDue(start) {
		t.Error("no report is due after a second of work for a VM")
	}
	sch.BalanceInput(start)
	if sch.IsReportDue(start) {
		t.Error("a report is due right after one")
	}
	sch.SetEvacuating(start, map[string]bool{"b": true})
	if !sch.IsReportDue(start) {
		t.Error("no report is due although a VM without tasks is to be evacuated")
	}
}

// A VM got tasks in an incarnation that its record did not name. A later owner took the listed
// incarnation for a new one without tasks.
func TestVMWithNewIncarnationGetsNoTasksBeforeItsRecordIsStored(t *testing.T) {
	for name, restart := range map[string]func(sch *poolscheduler.Scheduler){
		"listed":   func(sch *poolscheduler.Scheduler) { addReported(sch, vm("a", 2)) },
		"reported": func(sch *poolscheduler.Scheduler) { sch.HandleReport(start, start, "a", agent.Report{Incarnation: 2}) },
	} {
		sch, _ := newScheduler(true)
		addVMs(start, sch, vm("a", 1))
		restart(sch)
		accept(start, sch, step(1, 1000))
		if got := len(starts(sch.Plan(start))); got != 0 {
			t.Errorf("%s: %d starts before the record is stored", name, got)
		}
		bat := sch.TakeBatch()
		if len(bat.AddedVMs) != 1 || bat.AddedVMs[0].Incarnation != 2 {
			t.Errorf("%s: records %v, want one with incarnation 2", name, bat.AddedVMs)
		}
		sch.CommitBatch(bat)
		sch.SetListedVMs(start, []host.Host{vm("a", 2)}) // shows its capacity
		if got := len(starts(sch.Plan(start))); got != 1 {
			t.Errorf("%s: %d starts after the record is stored", name, got)
		}
	}
}

// addReported lists a VM and lets it report.
func addReported(sch *poolscheduler.Scheduler, hst host.Host) {
	sch.SetListedVMs(start, []host.Host{hst})
	sch.HandleReport(start, start, hst.ID, agent.Report{Incarnation: hst.Incarnation})
}
