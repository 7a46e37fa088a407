package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// checkOpenTasks checks how many tasks of open jobs the pool has.
func checkOpenTasks(t *testing.T, when string, sch *poolscheduler.Scheduler, want int) {
	t.Helper()
	if got := sch.OpenTasks(); got != want {
		t.Errorf("%s: %d open tasks, want %d", when, got, want)
	}
}

// endAll reports the runs of the orders as done.
func endAll(now time.Time, sch *poolscheduler.Scheduler, orders []poolscheduler.Order) {
	ends := make([]agent.End, 0, len(orders))
	for i, ord := range orders {
		sch.HandleStartOutcome(now, ord, agent.Done)
		ends = append(ends, agent.End{Number: int64(i + 1), Task: ord.Start.Task, Run: ord.Start.Run, Reason: agent.EndedDone})
	}
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: ends})
}

// The tasks of open jobs were bounded by nothing, so that a pool could have more than the memory of its owner holds. Each way in
// which jobs come, go on and end is counted.
func TestOpenTasksAreCounted(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(3, 1000), plan.Step{Count: 2, Estimate: time.Second, After: []int{0}})
	checkOpenTasks(t, "accepted", sch, 5)
	endAll(start, sch, starts(sch.Plan(start)))
	checkOpenTasks(t, "a step done", sch, 5)
	sch.Cancel(start, jobID)
	checkOpenTasks(t, "cancelled", sch, 0)

	sch, _ = newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(3, 1000))
	endAll(start, sch, starts(sch.Plan(start)))
	checkOpenTasks(t, "completed", sch, 0)

	sch, _ = newScheduler(true)
	repeating := &plan.Plan{ID: jobID, Steps: []plan.Step{step(4, 1000)}, RepeatCount: 3, Interval: time.Second, FirstAt: start.Add(time.Second)}
	sch.Accept(start, jobrecord.Job{Queue: "q", Plan: repeating})
	checkOpenTasks(t, "not due", sch, 4)
	for i, want := range []int{4, 8, 12, 12} {
		sch.Tick(start.Add(time.Duration(i+1) * time.Second))
		checkOpenTasks(t, "occurrences due", sch, want)
	}
	if left := sch.Leave(func(queue.Ref) string { return "other" }, 10); len(left) != 1 {
		t.Fatalf("%d jobs leave", len(left))
	}
	checkOpenTasks(t, "left for another pool", sch, 0)

	sch, _ = newScheduler(false)
	sch.RestoreJob(start, jobID, &jobrecord.Job{Queue: "q", Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{step(4, 1000)}}}, jobrecord.Progress{})
	checkOpenTasks(t, "restored", sch, 4)
	sch.Adopt(start, jobrecord.Job{Queue: "q", Plan: &plan.Plan{ID: "00112233445566fe", Steps: []plan.Step{step(6, 1000)}}}, jobrecord.Progress{})
	checkOpenTasks(t, "adopted", sch, 10)
}

// Guards against tasks that a late report brings back after the state of their cancelled job was dropped.
func TestReportOfARunOfACancelledJobThatNeverStarted(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(3, 9000))
	sch.Cancel(start, jobID)
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Active: []agent.Run{{Task: task.ID{Job: jobID}, Number: 1}}})
	orders := sch.Plan(start)
	if len(orders) != 1 || orders[0].Kind != poolscheduler.StopTask {
		t.Errorf("orders %+v, want that the unknown run is stopped", orders)
	}
	checkOpenTasks(t, "reported", sch, 0)
}
