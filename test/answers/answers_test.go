// Package answers puts owners of a pool under faults drawn by a seed, in virtual time, and
// checks each answer about jobs against what the VMs saw.
package answers

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/standin/logstore"
	"daisywheel/internal/standin/vmfleet"
)

var (
	firstSeed = flag.Uint64("first", 1, "first seed")
	seedCount = flag.Int("seeds", 12, "number of seeds")
)

const (
	pool        = "gate"
	queueName   = "passes"
	otherQueue  = "tickets" // of the same pool; nobody submits to it
	maxAttempts = 3
	callTimeout = 2 * time.Second
	retention   = 10 * time.Minute // of final states
	askInterval = 100 * time.Millisecond
	faultTime   = 60 * time.Second
	endTime     = 10 * time.Minute // at the latest
	// idleTime is how long no run begins when nothing is left to run: a new owner waits for
	// 23 s before it starts the tasks of a silent VM elsewhere.
	idleTime = 29 * time.Second
	// visibleTime is the age of an acknowledgement from which its job is shown. A count may
	// be staleTime older.
	visibleTime = 3 * time.Second
	staleTime   = 2 * time.Second
	slots       = 5 // addresses of VMs
	entryCount  = 3
	breachLines = 60
	maxOffset   = 5 * time.Second // of an entry's time of day
)

// soak is one run. The mutex mu guards all but the faults.
type soak struct {
	t          *testing.T
	seed       uint64
	begun      time.Time
	fleet      *vmfleet.Fleet
	store      *logstore.Store
	entries    []*entry
	handovers  []series
	jobs       []*jobFacts
	byID       map[string]*jobFacts
	mu         sync.Mutex
	listed     map[string]host.Host // as the platform announces them
	holders    []*holder            // in the order in which they opened
	runs       map[task.ID]int      // number of runs that have begun
	lastRunAt  atomic.Int64         // when the last run began, as of begun
	lines      []string
	broken     map[string]int // number of breaches by check
	hasGangs   bool
	limit      plan.Demand // of the organisation, see drawLimit
	countsSeen int         // counts that were due to be above 0
	faultMu    sync.Mutex
	faults     []series
}

// jobFacts is what is true of a job: what its callers did and what the VMs saw.
type jobFacts struct {
	plan                        *plan.Plan
	submitAt, againAt, cancelAt time.Duration // againAt and cancelAt are 0 for never
	isHopeless                  bool          // all its runs fail
	isShort                     bool          // its runs are short
	organisation                string
	inFlight                    int       // submissions without an answer yet
	isStorable                  bool      // a submission was not refused
	acceptedAt, begunAt         time.Time // begunAt is the start of its first run on any VM
	isCancelSent                bool
	done                        map[task.ID]bool
	failures                    map[task.ID]int
	hasFailed                   bool            // a task has failed too often
	final                       jobrecord.State // shown by the newest owner
}

// isAllDone reports whether all tasks have ended as done. One member stands for a gang.
func (jfs *jobFacts) isAllDone() bool {
	for occ := range jfs.plan.Occurrences() {
		for i := range jfs.plan.Steps {
			if !jfs.isStepDone(occ, i) {
				return false
			}
		}
	}
	return true
}

// isStepDone reports whether all tasks of a step have ended as done.
func (jfs *jobFacts) isStepDone(occ, num int) bool {
	stp, count := &jfs.plan.Steps[num], 0
	for idx := range stp.Count {
		if jfs.done[task.ID{Job: jfs.plan.ID, Occurrence: occ, Step: num, Index: idx}] {
			count++
		}
	}
	return count == stp.Count || stp.IsGang && count > 0
}

// isDue reports whether the job was accepted longer ago than the age and nobody has cancelled it.
func (jfs *jobFacts) isDue(age time.Duration) bool {
	return !jfs.isCancelSent && !jfs.acceptedAt.IsZero() && time.Since(jfs.acceptedAt) > age
}

func TestAnswersUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSoak(t, seed).run() })
		})
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	sok := &soak{
		t: t, seed: seed, begun: time.Now(), store: logstore.New(logstore.Config{Latency: 4 * time.Millisecond}),
		listed: map[string]host.Host{}, byID: map[string]*jobFacts{}, runs: map[task.ID]int{}, broken: map[string]int{},
	}
	other := rand.New(rand.NewPCG(seed, 1))
	zones := 1 + 2*other.IntN(2)
	var hosts []host.Host
	for i := range 2 * slots { // the second half replace others
		hosts = append(hosts, host.Host{
			ID: fmt.Sprintf("vm-%d", i), Pool: pool, Address: fmt.Sprintf("10.0.0.%d:80", i%slots), Incarnation: sok.begun.UnixMilli(), Zone: fmt.Sprint(i % slots % zones),
			Capacity: plan.Demand{MilliCores: 4000, MemoryMB: 8000},
		})
	}
	demand := func(tid task.ID) plan.Demand { return sok.byID[tid.Job].plan.Steps[tid.Step].Demand }
	sok.fleet = vmfleet.New(sok.begun, vmfleet.Config{Latency: time.Millisecond, MaxLease: longestLease, Demand: demand, RunTime: sok.beginRun, IsFailing: sok.endRun, Limit: sok.limitOf}, hosts)
	for i := range entryCount {
		sok.entries = append(sok.entries, &entry{soak: sok, name: fmt.Sprintf("entry-%d", i)})
	}
	rnd := rand.New(rand.NewPCG(seed, 0))
	sok.drawJobs(rnd)
	sok.drawFaults(rnd)
	if rnd.IntN(3) == 0 {
		sok.fleet.SetMaxEnds(2 + rnd.IntN(6)) // outages of the log leave VMs with more ends than they list
	}
	if other.IntN(2) == 0 {
		sok.drawScheduledJobs(other)
	}
	if other.IntN(2) == 0 {
		for _, ent := range sok.entries {
			ent.offset = time.Duration(other.Int64N(int64(2*maxOffset))) - maxOffset
		}
	}
	sok.drawLimit(rand.New(rand.NewPCG(seed, 2)))
	return sok
}

// draw returns a number from 0 to 1 that depends on the seed and the parts only, so that
// the order in which goroutines run changes no draw.
func (sok *soak) draw(parts ...any) float64 {
	return float64(xxhash.Sum64String(fmt.Sprintln(sok.seed, parts))>>11) / (1 << 53)
}

// drawJobs draws the jobs. The VMs do not end the tasks of a gang together, as the platform does, so
// that they may exceed their capacity in soaks with gangs.
func (sok *soak) drawJobs(rnd *rand.Rand) {
	sok.hasGangs = rnd.IntN(2) == 0
	meanPause := float64(time.Second) / (0.3 + 1.7*rnd.Float64())
	for at := time.Second; at < faultTime; at += time.Duration(rnd.ExpFloat64() * meanPause) {
		jfs := &jobFacts{submitAt: at, done: map[task.ID]bool{}, failures: map[task.ID]int{}}
		jfs.plan = &plan.Plan{ID: fmt.Sprintf("%016x", rnd.Uint64()), Spec: "x"}
		for i := range 1 + rnd.IntN(3) {
			stp := plan.Step{Count: 1 + rnd.IntN(4), Demand: plan.Demand{MilliCores: 500 * int64(1+rnd.IntN(4))}, Estimate: time.Second, IsGang: sok.hasGangs && rnd.IntN(6) == 0}
			if i > 0 && rnd.IntN(4) > 0 {
				stp.After = []int{i - 1}
			}
			jfs.plan.Steps = append(jfs.plan.Steps, stp)
		}
		switch rnd.IntN(12) {
		case 0:
			jfs.plan.Steps = []plan.Step{{Count: 2, Demand: plan.Demand{MilliCores: 500}, IsLongRunning: true}}
			jfs.cancelAt = min(at+time.Duration(5+rnd.IntN(20))*time.Second, faultTime)
		case 1:
			jfs.plan.RepeatCount, jfs.plan.Interval = 2+rnd.IntN(20), time.Duration(100+rnd.IntN(1900))*time.Millisecond
			jfs.plan.FirstAt = sok.begun.Add(at + time.Duration(rnd.IntN(3000))*time.Millisecond)
		case 2:
			jfs.isHopeless = true
		case 3:
			jfs.cancelAt = at + time.Duration(rnd.IntN(6000))*time.Millisecond
		}
		if rnd.IntN(4) == 0 {
			jfs.againAt = at + time.Duration(rnd.IntN(9000))*time.Millisecond
		}
		sok.jobs = append(sok.jobs, jfs)
		sok.byID[jfs.plan.ID] = jfs
	}
}

// drawScheduledJobs draws jobs that run often, some of them with many tasks or late.
func (sok *soak) drawScheduledJobs(rnd *rand.Rand) {
	for range 3 + rnd.IntN(10) {
		at := time.Second + time.Duration(rnd.Int64N(int64(faultTime/2)))
		jfs := &jobFacts{submitAt: at, isShort: true, done: map[task.ID]bool{}, failures: map[task.ID]int{}}
		jfs.plan = &plan.Plan{ID: fmt.Sprintf("%016x", rnd.Uint64()), Spec: "x", RepeatCount: 2 + rnd.IntN(100)}
		jfs.plan.Interval = time.Duration(20+rnd.IntN(500)) * time.Millisecond
		jfs.plan.FirstAt = sok.begun.Add(at + time.Duration(rnd.IntN(12000)-6000)*time.Millisecond)
		for i := range 1 + rnd.IntN(3) {
			stp := plan.Step{Count: 1 + rnd.IntN(3), Demand: plan.Demand{MilliCores: 20}, Estimate: time.Second}
			if i > 0 && rnd.IntN(4) > 0 {
				stp.After = []int{i - 1}
			}
			jfs.plan.Steps = append(jfs.plan.Steps, stp)
		}
		if rnd.IntN(12) == 0 { // more tasks than may be open
			jfs.plan.RepeatCount, jfs.plan.FirstAt = 8+rnd.IntN(8), sok.begun
			jfs.plan.Steps[0].Count, jfs.plan.Steps[0].Demand.MilliCores = 400+rnd.IntN(1200), 1
			sok.fleet.SetMaxEnds(100 + rnd.IntN(400))
		}
		sok.jobs = append(sok.jobs, jfs)
		sok.byID[jfs.plan.ID] = jfs
	}
}

// checkBegin checks that the run of a task may begin: the steps that its step depends on are done,
// and its occurrence is due by the clock of some entry. The caller holds the lock.
func (sok *soak) checkBegin(tid task.ID, jfs *jobFacts) {
	for _, dep := range jfs.plan.Steps[tid.Step].After {
		if !jfs.isStepDone(tid.Occurrence, dep) {
			sok.breach("a run begins before the steps that it depends on are done", nil, tid.String(), []string{tid.Job})
		}
	}
	due := jfs.plan.FirstAt.Add(time.Duration(tid.Occurrence) * jfs.plan.Interval)
	if jfs.plan.IsRepeating() && time.Now().Before(due.Add(-maxOffset)) {
		sok.breach("a run begins before its occurrence is due", nil, tid.String(), []string{tid.Job})
	}
}

// beginRun notes the start of a run on a VM and returns how long the run lasts.
func (sok *soak) beginRun(tid task.ID) time.Duration {
	sok.mu.Lock()
	defer sok.mu.Unlock()
	jfs := sok.byID[tid.Job]
	sok.lastRunAt.Store(int64(sok.now()))
	if jfs.begunAt.IsZero() {
		jfs.begunAt = time.Now()
		sok.note("a run of job %s begins", tid.Job)
	}
	sok.runs[tid]++
	sok.checkBegin(tid, jfs)
	share := sok.draw("length", tid, sok.runs[tid])
	if jfs.plan.IsLongRunning() && share > 0.3 {
		return time.Hour
	}
	if jfs.isShort {
		return 20*time.Millisecond + time.Duration(share*float64(400*time.Millisecond))
	}
	return 200*time.Millisecond + time.Duration(share*float64(3*time.Second))
}

// endRun notes the end of a run by itself and reports whether it fails.
func (sok *soak) endRun(vm string, tid task.ID, run int) (isFailing bool) {
	sok.mu.Lock()
	defer sok.mu.Unlock()
	jfs := sok.byID[tid.Job]
	isFailing = jfs.isHopeless || jfs.plan.IsLongRunning() || sok.draw("failing", tid, run) < 0.06
	if isFailing {
		jfs.failures[tid]++
		jfs.hasFailed = jfs.hasFailed || jfs.failures[tid] >= maxAttempts
	} else {
		jfs.done[tid] = true
	}
	sok.note("run %d of %s ends on %s, failing %v", run, tid, vm, isFailing)
	return isFailing
}

// note adds a line to the timeline. The caller holds the lock.
func (sok *soak) note(format string, args ...any) {
	sok.lines = append(sok.lines, fmt.Sprintf("%7.3f ", time.Since(sok.begun).Seconds())+fmt.Sprintf(format, args...))
}

// Write implements io.Writer for the owners' journals.
func (sok *soak) Write(line []byte) (int, error) {
	sok.mu.Lock()
	defer sok.mu.Unlock()
	if !strings.Contains(string(line), "ounted\",") { // queueCounted and queueUncounted
		sok.note("%s", strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

func (sok *soak) now() time.Duration { return time.Since(sok.begun) }

func (sok *soak) run() {
	var grp sync.WaitGroup
	for _, jfs := range sok.jobs {
		grp.Go(func() { sok.submit(jfs, jfs.submitAt) })
		if jfs.againAt > 0 {
			grp.Go(func() { sok.submit(jfs, jfs.againAt) })
		}
		if jfs.cancelAt > 0 {
			grp.Go(func() { sok.cancel(jfs) })
		}
	}
	for _, srs := range sok.faults {
		grp.Go(func() { sok.play(srs) })
	}
	quit := make(chan struct{})
	grp.Go(func() { sok.changeOwners(quit) })
	grp.Go(func() { sok.grantQuotas(quit) })
	for sok.now() < endTime && !sok.isIdle() {
		time.Sleep(askInterval)
		sok.ask()
	}
	close(quit)
	grp.Wait()
	time.Sleep(2 * maxDelay) // until the last calls have ended
	for _, line := range sok.fleet.Violations() {
		if !sok.hasGangs || !strings.Contains(line, "capacity") {
			sok.t.Errorf("seed %d: %s", sok.seed, line)
		}
	}
	sok.t.Logf("seed %d: %d jobs, %d runs, %d changes of owner, %d counts above 0 due, breaches %v",
		sok.seed, len(sok.jobs), sok.fleet.Starts(), len(sok.handovers), sok.countsSeen, sok.broken)
}

// isIdle reports whether nothing is left to run.
func (sok *soak) isIdle() bool {
	return sok.now() > max(faultTime, time.Duration(sok.lastRunAt.Load()))+idleTime
}

// call calls an owner, at most 60 times, until the call is done: the newest one, or at times a
// former one that still answers.
func (sok *soak) call(at time.Duration, id string, call func(context.Context, *holder) (isDone bool)) {
	time.Sleep(at)
	for attempt := range 60 {
		var hld *holder
		share := sok.draw("call", id, at, attempt)
		sok.mu.Lock()
		if len(sok.holders) > 0 && share < 0.15 {
			hld = sok.holders[0]
		} else if len(sok.holders) > 0 {
			hld = sok.holders[len(sok.holders)-1]
		}
		sok.mu.Unlock()
		if hld != nil && !hld.entry.isUnder("", paused) {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			isDone := call(ctx, hld)
			cancel()
			if isDone {
				return
			}
		}
		time.Sleep(time.Duration(100+900*share) * time.Millisecond)
	}
}

// submit submits a job until it is accepted, five times at most.
func (sok *soak) submit(jfs *jobFacts, at time.Duration) {
	attempts := 0
	sok.call(at, jfs.plan.ID, func(ctx context.Context, hld *holder) bool {
		attempts++
		sok.mu.Lock()
		jfs.inFlight++
		sok.mu.Unlock()
		err := hld.owner.Submit(ctx, hld.entry.now(), jfs.plan, jfs.ref())
		sok.mu.Lock()
		defer sok.mu.Unlock()
		jfs.inFlight--
		jfs.isStorable = jfs.isStorable || err == nil || fault.CodeOf(err) == code.OutcomeUnknown
		if err == nil && jfs.acceptedAt.IsZero() {
			jfs.acceptedAt = time.Now()
			sok.note("job %s accepted by %s", jfs.plan.ID, hld)
		}
		return err == nil || attempts == 5
	})
}

// cancel cancels a job until that is acknowledged.
func (sok *soak) cancel(jfs *jobFacts) {
	sok.call(jfs.cancelAt, jfs.plan.ID, func(ctx context.Context, hld *holder) bool {
		sok.mu.Lock()
		jfs.isCancelSent = true
		sok.mu.Unlock()
		found, err := hld.owner.Cancel(ctx, hld.entry.now(), jfs.ref(), jfs.plan.ID)
		return found && err == nil
	})
}

// ask asks each owner that answers about all jobs, as an entry does, and checks the answers. Some
// of the jobs are not submitted yet.
func (sok *soak) ask() {
	sok.mu.Lock()
	holders := slices.Clone(sok.holders)
	sok.mu.Unlock()
	for _, hld := range holders {
		if hld.entry.isUnder("", paused) {
			continue
		}
		if count, err := hld.owner.CountQueued(context.Background(), hld.entry.now(), queue.Ref{Name: queueName}); err == nil {
			sok.checkCount(hld, count)
		}
		drawn := int(sok.draw("stored", sok.now()) * float64(len(sok.jobs)))
		for i, jfs := range sok.jobs {
			ste, ok, err := hld.owner.State(jfs.ref(), jfs.plan.ID)
			_, isOther, otherErr := hld.owner.State(queue.Ref{Name: otherQueue}, jfs.plan.ID)
			sok.mu.Lock()
			if isOther && otherErr == nil {
				sok.breach("a job is shown in another queue", hld, "", []string{jfs.plan.ID})
			}
			isLookedUp := !ok && (i == drawn || jfs.isDue(visibleTime))
			sok.mu.Unlock()
			if err != nil || !ok && !isLookedUp {
				continue
			}
			if isLookedUp {
				ste, ok, err = owner.StoredState(context.Background(), hld.entry.log(), pool, 0, jfs.plan.ID, nil)
			}
			if err == nil {
				sok.checkState(hld, jfs, ste, ok)
			}
		}
	}
}

func (sok *soak) checkCount(hld *holder, got int) {
	sok.mu.Lock()
	defer sok.mu.Unlock()
	var ids []string
	for _, jfs := range sok.jobs {
		if jfs.isDue(visibleTime+staleTime) && jfs.begunAt.IsZero() && !jfs.plan.IsRepeating() {
			ids = append(ids, jfs.plan.ID)
		}
	}
	if !hld.entry.isInTouch() || len(ids) == 0 {
		return
	}
	sok.countsSeen++
	if 2*got < len(ids) {
		sok.breach("the queued count is under half of the jobs that have not begun", hld, fmt.Sprintf("%d, jobs %d", got, len(ids)), ids)
	}
}

func (sok *soak) checkState(hld *holder, jfs *jobFacts, ste jobrecord.State, isShown bool) {
	sok.mu.Lock()
	defer sok.mu.Unlock()
	isNewest := len(sok.holders) > 0 && hld == sok.holders[len(sok.holders)-1] && hld.entry.isInTouch()
	for _, chk := range []struct {
		name     string
		isBroken bool
	}{
		{"the state is none of the known ones", ste < jobrecord.Queued || ste > jobrecord.Cancelled},
		{"a job is shown that nobody submitted or that was refused", isShown && jfs.inFlight == 0 && !jfs.isStorable},
		{"an accepted job is unknown", !isShown && jfs.isDue(visibleTime) && hld.entry.isInTouch()},
		{"a job is shown as completed before all its tasks are done", ste == jobrecord.Completed && !jfs.isAllDone()},
		{"a job is shown as failed without cause", ste == jobrecord.Failed && !jfs.hasFailed},
		{"a job is shown as cancelled without cause", ste == jobrecord.Cancelled && !jfs.isCancelSent},
		{"a final state has changed", isNewest && isShown && jfs.final.IsEnded() && ste != jfs.final},
		{"a job does not end", isNewest && sok.isIdle() && !jfs.acceptedAt.IsZero() && !ste.IsEnded()},
	} {
		if chk.isBroken {
			sok.breach(chk.name, hld, fmt.Sprintf("shown %v, state %d, before %d", isShown, int(ste), int(jfs.final)), []string{jfs.plan.ID})
		}
	}
	if isNewest && ste.IsEnded() {
		jfs.final = ste
	}
}

// breach fails the test at the first breach of a check, with the timeline of the faults and
// the jobs and the newest lines. The caller holds the lock.
func (sok *soak) breach(check string, hld *holder, detail string, ids []string) {
	sok.broken[check]++
	if sok.broken[check] > 1 {
		return
	}
	sok.note("BREACH by %s: %s: %s; jobs %v", hld, check, detail, ids)
	isShown := func(line string) bool {
		return strings.Contains(line, "FAULT") || slices.ContainsFunc(ids, func(id string) bool { return strings.Contains(line, id) })
	}
	last := max(0, len(sok.lines)-breachLines)
	lines := slices.DeleteFunc(slices.Clone(sok.lines[:last]), func(line string) bool { return !isShown(line) })
	if len(lines) > 4*breachLines {
		lines = append(lines[:2*breachLines], lines[len(lines)-2*breachLines:]...)
	}
	sok.t.Errorf("seed %d: %s\n%s", sok.seed, check, strings.Join(append(lines, sok.lines[last:]...), "\n"))
}
