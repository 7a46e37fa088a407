// Package plan describes a job as its caller submitted it: steps of tasks, with
// dependencies between the steps.
package plan

import (
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Limits of one job. They keep the state of a job below a megabyte.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 64
	MaxTasks       = 4096
	MaxOccurrences = 10000
	// MaxTextBytes bounds an image, label or rack. Labels of VMs are shorter, so a longer one names nothing.
	MaxTextBytes = 255
	idLen        = 16
)

// Demand is what one task needs of a VM. It also expresses the capacity of a VM.
type Demand struct {
	MilliCores int64
	MemoryMB   int64
	GPUs       int64
}

// Fits reports whether free covers the demand.
func (dmd Demand) Fits(free Demand) bool {
	return dmd.MilliCores <= free.MilliCores && dmd.MemoryMB <= free.MemoryMB && dmd.GPUs <= free.GPUs
}

// Plus returns the sum of dmd and other.
func (dmd Demand) Plus(other Demand) Demand {
	return Demand{dmd.MilliCores + other.MilliCores, dmd.MemoryMB + other.MemoryMB, dmd.GPUs + other.GPUs}
}

// Minus returns dmd less other. Amounts can become negative.
func (dmd Demand) Minus(other Demand) Demand {
	return Demand{dmd.MilliCores - other.MilliCores, dmd.MemoryMB - other.MemoryMB, dmd.GPUs - other.GPUs}
}

// Times returns the demand of so many tasks.
func (dmd Demand) Times(tasks int64) Demand {
	return Demand{dmd.MilliCores * tasks, dmd.MemoryMB * tasks, dmd.GPUs * tasks}
}

// Step is a set of identical tasks.
type Step struct {
	Count           int
	Demand          Demand
	Estimate        time.Duration // declared run time of one task
	After           []int         // indexes of the steps whose tasks must all be done first
	Image           string        // tasks of one image behave alike
	Label           string        // label that the VM must have
	Rack            string        // rack that holds the tasks' data
	MaxPerVM        int           // 0: no limit
	LatencyGoal     time.Duration // limit of the tail latency of a long-running task that serves users
	MaxUnavailable  int           // tasks that the scheduler may make unavailable at once
	IsGang          bool          // all tasks run together or not at all
	IsOneRack       bool          // the gang is slower across racks
	IsCheckpointing bool          // tasks write checkpoints
	IsSpeculative   bool          // copies of a task may run in parallel
	IsLongRunning   bool          // tasks run until the job is cancelled
	IsBackground    bool          // tasks use the cores that other tasks leave idle
}

// Plan is a submitted job. It is immutable.
type Plan struct {
	ID          string
	Spec        string // passed to the VM unchanged
	Steps       []Step
	RepeatCount int           // number of occurrences; 0: the job runs once, without due times
	FirstAt     time.Time     // when occurrence 0 is due
	Interval    time.Duration // between occurrences
}

// IsRepeating reports whether the job has occurrences with due times.
func (pln *Plan) IsRepeating() bool { return pln.RepeatCount > 0 }

// IsLongRunning reports whether the job has a long-running step, so that it runs until
// it is cancelled.
func (pln *Plan) IsLongRunning() bool {
	for i := range pln.Steps {
		if pln.Steps[i].IsLongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns how many times the steps run.
func (pln *Plan) Occurrences() int { return max(1, pln.RepeatCount) }

// CriticalPath returns the declared run time of the longest chain of dependent
// steps.
func (pln *Plan) CriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(pln.Steps))
	for i := range pln.Steps {
		var start time.Duration
		for _, dep := range pln.Steps[i].After {
			start = max(start, ends[dep])
		}
		ends[i] = start + pln.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the declared work of one occurrence in millicore-seconds.
func (pln *Plan) Work() int64 {
	sum := 0.0
	for i := range pln.Steps {
		stp := &pln.Steps[i]
		sum += float64(stp.Count) * float64(stp.Demand.MilliCores) * stp.Estimate.Seconds()
	}
	return int64(sum)
}

// IsID reports whether id is a valid job id: 16 hexadecimal digits.
func IsID(id string) bool {
	if len(id) != idLen {
		return false
	}
	for _, chr := range []byte(id) {
		isDigit := chr >= '0' && chr <= '9' || chr >= 'a' && chr <= 'f' || chr >= 'A' && chr <= 'F'
		if !isDigit {
			return false
		}
	}
	return true
}

// Check returns a *fault.Fault for the first invalid part of the plan, or nil.
func (pln *Plan) Check() error {
	switch {
	case !IsID(pln.ID):
		return fault.New(code.BadShape, "job id %.40q is not 16 hexadecimal digits", pln.ID)
	case len(pln.Spec) > MaxSpecBytes:
		return fault.New(code.BadShape, "spec has %d bytes, at most %d", len(pln.Spec), MaxSpecBytes)
	case len(pln.Steps) == 0 || len(pln.Steps) > MaxSteps:
		return fault.New(code.BadShape, "job has %d steps, must be 1 to %d", len(pln.Steps), MaxSteps)
	case pln.RepeatCount < 0 || pln.RepeatCount > MaxOccurrences || pln.Interval < 0:
		return fault.New(code.BadShape, "job repeats %d times each %s", pln.RepeatCount, pln.Interval)
	}
	total := 0
	for i := range pln.Steps {
		if err := pln.Steps[i].check(i); err != nil {
			return err
		}
		total += pln.Steps[i].Count
	}
	if total > MaxTasks {
		return fault.New(code.BadShape, "job has %d tasks, at most %d", total, MaxTasks)
	}
	return nil
}

func (stp *Step) check(index int) error {
	dmd := stp.Demand
	switch {
	case stp.Count < 1 || stp.Count > MaxTasks:
		return fault.New(code.BadShape, "step %d has %d tasks, must be 1 to %d", index, stp.Count, MaxTasks)
	case dmd.MilliCores < 0 || dmd.MemoryMB < 0 || dmd.GPUs < 0 || stp.Estimate < 0 || stp.MaxPerVM < 0 || stp.MaxUnavailable < 0:
		return fault.New(code.BadShape, "step %d has a negative figure", index)
	case len(stp.Image) > MaxTextBytes || len(stp.Label) > MaxTextBytes || len(stp.Rack) > MaxTextBytes:
		return fault.New(code.BadShape, "step %d has an image, label or rack of over %d bytes", index, MaxTextBytes)
	case len(stp.After) > index:
		return fault.New(code.BadShape, "step %d depends on %d steps, there are %d before it", index, len(stp.After), index)
	}
	for _, dep := range stp.After {
		if dep < 0 || dep >= index {
			return fault.New(code.BadShape, "step %d depends on step %d, which is not an earlier one", index, dep)
		}
	}
	return nil
}
