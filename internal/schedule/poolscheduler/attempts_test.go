package poolscheduler_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// failUntilEnd fails each run of the job's task until the job has ended, and returns the number
// of runs.
func failUntilEnd(sch *poolscheduler.Scheduler, now time.Time) (runs int) {
	for ; runs < 20; runs++ {
		now = now.Add(10 * time.Second)
		sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
		orders := starts(sch.Plan(now))
		if len(orders) == 0 {
			return runs
		}
		sch.HandleStartOutcome(now, orders[0], agent.Done)
		end := agent.End{Number: int64(runs + 1), Task: orders[0].Task, Run: orders[0].Run, Reason: agent.EndedFailed}
		sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1, Ended: []agent.End{end}})
	}
	return runs
}

// The configuration removed a queue, or an owner had not read of it yet. The tasks of its jobs could fail
// three times, whatever the queue allowed.
func TestJobKeepsItsAttemptsWithoutItsQueue(t *testing.T) {
	without := queue.NewTable(2, nil, nil)
	for _, tst := range []struct {
		name       string
		isNewOwner bool
		stored     int // 0 in records of earlier versions
		want       int
	}{
		{"removed", false, 2, 2},
		{"removed, more than three", false, 5, 5},
		{"new owner", true, 2, 2},
		{"new owner, more than three", true, 5, 5},
		{"new owner, record of an earlier version", true, 0, 3},
	} {
		sch, _ := newScheduler(!tst.isNewOwner)
		job := jobrecord.Job{Queue: "q", FirstAttempt: start, MaxAttempts: tst.stored, Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{step(1, 1000)}}}
		data, err := jobrecord.EncodeJob(job)
		if err == nil {
			job, err = jobrecord.DecodeJob(data)
		}
		if err != nil {
			t.Fatal(err)
		}
		if tst.isNewOwner {
			sch.SetTable(without)
			sch.RestoreVM(start, vm("a", 1))
			sch.SetListedVMs(start, []host.Host{vm("a", 1)})
			sch.RestoreJob(start, jobID, &job, jobrecord.Progress{})
		} else {
			sch.SetTable(queue.NewTable(1, []queue.Queue{{Name: "q", Pool: "gate", MaxAttempts: tst.stored, DeadlineFactor: 1.5}}, nil))
			addVMs(start, sch, vm("a", 1))
			sch.Accept(start, job)
			sch.SetTable(without)
		}
		if got := failUntilEnd(sch, start); got != tst.want {
			t.Errorf("%s: %d runs of a task that always fails, want %d", tst.name, got, tst.want)
		}
	}
}
