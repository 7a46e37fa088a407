// Package fit scores the VMs with enough free capacity for a task. Finite tasks are
// packed on the fullest VM that holds them, which leaves whole VMs free for large
// tasks, maintenance and moves. Long-running tasks avoid VMs of a pending maintenance
// wave, as they would have to move again. Background tasks avoid VMs with latency-bound
// tasks, as they slow those down.
package fit

import "daisywheel/internal/job/plan"

// Candidate is a VM that may take the task.
type Candidate struct {
	Free         plan.Demand
	Capacity     plan.Demand
	IsNear       bool // the task's data is in the VM's rack, or the task prefers no rack
	IsAvoided    bool // the last run of the task failed there
	LatencyBound int  // tasks with a latency goal
	Background   int  // background tasks
	SameStep     int  // tasks of the same step
	InWave       bool // the VM is part of a pending maintenance wave
}

// Weights of the score, in which a VM whose cores are all free counts 1.
const (
	remoteWeight       = 2  // in another rack a run takes remote_factor (1.5) times as long, which no packing outweighs
	avoidWeight        = 4  // the VM where the task failed last is the last choice
	interferenceWeight = 1  // one background task beside one latency-bound task counts as much as a whole free VM
	sameStepWeight     = .5 // spreads the tasks of a long-running step over VMs
	inWaveWeight       = 2  // a long-running task there would have to move again, which no packing outweighs
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
		return cost + interferenceWeight*float64(cnd.LatencyBound) + float64(cnd.Background) - free
	}
	if stp.IsLongRunning {
		cost += sameStepWeight * float64(cnd.SameStep)
		if cnd.InWave {
			cost += inWaveWeight
		}
	}
	if stp.LatencyGoal > 0 {
		cost += interferenceWeight * float64(cnd.Background)
	}
	return cost + free
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
