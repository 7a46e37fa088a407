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
	clockDrift = 0.02
	// leaseSlack covers the way of a call to the VM and back.
	leaseSlack = 500 * time.Millisecond
	// orderRetry is the pause before a stop without an answer is sent again.
	orderRetry = time.Second
	// unwellPause keeps new work from a VM that refused an order as unwell.
	unwellPause = 300 * time.Millisecond
	// streakLimit is how many failures in a row keep new work from a VM, and
	// streakPause for how long. Three differ from a job that fails anywhere, as
	// that one is retried elsewhere.
	streakLimit = 3
	streakPause = 4 * time.Second
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
	cfg     Config
	table   *queue.Table
	vms     map[string]*machine
	ordered []*machine // vms by id; nil after a change
	jobs    map[string]*entry
	timed   map[string]*entry // with occurrences that are not due yet
	open    map[*stage]bool
	halting map[*work]bool      // to be stopped
	unsure  map[*work]time.Time // runs whose VM's life has ended, and when that was heard
	// usable are the VMs that may take tasks, and loads those of their zones, as of
	// the plan in the making.
	usable []*machine
	loads  map[string]load
	// unsettled are the zones where unknown tasks of an earlier owner may run.
	unsettled map[string]bool
	models    map[string]*runtime.Model // by queue
	dirty     map[string]bool
	newVMs    map[string]bool  // to be recorded
	goneVMs   map[string]bool  // whose record is to be dropped
	over      map[string]int64 // lives that have ended and may still be listed, with their start
	// confirmed is when this was last known to be the pool's owner.
	confirmed time.Time
	scratch   [2 * plan.MaxSteps]time.Duration // of expect
	arrived   arrivals.Sum                     // since the term began
	ended     []string                         // ids of ended jobs, oldest first
	settled   bool                             // no task of an earlier owner can run unknown
	isUrgent  bool                             // a change waits to be stored for which callers or tasks wait
}

// New returns a Cell at the start of its owner's term.
func New(cfg Config) *Cell {
	return &Cell{
		cfg: cfg, settled: cfg.IsFirst,
		vms: map[string]*machine{}, jobs: map[string]*entry{}, timed: map[string]*entry{}, open: map[*stage]bool{},
		halting: map[*work]bool{}, unsure: map[*work]time.Time{}, loads: map[string]load{}, unsettled: map[string]bool{}, models: map[string]*runtime.Model{}, dirty: map[string]bool{},
		newVMs: map[string]bool{}, goneVMs: map[string]bool{}, over: map[string]int64{},
	}
}

// leaseBound returns the longest time on our clock that a lease can last.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+clockDrift)) + leaseSlack
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
	ent := cel.newEntry(firstTry(now, jb), jb)
	cel.jobs[jb.Plan.ID] = ent
	cel.openDue(now, ent)
	cel.keepTime(ent)
	if !jb.Plan.IsLasting() {
		cel.arrived.Work += jb.Plan.Work()
		cel.arrived.Jobs++
	}
}

// firstTry returns since when the job's caller has waited.
func firstTry(now time.Time, jb ledger.Job) time.Time {
	if jb.Accepted.IsZero() || jb.Accepted.After(now) {
		return now
	}
	return jb.Accepted
}

// newEntry returns the state of a job whose caller has waited since then.
func (cel *Cell) newEntry(since time.Time, jb ledger.Job) *entry {
	return &entry{
		plan: jb.Plan, queue: jb.Queue, accepted: since, home: jb.Zone,
		rounds: make([]*round, jb.Plan.Occurrences()),
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
func (cel *Cell) openDue(now time.Time, ent *entry) {
	if ent.state.IsEnded() {
		return
	}
	for ent.nextRound < len(ent.rounds) {
		if ent.plan.IsRepeating() && now.Before(dueAt(ent.plan, ent.nextRound)) {
			return
		}
		if !cel.isRoundDone(ent, ent.nextRound) {
			cel.openRound(ent, ent.nextRound)
		}
		ent.nextRound++
	}
}

// keepTime watches a job with occurrences that are not due yet.
func (cel *Cell) keepTime(ent *entry) {
	if ent.nextRound < len(ent.rounds) && !ent.state.IsEnded() {
		cel.timed[ent.plan.ID] = ent
		return
	}
	delete(cel.timed, ent.plan.ID)
}

func dueAt(pln *plan.Plan, num int) time.Time {
	return pln.FirstAt.Add(time.Duration(num) * pln.Interval)
}

func (cel *Cell) isRoundDone(ent *entry, num int) bool {
	for _, rnd := range ent.doneRounds {
		if rnd == num {
			return true
		}
	}
	return false
}

func (cel *Cell) openRound(ent *entry, num int) {
	if ent.rounds[num] != nil {
		return
	}
	rnd := &round{left: len(ent.plan.Steps)}
	for i := range ent.plan.Steps {
		stp := &ent.plan.Steps[i]
		stg := &stage{job: ent, step: stp, occurrence: num, num: i, works: make([]work, stp.Count), waitCount: stp.Count}
		for idx := range stg.works {
			stg.works[idx] = work{
				step: stg, pace: fullPace, id: task.ID{Job: ent.plan.ID, Occurrence: num, Step: i, Index: idx},
			}
		}
		rnd.stages = append(rnd.stages, stg)
	}
	ent.rounds[num] = rnd
	for _, stg := range rnd.stages {
		cel.openIfReady(rnd, stg)
	}
}

// fullPace lets a task work without a brake, in percent.
const fullPace = 100

func (cel *Cell) openIfReady(rnd *round, stg *stage) {
	if stg.isOpen || stg.isDone() {
		return
	}
	for _, dep := range stg.step.After {
		if !rnd.stages[dep].isDone() {
			return
		}
	}
	stg.isOpen = true
	cel.open[stg] = true
}

// State returns the state that the store holds of a job.
func (cel *Cell) State(id string) (ste ledger.State, ok bool) {
	ent, ok := cel.jobs[id]
	if !ok {
		return 0, false
	}
	if ent.recorded.IsEnded() {
		return ent.recorded, true
	}
	if ent.isBegun || ent.state == ledger.Running {
		return ledger.Running, true
	}
	return ledger.Queued, true
}

// Queued returns how many jobs of the queue have not begun. Jobs with due times
// are not counted.
func (cel *Cell) Queued(queue string) int {
	count := 0
	for _, ent := range cel.jobs {
		if ent.queue == queue && !ent.isBegun && !ent.state.IsEnded() && !ent.plan.IsRepeating() {
			count++
		}
	}
	return count
}

// Cancel ends a job. It reports false when there is no such job. The job's runs
// are stopped at once; the cancellation holds when it is recorded.
func (cel *Cell) Cancel(now time.Time, id string) (found bool) {
	ent, ok := cel.jobs[id]
	if !ok {
		return false
	}
	cel.endJob(now, ent, ledger.Cancelled, "caller")
	return true
}

func (cel *Cell) endJob(now time.Time, ent *entry, ste ledger.State, reason string) {
	if ent.state.IsEnded() {
		return
	}
	ent.state, ent.endedAt = ste, now
	cel.markDirty(ent)
	for _, rnd := range ent.rounds {
		if rnd == nil {
			continue
		}
		for _, stg := range rnd.stages {
			delete(cel.open, stg)
		}
	}
	delete(cel.timed, ent.plan.ID)
	cel.stopAll(ent)
	cel.ended = append(cel.ended, ent.plan.ID)
	cel.cfg.Event(now, "jobEnded", slog.String("job", ent.plan.ID), slog.String("state", ste.String()),
		slog.String("reason", reason), slog.Duration("after", now.Sub(ent.accepted)),
		slog.Bool("inTime", !now.After(cel.objective(ent, ent.nextRound-1))))
}

func (cel *Cell) markDirty(ent *entry) {
	ent.isDirty = true
	cel.isUrgent = cel.isUrgent || ent.state.IsEnded()
	cel.dirty[ent.plan.ID] = true
}

// Busy reports whether there are jobs that have not ended.
func (cel *Cell) Busy() bool { return len(cel.jobs) > len(cel.ended) }
