// Package job models one job: work that an operator submits to run on a VM.
package job

import "daisywheel/internal/job/shape"

// UrgentPriority is the lowest priority at which a job may displace other jobs.
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

// ParseState is the inverse of State.String. It returns Failed for unknown names.
func ParseState(name string) State {
	for stt := Pending; stt <= Unplaceable; stt++ {
		if stt.String() == name {
			return stt
		}
	}
	return Failed
}

// Config holds what the submitter declares. The sizes of jobs of one Kind are
// learned together.
type Config struct {
	Name     string
	Team     string
	Pool     string
	Kind     string
	Shape    shape.Shape
	Priority int
	Seconds  int // expected run time
}

// Job is the state of one job. Its methods return changed copies; the applied state
// (package fleet) holds the current value.
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

// FencingToken returns the fencing token of the present placement.
func (jb Job) FencingToken() int64 { return jb.fencingToken }

// Reserved returns the capacity that the present placement reserves on its VM.
func (jb Job) Reserved() shape.Shape { return jb.reserved }

// IsUrgent reports whether the job may displace jobs that are not urgent.
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

// Fail returns the job with vm added to the VMs on which it has failed.
func (jb Job) Fail(vm string) Job {
	if jb.HasFailedOn(vm) {
		return jb
	}
	failed := make([]string, 0, len(jb.failedOn)+1)
	failed = append(failed, jb.failedOn...)
	jb.failedOn = append(failed, vm)
	return jb
}

// Restored holds the parts of a Job that a checkpoint stores besides Config.
type Restored struct {
	State        State
	VM           string
	FencingToken int64
	Reserved     shape.Shape
	FailedOn     []string
}

// Restored returns the parts of the job that a checkpoint stores besides Config.
func (jb Job) Restored() Restored {
	return Restored{State: jb.state, VM: jb.vm, FencingToken: jb.fencingToken, Reserved: jb.reserved, FailedOn: jb.failedOn}
}

// Restore returns the job that a checkpoint describes.
func Restore(cfg Config, rst Restored) Job {
	return Job{cfg: cfg, state: rst.State, vm: rst.VM, fencingToken: rst.FencingToken, reserved: rst.Reserved, failedOn: rst.FailedOn}
}
