package poolscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolscheduler"
)

// vmsInZones returns VMs spread over three zones, and the zone of each by VM id.
func vmsInZones(count int) ([]host.Host, map[string]string) {
	var hosts []host.Host
	zones := map[string]string{}
	for i := range count {
		hst := vm(fmt.Sprintf("vm-%02d", i), 1)
		hst.Zone = fmt.Sprintf("zone-%d", i%3)
		zones[hst.ID] = hst.Zone
		hosts = append(hosts, hst)
	}
	return hosts, zones
}

// acceptInZone chooses a job's zone and accepts the job as an owner does, and returns the
// record that is stored.
func acceptInZone(sch *poolscheduler.Scheduler, num int, stp plan.Step) jobrecord.Job {
	jb := jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: fmt.Sprintf("%016x", num), Steps: []plan.Step{stp}}}
	jb.Zone = sch.HomeZoneFor(jb.Plan)
	sch.Accept(start, jb)
	return jb
}

func TestJobsAreSpreadOverZonesAndConfined(t *testing.T) {
	sch, _ := newScheduler(true)
	hosts, zones := vmsInZones(12)
	addVMs(start, sch, hosts...)
	sch.Plan(start)
	used := map[string]bool{}
	for num := range 3 {
		jb := acceptInZone(sch, num, step(10, 1200))
		used[jb.Zone] = true
		for _, ord := range starts(sch.Plan(start)) {
			if zones[ord.Target.VM] != jb.Zone {
				t.Errorf("a task of a job in %s starts in %s", jb.Zone, zones[ord.Target.VM])
			}
		}
	}
	if len(used) != 3 {
		t.Errorf("three jobs in %d zones, want 3", len(used))
	}
}

// A job that needs more capacity than its zone has uses another zone once that is stored.
func TestJobUsesAnotherZoneOnceStored(t *testing.T) {
	sch, _ := newScheduler(true)
	hosts, zones := vmsInZones(6)
	addVMs(start, sch, hosts...)
	sch.Plan(start)
	jb := acceptInZone(sch, 1, step(12, 1000))
	if got := len(starts(sch.Plan(start))); got != 8 {
		t.Fatalf("%d starts in a zone with capacity for 8", got)
	}
	if !sch.HasUrgentChanges() {
		t.Error("another zone is not requested")
	}
	if got := len(starts(sch.Plan(start))); got != 0 {
		t.Errorf("%d tasks start in another zone before that is stored", got)
	}
	bat := sch.TakeBatch()
	if len(bat.Updates) != 1 || len(bat.Updates[0].Progress.ExtraZones) != 1 {
		t.Fatalf("updates %+v, want the other zone", bat.Updates)
	}
	sch.CommitBatch(bat)
	orders := starts(sch.Plan(start))
	for _, ord := range orders {
		if got := zones[ord.Target.VM]; got == jb.Zone || got != bat.Updates[0].Progress.ExtraZones[0] {
			t.Errorf("a task starts in %s", got)
		}
	}
	if len(orders) != 4 {
		t.Errorf("%d more starts, want 4", len(orders))
	}
}

// A new owner that cannot reach a zone continues the jobs of the other zones.
func TestUnreachableZoneBlocksOnlyItsJobs(t *testing.T) {
	sch, _ := newScheduler(false)
	hosts, _ := vmsInZones(6)
	for _, hst := range hosts {
		sch.RestoreVM(start, hst)
	}
	for num, zone := range []string{"zone-0", "zone-1", ""} {
		jb := jobrecord.Job{Queue: "q", FirstAttempt: start, Zone: zone, Plan: &plan.Plan{ID: fmt.Sprintf("%016x", num), Steps: []plan.Step{step(1, 1000)}}}
		sch.RestoreJob(start, jb.Plan.ID, &jb, jobrecord.Progress{})
	}
	extended := jobrecord.Job{Queue: "q", FirstAttempt: start, Zone: "zone-1", Plan: &plan.Plan{ID: "00000000000000aa", Steps: []plan.Step{step(1, 1000)}}}
	sch.RestoreJob(start, extended.Plan.ID, &extended, jobrecord.Progress{ExtraZones: []string{"zone-0"}})
	sch.SetListedVMs(start, hosts)
	for _, hst := range hosts {
		if hst.Zone != "zone-0" {
			sch.HandleReport(start, start, hst.ID, agent.Report{Incarnation: 1})
		}
	}
	orders := starts(sch.Plan(start))
	if len(orders) != 1 || orders[0].Task.Job != fmt.Sprintf("%016x", 1) {
		t.Errorf("starts %+v, want only the job of zone-1, as the others may run in zone-0", orders)
	}
	for _, hst := range hosts {
		sch.HandleReport(start, start, hst.ID, agent.Report{Incarnation: 1})
	}
	if got := len(starts(sch.Plan(start.Add(time.Millisecond)))); got != 3 {
		t.Errorf("%d starts once all VMs have reported, want 3", got)
	}
}

// When a zone is cut off in a burst, its VMs finish nothing and so seem to have the most
// free capacity. A VM that has not answered in time must get no task until it reports.
func TestVMWhoseAnswerIsLateGetsNoTasks(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1), vm("b", 1))
	accept(start, sch, step(4, 1000))
	sch.HandleLatePoll(start, "a")
	for _, ord := range starts(sch.Plan(start)) {
		if ord.Target.VM == "a" {
			t.Errorf("task %s starts on a VM that has not answered in time", ord.Task)
		}
	}
	sch.HandleReport(start, start, "a", agent.Report{Incarnation: 1})
	sch.Accept(start, jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: "00000000000000c1", Steps: []plan.Step{step(4, 1000)}}})
	if got := starts(sch.Plan(start)); len(got) != 4 || got[0].Target.VM != "a" {
		t.Errorf("starts %+v, want four on a, which has answered", got)
	}
}
