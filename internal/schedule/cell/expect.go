package cell

import (
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
)

// expect returns how long the longest chain of an occurrence takes in all, and how
// long what is left of it. Steps that are done count with the time that they took,
// the others with what is learned, as declared times are off by several times: a job
// must not lose its place because its caller declared too little.
func (cel *Cell) expect(ent *entry, num int) (whole, left time.Duration) {
	mdl := cel.model(ent.queue)
	rnd := ent.roundOf(num)
	wholes := cel.scratch[:len(ent.plan.Steps)]
	lefts := cel.scratch[plan.MaxSteps:][:len(ent.plan.Steps)]
	for i := range ent.plan.Steps {
		stp := &ent.plan.Steps[i]
		wholes[i], lefts[i] = 0, 0
		for _, dep := range stp.After {
			wholes[i], lefts[i] = max(wholes[i], wholes[dep]), max(lefts[i], lefts[dep])
		}
		takes, isDone := mdl.Expect(stp.Estimate), false
		if rnd != nil {
			stg := rnd.stages[i]
			if isDone = stg.isDone(); stg.taken > 0 {
				takes = stg.taken
			}
		}
		wholes[i] += takes
		if !isDone {
			lefts[i] += takes
		}
		whole, left = max(whole, wholes[i]), max(left, lefts[i])
	}
	return whole, left
}

// roundOf returns an occurrence, or nil while it is not due.
func (ent *entry) roundOf(num int) *round {
	if num < 0 || num >= len(ent.rounds) {
		return nil
	}
	return ent.rounds[num]
}

// since returns the moment from which an occurrence's time counts.
func (ent *entry) since(num int) time.Time {
	if !ent.plan.IsRepeating() {
		return ent.accepted
	}
	return later(ent.accepted, dueAt(ent.plan, num))
}

// objective returns when an occurrence of the job should be done.
func (cel *Cell) objective(ent *entry, num int) time.Time {
	que, _ := cel.queueOf(ent.queue)
	whole, _ := cel.expect(ent, num)
	return objectiveOf(que, ent.since(num), whole)
}

// objectiveOf returns when work of the queue should be done that counts since a moment
// and takes so long.
func objectiveOf(que queue.Queue, since time.Time, whole time.Duration) time.Time {
	return since.Add(time.Duration(que.Factor*float64(whole)) + que.Goal)
}
