// Package fit scores the VMs with enough free capacity for a task. Finite tasks are
// packed on the fullest VM that holds them, which leaves whole VMs free for large
// tasks, maintenance and moves. Long-running tasks avoid VMs of a pending maintenance
// wave, as they would have to move again. Background tasks avoid VMs with tasks that
// serve users, as they slow those down.
package fit

import "daisywheel/internal/job/plan"

// Candidate is a VM that may take the task.
type Candidate struct {
	Free         plan.Demand
	Capacity     plan.Demand
	IsNear       bool // the task's data is in the VM's rack, or the task prefers no rack
	IsAvoided    bool // the last run of the task failed there
	LatencyBound int  // tasks with a bound on their tail latency
	Background   int  // background tasks
	SameStep     int  // tasks of the same step
	InWave       bool // the VM is part of a pending maintenance wave
}

// Weights of the score, as fractions of a VM's cores.
const (
	remoteWeight  = 2  // in another rack a run takes remote_factor (1.5) times as long, which no packing outweighs
	avoidWeight   = 4  // the VM where the task failed last is the last choice
	servingWeight = 1  // one task that serves users counts as much as a whole free VM
	sameWeight    = .5 // spreads the tasks of a long-running step over VMs
	dueWeight     = 2  // a long-running task there would have to move again, which no packing outweighs
)

// Score returns the cost of placing a task of the step on the candidate; the lowest
// is best.
func Score(stp *plan.Step, cnd Candidate) float64 {
	cost := 0.0
	if !cnd.IsNear {
		cost += remoteWeight
	}
	if cnd.IsAvoided {
		cost += avoidWeight
	}
	free := fraction(cnd.Free.MilliCores, cnd.Capacity.MilliCores)
	if stp.IsBackground {
		return cost + servingWeight*float64(cnd.LatencyBound) + float64(cnd.Background) - free
	}
	if stp.IsLongRunning {
		cost += sameWeight * float64(cnd.SameStep)
		if cnd.InWave {
			cost += dueWeight
		}
	}
	if stp.LatencyGoal > 0 {
		cost += servingWeight * float64(cnd.Background)
	}
	return cost + free
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
