// Package upkeep describes a maintenance wave that the operator asked for.
package upkeep

import "time"

// Wave asks for the maintenance of VMs in time, with at most Cap of them down at
// once.
type Wave struct {
	Number   int64
	VMs      []string // names of machines, which stay across their lives
	Within   time.Duration
	Cap      int
	IsClosed bool // reported as completed
}
