// Package member models the membership of one VM in a pool.
//
// A VM goes through the phases serving, leaving and out, in a maintenance wave
// also rebooting, and then serves its next pool. The epoch grows by one each time
// the VM joins a pool. A VM enters the out phase only after every entry that could
// dispatch to it has confirmed that nothing is in flight there.
package member

import "daisywheel/internal/job/shape"

// Phase is the stage of a membership.
type Phase int

// Phases of a membership.
const (
	Serving Phase = iota
	Leaving
	Out
	Rebooting
)

// String returns the camelCase name of the phase.
func (phs Phase) String() string {
	return [...]string{"serving", "leaving", "out", "rebooting"}[phs]
}

// Status is the state of a VM according to the platform or a probe.
type Status int

// Statuses of a VM.
const (
	Up Status = iota
	Down
	Departing
	Gone
)

// String returns the camelCase name of the status.
func (sts Status) String() string {
	return [...]string{"up", "down", "departing", "gone"}[sts]
}

// ParseStatus is the inverse of Status.String. It returns Down for unknown names.
func ParseStatus(name string) Status {
	for sts := Up; sts <= Gone; sts++ {
		if sts.String() == name {
			return sts
		}
	}
	return Down
}

// Config holds the properties of a VM as the platform lists them.
type Config struct {
	VM      string
	Zone    string
	Rack    string
	Address string // backend server, host:port
	Agent   string // worker interface, host:port
	Shape   shape.Shape
	Pool    string
}

// Member is the membership of one VM. Its methods return changed copies; the
// applied state (package fleet) holds the current value.
type Member struct {
	cfg          Config
	home         string
	epoch        int64
	phase        Phase
	status       Status
	nextPool     string
	wave         string
	quarantined  bool
	maintainedAt int64
}

// New returns a serving member with epoch 1. Its home is its first pool.
func New(cfg Config) Member {
	return Member{cfg: cfg, home: cfg.Pool, epoch: 1}
}

// VM returns the VM's name.
func (mbr Member) VM() string { return mbr.cfg.VM }

// Zone returns the VM's availability zone.
func (mbr Member) Zone() string { return mbr.cfg.Zone }

// Rack returns the VM's rack.
func (mbr Member) Rack() string { return mbr.cfg.Rack }

// Address returns host:port of the backend server.
func (mbr Member) Address() string { return mbr.cfg.Address }

// Agent returns host:port of the worker interface.
func (mbr Member) Agent() string { return mbr.cfg.Agent }

// Shape returns the capacity of the VM.
func (mbr Member) Shape() shape.Shape { return mbr.cfg.Shape }

// Pool returns the pool that the VM belongs to.
func (mbr Member) Pool() string { return mbr.cfg.Pool }

// Home returns the pool that the VM returns to after a loan.
func (mbr Member) Home() string { return mbr.home }

// Epoch returns the fencing epoch of the membership.
func (mbr Member) Epoch() int64 { return mbr.epoch }

// Phase returns the stage of the membership.
func (mbr Member) Phase() Phase { return mbr.phase }

// Status returns the state of the VM according to the platform or a probe.
func (mbr Member) Status() Status { return mbr.status }

// NextPool returns the pool that the VM joins after it has left the present one.
func (mbr Member) NextPool() string { return mbr.nextPool }

// Wave returns the maintenance wave for which the VM leaves its pool, or "".
func (mbr Member) Wave() string { return mbr.wave }

// IsQuarantined reports whether no jobs may be placed on the VM.
func (mbr Member) IsQuarantined() bool { return mbr.quarantined }

// MaintainedAt returns the log offset given to Join after the last maintenance, or 0.
func (mbr Member) MaintainedAt() int64 { return mbr.maintainedAt }

// IsAvailable reports whether the VM counts as available to its pool.
func (mbr Member) IsAvailable() bool { return mbr.phase == Serving && mbr.status == Up }

// Leave returns the member in the leaving phase, to join the pool next. An empty
// home keeps the home.
func (mbr Member) Leave(next, home, wave string) Member {
	mbr.phase = Leaving
	mbr.nextPool = next
	mbr.wave = wave
	if home != "" {
		mbr.home = home
	}
	return mbr
}

// MarkOut returns the member in the out phase.
func (mbr Member) MarkOut() Member {
	mbr.phase = Out
	return mbr
}

// Reboot returns the member in the rebooting phase.
func (mbr Member) Reboot() Member {
	mbr.phase = Rebooting
	return mbr
}

// Join returns the member serving its next pool in the next epoch. If the VM was
// rebooted for a wave, offset is kept as the end of its maintenance.
func (mbr Member) Join(offset int64) Member {
	if mbr.wave != "" && mbr.phase == Rebooting {
		mbr.maintainedAt = offset
	}
	mbr.cfg.Pool = mbr.nextPool
	mbr.epoch++
	mbr.phase = Serving
	mbr.nextPool = ""
	mbr.wave = ""
	return mbr
}

// WithStatus returns the member with another status.
func (mbr Member) WithStatus(sts Status) Member {
	mbr.status = sts
	return mbr
}

// WithQuarantine returns the member with the quarantine set or lifted.
func (mbr Member) WithQuarantine(isQuarantined bool) Member {
	mbr.quarantined = isQuarantined
	return mbr
}

// Restored holds the parts of a Member that a checkpoint stores besides Config.
type Restored struct {
	Home         string
	Epoch        int64
	Phase        Phase
	Status       Status
	NextPool     string
	Wave         string
	Quarantined  bool
	MaintainedAt int64
}

// Restore returns the member that a checkpoint describes.
func Restore(cfg Config, rst Restored) Member {
	return Member{
		cfg: cfg, home: rst.Home, epoch: rst.Epoch, phase: rst.Phase, status: rst.Status,
		nextPool: rst.NextPool, wave: rst.Wave, quarantined: rst.Quarantined, maintainedAt: rst.MaintainedAt,
	}
}

// Config returns the properties of the VM with its present pool.
func (mbr Member) Config() Config { return mbr.cfg }
