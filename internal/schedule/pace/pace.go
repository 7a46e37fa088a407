// Package pace decides how fast background tasks may work beside tasks that
// serve users. Its answer to a tail near its bound is quick; hysteresis keeps
// the pace from following each small change of the load.
package pace

// Shares of the bound of the tail, and steps of the pace in percent.
const (
	halveAt      = 0.85 // above it the pace is halved
	stopAt       = 1.0  // above it background work stands
	raiseAt      = 0.6  // below it the pace rises
	fullPace     = 100
	paceIncrease = 20
	minPace      = 10 // a slower pace is none
)

// Next returns the pace that follows the present one, in percent. Tail is the
// worst tail among the neighbours as a share of its bound; isShared tells
// whether there are neighbours that serve. A negative present pace is unknown.
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
