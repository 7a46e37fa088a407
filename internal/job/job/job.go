// Package job holds one job: a task that an operator wants to run on a VM.
package job

import "daisywheel/internal/job/shape"

// UrgentPriority is the lowest priority that may displace lesser work.
const UrgentPriority = 90

// State is the state of a job.
type State int

// States of a job.
const (
	Pending State = iota
	Placed
	Done
	Failed
	Cancelled
	Unplaceable
)

// String returns the camelCase name of the state.
func (stt State) String() string {
	return [...]string{"pending", "placed", "done", "failed", "cancelled", "unplaceable"}[stt]
}

// ParseState is the inverse of State.String. Unknown names read as Failed.
func ParseState(name string) State {
	for stt := Pending; stt <= Unplaceable; stt++ {
		if stt.String() == name {
			return stt
		}
	}
	return Failed
}

// Config holds what the submitter declares. Kind groups jobs whose sizes are
// learned together.
type Config struct {
	Name     string
	Team     string
	Pool     string
	Kind     string
	Shape    shape.Shape
	Priority int
	Seconds  int
}

// Job is a value; the fold owns the original.
type Job struct {
	cfg          Config
	state        State
	vm           string
	fencingToken int64
	reserved     shape.Shape
	failedOn     []string
}

// New returns a pending job.
func New(cfg Config) Job { return Job{cfg: cfg} }

// Config returns what the submitter declared.
func (jb Job) Config() Config { return jb.cfg }

// Name returns the job's name.
func (jb Job) Name() string { return jb.cfg.Name }

// State returns the job's state.
func (jb Job) State() State { return jb.state }

// VM returns the VM that the job is placed on, or "".
func (jb Job) VM() string { return jb.vm }

// Fence returns the fencing token of the present placement.
func (jb Job) Fence() int64 { return jb.fencingToken }

// Reserved returns what the present placement holds on its VM.
func (jb Job) Reserved() shape.Shape { return jb.reserved }

// IsUrgent reports whether the job may displace lesser work.
func (jb Job) IsUrgent() bool { return jb.cfg.Priority >= UrgentPriority }

// IsEnded reports whether the job will not run again.
func (jb Job) IsEnded() bool { return jb.state != Pending && jb.state != Placed }

// FailedOn returns the VMs on which the job has failed.
func (jb Job) FailedOn() []string { return jb.failedOn }

// HasFailedOn reports whether the job has failed on the VM.
func (jb Job) HasFailedOn(vm string) bool {
	for _, nam := range jb.failedOn {
		if nam == vm {
			return true
		}
	}
	return false
}

// Place returns the job placed on the VM with a new fencing token.
func (jb Job) Place(vm string, reserved shape.Shape) Job {
	jb.state = Placed
	jb.vm = vm
	jb.fencingToken++
	jb.reserved = reserved
	return jb
}

// Release returns the job without a VM in the given state.
func (jb Job) Release(stt State) Job {
	jb.state = stt
	jb.vm = ""
	jb.reserved = shape.Shape{}
	return jb
}

// Fail returns the job with one more VM on which it failed.
func (jb Job) Fail(vm string) Job {
	if jb.HasFailedOn(vm) {
		return jb
	}
	failed := make([]string, 0, len(jb.failedOn)+1)
	failed = append(failed, jb.failedOn...)
	jb.failedOn = append(failed, vm)
	return jb
}

// Restored holds the parts of a Job that a checkpoint keeps besides Config.
type Restored struct {
	State    State
	VM       string
	Fence    int64
	Reserved shape.Shape
	FailedOn []string
}

// Restored returns those parts.
func (jb Job) Restored() Restored {
	return Restored{State: jb.state, VM: jb.vm, Fence: jb.fencingToken, Reserved: jb.reserved, FailedOn: jb.failedOn}
}

// Restore returns the job that a checkpoint describes.
func Restore(cfg Config, rst Restored) Job {
	return Job{cfg: cfg, state: rst.State, vm: rst.VM, fencingToken: rst.Fence, reserved: rst.Reserved, failedOn: rst.FailedOn}
}
