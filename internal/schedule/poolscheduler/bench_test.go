package poolscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
)

// BenchmarkDecision measures accepting a job, placing its task and handling the end of
// the task, in a pool of 350 VMs that are half full.
func BenchmarkDecision(b *testing.B) {
	sch, _ := newScheduler(true)
	var hosts []host.Host
	for i := range 350 {
		hosts = append(hosts, vm(fmt.Sprintf("vm-%d", i), 1))
	}
	addVMs(start, sch, hosts...)
	sch.Accept(start, jobrecord.Job{Queue: "q", FirstAttempt: start, Plan: &plan.Plan{ID: jobID, Steps: []plan.Step{step(700, 1000)}}})
	sch.Plan(start)
	b.ReportAllocs()
	number, now := int64(0), start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		id := fmt.Sprintf("%016x", i)
		sch.Accept(now, jobrecord.Job{Queue: "q", FirstAttempt: now, Plan: &plan.Plan{ID: id, Steps: []plan.Step{step(1, 1000)}}})
		ord := starts(sch.Plan(now))[0]
		number++
		end := agent.End{Number: number, Task: ord.Task, Run: ord.Run, Reason: agent.EndedDone}
		sch.HandleReport(now, now, ord.Target.VM, agent.Report{Incarnation: 1, Ended: []agent.End{end}})
	}
}
