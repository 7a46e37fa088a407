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

const unreadableID = "ffeeddccbbaa9900"

// An owner that could not read a job's records stopped its runs and acknowledged their ends, so
// that an owner that can read them started completed tasks again.
func TestUnreadableJobIsLeftAlone(t *testing.T) {
	sch, _ := newScheduler(false)
	sch.RestoreVM(start, vm("a", 1))
	sch.RestoreVM(start, vm("b", 1))
	sch.RestoreUnreadableJob(unreadableID)
	sch.SetListedVMs(start, []host.Host{vm("a", 1), vm("b", 1)})
	accept(start, sch, step(3, 1000))
	ends := []agent.End{
		{Number: 1, Task: task.ID{Job: unreadableID}, Run: 1, Reason: agent.EndedStopped},
		{Number: 2, Task: task.ID{Job: unreadableID, Index: 1}, Run: 1, Reason: agent.EndedDone},
		{Number: 3, Task: task.ID{Job: jobID}, Run: 1, Reason: agent.EndedDone},
	}
	active := []agent.Run{{Task: task.ID{Job: unreadableID, Index: 2}, Number: 1}}
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Ended: ends})
	sch.HandleReport(start, start, "b", agent.Report{Incarnation: 1, Active: active})
	sch.CommitBatch(sch.TakeBatch())
	if _, poll, _ := sch.NextPoll(start, "a"); poll.Acked != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1", poll.Acked)
	}
	if orders := sch.Plan(start); len(orders) != 0 {
		t.Errorf("orders %v beside runs and ends that can't be read", orders)
	}
	for _, vm := range sch.BalanceInput(start).VMs {
		if vm.Tasks == 0 {
			t.Errorf("VM %s counts as free of tasks", vm.ID)
		}
	}
	now := start.Add(time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 2})
	sch.SetListedVMs(now, []host.Host{vm("a", 2), vm("b", 1)})
	sch.CommitBatch(sch.TakeBatch())
	if got := len(starts(sch.Plan(now))); got != 2 {
		t.Errorf("%d starts after a restart of the VM, want the 2 other tasks", got)
	}
}

// The zone of a VM whose record can't be read is unknown, so tasks of any older job may run there.
func TestInheritedTasksWaitForVMOfUnknownZone(t *testing.T) {
	sch, _ := newScheduler(false)
	known := vm("a", 1)
	known.Zone = "north"
	sch.RestoreVM(start, known)
	sch.RestoreVM(start, host.Host{ID: "b", Pool: "gate"})
	job := jobrecord.Job{Queue: "q", Zone: "north", FirstAttempt: start, Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{step(1, 1000)}}}
	sch.RestoreJob(start, jobID, &job, jobrecord.Progress{})
	sch.SetListedVMs(start, []host.Host{known})
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1})
	if got := starts(sch.Plan(start)); len(got) != 0 {
		t.Errorf("%d starts while the task may run on the other VM", len(got))
	}
	sch.HandlePollFailure("b")
	now := start.Add(poolscheduler.OwnerGracePeriod + 6*time.Second)
	sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
	if got := starts(sch.Plan(now)); len(got) != 1 {
		t.Errorf("%d starts once the leases have expired, want 1", len(got))
	}
}
