// Package pace decides how fast background tasks may run beside tasks that serve
// users. It slows them quickly when the tail latency of a neighbour nears its bound;
// hysteresis keeps the pace from following every small change of the load.
package pace

// Thresholds of the tail latency as fractions of its bound, and paces in percent.
const (
	halveAt      = 0.85 // from here on the pace is halved
	stopAt       = 1.0  // from here on background tasks are stopped
	raiseAt      = 0.6  // up to here the pace is raised
	fullPace     = 100
	paceIncrease = 20
	minPace      = 10 // a lower pace becomes 0
)

// Next returns the pace that follows the current one, in percent. tailRatio is the
// worst tail latency among the neighbours as a fraction of its bound; isShared reports
// whether there are neighbours that serve users. A negative current pace is unknown.
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
