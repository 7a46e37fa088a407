// Package agent says what the product asks of the agent that runs tasks on a VM.
package agent

import (
	"context"
	"time"

	"daisywheel/internal/job/task"
)

// Outcome says what is known of an order after its call.
type Outcome int

// Outcomes of an order.
const (
	Unknown   Outcome = iota // no answer: it may have been carried out, or may be later
	Done                     // carried out, now or before
	Refused                  // not carried out and never will be
	Stale                    // refused: the run number is not above one that ended there
	Fenced                   // refused: the VM has seen a higher fencing token
	Reborn                   // refused: another life of the VM answers at the address
	Unwell                   // refused: the VM is overloaded or failing
	NoTicket                 // refused: the advice ticket does not hold
	Unreached                // no connection to the VM: the order was not sent
	BadOrder                 // refused: the VM cannot read the order
)

// Target is the life of a VM that an order is meant for, with the token of the
// owner that sends it.
type Target struct {
	VM      string
	Address string
	Fence   int64
}

// Start is the order to run a task. Until is a time on the VM's clock.
type Start struct {
	Task       task.ID
	Run        int
	Spec       string
	Until      time.Duration
	Checkpoint string
	Ticket     string
}

// Run is a task that runs on a VM.
type Run struct {
	Task       task.ID
	Number     int
	Checkpoint string
	Percent    int // of its work that is done; 100 for a lasting task at work
	Load       int // lasting tasks that serve: tail in milliseconds; others: thousandths of a core
}

// How says how a run ended.
type How int

// Ends of a run.
const (
	EndedOtherwise How = iota
	EndedDone
	EndedFailed
	EndedStopped
	EndedLapsed // the lease ran out
	EndedBroken // another member of its gang ended
	EndedAlone  // the other members of its gang did not come
)

// End is the end of a run. Numbers rise within one life of the VM.
type End struct {
	Number     int64
	Task       task.ID
	Run        int
	How        How
	Checkpoint string
}

// Hold renews the lease of all that runs on a VM and asks what runs there.
type Hold struct {
	Acked int64         // ends up to this number are forgotten
	Until time.Duration // on the VM's clock; 0 does not renew
	Wait  time.Duration // for an end
}

// Report is what a VM says runs there and has ended there.
type Report struct {
	Born   int64
	Clock  time.Duration
	Active []Run
	Ended  []End
}

// Client carries orders to VMs. Its fields are seams.
type Client struct {
	Start func(ctx context.Context, tgt Target, ord Start) (Outcome, error)
	Stop  func(ctx context.Context, tgt Target, tid task.ID, run int) (Outcome, error)
	Pace  func(ctx context.Context, tgt Target, tid task.ID, run, percent int) (Outcome, error)
	Hold  func(ctx context.Context, tgt Target, hld Hold) (Report, Outcome, error)
	// Drop ends the connections to a VM, after one of them went silent.
	Drop func(address string)
}
