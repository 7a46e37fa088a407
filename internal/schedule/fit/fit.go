// Package fit chooses the VM for a task among those that have room. Finite work
// is packed on the fullest VM that holds it, which leaves whole VMs free for
// large tasks, maintenance and moves. Lasting work keeps away from VMs that a
// wave of maintenance will come to, as it would have to move once more.
// Background work avoids VMs with tasks that serve users, since it slows them
// down.
package fit

import "daisywheel/internal/job/plan"

// Candidate is a VM that may take the task.
type Candidate struct {
	Room      plan.Demand
	Capacity  plan.Demand
	IsNear    bool // the task's data lies in the VM's rack, or it has no preference
	IsAvoided bool // the last run of the task failed there
	Serving   int  // tasks with a bound on their tail
	Helpers   int  // background tasks
	Same      int  // tasks of the same step
	IsDue     bool // a wave of maintenance will come to the VM
}

// Weights of the score, in parts of a whole VM's cores.
const (
	remoteWeight  = 2  // a far run takes remote_factor (1.5) times as long, worse than any packing
	avoidWeight   = 4  // a VM that just failed the task is the last choice
	servingWeight = 1  // one neighbour that serves counts as a whole VM's room
	sameWeight    = .5 // spreads a lasting step over VMs
	dueWeight     = 2  // a lasting task there has to move once more, which no packing is worth
)

// Score returns the cost of placing the task there; the lowest is best.
func Score(stp *plan.Step, cnd Candidate) float64 {
	cost := 0.0
	if !cnd.IsNear {
		cost += remoteWeight
	}
	if cnd.IsAvoided {
		cost += avoidWeight
	}
	free := fraction(cnd.Room.MilliCores, cnd.Capacity.MilliCores)
	if stp.IsBackground {
		return cost + servingWeight*float64(cnd.Serving) + float64(cnd.Helpers) - free
	}
	if stp.IsLasting {
		cost += sameWeight * float64(cnd.Same)
		if cnd.IsDue {
			cost += dueWeight
		}
	}
	if stp.Goal > 0 {
		cost += servingWeight * float64(cnd.Helpers)
	}
	return cost + free
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
