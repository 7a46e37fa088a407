package fleet

import "daisywheel/internal/job/shape"

// Parameters of learned sizes.
const (
	minFinishedJobs = 3   // finished jobs of a kind before its learned size is used
	reservePercent  = 125 // reserved for a job, in percent of the learned size
	decayPercent    = 95  // kept of the old size when a job used less, in percent
	percent         = 100
)

// learnedSize is the size of one kind of job, learned from the resources that its
// finished jobs used.
type learnedSize struct {
	size  shape.Shape
	count int
}

// learnSize updates the learned size of the kind with the peak use of a finished job.
// The size grows at once and shrinks slowly.
func (flt *Fleet) learnSize(kind string, use shape.Shape) {
	if kind == "" {
		return
	}
	old := flt.learnedSizes[kind]
	size := shape.New(shape.Config{
		Cores:        max(use.Cores(), old.size.Cores()*decayPercent/percent),
		MemoryMB:     max(use.MemoryMB(), old.size.MemoryMB()*decayPercent/percent),
		Accelerators: use.Accelerators(),
	})
	flt.learnedSizes[kind] = learnedSize{size: size, count: old.count + 1}
}

// SizeFor returns what to reserve for a job of the kind: the learned size with a
// margin once enough jobs have finished, the declared size before. Accelerators are
// always as declared. Learned cores and memory are limited to the most that any VM has.
func (flt *Fleet) SizeFor(kind string, declared shape.Shape) shape.Shape {
	lsz := flt.learnedSizes[kind]
	if kind == "" || lsz.count < minFinishedJobs {
		return declared
	}
	largest := flt.MaxShape()
	return shape.New(shape.Config{
		Cores:        min(largest.Cores(), roundUp(lsz.size.Cores()*reservePercent, percent)),
		MemoryMB:     min(largest.MemoryMB(), roundUp(lsz.size.MemoryMB()*reservePercent, percent)),
		Accelerators: declared.Accelerators(),
	})
}

func roundUp(value, by int) int { return (value + by - 1) / by }
