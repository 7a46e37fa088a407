package poolscheduler

import (
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
)

// expectedTimes returns the expected run time of an occurrence's longest chain of
// steps, in total and for what remains. Steps that are done count with their actual
// run time, the others with the time that the runtime model predicts. Declared times
// are wrong by a factor of several, and a job must not lose its place in the order
// because its caller declared too little.
func (sch *Scheduler) expectedTimes(jst *jobState, num int) (total, remaining time.Duration) {
	mdl := sch.runtimeModel(jst.queue.Name)
	occ := jst.occurrenceAt(num)
	totalTimes := sch.scratch[:len(jst.plan.Steps)]
	remainingTimes := sch.scratch[plan.MaxSteps:][:len(jst.plan.Steps)]
	for i := range jst.plan.Steps {
		stp := &jst.plan.Steps[i]
		totalTimes[i], remainingTimes[i] = 0, 0
		for _, dep := range stp.After {
			totalTimes[i], remainingTimes[i] = max(totalTimes[i], totalTimes[dep]), max(remainingTimes[i], remainingTimes[dep])
		}
		duration, isDone := mdl.Predict(stp.Estimate), false
		if occ != nil {
			sst := occ.steps[i]
			if isDone = sst.isDone(); sst.runTime > 0 {
				duration = sst.runTime
			}
		}
		totalTimes[i] += duration
		if !isDone {
			remainingTimes[i] += duration
		}
		total, remaining = max(total, totalTimes[i]), max(remaining, remainingTimes[i])
	}
	return total, remaining
}

// occurrenceAt returns the state of an occurrence, or nil if it is not open.
func (jst *jobState) occurrenceAt(num int) *occurrence {
	if num < 0 || num >= len(jst.occurrences) {
		return nil
	}
	return jst.occurrences[num]
}

// waitStart returns the time from which the deadline of an occurrence is computed.
func (jst *jobState) waitStart(num int) time.Time {
	if !jst.plan.IsRepeating() {
		return jst.waitingSince
	}
	return laterOf(jst.waitingSince, dueAt(jst.plan, num))
}

// deadline returns the time by which an occurrence of the job should be done.
func (sch *Scheduler) deadline(jst *jobState, num int) time.Time {
	que := sch.queueOf(jst.queue)
	total, _ := sch.expectedTimes(jst, num)
	return deadlineOf(que, jst.waitStart(num), total)
}

// deadlineOf returns the time by which work of the queue should be done that has been
// waiting since the given time and has an expected run time of total.
func deadlineOf(que queue.Queue, since time.Time, total time.Duration) time.Time {
	return since.Add(time.Duration(que.DeadlineFactor*float64(total)) + que.LatencyGoal)
}
