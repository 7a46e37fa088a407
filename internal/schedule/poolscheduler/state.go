package poolscheduler

import (
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/numberset"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/estimate"
	"daisywheel/internal/schedule/jobrecord"
)

// phase is the state of a task's current run.
type phase int

const (
	waiting  phase = iota
	starting       // the start order was sent; its outcome is not known yet
	running
	stopping    // its resources are reserved until the VM no longer reports the run
	unconfirmed // its VM's incarnation has ended, and a later owner may have seen the run complete
	done
)

// String returns the name used in log lines.
func (phs phase) String() string {
	return [...]string{"waiting", "starting", "running", "stopping", "unconfirmed", "done"}[phs]
}

// taskState is the state of one task and its current or last run.
type taskState struct {
	step                 *stepState
	id                   task.ID
	phase                phase
	vm                   *vmState // while starting, running or stopping
	run                  int      // number of the current or last run
	checkpoint           string
	isResumed            bool // the run began from a checkpoint
	startSentAt          time.Time
	startAnsweredAt      time.Time // when the start order's call returned or a report showed the run; zero before
	isAdopted            bool      // an earlier owner started the run
	isStartUnknown       bool      // the start order got no answer, so the run may or may not begin
	incarnation          int64     // of the VM that has reported the run; 0 before
	isIncarnationUnknown bool      // the VM has restarted, and which incarnation took the start order is not known
	stopSentAt           time.Time
	stopAckedAt          time.Time
	refusals             int       // start orders refused since a run began
	quickEnds            int       // runs in a row that ended at once
	pausedUntil          time.Time // no start order is sent before
	failedRuns           []int     // numbers of the runs that count as failed attempts
	unwantedRunCount     int       // number of unwanted runs of the task that may still be running
	avoidVM              string    // VM of the last failure
	percentDone          int       // as reported; 100 for a long-running task at work
	load                 int       // as reported, see agent.Run
	pace                 int       // rate at which the VM lets it run, in percent of full speed
	paceReportAt         time.Time // time of the report from which the pace was set
}

// stepState is the state of one step in one occurrence of a job.
type stepState struct {
	job          *jobState
	plan         *plan.Step
	occurrence   int
	index        int
	tasks        []taskState
	doneCount    int
	waitingCount int           // tasks in phase waiting
	isOpen       bool          // the steps that it depends on are done
	isStarved    bool          // the last call of Plan found no VM for a waiting task
	isCapped     bool          // the last call of Plan found no allowance for a waiting task
	lastStartAt  time.Time     // start of the task that was started last
	runTime      time.Duration // from lastStartAt until the step was done; 0 while unknown
	siblings     estimate.Siblings
	outlook      outlook // of its tasks, see Scheduler.outlookOf
}

// isDone reports whether all tasks of the step are done.
func (sst *stepState) isDone() bool { return sst.doneCount == len(sst.tasks) }

// running returns the number of tasks that have a run.
func (sst *stepState) running() int { return len(sst.tasks) - sst.doneCount - sst.waitingCount }

// occurrence is the state of one occurrence of a job.
type occurrence struct {
	steps     []*stepState
	stepsLeft int // steps that are not done
}

// jobState is the state of one job.
type jobState struct {
	plan            *plan.Plan
	queue           queue.Ref
	maxAttempts     int           // as last known, see Scheduler.maxAttempts
	from            string        // pool that handed it over; empty for none
	waitingSince    time.Time     // since when its caller has been waiting
	occurrences     []*occurrence // by number; nil while not due, and once done
	openOccurrences int           // number of those that are not nil
	countedTasks    int           // in Scheduler.openTasks
	done            numberset.Set // occurrences that are done
	nextOccurrence  int           // number of the next occurrence to open
	state           jobrecord.State
	storedState     jobrecord.State // state in the state log
	endedAt         time.Time
	isInherited     bool     // stored before this owner's term
	isDirty         bool     // its progress is to be stored
	isOrderLogged   bool     // its first start order has been logged
	hasBegun        bool     // a VM is known to have begun a run of a task
	placedTasks     int      // tasks on VMs, starting, running or stopping
	homeZone        string   // zone that its tasks are confined to; empty for no restriction
	extraZones      []string // other zones where its tasks may run, as stored
	requestedZone   string   // zone that is to be stored as an extra one; empty for none
	isSetApart      bool     // its submission is stored where entries of earlier versions do not look
	// orgUsed is what its organisation has running in the pool; nil without an organisation.
	orgUsed *plan.Demand
}

// addUsage counts a run of a task of the step for the job's organisation.
func (sst *stepState) addUsage() {
	if used := sst.job.orgUsed; used != nil {
		*used = used.Plus(sst.plan.Demand)
	}
}

// dropUsage is the inverse of addUsage.
func (sst *stepState) dropUsage() {
	if used := sst.job.orgUsed; used != nil {
		*used = used.Minus(sst.plan.Demand)
	}
}

// vmState is the state of one VM. A restart under the same id keeps the vmState and
// begins a new incarnation.
type vmState struct {
	host                host.Host
	revision            int64 // see balance.VM
	isListed            bool
	unlistedAt          time.Time // when it was last dropped from the platform's list
	isStored            bool      // its record is stored, so tasks may run there
	isUnreconciled      bool      // tasks of an earlier owner may run there that this owner does not know of
	heldAt              time.Time // when its current incarnation reported to this owner for the first time
	hasReported         bool      // its current incarnation has reported to this owner
	isReportCut         bool      // its last report did not list all ends
	isLate              bool      // the last poll was not answered in time
	isUnresponsive      bool      // the last poll failed or a start order did not reach it
	isEvacuating        bool      // it is to be evacuated for maintenance or a move to another pool
	evacuatingSince     time.Time
	isMaintenanceDue    bool          // a maintenance wave will reach it
	isDelayLogged       bool          // the reason for its slow evacuation has been logged
	incarnation         int64         // start time in Unix ms; 0 while unknown
	kindIncarnation     int64         // incarnation whose labels and capacity are known; 0 if announced without one
	disproved           int64         // incarnation that the list shows though it does not exist
	restartedAt         time.Time     // when this owner learned of it after another one; zero for the first
	clock               time.Duration // time on the VM's clock at clockAt
	clockAt             time.Time
	leaseEnd            time.Time // by the owner's clock: when the runs there have ended unless renewed
	lastReportAt        time.Time
	firstReportAt       time.Time     // by this incarnation to this owner; zero if an earlier owner used it
	used                plan.Demand   // by its tasks
	yieldingTasks       int           // see updateRelease
	freeIn              time.Duration // see updateRelease
	tasks               map[task.ID]*taskState
	tasksPerStep        map[*stepState]int
	latencyBoundTasks   int // tasks with a latency goal
	backgroundTasks     int
	unwantedRuns        map[runKey]*pendingStop
	unreadableRuns      int       // of jobs that can't be read, in the last report
	firstHeldEnd        int64     // number of the oldest end that is not to be acknowledged; 0 for none
	lastEndSeen         int64     // number of the newest run end that was handled
	lastEndStored       int64     // number of the newest run end whose effect is stored
	consecutiveFailures int       // failed runs since the last one that completed
	backoffUntil        time.Time // it gets no new tasks before
}

// runKey identifies a run of a task.
type runKey struct {
	task task.ID
	run  int
}

// pendingStop is the stop of a run that should not be running on its VM. While it is
// pending, the VM gets no new tasks, as the resources that the run uses are not known,
// and the run's task is not started elsewhere.
type pendingStop struct {
	sentAt  time.Time
	ackedAt time.Time
	task    *taskState // nil when the task is unknown
}

func newVMState(hst host.Host) *vmState {
	return &vmState{
		host: hst, kindIncarnation: hst.Incarnation, tasks: map[task.ID]*taskState{}, tasksPerStep: map[*stepState]int{}, unwantedRuns: map[runKey]*pendingStop{},
	}
}

// addUnwantedRun adds a run that is to be stopped. The task is nil if it is unknown.
func (vst *vmState) addUnwantedRun(key runKey, tst *taskState) {
	if vst.unwantedRuns[key] != nil {
		return
	}
	vst.unwantedRuns[key] = &pendingStop{task: tst}
	if tst != nil {
		tst.unwantedRunCount++
		tst.step.addUsage()
	}
}

// dropUnwantedRun removes an unwanted run that has ended.
func (vst *vmState) dropUnwantedRun(key runKey) {
	pst := vst.unwantedRuns[key]
	if pst == nil {
		return
	}
	delete(vst.unwantedRuns, key)
	if pst.task != nil {
		pst.task.unwantedRunCount--
		pst.task.step.dropUsage()
	}
}

func (vst *vmState) dropUnwantedRuns() {
	for key := range vst.unwantedRuns {
		vst.dropUnwantedRun(key)
	}
}

// countedDemand returns what a task of the step takes of a VM's capacity. Background
// tasks use only the cores that other tasks leave.
func countedDemand(stp *plan.Step) plan.Demand {
	dmd := stp.Demand
	if stp.IsBackground {
		dmd.MilliCores = 0
	}
	return dmd
}

func (vst *vmState) freeCapacity() plan.Demand { return vst.host.Capacity.Minus(vst.used) }

func (vst *vmState) addTask(tst *taskState) {
	tst.vm = vst
	vst.tasks[tst.id] = tst
	vst.tasksPerStep[tst.step]++
	vst.used = vst.used.Plus(countedDemand(tst.step.plan))
	tst.step.addUsage()
	tst.step.job.placedTasks++
	if tst.step.plan.LatencyGoal > 0 {
		vst.latencyBoundTasks++
	}
	if tst.step.plan.IsBackground {
		vst.backgroundTasks++
	}
}

func (vst *vmState) removeTask(tst *taskState) {
	delete(vst.tasks, tst.id)
	if vst.tasksPerStep[tst.step]--; vst.tasksPerStep[tst.step] == 0 {
		delete(vst.tasksPerStep, tst.step)
	}
	vst.used = vst.used.Minus(countedDemand(tst.step.plan))
	tst.step.dropUsage()
	tst.step.job.placedTasks--
	if tst.step.plan.LatencyGoal > 0 {
		vst.latencyBoundTasks--
	}
	if tst.step.plan.IsBackground {
		vst.backgroundTasks--
	}
	tst.vm = nil
}
