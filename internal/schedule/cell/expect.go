package cell

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
func (cel *Cell) expectedTimes(jst *jobState, num int) (total, remaining time.Duration) {
	mdl := cel.runtimeModel(jst.queue)
	occ := jst.occurrenceAt(num)
	totals := cel.scratch[:len(jst.plan.Steps)]
	remainders := cel.scratch[plan.MaxSteps:][:len(jst.plan.Steps)]
	for i := range jst.plan.Steps {
		stp := &jst.plan.Steps[i]
		totals[i], remainders[i] = 0, 0
		for _, dep := range stp.After {
			totals[i], remainders[i] = max(totals[i], totals[dep]), max(remainders[i], remainders[dep])
		}
		duration, isDone := mdl.Expect(stp.Estimate), false
		if occ != nil {
			sst := occ.steps[i]
			if isDone = sst.isDone(); sst.runTime > 0 {
				duration = sst.runTime
			}
		}
		totals[i] += duration
		if !isDone {
			remainders[i] += duration
		}
		total, remaining = max(total, totals[i]), max(remaining, remainders[i])
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

// waitStart returns the time from which the objective of an occurrence is measured.
func (jst *jobState) waitStart(num int) time.Time {
	if !jst.plan.IsRepeating() {
		return jst.waitingSince
	}
	return laterOf(jst.waitingSince, dueAt(jst.plan, num))
}

// objective returns the time by which an occurrence of the job should be done.
func (cel *Cell) objective(jst *jobState, num int) time.Time {
	que, _ := cel.queueOf(jst.queue)
	total, _ := cel.expectedTimes(jst, num)
	return objectiveOf(que, jst.waitStart(num), total)
}

// objectiveOf returns the time by which work of the queue should be done that has been
// waiting since a time and has an expected run time of total.
func objectiveOf(que queue.Queue, since time.Time, total time.Duration) time.Time {
	return since.Add(time.Duration(que.Factor*float64(total)) + que.Goal)
}
