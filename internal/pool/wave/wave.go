// Package wave models one maintenance wave: a set of VMs that leave their pools
// and are rebooted within the availability budget of the pools.
package wave

import "sort"

// State is the state of a wave.
type State int

// States of a wave.
const (
	Running State = iota
	Paused
	Cancelled
	Done
)

// String returns the camelCase name of the state.
func (stt State) String() string {
	return [...]string{"running", "paused", "cancelled", "done"}[stt]
}

// ParseState is the inverse of State.String. It returns Paused for unknown names.
func ParseState(name string) State {
	for stt := Running; stt <= Done; stt++ {
		if stt.String() == name {
			return stt
		}
	}
	return Paused
}

// Wave is one maintenance wave. The applied state (package fleet) owns it and
// gives copies to readers.
type Wave struct {
	name    string
	author  string
	state   State
	waiting map[string]bool
	active  map[string]bool
	done    map[string]bool
	skipped map[string]string
}

// Config holds the content of a Wave, as it starts or as a checkpoint stored it.
type Config struct {
	Name    string
	Author  string
	State   State
	Waiting []string
	Active  []string
	Done    []string
	Skipped map[string]string // VMs that were not maintained, with the reason
}

// New returns the wave that cfg describes.
func New(cfg Config) *Wave {
	wav := &Wave{name: cfg.Name, author: cfg.Author, state: cfg.State, skipped: map[string]string{}}
	wav.waiting = setOf(cfg.Waiting)
	wav.active = setOf(cfg.Active)
	wav.done = setOf(cfg.Done)
	for vm, reason := range cfg.Skipped {
		wav.skipped[vm] = reason
	}
	return wav
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

func listOf(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

// Config returns a copy of the wave's content. Its lists are sorted.
func (wav *Wave) Config() Config {
	skipped := make(map[string]string, len(wav.skipped))
	for vm, reason := range wav.skipped {
		skipped[vm] = reason
	}
	return Config{
		Name: wav.name, Author: wav.author, State: wav.state,
		Waiting: listOf(wav.waiting), Active: listOf(wav.active), Done: listOf(wav.done), Skipped: skipped,
	}
}

// Name returns the wave's name.
func (wav *Wave) Name() string { return wav.name }

// State returns the wave's state.
func (wav *Wave) State() State { return wav.state }

// SetState changes the state and reports whether it did. A wave that is done or
// cancelled keeps its state.
func (wav *Wave) SetState(stt State) bool {
	if wav.state == Done || wav.state == Cancelled {
		return false
	}
	wav.state = stt
	return true
}

// IsOpen reports whether the wave is neither done nor cancelled.
func (wav *Wave) IsOpen() bool { return wav.state == Running || wav.state == Paused }

// IsPending reports whether the wave has yet to begin or finish the VM's maintenance.
func (wav *Wave) IsPending(vm string) bool { return wav.waiting[vm] || wav.active[vm] }

// IsWaiting reports whether the VM is in the wave and its maintenance has not begun.
func (wav *Wave) IsWaiting(vm string) bool { return wav.waiting[vm] }

// Waiting returns the VMs whose maintenance has not begun, sorted.
func (wav *Wave) Waiting() []string { return listOf(wav.waiting) }

// Begin moves the VM from waiting to active.
func (wav *Wave) Begin(vm string) {
	delete(wav.waiting, vm)
	wav.active[vm] = true
}

// PutBack moves the VM from active to waiting.
func (wav *Wave) PutBack(vm string) {
	delete(wav.active, vm)
	wav.waiting[vm] = true
}

// Finish marks the VM as maintained. With its last VM, the wave is done.
func (wav *Wave) Finish(vm string) {
	delete(wav.active, vm)
	delete(wav.waiting, vm)
	delete(wav.skipped, vm)
	wav.done[vm] = true
	wav.closeIfEmpty()
}

// Skip records why the VM was not maintained. With its last VM, the wave is done.
func (wav *Wave) Skip(vm, reason string) {
	delete(wav.active, vm)
	delete(wav.waiting, vm)
	wav.skipped[vm] = reason
	wav.closeIfEmpty()
}

func (wav *Wave) closeIfEmpty() {
	if len(wav.waiting)+len(wav.active) == 0 && wav.IsOpen() {
		wav.state = Done
	}
}
