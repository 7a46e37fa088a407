package poolscheduler

import "daisywheel/internal/job/plan"

// TaskBytes is the memory of a task while its job is open: its state, and its part of the state of its job.
const TaskBytes = 512

// TaskCount returns the number of tasks of the job whose state is kept at a time at least.
func TaskCount(pln *plan.Plan) int {
	tasks := 0
	for i := range pln.Steps {
		tasks += pln.Steps[i].Count
	}
	return tasks
}

// OpenTasks returns the number of tasks whose state is kept for jobs that have not ended. A job counts with one occurrence while
// none is open.
func (sch *Scheduler) OpenTasks() int { return sch.openTasks }

// updateOpenTasks counts the tasks of a job after its open occurrences or its state have changed.
func (sch *Scheduler) updateOpenTasks(jst *jobState) {
	count := 0
	if !jst.state.IsEnded() {
		count = TaskCount(jst.plan) * max(1, jst.openOccurrences)
	}
	sch.openTasks += count - jst.countedTasks
	jst.countedTasks = count
}

// dropUnstarted drops the state of the tasks of a job that has ended before any of them can have run.
func (jst *jobState) dropUnstarted() {
	if !jst.isInherited && !jst.isOrderLogged && jst.placedTasks == 0 {
		clear(jst.occurrences)
		jst.openOccurrences = 0
	}
}
