package poolscheduler

import (
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/pace"
)

// planPaces sets the pace of background tasks by the worst tail latency among the tasks
// with a latency goal on the same VM.
func (sch *Scheduler) planPaces(orders []Order) []Order {
	for _, vst := range sch.sortedVMs() {
		if vst.backgroundTasks == 0 || !vst.hasReported {
			continue
		}
		worstTailRatio := 0.0
		for _, tst := range vst.tasks {
			if goal := tst.step.plan.LatencyGoal; goal > 0 && tst.phase == running && tst.load > 0 {
				worstTailRatio = max(worstTailRatio, float64(tst.load)/float64(goal.Milliseconds()))
			}
		}
		for _, tst := range vst.tasks {
			if !tst.step.plan.IsBackground || tst.phase != running {
				continue
			}
			nextPace := pace.Next(tst.pace, worstTailRatio, vst.latencyBoundTasks > 0)
			if nextPace == tst.pace || vst.lastReportAt.Equal(tst.paceReportAt) {
				continue
			}
			tst.pace, tst.paceReportAt = nextPace, vst.lastReportAt
			orders = append(orders, Order{Kind: PaceTask, Target: sch.target(vst), Task: tst.id, Run: tst.run, Percent: nextPace})
		}
	}
	return orders
}

// HandlePaceOutcome handles the outcome of a pace order. If the order was not carried
// out, the pace is decided again from the next report.
func (sch *Scheduler) HandlePaceOutcome(ord Order, out agent.Outcome) {
	tst := sch.findTask(ord.Task)
	if out == agent.Done || tst == nil || tst.run != ord.Run || tst.pace != ord.Percent {
		return
	}
	tst.pace = unknownPace
}
