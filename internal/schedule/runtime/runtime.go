// Package runtime learns how long the steps of a queue take against what their
// callers declare. Declared times are rough, by up to two times on some queues and by
// ten on others, and a step lasts as long as its slowest task. So the time that a step
// is expected to take lies between what it declares and what the queue's steps take,
// the nearer to the latter the less the declared times have told so far: a regression
// of the logarithms.
package runtime

import (
	"math"
	"time"
)

const (
	// startRatio holds until steps have been seen: the slowest of some tasks.
	initialRatio = 1.2
	// leastSeen steps are needed for a regression.
	minObservations = 8
	// fading is what the weight of a step loses with each later one: about 200 count.
	decay = 0.995
	// mostOff bounds one observation against what was expected, which keeps a stuck VM
	// from spoiling the rest.
	maxDeviation = 4
	// leastSpread is the variance of the logarithms of declared times below which they
	// are all alike and tell nothing of each other.
	minVariance = 1e-3
)

// Model holds what is learned of a queue. The zero value has learned nothing.
type Model struct {
	count                           int
	weight                          float64
	sumX, sumY, sumXX, sumXY, sumY2 float64 // of logarithms of seconds: declared, actual
}

// Observe takes in that a step which was declared to take a time took another.
func (mdl *Model) Observe(declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	if mdl.hasLearned() {
		expected := mdl.Expect(declared)
		actual = min(max(actual, expected/maxDeviation), maxDeviation*expected)
	}
	x, y := math.Log(declared.Seconds()), math.Log(actual.Seconds())
	mdl.count++
	mdl.weight = decay*mdl.weight + 1
	mdl.sumX = decay*mdl.sumX + x
	mdl.sumY = decay*mdl.sumY + y
	mdl.sumXX = decay*mdl.sumXX + x*x
	mdl.sumXY = decay*mdl.sumXY + x*y
	mdl.sumY2 = decay*mdl.sumY2 + y*y
}

func (mdl *Model) hasLearned() bool { return mdl.count >= minObservations }

// Expect returns how long a step that is declared to take a time will take.
func (mdl *Model) Expect(declared time.Duration) time.Duration {
	if declared <= 0 {
		return 0
	}
	if !mdl.hasLearned() {
		return time.Duration(initialRatio * float64(declared))
	}
	meanX, meanY := mdl.sumX/mdl.weight, mdl.sumY/mdl.weight
	varX := mdl.sumXX/mdl.weight - meanX*meanX
	cov := mdl.sumXY/mdl.weight - meanX*meanY
	slope := 1.0
	if varX > minVariance {
		slope = min(max(cov/varX, 0), 1)
	}
	residual := max(0, mdl.sumY2/mdl.weight-meanY*meanY-2*slope*cov+slope*slope*varX)
	log := meanY + slope*(math.Log(declared.Seconds())-meanX) + residual/2
	return time.Duration(math.Exp(log) * float64(time.Second))
}
