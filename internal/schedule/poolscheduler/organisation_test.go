package poolscheduler_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// newSharedScheduler returns a scheduler for the organisation acme, with a limit of 6 cores, and zenith without.
func newSharedScheduler(t *testing.T, isFirstTerm bool) *poolscheduler.Scheduler {
	t.Helper()
	orgs := organisation.NewSet()
	if err := orgs.Add(organisation.Organisation{Name: "acme", Weight: 1, Cap: plan.Demand{MilliCores: 6000}}, nil); err != nil {
		t.Fatal(err)
	}
	if err := orgs.Add(organisation.Organisation{Name: "zenith", Weight: 1}, nil); err != nil {
		t.Fatal(err)
	}
	sch := poolscheduler.New(poolscheduler.Config{
		Name: "gate", FencingToken: 5, MaxLease: 5 * time.Second, StatusRetention: time.Minute, IsFirstTerm: isFirstTerm,
		Event: func(time.Time, string, ...slog.Attr) {},
	})
	sch.SetTable(queue.NewTable(1, []queue.Queue{{Name: "q", Pool: "gate", MaxAttempts: 2, DeadlineFactor: 3, LatencyGoal: time.Minute, NeedsKey: true}}, nil).WithOrganisations(orgs))
	return sch
}

func jobOf(org string, num int, steps ...plan.Step) jobrecord.Job {
	return jobrecord.Job{Queue: "q", FirstAttempt: start, Organisation: org, Plan: &plan.Plan{ID: fmt.Sprintf("%016x", num), Steps: steps}}
}

// grant makes a quota report and applies a reply that allows acme so many cores.
func grant(sch *poolscheduler.Scheduler, now time.Time, milliCores int64) quota.Report {
	rpt := sch.QuotaReport(now)
	sch.ApplyGrants(rpt.Seq, []quota.Grant{{Organisation: "acme", Allowance: plan.Demand{MilliCores: milliCores}}})
	return rpt
}

// acmeOf returns the row of acme.
func acmeOf(rpt quota.Report) quota.Usage {
	for _, usg := range rpt.Usages {
		if usg.Organisation == "acme" {
			return usg
		}
	}
	return quota.Usage{}
}

// Tasks of an organisation with a limit start within what its pool has been allowed, others at once.
func TestStartsStayWithinTheAllowance(t *testing.T) {
	sch := newSharedScheduler(t, true)
	addVMs(start, sch, vm("a", 1), vm("b", 1), vm("c", 1))
	sch.Accept(start, jobOf("acme", 1, step(8, 1000)))
	sch.Accept(start, jobOf("zenith", 2, step(2, 1000)))
	if got := len(starts(sch.Plan(start))); got != 2 {
		t.Errorf("%d starts without an allowance, want the 2 of the organisation without a limit", got)
	}
	if isCapped, isNew := sch.HasCappedWork(); !isCapped || !isNew {
		t.Errorf("work waits for an allowance: %t, not reported yet: %t", isCapped, isNew)
	}
	rpt := grant(sch, start, 3000)
	if usg := acmeOf(rpt); usg.Want.MilliCores != 8000 || usg.Used.MilliCores != 0 || usg.Held.MilliCores != 0 {
		t.Errorf("first report %+v", usg)
	}
	if got := len(starts(sch.Plan(start))); got != 3 {
		t.Errorf("%d starts with an allowance of 3 cores", got)
	}
	rpt = grant(sch, start, 9000) // by a controller with an older configuration
	if usg := acmeOf(rpt); usg.Want.MilliCores != 5000 || usg.Used.MilliCores != 3000 || usg.Held.MilliCores != 3000 {
		t.Errorf("second report %+v", usg)
	}
	if got := len(starts(sch.Plan(start))); got != 3 {
		t.Errorf("%d more starts, want 3 within the limit", got)
	}
	ended := []agent.End{{Number: 1, Task: task.ID{Job: fmt.Sprintf("%016x", 1), Index: 0}, Run: 1, Reason: agent.EndedDone}}
	for _, id := range []string{"a", "b", "c"} {
		sch.HandleReport(start, start, id, agent.Report{Incarnation: 1, Ended: ended})
	}
	if got := len(starts(sch.Plan(start))); got != 1 {
		t.Errorf("%d starts after one task has ended, want 1", got)
	}
}

// A reply to an earlier report raises nothing, as a later one has said what is held.
func TestLateGrantIsIgnored(t *testing.T) {
	sch := newSharedScheduler(t, true)
	addVMs(start, sch, vm("a", 1))
	sch.Accept(start, jobOf("acme", 1, step(2, 1000)))
	old := sch.QuotaReport(start)
	grant(sch, start, 0)
	sch.ApplyGrants(old.Seq, []quota.Grant{{Organisation: "acme", Allowance: plan.Demand{MilliCores: 2000}}})
	if got := len(starts(sch.Plan(start))); got != 0 {
		t.Errorf("%d starts by a late reply", got)
	}
}

// A new owner counts what earlier owners may run on VMs that have not reported: unknown is not none.
func TestNewOwnerCountsWhatMayRun(t *testing.T) {
	sch := newSharedScheduler(t, false)
	sch.RestoreVM(start, vm("a", 1))
	jb := jobOf("acme", 1, step(4, 1000))
	sch.RestoreJob(start, jb.Plan.ID, &jb, jobrecord.Progress{})
	addVMs(start, sch, vm("b", 1))
	sch.Accept(start, jobOf("acme", 2, step(4, 1000)))
	sch.Plan(start)
	if usg := acmeOf(grant(sch, start, 6000)); usg.Used.MilliCores != 4000 || usg.Want.MilliCores != 4000 {
		t.Errorf("before the first VM has reported: %+v", usg)
	}
	if got := len(starts(sch.Plan(start))); got != 2 {
		t.Errorf("%d starts beside 4 cores that may be in use, want 2 of 6", got)
	}
	sch.SetListedVMs(start, nil)
	running := agent.Run{Task: task.ID{Job: jb.Plan.ID, Index: 1}, Number: 1}
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1, Active: []agent.Run{running}})
	sch.Plan(start)
	if usg := acmeOf(sch.QuotaReport(start)); usg.Used.MilliCores < 3000 || usg.Used.MilliCores > 6000 {
		t.Errorf("after it has reported one run: %+v", usg)
	}
}

// A burst of an organisation that may run no more must not call VMs.
func TestCappedDemandCallsNoVMs(t *testing.T) {
	sch := newSharedScheduler(t, true)
	addVMs(start, sch, vm("a", 1))
	for num := range 5 {
		sch.Accept(start, jobOf("acme", num+1, step(4, 1000)))
	}
	sch.Accept(start, jobOf("zenith", 9, step(4, 1000)))
	if got := sch.BalanceInput(start).Demand; got != 10000 {
		t.Errorf("demand %d, want 6000 within the limit and 4000 without one", got)
	}
}

// An organisation that sends many times its usual delays its own work.
func TestFullPoolIsShared(t *testing.T) {
	sch := newSharedScheduler(t, true)
	addVMs(start, sch, vm("a", 1))
	for num := range 5 {
		jb := jobOf("zenith", num+1, step(2, 1000))
		jb.FirstAttempt = start.Add(time.Duration(num-10) * time.Second) // it would go first by its deadline
		sch.Accept(start, jb)
	}
	sch.Accept(start, jobOf("acme", 9, step(2, 1000)))
	grant(sch, start, 6000)
	byJob := map[string]int{}
	for _, ord := range starts(sch.Plan(start)) {
		byJob[ord.Task.Job]++
	}
	if byJob[fmt.Sprintf("%016x", 9)] != 2 || len(byJob) != 2 {
		t.Errorf("starts by job %v, want half of the pool for each organisation", byJob)
	}
}
