// Package directory defines the source of VM announcements and operator records, and
// the orders for machines.
package directory

import (
	"context"
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/fleet/queue"
)

// StartCursor is the cursor before the first record.
const StartCursor = -1

// HostChange is the newest announcement of a VM. Err is set if the announcement is
// unusable, IsGone if it has ended.
type HostChange struct {
	ID     string
	Host   host.Host
	IsGone bool
	Err    error
}

// OperatorRecord is one operator record: a configuration, a wave, or an unreadable record with
// Err set.
type OperatorRecord struct {
	Table *queue.Table
	Wave  *maintenance.Wave
	Err   error
}

// HostPage is a page of announcements. With IsSnapshot it replaces all earlier pages. With HasMore
// there were later announcements when it was read, so it does not show how things are.
type HostPage struct {
	Changes    []HostChange
	Next       int64
	IsSnapshot bool
	HasMore    bool
}

// OperatorPage is a page of operator records. With IsSnapshot it has only the newest record of each
// kind, so that configurations may be missing.
type OperatorPage struct {
	Records    []OperatorRecord
	Next       int64
	IsSnapshot bool
	HasMore    bool // there were later records when it was read
}

// Machine is a VM across its incarnations, as the platform's operators know it.
type Machine struct {
	Name string
	Pool string
	VM   string // ID of the current incarnation
	// MilliCores is its capacity in thousandths of a core.
	MilliCores int64
	IsUp       bool
	IsOff      bool // the machine does not run
	// IsUnreadable is set if the list has an entry that can't be read. Its name may be empty.
	IsUnreadable bool
}

// OrderOutcome is the outcome of an order for a machine.
type OrderOutcome int

// Outcomes of an order for a machine.
const (
	OrderUnknown OrderOutcome = iota
	OrderDone
	OrderBusy      // the machine is not up, or is already going down
	OrderRefused   // not done, and never will be
	OrderThrottled // not done, as there were too many orders at once
)

// WaveReport tells the operator whether a wave is completed. A report takes effect once, and
// not after one with a later Term or, of the same term, with a higher Seq.
type WaveReport struct {
	Number      int64
	IsCompleted bool
	Term        int64 // fencing token of the fleet controller
	Seq         int64 // numbers the reports of a term from 1 without gaps
}

// Client accesses the directory. Its fields are functions that tests replace.
type Client struct {
	Hosts           func(ctx context.Context, cursor int64) (HostPage, error)
	OperatorRecords func(ctx context.Context, cursor int64, wait time.Duration) (OperatorPage, error)
	// ReportWave reports to the operator whether a wave is completed. It fails with an error
	// that is statelog.ErrFenced after a report of a later term, and with one that is
	// statelog.ErrNotAppended if the report was not carried out and its Seq was not used. After
	// any other error it may be carried out, now or later.
	ReportWave func(ctx context.Context, rpt WaveReport) error
	// Machines lists the machines of all pools.
	Machines func(ctx context.Context) ([]Machine, error)
	// Maintain takes a machine down for its maintenance in the wave.
	Maintain func(ctx context.Context, machine string, wave int64, holder string, fencingToken int64) (OrderOutcome, error)
	// Move moves a machine to another pool.
	Move func(ctx context.Context, machine, pool, holder string, fencingToken int64) (OrderOutcome, error)
}
