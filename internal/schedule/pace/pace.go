// Package pace decides how fast background tasks may work beside tasks that
// serve users. Its answer to a tail near its bound is quick; hysteresis keeps
// the pace from following each small change of the load.
package pace

// Shares of the bound of the tail, and steps of the pace in percent.
const (
	brakeAt   = 0.85 // above it the pace is halved
	stopAt    = 1.0  // above it background work stands
	releaseAt = 0.6  // below it the pace rises
	full      = 100
	rise      = 20
	least     = 10 // a slower pace is none
)

// Next returns the pace that follows the present one, in percent. Tail is the
// worst tail among the neighbours as a share of its bound; isShared tells
// whether there are neighbours that serve. A negative present pace is unknown.
func Next(present int, tail float64, isShared bool) int {
	switch {
	case !isShared:
		return full
	case tail >= stopAt:
		return 0
	case present < 0:
		return full / 2
	case tail >= brakeAt:
		if present/2 < least {
			return 0
		}
		return present / 2
	case tail <= releaseAt:
		return min(full, present+rise)
	}
	return present
}
