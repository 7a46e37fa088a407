// Package poolscheduler schedules the tasks of one pool: it decides which task starts on
// which VM, interprets the VMs' reports, decides which runs to stop and what to
// store. It does no I/O and reads no clock. A pool has one owner at a time; the
// owner's fencing token makes VMs refuse the orders of earlier owners.
package poolscheduler

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/arrivals"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/allowance"
	"daisywheel/internal/schedule/estimate"
	"daisywheel/internal/schedule/jobrecord"
)

const (
	// maxClockDrift is the largest fraction by which a VM's clock may run slower than
	// the owner's.
	maxClockDrift = 0.02
	// leaseMargin covers the round trip of a call to the VM.
	leaseMargin = 500 * time.Millisecond
	// stopRetryDelay is the pause before an unacknowledged stop order is sent again.
	stopRetryDelay = time.Second
	// unhealthyBackoff is how long a VM gets no new tasks after it refused a start
	// because it is overloaded or failing.
	unhealthyBackoff = 300 * time.Millisecond
	// quarantineFailures is the number of consecutive failed runs after which a VM
	// gets no new tasks for quarantineTime. Three tell a bad VM from a job that fails
	// on every VM, as the retries of such a job go to other VMs.
	quarantineFailures = 3
	quarantineTime     = 4 * time.Second
)

// OwnerGracePeriod is how long an owner may go on starting tasks and renewing leases
// after its membership was last confirmed. It is longer than the usual outages of the
// state log, which last 4 to 9 s. A new owner waits as long, plus a lease, before it considers
// the tasks on VMs that it cannot reach as ended.
const OwnerGracePeriod = 12 * time.Second

// Config holds the settings of a Scheduler.
type Config struct {
	Name          string        // of the pool
	FencingToken  int64         // fencing token of the term
	RunNumberBase int           // the runs of this term get higher numbers
	MaxLease      time.Duration // of the leases that this owner asks for
	// LongestLease is the longest lease that a VM grants, MaxLease if it is zero. A VM that has
	// restarted has a new clock, on which the end that an owner asks for lies far ahead.
	LongestLease    time.Duration
	StatusRetention time.Duration
	IsFirstTerm     bool // there was no earlier owner
	// Event records an event.
	Event func(now time.Time, kind string, attrs ...slog.Attr)
}

// Scheduler is the scheduler of one pool for one owner's term. It is not safe for
// concurrent use.
type Scheduler struct {
	cfg           Config
	table         *queue.Table
	vms           map[string]*vmState
	sorted        []*vmState // vms sorted by id; nil after a change
	jobs          map[string]*jobState
	timedJobs     map[string]*jobState // jobs with occurrences that are not due yet
	openSteps     map[*stepState]bool  // steps that are not done but whose dependencies are done
	stoppingTasks map[*taskState]bool  // tasks whose run is to be stopped
	// unconfirmedTasks holds the tasks in phase unconfirmed, and when the end of their
	// VM's incarnation was learned.
	unconfirmedTasks map[*taskState]time.Time
	// usableVMs are the VMs that may take tasks, and zoneLoads the loads of their zones,
	// both as of the current call of Plan.
	usableVMs []*vmState
	zoneLoads map[string]zoneLoad
	// unreconciledZones are the zones where tasks of an earlier owner may run that this
	// owner does not know of.
	unreconciledZones map[string]bool
	runtimeModels     map[string]*estimate.Model // by queue
	unreadableJobs    map[string]bool            // by id
	dirtyJobs         map[string]bool            // jobs whose progress is to be stored
	vmRecordsToWrite  map[string]bool            // VMs whose record is to be stored
	vmRecordsToDelete map[string]bool            // VMs whose record is to be deleted
	endedIncarnations map[string]int64           // by VM: the ended incarnation that may still be listed
	evacuating        map[string]bool            // by id: the VMs that are to be evacuated
	yielding          map[string]bool            // by id: see SetYielding
	releasedAt        time.Time                  // when updateRelease last computed anything
	revision          int64                      // the highest one of a VM, see balance.VM
	book              *allowance.Book
	orgUsed           map[string]*plan.Demand // by organisation: what its runs use that this owner knows of
	orgUnknown        map[string]plan.Demand  // by organisation: see updateUnknownUsage
	cappedOrgs        map[string]bool         // those that the current call of Plan found without allowance for a step
	cappedMilliCores  int64                   // of tasks that wait for an allowance, as of the last call of Plan
	reportedCapped    int64                   // the same as of the last quota report
	// confirmedAt is the latest time at which this owner was known to own the pool.
	confirmedAt   time.Time
	scratch       [2 * plan.MaxSteps]time.Duration // of expectedTimes
	arrived       arrivals.Sum                     // work that arrived in this term
	reported      reportTrigger                    // as of the last report on the pool
	endedJobs     []string                         // ids of ended jobs, oldest first
	openTasks     int                              // see OpenTasks
	allReconciled bool                             // no unknown task of an earlier owner can still run
	isUrgent      bool                             // callers or tasks wait for a change to be stored
}

// New returns a Scheduler without jobs and VMs for the start of an owner's term.
func New(cfg Config) *Scheduler {
	cfg.LongestLease = max(cfg.LongestLease, cfg.MaxLease)
	return &Scheduler{
		cfg: cfg, allReconciled: cfg.IsFirstTerm,
		vms: map[string]*vmState{}, jobs: map[string]*jobState{}, timedJobs: map[string]*jobState{},
		openSteps: map[*stepState]bool{}, stoppingTasks: map[*taskState]bool{}, unconfirmedTasks: map[*taskState]time.Time{},
		zoneLoads: map[string]zoneLoad{}, unreconciledZones: map[string]bool{}, runtimeModels: map[string]*estimate.Model{},
		unreadableJobs: map[string]bool{}, dirtyJobs: map[string]bool{},
		book: allowance.NewBook(), orgUsed: map[string]*plan.Demand{}, orgUnknown: map[string]plan.Demand{}, cappedOrgs: map[string]bool{},
		vmRecordsToWrite: map[string]bool{}, vmRecordsToDelete: map[string]bool{}, endedIncarnations: map[string]int64{},
	}
}

// leaseBound returns the longest time that a lease can last by the owner's clock.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+maxClockDrift)) + leaseMargin
}

// SetTable sets the queue configuration in force.
func (sch *Scheduler) SetTable(tab *queue.Table) {
	sch.table = tab
	if tab != nil {
		sch.book.SetOrganisations(tab.Organisations())
	}
}

// Kind is the kind of an Order.
type Kind int

// Kinds of orders.
const (
	StartTask Kind = iota
	StopTask
	PaceTask
)

// Order is a call that the owner is to make to a VM.
type Order struct {
	Kind    Kind
	Target  agent.Target
	Start   agent.Start // for StartTask
	Task    task.ID
	Run     int
	Percent int // new pace, for PaceTask
}

// Accept adds a job whose record has been stored. It ignores a job that it already has.
func (sch *Scheduler) Accept(now time.Time, jb jobrecord.Job) {
	if _, ok := sch.jobs[jb.Plan.ID]; ok {
		return
	}
	jst := sch.newJobState(firstAttemptTime(now, jb), jb)
	sch.jobs[jb.Plan.ID] = jst
	sch.openDueOccurrences(now, jst)
	sch.updateTimedJobs(jst)
	sch.updateOpenTasks(jst)
	if !jb.Plan.IsLongRunning() {
		sch.arrived.Work += jb.Plan.Work()
		sch.arrived.Jobs++
	}
}

// firstAttemptTime returns the time since which the job's caller has been waiting.
func firstAttemptTime(now time.Time, jb jobrecord.Job) time.Time {
	if jb.FirstAttempt.IsZero() || jb.FirstAttempt.After(now) {
		return now
	}
	return jb.FirstAttempt
}

// newJobState returns the state of a job whose caller has been waiting since the time.
func (sch *Scheduler) newJobState(since time.Time, jb jobrecord.Job) *jobState {
	return &jobState{
		plan: jb.Plan, queue: jb.Ref(), waitingSince: since, homeZone: jb.Zone,
		maxAttempts: jb.MaxAttempts, from: jb.From, orgUsed: sch.usageOf(jb.Organisation),
		occurrences: make([]*occurrence, jb.Plan.Occurrences()),
	}
}

// queueOf returns the settings of a job's queue. For a queue that is no longer configured
// it returns defaults, for the jobs that the queue still has.
func (sch *Scheduler) queueOf(ref queue.Ref) queue.Queue {
	if que, ok := sch.findQueue(ref); ok {
		return que
	}
	return queue.Queue{Name: ref.Name, DeadlineFactor: 1.5}
}

func (sch *Scheduler) findQueue(ref queue.Ref) (queue.Queue, bool) {
	if sch.table == nil {
		return queue.Queue{}, false
	}
	return sch.table.Find(ref)
}

// defaultMaxAttempts is that of a job of which neither the configuration nor the record tells.
const defaultMaxAttempts = 3

// maxAttempts returns how often a task of the job may fail. Of a queue that is not configured, as it
// was removed or this entry has not read of it yet, the limit last known for the job holds.
func (sch *Scheduler) maxAttempts(jst *jobState) int {
	if que, ok := sch.findQueue(jst.queue); ok {
		jst.maxAttempts = que.MaxAttempts
	}
	if jst.maxAttempts > 0 {
		return jst.maxAttempts
	}
	return defaultMaxAttempts
}

// openDueOccurrences opens the job's occurrences that are due.
func (sch *Scheduler) openDueOccurrences(now time.Time, jst *jobState) {
	if jst.state.IsEnded() {
		return
	}
	for jst.nextOccurrence < len(jst.occurrences) {
		if jst.plan.IsRepeating() && now.Before(dueAt(jst.plan, jst.nextOccurrence)) {
			return
		}
		if !jst.done.Has(jst.nextOccurrence) {
			if !jst.mayOpenAnother() {
				return
			}
			sch.openOccurrence(jst, jst.nextOccurrence)
		}
		jst.nextOccurrence++
	}
}

// mayOpenAnother reports whether the tasks of another occurrence would keep the job within
// plan.MaxTasks, which bounds its memory and its progress record. One may always be open.
func (jst *jobState) mayOpenAnother() bool {
	return jst.openOccurrences == 0 || (jst.openOccurrences+1)*TaskCount(jst.plan) <= plan.MaxTasks
}

// updateTimedJobs adds the job to timedJobs while it has occurrences that are not due
// yet, and removes it otherwise.
func (sch *Scheduler) updateTimedJobs(jst *jobState) {
	if jst.nextOccurrence < len(jst.occurrences) && !jst.state.IsEnded() {
		sch.timedJobs[jst.plan.ID] = jst
		return
	}
	delete(sch.timedJobs, jst.plan.ID)
}

func dueAt(pln *plan.Plan, num int) time.Time {
	return pln.FirstAt.Add(time.Duration(num) * pln.Interval)
}

func (sch *Scheduler) openOccurrence(jst *jobState, num int) {
	if jst.occurrences[num] != nil {
		return
	}
	occ := &occurrence{stepsLeft: len(jst.plan.Steps)}
	for i := range jst.plan.Steps {
		stp := &jst.plan.Steps[i]
		sst := &stepState{job: jst, plan: stp, occurrence: num, index: i, tasks: make([]taskState, stp.Count), waitingCount: stp.Count}
		for idx := range sst.tasks {
			sst.tasks[idx] = taskState{
				step: sst, pace: fullPercent, id: task.ID{Job: jst.plan.ID, Occurrence: num, Step: i, Index: idx},
			}
		}
		occ.steps = append(occ.steps, sst)
	}
	jst.occurrences[num] = occ
	jst.openOccurrences++
	sch.updateOpenTasks(jst)
	for _, sst := range occ.steps {
		sch.openIfReady(occ, sst)
	}
}

// fullPercent is the pace of a task that is not slowed down, and the reported percentage
// of a long-running task that is at work.
const fullPercent = 100

func (sch *Scheduler) openIfReady(occ *occurrence, sst *stepState) {
	if sst.isOpen || sst.isDone() {
		return
	}
	for _, dep := range sst.plan.After {
		if !occ.steps[dep].isDone() {
			return
		}
	}
	sst.isOpen = true
	sch.openSteps[sst] = true
}

// State returns the state of a job to show to callers. A final state is shown only
// when it is stored.
func (sch *Scheduler) State(id string) (ste jobrecord.State, ok bool) {
	jst, ok := sch.jobs[id]
	if !ok {
		return 0, false
	}
	if jst.storedState.IsEnded() {
		return jst.storedState, true
	}
	if jst.hasBegun {
		return jobrecord.Running, true
	}
	return jobrecord.Queued, true
}

// Queue returns the queue that a job was submitted to. It reports false for an unknown job
// and for one whose record does not name the queue.
func (sch *Scheduler) Queue(id string) (ref queue.Ref, ok bool) {
	jst, ok := sch.jobs[id]
	if !ok || jst.queue.Name == "" {
		return queue.Ref{}, false
	}
	return jst.queue, true
}

// CountQueued returns the number of jobs of the queue of which no run is known to have
// begun. Repeating jobs are not counted.
func (sch *Scheduler) CountQueued(ref queue.Ref) int {
	count := 0
	for _, jst := range sch.jobs {
		if jst.queue.IsSame(ref) && !jst.hasBegun && !jst.state.IsEnded() && !jst.plan.IsRepeating() {
			count++
		}
	}
	return count
}

// QueueAddresses returns the addresses of the queues that the pool has jobs of. It leaves
// out queues whose address is neither stored nor configured.
func (sch *Scheduler) QueueAddresses() []string {
	seen := map[string]bool{}
	for _, jst := range sch.jobs {
		address := jst.queue.Address
		if que := sch.queueOf(jst.queue); address == "" {
			address = que.Address()
		}
		if address != "" {
			seen[address] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Cancel cancels a job. It reports false when there is no such job. The job's runs
// are stopped at once; the cancellation is final when it is stored.
func (sch *Scheduler) Cancel(now time.Time, id string) (found bool) {
	jst, ok := sch.jobs[id]
	if !ok {
		return false
	}
	sch.endJob(now, jst, jobrecord.Cancelled, "caller")
	return true
}

func (sch *Scheduler) endJob(now time.Time, jst *jobState, ste jobrecord.State, reason string) {
	if jst.state.IsEnded() {
		return
	}
	jst.state, jst.endedAt = ste, now
	sch.markDirty(jst)
	for _, occ := range jst.occurrences {
		if occ == nil {
			continue
		}
		for _, sst := range occ.steps {
			delete(sch.openSteps, sst)
		}
	}
	delete(sch.timedJobs, jst.plan.ID)
	sch.stopJob(jst)
	jst.dropUnstarted()
	sch.updateOpenTasks(jst)
	sch.endedJobs = append(sch.endedJobs, jst.plan.ID)
	sch.cfg.Event(now, "jobEnded", slog.String("job", jst.plan.ID), slog.String("state", ste.String()),
		slog.String("reason", reason), slog.Duration("after", now.Sub(jst.waitingSince)),
		slog.Bool("inTime", !now.After(sch.deadline(jst, jst.nextOccurrence-1))))
}

// FailUnstorable ends a job as failed whose progress is too long to be stored, and returns the
// progress to store instead.
func (sch *Scheduler) FailUnstorable(now time.Time, id string) jobrecord.Progress {
	jst := sch.jobs[id]
	sch.endJob(now, jst, jobrecord.Failed, "progress is too long to be stored")
	delete(sch.dirtyJobs, id)
	jst.isDirty = false
	return progressOf(jst)
}

func (sch *Scheduler) markDirty(jst *jobState) {
	jst.isDirty = true
	sch.isUrgent = sch.isUrgent || jst.state.IsEnded()
	sch.dirtyJobs[jst.plan.ID] = true
}

// Busy reports whether any job has not ended.
func (sch *Scheduler) Busy() bool { return len(sch.jobs) > len(sch.endedJobs) }
