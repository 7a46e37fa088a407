package service_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/service"
)

// startRerouting starts entries until the two pools have different owners, and returns these with an
// entry that owns neither.
func startRerouting(t *testing.T) (ste *site, gate, mill, other *service.Service) {
	t.Helper()
	for range 5 {
		ste = startSite(t, 3)
		gate, mill = ste.awaitOwnerOf(pool), ste.awaitOwnerOf(otherPool)
		for _, svc := range ste.entries {
			if svc != gate && svc != mill {
				other = svc
			}
		}
		if gate != mill {
			return ste, gate, mill, other
		}
		ste.stop()
	}
	t.Fatal("one entry owns both pools")
	return nil, nil, nil, nil
}

// awaitOwnerOf returns the entry that owns the pool.
func (ste *site) awaitOwnerOf(pool string) *service.Service {
	ste.t.Helper()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		for _, svc := range ste.entries {
			if svc.Owner(pool) != nil {
				return svc
			}
		}
	}
	ste.t.Fatalf("the pool %s has no owner", pool)
	return nil
}

// settle lets all entries read which pools have jobs of the queues, for the last time before the
// configuration changes.
func (ste *site) settle() {
	ste.t.Helper()
	time.Sleep(5500 * time.Millisecond)
	for num, svc := range ste.entries {
		if int32(num) == ste.late.Load() {
			continue // it would read the configuration
		}
		if _, found, err := svc.Gateway().State(ste.t.Context(), ste.queueAt(passes), job(99).ID); found || err != nil {
			ste.t.Fatalf("state of an unknown job: found %v (%v)", found, err)
		}
	}
}

// numberOf returns the number of an entry.
func (ste *site) numberOf(svc *service.Service) int32 {
	return int32(slices.Index(ste.entries, svc))
}

// setLate sets whether an entry's long polls for configurations get no answer.
func (ste *site) setLate(late *service.Service) {
	ste.late.Store(ste.numberOf(late))
	time.Sleep(50 * time.Millisecond) // long polls that are open notice it within 5 ms
}

// awaitTableAt waits until the entry has read the configuration in force.
func (ste *site) awaitTableAt(svc *service.Service) {
	ste.t.Helper()
	for limit := time.Now().Add(testTimeout); svc.Table().Version() != ste.table.Load().Version(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			ste.t.Fatal("an entry does not read the configuration")
		}
	}
}

// oneTask returns a job of one task.
func oneTask() *plan.Plan {
	pln := job(1)
	pln.Steps = []plan.Step{{Count: 1, Demand: demand(task.ID{}), Estimate: 50 * time.Millisecond}}
	return pln
}

// rerouted returns the queue with the other pool.
func rerouted(que queue.Queue) queue.Queue {
	que.Pool = otherPool
	return que
}

// Guards against a job that runs twice: its queue went to another pool, which accepted the job, and back,
// and an entry that had read neither configuration submitted it again to the queue's pool.
func TestJobOfAQueueThatHasReturnedRunsOnce(t *testing.T) {
	ste, gate, mill, other := startRerouting(t)
	ste.setLate(other)
	first := ste.queueAt(passes)
	ste.putTable(2, rerouted(passes))
	ste.awaitTableAt(gate)
	ste.awaitTableAt(mill)
	ste.submit(mill, oneTask())
	ste.putTable(3, passes)
	ste.awaitTableAt(gate)
	ste.awaitTableAt(mill)
	if version := other.Table().Version(); version != first.Version {
		t.Fatalf("the late entry has read version %d", version)
	}
	if err := other.Gateway().Submit(t.Context(), time.Now(), first, oneTask()); err != nil {
		t.Errorf("repeated submission: %v", err)
	}
	ste.await(mill, oneTask().ID)
	time.Sleep(500 * time.Millisecond)
	if got := ste.fleet.Starts(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
	ste.late.Store(noEntry)
	ste.stop()
	ste.checkInvariants()
}

// An entry of an earlier version of the program does not know the code StaleRoute, and repeats what is
// not ready.
func TestStaleRouteIsNotReadyToEarlierVersions(t *testing.T) {
	ste, gate, _, _ := startRerouting(t)
	ste.putTable(2, rerouted(passes))
	ste.awaitTable()
	job, err := jobrecord.EncodeJob(jobrecord.Job{Plan: oneTask(), Queue: passes.Name, Address: passes.Address()})
	if err != nil {
		t.Fatal(err)
	}
	lnk := rpc.New(rpc.Config{})
	defer lnk.Close()
	for isKnown, want := range map[bool]code.Code{false: code.NotReady, true: code.StaleRoute} {
		req := map[string]any{"service": pool, "queue": passes.Name, "address": passes.Address(), "version": 1, "job": json.RawMessage(job)}
		if isKnown {
			req["reroutes"] = true
		}
		for num, svc := range ste.entries {
			if svc != gate {
				continue
			}
			if err := lnk.Call(t.Context(), ste.addresses[num], "job.submit", req, nil); fault.CodeOf(err) != want {
				t.Errorf("answer to a stale submission: %v, want code %d", err, want)
			}
		}
	}
	ste.stop()
	ste.checkInvariants()
}

// The queue goes away and comes back while a submission is under way: the entry that makes it asks the former
// pool, which has the queue again, by the route in between.
func TestSubmissionFollowsAQueueThatReturnsMeanwhile(t *testing.T) {
	ste, gate, mill, other := startRerouting(t)
	ste.putTable(2, rerouted(passes))
	ste.awaitTable()
	between := ste.queueAt(passes)
	ste.setLate(other)
	ste.putTable(3, passes)
	ste.awaitTableAt(gate)
	ste.awaitTableAt(mill)
	if err := other.Gateway().Submit(t.Context(), time.Now(), between, oneTask()); err != nil {
		t.Errorf("submission by version 2: %v", err)
	}
	ste.await(gate, oneTask().ID)
	ste.late.Store(noEntry)
	ste.stop()
	ste.checkInvariants()
}

// Guards against a cancel that is answered as if there were no such job, which goes on: its queue went to
// another pool, and the entry that is asked has not read of it.
func TestJobIsFoundByAnEntryWithAnOldConfiguration(t *testing.T) {
	ste, gate, mill, other := startRerouting(t)
	ste.settle()
	ste.setLate(other)
	first := ste.queueAt(passes)
	ste.putTable(2, rerouted(passes))
	ste.awaitTableAt(gate)
	ste.awaitTableAt(mill)
	ste.submit(mill, oneTask())
	if version := other.Table().Version(); version != first.Version {
		t.Fatalf("the late entry has read version %d", version)
	}
	if found, err := other.Gateway().Cancel(t.Context(), time.Now(), first, oneTask().ID); !found || err != nil {
		t.Errorf("cancel: found %v (%v)", found, err)
	}
	ste.late.Store(noEntry)
	ste.stop()
	ste.checkInvariants()
}

// The same for an entry that owns the queue's former pool, so that no other entry could tell it: it reads the
// newest configuration before it says that there is no such job.
func TestJobIsFoundByAFormerOwnerWithAnOldConfiguration(t *testing.T) {
	ste, gate, mill, _ := startRerouting(t)
	ste.settle()
	ste.setLate(gate)
	first := ste.queueAt(passes)
	ste.putTable(2, rerouted(passes))
	ste.awaitTableAt(mill)
	fresh := ste.startEntry(entryMilliCores) // knows no former pool to ask, so the former owner stays late
	ste.submit(fresh, oneTask())
	if version := gate.Table().Version(); version != first.Version {
		t.Fatalf("the late entry has read version %d", version)
	}
	if state, found, err := gate.Gateway().State(t.Context(), first, oneTask().ID); !found || err != nil {
		t.Errorf("state %s, found %v (%v)", state, found, err)
	}
	if found, err := gate.Gateway().Cancel(t.Context(), time.Now(), first, oneTask().ID); !found || err != nil {
		t.Errorf("cancel: found %v (%v)", found, err)
	}
	ste.late.Store(noEntry)
	ste.stop()
	ste.checkInvariants()
}

// Guards against a job that runs twice: its queue, which had had no job before, went to another pool, and the
// owner of the former one, which had not read of it, accepted the job too.
func TestFormerOwnerWithAnOldConfigurationAcceptsNoJob(t *testing.T) {
	ste, gate, mill, other := startRerouting(t)
	ste.settle()
	ste.setLate(gate)
	first := ste.queueAt(passes)
	ste.putTable(2, rerouted(passes))
	ste.awaitTableAt(mill)
	ste.awaitTableAt(other)
	ste.submit(other, oneTask())
	if err := gate.Gateway().Submit(t.Context(), time.Now(), first, oneTask()); err != nil {
		t.Errorf("repeated submission: %v", err)
	}
	ste.await(mill, oneTask().ID)
	time.Sleep(500 * time.Millisecond)
	if got := ste.fleet.Starts(); got != 1 {
		t.Errorf("%d starts, want 1", got)
	}
	ste.late.Store(noEntry)
	ste.stop()
	ste.checkInvariants()
}

// Guards against a job that runs twice: its queue went to another pool, whose first job of it came through an entry
// that had just started, which knew of no former pool to ask. The owner of the former one, which had not read of the
// move, accepted the job too.
func TestFormerOwnerAcceptsNoJobThatAFreshEntryHasSubmitted(t *testing.T) {
	ste, gate, mill, _ := startRerouting(t)
	ste.settle()
	ste.setLate(gate)
	first := ste.queueAt(passes)
	ste.putTable(2, rerouted(passes))
	ste.awaitTableAt(mill)
	ste.submit(ste.startEntry(entryMilliCores), oneTask())
	ste.checkRepetition(gate, first, 1)
}

// checkRepetition submits the job again at an entry, by an earlier route, and checks how many tasks have started.
func (ste *site) checkRepetition(svc *service.Service, route queue.Queue, starts int) {
	ste.t.Helper()
	ste.submitBy(route, svc, oneTask())
	ste.await(svc, oneTask().ID)
	time.Sleep(500 * time.Millisecond)
	if got := ste.fleet.Starts(); got != starts {
		ste.t.Errorf("%d starts, want %d", got, starts)
	}
	ste.late.Store(noEntry)
	ste.hidden.Store(noEntry)
	ste.stop()
	ste.checkInvariants()
}

// The owner of the former pool can be reached by callers and the log, but by no other entry. It is not waited for, but
// it accepts nothing by the earlier route, whether it had jobs of the queue before or not.
func TestFormerOwnerOutOfReachAcceptsNoJob(t *testing.T) {
	for _, hadJobs := range []bool{false, true} {
		t.Run(fmt.Sprintf("had jobs %t", hadJobs), func(t *testing.T) {
			t.Parallel()
			ste, gate, mill, other := startRerouting(t)
			ste.hidden.Store(ste.numberOf(gate)) // before anyone has read its address
			starts := 1
			if hadJobs {
				earlier := oneTask()
				earlier.ID = job(2).ID
				ste.submit(gate, earlier)
				starts++
			}
			ste.setLate(gate)
			first := ste.queueAt(passes)
			ste.putTable(2, rerouted(passes))
			ste.awaitTableAt(mill)
			ste.awaitTableAt(other)
			ste.submit(other, oneTask())
			ste.checkRepetition(gate, first, starts)
		})
	}
}

// The owner of a queue's former pool has not read of the move, but reads it when it is asked: its term goes on.
func TestFormerOwnerThatAnswersKeepsItsTerm(t *testing.T) {
	ste, gate, mill, other := startRerouting(t)
	earlier := oneTask()
	earlier.ID = job(2).ID
	ste.submit(gate, earlier)
	token := gate.Owner(pool).FencingToken()
	ste.setLate(gate)
	first := ste.queueAt(passes)
	ste.putTable(2, rerouted(passes))
	ste.awaitTableAt(mill)
	ste.awaitTableAt(other)
	ste.submit(other, oneTask())
	time.Sleep(1500 * time.Millisecond) // a check of the claim, and some
	if own := gate.Owner(pool); own == nil || own.FencingToken() != token {
		t.Error("the term of the former pool's owner has ended")
	}
	ste.checkRepetition(gate, first, 2)
}

// Guards against a job that is answered with 410: the owner of a queue's former pool had not read for long that the
// queue had moved, accepted its first job, and the other entries went by an index of pools from before.
func TestJobOfAPoolThatIsNewInTheIndexIsFound(t *testing.T) {
	ste, gate, mill, other := startRerouting(t)
	ste.setLate(gate)
	first := ste.queueAt(passes)
	ste.putTable(2, rerouted(passes))
	ste.awaitTableAt(mill)
	ste.awaitTableAt(other)
	ste.settle()
	waiting := oneTask()
	waiting.Steps[0].Label = "nowhere"
	ste.submitBy(first, gate, waiting)
	if _, found, err := other.Gateway().State(t.Context(), ste.queueAt(passes), waiting.ID); !found || err != nil {
		t.Errorf("state: found %t (%v)", found, err)
	}
	time.Sleep(2 * time.Second) // a count may be so old
	if count, err := mill.Gateway().Queued(t.Context(), ste.queueAt(passes)); count != 1 || err != nil {
		t.Errorf("%d jobs wait (%v), want 1", count, err)
	}
	if found, err := other.Gateway().Cancel(t.Context(), time.Now(), ste.queueAt(passes), waiting.ID); !found || err != nil {
		t.Errorf("cancel: found %t (%v)", found, err)
	}
	ste.late.Store(noEntry)
	ste.stop()
	ste.checkInvariants()
}
