// Package directory says where the product learns of VMs and of the operator's
// wishes.
package directory

import (
	"context"
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/upkeep"
)

// Start is the cursor of a reader that has read nothing.
const Start = -1

// HostChange is the newest announcement of a VM. One that cannot be used has an
// Err; one that has ended has IsGone.
type HostChange struct {
	ID     string
	Host   host.Host
	IsGone bool
	Err    error
}

// Wish is one record of the operator: a configuration, a wave or, with an Err,
// something unreadable.
type Wish struct {
	Table *queue.Table
	Wave  *upkeep.Wave
	Err   error
}

// Hosts is a page of announcements. IsWhole says that it replaces all before.
type Hosts struct {
	Changes []HostChange
	Next    int64
	IsWhole bool
}

// Wishes is a page of the operator's records.
type Wishes struct {
	Wishes []Wish
	Next   int64
}

// Machine is a VM across its lives, as the platform's operators know it.
type Machine struct {
	Name string
	Pool string
	VM   string // id of its present life
	// MilliCores is its capacity in thousandths of a core.
	MilliCores int64
	IsUp       bool
	// IsOff tells that the machine does not run: it is down.
	IsOff bool
}

// Ordered is the outcome of an order for a machine.
type Ordered int

// Outcomes of an order for a machine.
const (
	OrderUnknown Ordered = iota
	OrderDone
	OrderBusy    // not up, or leaving
	OrderRefused // it will not be done
	OrderLater   // too many orders at once
)

// Client reaches the directory. Its fields are seams.
type Client struct {
	Hosts  func(ctx context.Context, cursor int64) (Hosts, error)
	Wishes func(ctx context.Context, cursor int64, wait time.Duration) (Wishes, error)
	// ReportWave tells the operator how a wave stands.
	ReportWave func(ctx context.Context, number int64, isCompleted bool) error
	// Machines lists the machines of all pools.
	Machines func(ctx context.Context) ([]Machine, error)
	// Maintain takes a machine down for its maintenance of the wave.
	Maintain func(ctx context.Context, machine string, wave int64, holder string, fence int64) (Ordered, error)
	// Move gives a machine to another pool.
	Move func(ctx context.Context, machine, pool, holder string, fence int64) (Ordered, error)
}
