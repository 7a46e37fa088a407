package fleetcontroller

import "time"

// orderLimit is a token bucket for the orders that the platform accepts. Rounds that a
// report makes due early share the tokens of regular rounds.
type orderLimit struct {
	tokens float64
	at     time.Time
}

// take returns how many of the wanted orders may be sent now at the rate per second, and
// takes their tokens. The bucket holds the orders of one regular round, at least one.
func (lim *orderLimit) take(now time.Time, rate float64, wanted int) int {
	capacity := max(1, rate*roundInterval.Seconds())
	if lim.at.IsZero() {
		lim.tokens = capacity
	} else {
		lim.tokens = min(capacity, lim.tokens+rate*now.Sub(lim.at).Seconds())
	}
	lim.at = now
	count := min(wanted, int(lim.tokens))
	lim.tokens -= float64(count)
	return count
}
