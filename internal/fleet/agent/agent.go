// Package agent defines the orders to the agent that runs tasks on a VM, and its replies.
package agent

import (
	"context"
	"time"

	"daisywheel/internal/job/task"
)

// Outcome is what the sender of an order knows about it after the call.
type Outcome int

// Outcomes of an order.
const (
	Unknown          Outcome = iota // no answer: the order may have been carried out, or may be later
	Done                            // carried out, now or by an earlier call
	Refused                         // not carried out, and never will be
	Stale                           // refused: a run with this number or a higher one has ended there
	Fenced                          // refused: the VM has seen a higher fencing token
	WrongIncarnation                // refused: another incarnation of the VM answers at the address
	Unhealthy                       // refused: the VM is overloaded or failing
	InvalidTicket                   // refused: the advice ticket is not valid
	Unreachable                     // not sent: no connection to the VM
	BadOrder                        // refused: the VM cannot parse the order
)

// Target is the incarnation of a VM that an order is meant for, with the fencing token
// of the owner that sends it.
type Target struct {
	VM           string
	Address      string
	FencingToken int64
}

// Start is the order to run a task. Until is the end of its lease on the clock of the VM's incarnation.
// The order must not reach another incarnation, which may have forgotten the fencing token of a later
// owner.
type Start struct {
	Task        task.ID
	Run         int
	Spec        string
	Incarnation int64 // start time in Unix ms; 0 for any, if the VM tells none
	Until       time.Duration
	Checkpoint  string
	Ticket      string
}

// Run is one run of a task on a VM.
type Run struct {
	Task       task.ID
	Number     int
	Checkpoint string
	Percent    int // progress; 100 for a long-running task that is up
	Load       int // tail latency in ms for long-running tasks that serve users, else thousandths of a core
}

// EndReason is the reason why a run ended.
type EndReason int

// Reasons for the end of a run.
const (
	EndedUnknown EndReason = iota
	EndedDone
	EndedFailed
	EndedStopped
	EndedLeaseExpired   // the lease expired
	EndedGangBroken     // another member of its gang ended
	EndedGangIncomplete // the other members of its gang did not start
)

// End is the end of a run. Its numbers increase within one incarnation of the VM.
type End struct {
	Number     int64
	Task       task.ID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Poll is a poll of a VM: it renews the leases of all its tasks and asks what runs there.
// The numbers of ends and the clock begin anew with each incarnation. A poll that may reach
// another one than Incarnation must carry neither Acked nor Until, nor wait.
type Poll struct {
	Incarnation int64         // that Acked and Until are for; 0 while unknown
	Acked       int64         // the VM may drop ends up to this number
	Until       time.Duration // new end of the leases on the VM's clock; 0 does not renew them
	Wait        time.Duration // how long the VM may wait for an end before it answers
}

// Report is a VM's reply to a poll: the tasks that run there and those that ended there.
type Report struct {
	Incarnation int64 // start of the incarnation, Unix ms
	Clock       time.Duration
	Active      []Run
	Ended       []End // that are not acknowledged, oldest first
	IsCut       bool  // there may be more ends than Ended has
}

// Client sends orders to VMs. Its fields are functions that tests replace.
type Client struct {
	Start func(ctx context.Context, tgt Target, ord Start) (Outcome, error)
	Stop  func(ctx context.Context, tgt Target, tid task.ID, run int) (Outcome, error)
	Pace  func(ctx context.Context, tgt Target, tid task.ID, run, percent int) (Outcome, error)
	Poll  func(ctx context.Context, tgt Target, req Poll) (Report, Outcome, error)
	// Drop closes the connections to a VM after one of them stopped answering.
	Drop func(address string)
}
