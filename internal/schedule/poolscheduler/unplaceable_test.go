package poolscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
)

// A burst of jobs that are too large for the free capacity must not keep smaller jobs, or
// jobs that need another resource, from starting.
func TestSmallTasksStartWhileLargeOnesWait(t *testing.T) {
	sch, _ := newScheduler(true)
	addVMs(start, sch, vm("a", 1))
	submit := func(num int, need plan.Demand) {
		// Each job is submitted a little later than the one before, so the order is fixed.
		at := start.Add(time.Duration(num) * time.Millisecond)
		sch.Accept(at, jobrecord.Job{Queue: "q", FirstAttempt: at, Plan: &plan.Plan{
			ID:    fmt.Sprintf("%016x", num),
			Steps: []plan.Step{{Count: 1, Demand: need, Estimate: time.Second}},
		}})
	}
	for num := range 20 {
		submit(num, plan.Demand{MilliCores: 3000, MemoryMB: 100})
	}
	submit(20, plan.Demand{MilliCores: 900, MemoryMB: 3000})
	submit(21, plan.Demand{MilliCores: 3500, MemoryMB: 10})
	submit(22, plan.Demand{MilliCores: 100, MemoryMB: 900})
	got := starts(sch.Plan(start.Add(100 * time.Millisecond)))
	if len(got) != 3 {
		t.Fatalf("%d starts, want one large job and the two that fit beside it", len(got))
	}
}
