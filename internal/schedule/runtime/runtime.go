// Package runtime learns how long the steps of a queue take against what their
// callers declare. Declared times are off by up to a factor of two, and a step
// lasts as long as its slowest task.
package runtime

import "time"

const (
	// weight of a new observation in the moving average: about 20 steps count.
	weight = 0.05
	// startRatio holds until steps have been seen: the slowest of some tasks.
	startRatio = 1.2
	// Bounds of one observation keep a stuck VM from spoiling the average.
	leastRatio, mostRatio = 0.3, 4
)

// Model holds the learned ratio of a queue. The zero value has learned nothing.
type Model struct {
	ratio float64
}

// Observe takes in that a step which was declared to take a time took another.
func (mdl *Model) Observe(declared, taken time.Duration) {
	if declared <= 0 {
		return
	}
	seen := min(max(float64(taken)/float64(declared), leastRatio), mostRatio)
	if mdl.ratio == 0 {
		mdl.ratio = startRatio
	}
	mdl.ratio += weight * (seen - mdl.ratio)
}

// Expect returns how long something declared will take.
func (mdl *Model) Expect(declared time.Duration) time.Duration {
	if mdl.ratio == 0 {
		return time.Duration(startRatio * float64(declared))
	}
	return time.Duration(mdl.ratio * float64(declared))
}
