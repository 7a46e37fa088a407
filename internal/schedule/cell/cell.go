// Package cell decides for one pool: which task starts on which VM, what its
// reports mean, which runs are stopped and what is recorded. It does no input or
// output and reads no clock. A cell belongs to one owner at a time; the owner's
// fencing token keeps the VMs from obeying an earlier one.
package cell

import (
	"log/slog"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/arrivals"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/ledger"
	"daisywheel/internal/schedule/runtime"
)

// Terms of the lease arithmetic.
const (
	// clockDrift is how much slower than ours a VM's clock may run.
	maxClockDrift = 0.02
	// leaseSlack covers the way of a call to the VM and back.
	leaseMargin = 500 * time.Millisecond
	// orderRetry is the pause before a stop without an answer is sent again.
	stopRetryDelay = time.Second
	// unwellPause keeps new work from a VM that refused an order as unwell.
	unhealthyBackoff = 300 * time.Millisecond
	// streakLimit is how many failures in a row keep new work from a VM, and
	// streakPause for how long. Three differ from a job that fails anywhere, as
	// that one is retried elsewhere.
	quarantineFailures = 3
	quarantineTime     = 4 * time.Second
)

// OwnerReach is how long an owner whose membership is not confirmed any more may
// go on starting and renewing: longer than the store's usual outages of 4 to 9 s.
// A new owner waits as long before it takes the tasks of VMs that it cannot reach
// for ended.
const OwnerReach = 12 * time.Second

// Config holds what a Cell needs for its whole life.
type Config struct {
	Name       string
	Fence      int64
	RunBase    int // runs of this term are numbered above it
	LeaseMax   time.Duration
	StatusKept time.Duration
	IsFirst    bool // no owner came before
	Event      func(now time.Time, kind string, attrs ...slog.Attr)
}

// Cell is the state of one pool. It is not safe for concurrent use.
type Cell struct {
	cfg              Config
	table            *queue.Table
	vms              map[string]*vmState
	sorted           []*vmState // vms by id; nil after a change
	jobs             map[string]*jobState
	timedJobs        map[string]*jobState // with occurrences that are not due yet
	openSteps        map[*stepState]bool
	stoppingTasks    map[*taskState]bool      // to be stopped
	unconfirmedTasks map[*taskState]time.Time // runs whose VM's life has ended, and when that was heard
	// usable are the VMs that may take tasks, and loads those of their zones, as of
	// the plan in the making.
	usableVMs []*vmState
	zoneLoads map[string]zoneLoad
	// unsettled are the zones where unknown tasks of an earlier owner may run.
	unreconciledZones map[string]bool
	runtimeModels     map[string]*runtime.Model // by queue
	dirtyJobs         map[string]bool
	vmRecordsToWrite  map[string]bool  // to be recorded
	vmRecordsToDelete map[string]bool  // whose record is to be dropped
	endedIncarnations map[string]int64 // lives that have ended and may still be listed, with their start
	// confirmed is when this was last known to be the pool's owner.
	confirmedAt   time.Time
	scratch       [2 * plan.MaxSteps]time.Duration // of expect
	arrived       arrivals.Sum                     // since the term began
	endedJobs     []string                         // ids of ended jobs, oldest first
	allReconciled bool                             // no task of an earlier owner can run unknown
	isUrgent      bool                             // a change waits to be stored for which callers or tasks wait
}

// New returns a Cell at the start of its owner's term.
func New(cfg Config) *Cell {
	return &Cell{
		cfg: cfg, allReconciled: cfg.IsFirst,
		vms: map[string]*vmState{}, jobs: map[string]*jobState{}, timedJobs: map[string]*jobState{}, openSteps: map[*stepState]bool{},
		stoppingTasks: map[*taskState]bool{}, unconfirmedTasks: map[*taskState]time.Time{}, zoneLoads: map[string]zoneLoad{}, unreconciledZones: map[string]bool{}, runtimeModels: map[string]*runtime.Model{}, dirtyJobs: map[string]bool{},
		vmRecordsToWrite: map[string]bool{}, vmRecordsToDelete: map[string]bool{}, endedIncarnations: map[string]int64{},
	}
}

// leaseBound returns the longest time on our clock that a lease can last.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+maxClockDrift)) + leaseMargin
}

// SetTable puts a configuration in force.
func (cel *Cell) SetTable(tab *queue.Table) { cel.table = tab }

// Kind is what an Order asks for.
type Kind int

// Kinds of orders.
const (
	StartTask Kind = iota
	StopTask
	PaceTask
)

// Order is a call to a VM that the cell wants made.
type Order struct {
	Kind    Kind
	Target  agent.Target
	Start   agent.Start // of StartTask
	Task    task.ID     // of StopTask and PaceTask
	Run     int
	Percent int
}

// Accept adds a job whose record is stored.
func (cel *Cell) Accept(now time.Time, jb ledger.Job) {
	if _, ok := cel.jobs[jb.Plan.ID]; ok {
		return
	}
	jst := cel.newJobState(firstAttemptTime(now, jb), jb)
	cel.jobs[jb.Plan.ID] = jst
	cel.openDueOccurrences(now, jst)
	cel.updateTimedJobs(jst)
	if !jb.Plan.IsLasting() {
		cel.arrived.Work += jb.Plan.Work()
		cel.arrived.Jobs++
	}
}

// firstTry returns since when the job's caller has waited.
func firstAttemptTime(now time.Time, jb ledger.Job) time.Time {
	if jb.Accepted.IsZero() || jb.Accepted.After(now) {
		return now
	}
	return jb.Accepted
}

// newEntry returns the state of a job whose caller has waited since then.
func (cel *Cell) newJobState(since time.Time, jb ledger.Job) *jobState {
	return &jobState{
		plan: jb.Plan, queue: jb.Queue, waitingSince: since, homeZone: jb.Zone,
		occurrences: make([]*occurrence, jb.Plan.Occurrences()),
	}
}

// queueOf returns the settings of a queue. A queue that was dropped keeps the
// least surprising ones for the jobs that it still has.
func (cel *Cell) queueOf(name string) (queue.Queue, bool) {
	if cel.table != nil {
		if que, ok := cel.table.Named(name); ok {
			return que, true
		}
	}
	return queue.Queue{Name: name, MaxAttempts: 3, Factor: 1.5}, false
}

// openDue begins the occurrences that are due.
func (cel *Cell) openDueOccurrences(now time.Time, jst *jobState) {
	if jst.state.IsEnded() {
		return
	}
	for jst.nextOccurrence < len(jst.occurrences) {
		if jst.plan.IsRepeating() && now.Before(dueAt(jst.plan, jst.nextOccurrence)) {
			return
		}
		if !cel.isOccurrenceDone(jst, jst.nextOccurrence) {
			cel.openOccurrence(jst, jst.nextOccurrence)
		}
		jst.nextOccurrence++
	}
}

// keepTime watches a job with occurrences that are not due yet.
func (cel *Cell) updateTimedJobs(jst *jobState) {
	if jst.nextOccurrence < len(jst.occurrences) && !jst.state.IsEnded() {
		cel.timedJobs[jst.plan.ID] = jst
		return
	}
	delete(cel.timedJobs, jst.plan.ID)
}

func dueAt(pln *plan.Plan, num int) time.Time {
	return pln.FirstAt.Add(time.Duration(num) * pln.Interval)
}

func (cel *Cell) isOccurrenceDone(jst *jobState, num int) bool {
	for _, occ := range jst.doneOccurrences {
		if occ == num {
			return true
		}
	}
	return false
}

func (cel *Cell) openOccurrence(jst *jobState, num int) {
	if jst.occurrences[num] != nil {
		return
	}
	occ := &occurrence{stepsLeft: len(jst.plan.Steps)}
	for i := range jst.plan.Steps {
		stp := &jst.plan.Steps[i]
		sst := &stepState{job: jst, plan: stp, occurrence: num, index: i, tasks: make([]taskState, stp.Count), waitingCount: stp.Count}
		for idx := range sst.tasks {
			sst.tasks[idx] = taskState{
				step: sst, pace: fullPace, id: task.ID{Job: jst.plan.ID, Occurrence: num, Step: i, Index: idx},
			}
		}
		occ.steps = append(occ.steps, sst)
	}
	jst.occurrences[num] = occ
	for _, sst := range occ.steps {
		cel.openIfReady(occ, sst)
	}
}

// fullPace lets a task work without a brake, in percent.
const fullPace = 100

func (cel *Cell) openIfReady(occ *occurrence, sst *stepState) {
	if sst.isOpen || sst.isDone() {
		return
	}
	for _, dep := range sst.plan.After {
		if !occ.steps[dep].isDone() {
			return
		}
	}
	sst.isOpen = true
	cel.openSteps[sst] = true
}

// State returns the state that the store holds of a job.
func (cel *Cell) State(id string) (ste ledger.State, ok bool) {
	jst, ok := cel.jobs[id]
	if !ok {
		return 0, false
	}
	if jst.storedState.IsEnded() {
		return jst.storedState, true
	}
	if jst.isBegun || jst.state == ledger.Running {
		return ledger.Running, true
	}
	return ledger.Queued, true
}

// Queued returns how many jobs of the queue have not begun. Jobs with due times
// are not counted.
func (cel *Cell) Queued(queue string) int {
	count := 0
	for _, jst := range cel.jobs {
		if jst.queue == queue && !jst.isBegun && !jst.state.IsEnded() && !jst.plan.IsRepeating() {
			count++
		}
	}
	return count
}

// Cancel ends a job. It reports false when there is no such job. The job's runs
// are stopped at once; the cancellation holds when it is recorded.
func (cel *Cell) Cancel(now time.Time, id string) (found bool) {
	jst, ok := cel.jobs[id]
	if !ok {
		return false
	}
	cel.endJob(now, jst, ledger.Cancelled, "caller")
	return true
}

func (cel *Cell) endJob(now time.Time, jst *jobState, ste ledger.State, reason string) {
	if jst.state.IsEnded() {
		return
	}
	jst.state, jst.endedAt = ste, now
	cel.markDirty(jst)
	for _, occ := range jst.occurrences {
		if occ == nil {
			continue
		}
		for _, sst := range occ.steps {
			delete(cel.openSteps, sst)
		}
	}
	delete(cel.timedJobs, jst.plan.ID)
	cel.stopJob(jst)
	cel.endedJobs = append(cel.endedJobs, jst.plan.ID)
	cel.cfg.Event(now, "jobEnded", slog.String("job", jst.plan.ID), slog.String("state", ste.String()),
		slog.String("reason", reason), slog.Duration("after", now.Sub(jst.waitingSince)),
		slog.Bool("inTime", !now.After(cel.objective(jst, jst.nextOccurrence-1))))
}

func (cel *Cell) markDirty(jst *jobState) {
	jst.isDirty = true
	cel.isUrgent = cel.isUrgent || jst.state.IsEnded()
	cel.dirtyJobs[jst.plan.ID] = true
}

// Busy reports whether there are jobs that have not ended.
func (cel *Cell) Busy() bool { return len(cel.jobs) > len(cel.endedJobs) }
