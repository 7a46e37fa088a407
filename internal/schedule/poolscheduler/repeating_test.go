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

// repeatingJob returns a job whose occurrences fall due each second from start on.
func repeatingJob(times int, steps ...plan.Step) jobrecord.Job {
	return jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{
		ID: jobID, Steps: steps, RepeatCount: times, FirstAt: start, Interval: time.Second,
	}}
}

// runAll completes each task that is ordered, until none is.
func runAll(now time.Time, sch *poolscheduler.Scheduler, number *int64) (runs int) {
	for {
		orders := starts(sch.Plan(now))
		if len(orders) == 0 {
			return runs
		}
		var ended []agent.End
		for _, ord := range orders {
			*number++
			sch.HandleStartOutcome(now, ord, agent.Done)
			ended = append(ended, agent.End{Number: *number, Task: ord.Task, Run: ord.Run, Reason: agent.EndedDone})
		}
		sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: ended})
		runs += len(orders)
	}
}

// The progress of a repeating job named each step of each occurrence that was done.
func TestProgressOfManyOccurrencesStaysShort(t *testing.T) {
	const steps, times = 64, 600
	list := make([]plan.Step, steps)
	for i := range list {
		list[i] = step(1, 10)
	}
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	job := repeatingJob(times, list...)
	sch.Accept(start, job)
	number := int64(0)
	for num := range times - 1 {
		now := start.Add(time.Duration(num) * time.Second)
		sch.Tick(now)
		if got := runAll(now, sch, &number); got != steps {
			t.Fatalf("%d runs of occurrence %d, want %d", got, num, steps)
		}
	}
	bat := sch.TakeBatch()
	if len(bat.Updates) != 1 || bat.Updates[0].Submission == nil {
		t.Fatalf("updates %+v, want one that sets the submission apart", bat.Updates)
	}
	data, err := jobrecord.EncodeProgress(bat.Updates[0].Progress)
	if err != nil || len(data) > 1000 {
		t.Fatalf("progress of %d occurrences has %d bytes (%v)", times-1, len(data), err)
	}
	progress, err := jobrecord.DecodeProgress(data)
	if err != nil {
		t.Fatal(err)
	}
	next, _ := newScheduler(false)
	now := start.Add(times * time.Second)
	addVMs(now, next, vm("a", 1))
	next.RestoreJob(now, jobID, &job, progress)
	if got := runAll(now, next, &number); got != steps {
		t.Errorf("%d runs by the next owner, want the %d of the last occurrence", got, steps)
	}
	next.CommitBatch(next.TakeBatch())
	if ste, _ := next.State(jobID); ste != jobrecord.Completed {
		t.Errorf("the job is %s", ste)
	}
}

// All overdue occurrences of a job were opened at once, more than the memory of an entry holds and
// more than a record of their progress.
func TestOverdueOccurrencesOpenAsOthersEnd(t *testing.T) {
	const times, tasks = 100, 2000
	sch, _ := newScheduler(true)
	now := start.Add(2 * times * time.Second)
	large := vm("a", 1)
	large.Capacity = plan.Demand{MilliCores: 1 << 20, MemoryMB: 1 << 20}
	addVMs(now, sch, large)
	sch.Accept(now, repeatingJob(times, step(tasks, 1)))
	number := int64(0)
	first := starts(sch.Plan(now))
	if len(first) != 2*tasks {
		t.Fatalf("%d starts at once, want those of two occurrences of %d tasks, as a job may have %d", len(first), tasks, plan.MaxTasks)
	}
	var ended []agent.End
	for _, ord := range first {
		number++
		sch.HandleStartOutcome(now, ord, agent.Done)
		ended = append(ended, agent.End{Number: number, Task: ord.Task, Run: ord.Run, Reason: agent.EndedDone})
	}
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: ended})
	if runs := len(first) + runAll(now, sch, &number); runs != times*tasks {
		t.Errorf("%d runs, want %d", runs, times*tasks)
	}
	sch.CommitBatch(sch.TakeBatch())
	if ste, _ := sch.State(jobID); ste != jobrecord.Completed {
		t.Errorf("the job is %s", ste)
	}
}

// An owner was replaced as an occurrence fell due, which it had started and its successor had not
// opened yet. The successor dropped the end of the run, acknowledged it and started the task again.
func TestRunOfAnOccurrenceThatIsNotOpenIsKnown(t *testing.T) {
	run := agent.Run{Task: task.ID{Job: jobID, Occurrence: 1}, Number: 1}
	for _, tst := range []struct {
		name   string
		report agent.Report
		want   int
	}{
		{"it has completed", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: 1, Task: run.Task, Run: 1, Reason: agent.EndedDone}}}, 1},
		{"it is active", agent.Report{Incarnation: 1, Active: []agent.Run{run}}, 1},
		{"it has failed", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: 1, Task: run.Task, Run: 1, Reason: agent.EndedFailed}}}, 2},
		{"it is of no occurrence", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: 1, Task: task.ID{Job: jobID, Occurrence: 7}, Run: 1, Reason: agent.EndedDone}}}, 2},
	} {
		sch, _ := newScheduler(false)
		sch.RestoreVM(start, vm("a", 1))
		job := repeatingJob(2, step(1, 1000))
		sch.RestoreJob(start, jobID, &job, jobrecord.Progress{}) // the second occurrence is due in a second
		sch.SetListedVMs(start, []host.Host{vm("a", 1)})
		sch.CommitBatch(sch.TakeBatch())
		sch.HandleReport(start, start, "a", tst.report)
		now := start.Add(time.Second)
		sch.Tick(now)
		if got := len(starts(sch.Plan(now))); got != tst.want {
			t.Errorf("%s: %d starts for two occurrences, want %d", tst.name, got, tst.want)
		}
	}
}
