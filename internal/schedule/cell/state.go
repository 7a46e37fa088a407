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
	stopping // its room is free when the VM no longer lists it
	unsure   // its VM's life has ended; another owner may know more of the run
	done
)

// work is one task and its current run.
type work struct {
	step       *stage
	id         task.ID
	phase      phase
	vm         *machine // while starting, running or stopping
	run        int      // number of the current or last run
	checkpoint string
	startSent  time.Time
	answered   time.Time // when the start's outcome was known; zero before
	isDoubtful bool      // the start got no answer
	stopSent   time.Time
	stopAcked  time.Time
	failedRuns []int  // runs whose failure is counted
	strays     int    // runs of the task that are not wanted and may still go on
	avoid      string // VM of the last failure
	percent    int
	load       int
	pace       int       // share at which it is let work, in percent
	pacedAt    time.Time // report that the pace answers
}

// stage is one step of one occurrence.
type stage struct {
	job        *entry
	step       *plan.Step
	occurrence int
	num        int
	works      []work
	doneCount  int
	waitCount  int // works in phase waiting
	isOpen     bool
	isStarved  bool          // the last plan found no VM for a task that waits
	startedAt  time.Time     // of the task that was started last
	taken      time.Duration // from then until it was done, 0 while not known
}

// isDone reports whether all tasks of the stage are done.
func (stg *stage) isDone() bool { return stg.doneCount == len(stg.works) }

// round is one occurrence of a job.
type round struct {
	stages []*stage
	left   int // stages that are not done
}

// entry is one job.
type entry struct {
	plan       *plan.Plan
	queue      string
	accepted   time.Time
	rounds     []*round // nil while not due, or after it is done
	roundsDone int
	nextRound  int
	state      ledger.State
	recorded   ledger.State // what the store holds
	endedAt    time.Time
	isOld      bool // stored before this owner's term
	isDirty    bool
	isBegun    bool     // a task has been started
	held       int      // works on VMs
	home       string   // zone that it is confined to; empty for none
	zones      []string // where it may run beside home, as stored
	nextZone   string   // zone that is to be recorded as another one
	// doneRounds are the occurrences that are done, for the record.
	doneRounds []int
}

// machine is one life of a VM.
type machine struct {
	host       host.Host
	isListed   bool
	unlistedAt time.Time // when the list has lost it
	isRecorded bool      // the store holds that the VM may run tasks
	isOld      bool      // an earlier owner may have left tasks there that are not known
	isHeld     bool      // it has answered this owner
	isSilent   bool      // the last look got no answer
	isLeaving  bool      // it is to be emptied for maintenance or a move
	leavingAt  time.Time
	isDue      bool // a wave of maintenance will come to it
	isHeldUp   bool // it has been told why it takes long to be emptied
	born       int64
	clock      time.Duration // at clockAt
	clockAt    time.Time
	leaseEnd   time.Time // what runs there has ended by then, unless more is sent
	heardAt    time.Time
	firstHeard time.Time // in this life, by this owner
	used       plan.Demand
	works      map[task.ID]*work
	perStage   map[*stage]int
	serving    int
	helpers    int
	strays     map[stray]*strayStop
	seen       int64 // newest end that was taken in
	acked      int64 // newest end whose effect is stored
	streak     int   // failures in a row
	quietUntil time.Time
}

// stray is a run that is not wanted where it runs.
type stray struct {
	task task.ID
	run  int
}

// strayStop is the stopping of a stray. While it lasts, the room that the stray
// takes is not known to be free, and its task is not started elsewhere.
type strayStop struct {
	sentAt  time.Time
	ackedAt time.Time
	work    *work // nil when the task is not known
}

func newMachine(hst host.Host) *machine {
	return &machine{
		host: hst, works: map[task.ID]*work{}, perStage: map[*stage]int{}, strays: map[stray]*strayStop{},
	}
}

// addStray notes a run that is to be stopped.
func (mac *machine) addStray(key stray, wrk *work) {
	if mac.strays[key] != nil {
		return
	}
	mac.strays[key] = &strayStop{work: wrk}
	if wrk != nil {
		wrk.strays++
	}
}

// dropStray notes that a run that was not wanted has ended.
func (mac *machine) dropStray(key stray) {
	stp := mac.strays[key]
	if stp == nil {
		return
	}
	delete(mac.strays, key)
	if stp.work != nil {
		stp.work.strays--
	}
}

func (mac *machine) dropStrays() {
	for key := range mac.strays {
		mac.dropStray(key)
	}
}

// counted returns what a task takes of the VM's capacity.
func counted(stp *plan.Step) plan.Demand {
	dmd := stp.Demand
	if stp.IsBackground {
		dmd.MilliCores = 0
	}
	return dmd
}

func (mac *machine) room() plan.Demand { return mac.host.Capacity.Minus(mac.used) }

func (mac *machine) add(wrk *work) {
	wrk.vm = mac
	mac.works[wrk.id] = wrk
	mac.perStage[wrk.step]++
	mac.used = mac.used.Plus(counted(wrk.step.step))
	wrk.step.job.held++
	if wrk.step.step.Goal > 0 {
		mac.serving++
	}
	if wrk.step.step.IsBackground {
		mac.helpers++
	}
}

func (mac *machine) remove(wrk *work) {
	delete(mac.works, wrk.id)
	if mac.perStage[wrk.step]--; mac.perStage[wrk.step] == 0 {
		delete(mac.perStage, wrk.step)
	}
	mac.used = mac.used.Minus(counted(wrk.step.step))
	wrk.step.job.held--
	if wrk.step.step.Goal > 0 {
		mac.serving--
	}
	if wrk.step.step.IsBackground {
		mac.helpers--
	}
	wrk.vm = nil
}
