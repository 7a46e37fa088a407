// Package estimate estimates the run times of steps from the times that callers declare
// and the times that earlier steps of the queue took. Declared times are off by a
// factor of up to two on some queues and of ten on others, and a step takes as long as
// its slowest task. The estimate is a linear regression of the logarithms: it lies
// between the declared time and the usual time of the queue's steps, and nearer to the
// latter the less the declared times have predicted so far.
package estimate

import (
	"math"
	"time"
)

const (
	// initialRatio is the estimate as a multiple of the declared time until enough steps
	// have been observed; it is above 1 as the slowest task counts.
	initialRatio = 1.2
	// minObservations is the number of steps that a regression needs.
	minObservations = 8
	// decay is the factor on the weight of an observation for each later one, so that
	// about the last 200 count.
	decay = 0.995
	// maxDeviation bounds the factor between one observation and its estimate, so that a
	// stuck VM does not distort the model.
	maxDeviation = 4
	// minVariance is the variance of the logarithms of the declared times below which
	// these are too much alike to fit a slope.
	minVariance = 1e-3
)

// Model is the regression model of one queue. The zero value has no observations.
type Model struct {
	count                           int
	weight                          float64
	sumX, sumY, sumXX, sumXY, sumY2 float64 // of logarithms of seconds: x declared, y actual
	spreadSum, spreadWeight         float64 // squares of deviations within steps, and their degrees of freedom
}

// Observe records the declared and the actual time of a step.
func (mdl *Model) Observe(declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	if mdl.hasLearned() {
		expected := mdl.Predict(declared)
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

// Predict returns the estimated time of a step from its declared time.
func (mdl *Model) Predict(declared time.Duration) time.Duration {
	if declared <= 0 {
		return 0
	}
	if !mdl.hasLearned() {
		return time.Duration(initialRatio * float64(declared))
	}
	meanX, meanY, slope, residual := mdl.regression()
	// Half the residual variance turns the median of a log-normal time into its mean.
	return seconds(math.Exp(meanY + slope*(math.Log(declared.Seconds())-meanX) + residual/2))
}

// regression returns the means of the logarithms of the declared and actual times, the slope and the residual variance.
func (mdl *Model) regression() (meanX, meanY, slope, residual float64) {
	meanX, meanY = mdl.sumX/mdl.weight, mdl.sumY/mdl.weight
	varX := mdl.sumXX/mdl.weight - meanX*meanX
	cov := mdl.sumXY/mdl.weight - meanX*meanY
	slope = 1.0
	if varX > minVariance {
		slope = min(max(cov/varX, 0), 1)
	}
	return meanX, meanY, slope, max(0, mdl.sumY2/mdl.weight-meanY*meanY-2*slope*cov+slope*slope*varX)
}
