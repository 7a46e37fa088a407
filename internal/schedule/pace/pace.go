// Package pace decides how fast background tasks may run on a VM with latency-bound
// tasks. It slows them quickly when the tail latency of such a task nears its latency
// goal; hysteresis keeps the pace from following every small change of the load.
package pace

// Thresholds of the tail latency as fractions of the latency goal, and paces in percent.
const (
	halveAt      = 0.85 // from here on the pace is halved
	stopAt       = 1.0  // from here on background tasks are stopped
	raiseAt      = 0.6  // up to here the pace is raised
	fullPace     = 100
	paceIncrease = 20
	minPace      = 10 // a lower pace becomes 0
)

// Next returns the pace that follows the current one, in percent. tailRatio is the
// worst tail latency among the latency-bound tasks on the VM as a fraction of its goal;
// isShared reports whether there are such tasks. A negative current pace is unknown.
func Next(current int, tailRatio float64, isShared bool) int {
	switch {
	case !isShared:
		return fullPace
	case tailRatio >= stopAt:
		return 0
	case current < 0:
		return fullPace / 2
	case tailRatio >= halveAt:
		if current/2 < minPace {
			return 0
		}
		return current / 2
	case tailRatio <= raiseAt:
		return min(fullPace, current+paceIncrease)
	}
	return current
}
