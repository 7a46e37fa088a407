package poolscheduler_test

import (
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

// checkShown checks what callers are told of the only job.
func checkShown(t *testing.T, name string, sch *poolscheduler.Scheduler, count int, ste jobrecord.State) {
	t.Helper()
	got, _ := sch.State(jobID)
	if num := sch.CountQueued(queue.Ref{Name: "q"}); num != count || got != ste {
		t.Errorf("%s: queue count %d, state %s; want %d and %s", name, num, got, count, ste)
	}
}

// A job whose start was refused or got no answer was left out of its queue's count, and
// shown as running, for good.
func TestJobWithoutARunIsCountedAsQueued(t *testing.T) {
	for name, out := range map[string]agent.Outcome{
		"no answer": agent.Unknown, "not sent": agent.Unreachable, "unhealthy VM": agent.Unhealthy, "no capacity": agent.Refused,
		"other incarnation": agent.WrongIncarnation, "stale run": agent.Stale,
	} {
		sch, _ := newScheduler(true)
		addVMs(start, sch, vm("a", 1))
		accept(start, sch, step(1, 1000))
		ord := starts(sch.Plan(start))[0]
		checkShown(t, name+", ordered", sch, 1, jobrecord.Queued)
		sch.HandleStartOutcome(start, ord, out)
		checkShown(t, name, sch, 1, jobrecord.Queued)
		later := start.Add(10 * time.Second) // the leases have expired
		sch.ConfirmOwnership(later)
		sch.Tick(later)
		checkShown(t, name+", lapsed", sch, 1, jobrecord.Queued)
	}
}

func TestJobIsNotQueuedOnceARunIsSeen(t *testing.T) {
	tid := task.ID{Job: jobID}
	for name, show := range map[string]func(sch *poolscheduler.Scheduler, ord poolscheduler.Order){
		"confirmed": func(sch *poolscheduler.Scheduler, ord poolscheduler.Order) {
			sch.HandleStartOutcome(start, ord, agent.Done)
		},
		"reported as active": func(sch *poolscheduler.Scheduler, ord poolscheduler.Order) {
			sch.HandleStartOutcome(start, ord, agent.Unknown)
			sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Active: []agent.Run{{Task: tid, Number: ord.Run}}})
		},
		"reported as ended": func(sch *poolscheduler.Scheduler, ord poolscheduler.Order) {
			sch.HandleStartOutcome(start, ord, agent.Unknown)
			sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Ended: []agent.End{{Number: 1, Task: tid, Run: ord.Run, Reason: agent.EndedLeaseExpired}}})
		},
	} {
		sch, _ := newScheduler(true)
		addVMs(start, sch, vm("a", 1))
		accept(start, sch, step(1, 1000))
		show(sch, starts(sch.Plan(start))[0])
		checkShown(t, name, sch, 0, jobrecord.Running)
		sch.EndIncarnation(start, "a", sch.Revision("a"))
		checkShown(t, name+", VM gone", sch, 0, jobrecord.Running)
	}
}

// The progress of a job whose start was refused is stored when it may run in another
// zone. A new owner took it for running and left it out of the count too.
func TestJobWithoutARunIsCountedByTheNextOwner(t *testing.T) {
	sch, _ := newScheduler(true)
	near, far := vm("a", 1), vm("b", 1)
	near.Zone, far.Zone = "zone-0", "zone-1"
	addVMs(start, sch, near, far)
	jb := jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{step(1, 4000)}}, Zone: "zone-0"}
	sch.Accept(start, jb)
	sch.HandleStartOutcome(start, starts(sch.Plan(start))[0], agent.Unreachable)
	sch.Plan(start) // asks for the other zone, as the VM at home does not answer
	bat := sch.TakeBatch()
	if len(bat.Updates) != 1 {
		t.Fatalf("%d stored changes, want the job's further zone", len(bat.Updates))
	}
	next, _ := newScheduler(false)
	for _, hst := range []host.Host{near, far} {
		next.RestoreVM(start, hst)
	}
	next.RestoreJob(start, jobID, &jb, bat.Updates[0].Progress)
	checkShown(t, "next owner", next, 1, jobrecord.Queued)
}

// An ended job was shown in every queue of its pool after a change of owner.
func TestEndedJobKeepsItsQueueForTheNextOwner(t *testing.T) {
	sch, _ := newScheduler(true)
	accept(start, sch, step(1, 1000))
	sch.Cancel(start, jobID)
	next, _ := newScheduler(false)
	next.RestoreJob(start, jobID, nil, sch.TakeBatch().Updates[0].Progress)
	if ref, ok := next.Queue(jobID); ref.Name != "q" || !ok {
		t.Errorf("queue %q (known %t), want q", ref.Name, ok)
	}
}

// A task whose only VM had no room was ordered again at once, each time under the next run
// number, and in seconds used the numbers of later terms.
func TestRefusedStartsKeepToTheRunNumbersOfTheTerm(t *testing.T) {
	const runsPerTerm = 1000 // as in package claim
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	accept(start, sch, step(1, 1000))
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(2 * time.Millisecond) {
		sch.HandleReport(now, now, "a", agent.Report{Incarnation: 1})
		for _, ord := range starts(sch.Plan(now)) {
			if ord.Run > runsPerTerm {
				t.Fatalf("run %d after %s of refusals", ord.Run, now.Sub(start))
			}
			sch.HandleStartOutcome(now, ord, agent.Refused)
		}
	}
}
