package cell

import (
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/ledger"
)

// phase is where a task stands.
type phase int

const (
	waiting  phase = iota
	starting       // the start was sent and has no answer yet
	running
	stopping    // its room is free when the VM no longer lists it
	unconfirmed // its VM's life has ended; another owner may know more of the run
	done
)

// work is one task and its current run.
type taskState struct {
	step            *stepState
	id              task.ID
	phase           phase
	vm              *vmState // while starting, running or stopping
	run             int      // number of the current or last run
	checkpoint      string
	startSentAt     time.Time
	startAnsweredAt time.Time // when the start's outcome was known; zero before
	isStartUnknown  bool      // the start got no answer
	stopSentAt      time.Time
	stopAckedAt     time.Time
	failedRuns      []int  // runs whose failure is counted
	unwantedRuns    int    // runs of the task that are not wanted and may still go on
	avoidVM         string // VM of the last failure
	percentDone     int
	load            int
	pace            int       // share at which it is let work, in percent
	paceReportAt    time.Time // report that the pace answers
}

// stage is one step of one occurrence.
type stepState struct {
	job          *jobState
	plan         *plan.Step
	occurrence   int
	index        int
	tasks        []taskState
	doneCount    int
	waitingCount int // works in phase waiting
	isOpen       bool
	isStarved    bool          // the last plan found no VM for a task that waits
	lastStartAt  time.Time     // of the task that was started last
	runTime      time.Duration // from then until it was done, 0 while not known
}

// isDone reports whether all tasks of the stage are done.
func (sst *stepState) isDone() bool { return sst.doneCount == len(sst.tasks) }

// round is one occurrence of a job.
type occurrence struct {
	steps     []*stepState
	stepsLeft int // stages that are not done
}

// entry is one job.
type jobState struct {
	plan                *plan.Plan
	queue               string
	waitingSince        time.Time
	occurrences         []*occurrence // nil while not due, or after it is done
	doneOccurrenceCount int
	nextOccurrence      int
	state               ledger.State
	storedState         ledger.State // what the store holds
	endedAt             time.Time
	isInherited         bool // stored before this owner's term
	isDirty             bool
	isBegun             bool     // a task has been started
	placedTasks         int      // works on VMs
	homeZone            string   // zone that it is confined to; empty for none
	extraZones          []string // where it may run beside home, as stored
	requestedZone       string   // zone that is to be recorded as another one
	// doneRounds are the occurrences that are done, for the record.
	doneOccurrences []int
}

// machine is one life of a VM.
type vmState struct {
	host                host.Host
	isListed            bool
	unlistedAt          time.Time // when the list has lost it
	isStored            bool      // the store holds that the VM may run tasks
	isUnreconciled      bool      // an earlier owner may have left tasks there that are not known
	hasReported         bool      // it has answered this owner
	isUnresponsive      bool      // the last look got no answer
	isEvacuating        bool      // it is to be emptied for maintenance or a move
	evacuatingSince     time.Time
	isMaintenanceDue    bool // a wave of maintenance will come to it
	isDelayLogged       bool // it has been told why it takes long to be emptied
	incarnation         int64
	clock               time.Duration // at clockAt
	clockAt             time.Time
	leaseEnd            time.Time // what runs there has ended by then, unless more is sent
	lastReportAt        time.Time
	firstReportAt       time.Time // in this life, by this owner
	used                plan.Demand
	tasks               map[task.ID]*taskState
	tasksPerStep        map[*stepState]int
	servingTasks        int
	backgroundTasks     int
	unwantedRuns        map[runKey]*pendingStop
	lastEndSeen         int64 // newest end that was taken in
	lastEndStored       int64 // newest end whose effect is stored
	consecutiveFailures int   // failures in a row
	backoffUntil        time.Time
}

// stray is a run that is not wanted where it runs.
type runKey struct {
	task task.ID
	run  int
}

// strayStop is the stopping of a stray. While it lasts, the room that the stray
// takes is not known to be free, and its task is not started elsewhere.
type pendingStop struct {
	sentAt  time.Time
	ackedAt time.Time
	task    *taskState // nil when the task is not known
}

func newVMState(hst host.Host) *vmState {
	return &vmState{
		host: hst, tasks: map[task.ID]*taskState{}, tasksPerStep: map[*stepState]int{}, unwantedRuns: map[runKey]*pendingStop{},
	}
}

// addStray notes a run that is to be stopped.
func (vst *vmState) addUnwantedRun(key runKey, tst *taskState) {
	if vst.unwantedRuns[key] != nil {
		return
	}
	vst.unwantedRuns[key] = &pendingStop{task: tst}
	if tst != nil {
		tst.unwantedRuns++
	}
}

// dropStray notes that a run that was not wanted has ended.
func (vst *vmState) dropUnwantedRun(key runKey) {
	pst := vst.unwantedRuns[key]
	if pst == nil {
		return
	}
	delete(vst.unwantedRuns, key)
	if pst.task != nil {
		pst.task.unwantedRuns--
	}
}

func (vst *vmState) dropUnwantedRuns() {
	for key := range vst.unwantedRuns {
		vst.dropUnwantedRun(key)
	}
}

// counted returns what a task takes of the VM's capacity.
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
	tst.step.job.placedTasks++
	if tst.step.plan.Goal > 0 {
		vst.servingTasks++
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
	tst.step.job.placedTasks--
	if tst.step.plan.Goal > 0 {
		vst.servingTasks--
	}
	if tst.step.plan.IsBackground {
		vst.backgroundTasks--
	}
	tst.vm = nil
}
