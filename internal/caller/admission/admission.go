// Package admission decides whether a caller's API key is accepted, by a configuration that the
// entry has read some time ago. It is made for keys that are taken away while the log turns entries
// away, and for keys that were just added.
package admission

import "time"

const (
	// freshAge is the age of the configuration up to which an unknown key is refused without another
	// read: callers with a key that was just added must be served soon, and callers without a valid
	// one must not cause a read each.
	freshAge = 500 * time.Millisecond
	// clockDrift is the largest fraction by which the entry's clock may run slow.
	clockDrift = 0.02
	// margin covers the time from the read of the clock to the decision.
	margin = 100 * time.Millisecond
)

// Verdict is a decision on a request.
type Verdict int

// Verdicts.
const (
	Accept Verdict = iota
	Refuse         // the key is unknown
	Verify         // the configuration is too old to tell, so it has to be read first
)

// Decide returns the verdict on a request whose key is known or not, by a configuration of the age. A
// negative age stands for one of unknown age. A key that was taken away may be used for maxAge; 0 stands for any
// time.
func Decide(isKnown bool, age, maxAge time.Duration) Verdict {
	switch {
	case !isKnown && age >= 0 && age <= freshAge:
		return Refuse
	case isKnown && (maxAge <= 0 || age >= 0 && age <= usableAge(maxAge)):
		return Accept
	}
	return Verify
}

// usableAge returns the age by the entry's clock up to which the configuration is younger than maxAge.
func usableAge(maxAge time.Duration) time.Duration {
	return time.Duration(float64(maxAge)*(1-clockDrift)) - margin
}
