package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/gateway"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// startPeer starts a peer that owns the pool "gate" according to the log and serves
// submissions with the function.
func startPeer(t *testing.T, log statelog.Client, submit func() (any, error)) *rpc.Endpoint {
	t.Helper()
	return startPeerWith(t, log, func(json.RawMessage) (any, error) { return submit() })
}

// startPeerWith is startPeer for a function of the request's parameters.
func startPeerWith(t *testing.T, log statelog.Client, submit func(params json.RawMessage) (any, error)) *rpc.Endpoint {
	t.Helper()
	ept := rpc.New(rpc.Config{})
	ept.Handle("job.submit", func(_ context.Context, params json.RawMessage) (any, error) { return submit(params) })
	lst, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lst.Addr().String()
	if err := errors.Join(lst.Close(), ept.Listen(address)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ept.Close)
	if _, err := claim.Acquire(t.Context(), log, claim.Pool("gate"), address); err != nil {
		t.Fatal(err)
	}
	return ept
}

func newGateway(t *testing.T, log statelog.Client, isConfirmed func() bool) *gateway.Gateway {
	t.Helper()
	ept := rpc.New(rpc.Config{})
	t.Cleanup(ept.Close)
	return gateway.New(gateway.Config{
		Address: "127.0.0.1:1", Partitions: 1, PeerEndpoint: ept, StateLog: log, PoolIndex: poolindex.New(poolindex.Config{StateLog: log, Journal: journal.New(journal.Config{})}), Journal: journal.New(journal.Config{}),
		LocalOwner: func(string) *owner.Owner { return nil }, IsConfirmed: isConfirmed,
	})
}

func submit(t *testing.T, gtw *gateway.Gateway, id string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return gtw.Submit(ctx, time.Now(), queue.Queue{Name: "q", Pool: "gate"}, &plan.Plan{ID: id, Steps: []plan.Step{{Count: 1}}})
}

// A zone is cut off while the owner stores a job: the first call has no answer, and the
// next one finds no owner. The job may run, so it must not be reported as refused.
func TestCutOffAfterLostAnswerLeavesOutcomeUnknown(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	var isCutOff atomic.Bool
	var peer *rpc.Endpoint
	peer = startPeer(t, log, func() (any, error) {
		if !isCutOff.Swap(true) {
			go peer.Close()
			time.Sleep(50 * time.Millisecond)
		}
		return nil, fault.New(code.NotReady, "not the owner")
	})
	gtw := newGateway(t, log, func() bool { return !isCutOff.Load() })
	if err := submit(t, gtw, "00000000000000a1"); fault.CodeOf(err) != code.OutcomeUnknown {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// Callers of an entry that is cut off lose the time in which it searches for an owner that
// it cannot find. It must refuse them without asking the log again.
func TestCutOffEntryRefusesWithoutSearch(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	var isCutOff atomic.Bool
	startPeer(t, log, func() (any, error) { return nil, fault.New(code.NotReady, "not the owner") })
	lookups := atomic.Int64{}
	lookup := log.Lookup
	log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
		lookups.Add(1)
		return lookup(ctx, topic, part, key)
	}
	gtw := newGateway(t, log, func() bool { return !isCutOff.Load() })
	if err := submit(t, gtw, "00000000000000a2"); fault.CodeOf(err) != code.NotReady || lookups.Load() < 2 {
		t.Errorf("error %v after %d lookups, want a refusal after a search for the owner", err, lookups.Load())
	}
	isCutOff.Store(true)
	before := lookups.Load()
	if err := submit(t, gtw, "00000000000000a3"); fault.CodeOf(err) != code.NotReady || lookups.Load() > before {
		t.Errorf("error %v after %d lookups, want a refusal without one", err, lookups.Load()-before)
	}
}

// A partition that heals may deliver a submission to the owner after its repetition was
// refused. The caller must not be told that the job will never run.
func TestRefusedRepetitionLeavesOutcomeUnknown(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	var calls atomic.Int64
	startPeer(t, log, func() (any, error) {
		if calls.Add(1) == 1 {
			time.Sleep(1200 * time.Millisecond) // longer than a call may take
			return struct{}{}, nil
		}
		return nil, fault.New(code.LogUnavailable, "nothing can be stored")
	})
	gtw := newGateway(t, log, func() bool { return true })
	if err := submit(t, gtw, "00000000000000a4"); fault.CodeOf(err) != code.OutcomeUnknown {
		t.Errorf("error %v, want an unknown outcome", err)
	}
}

// Callers whose entry knew a former owner that was cut off from the log were refused while the
// next owner accepted jobs.
func TestRefusalByFormerOwnerLeadsToNextOwner(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	startPeer(t, log, func() (any, error) { return nil, fault.New(code.LogUnavailable, "nothing can be stored") })
	gtw := newGateway(t, log, func() bool { return true })
	if err := submit(t, gtw, "00000000000000a5"); fault.CodeOf(err) != code.LogUnavailable {
		t.Errorf("error %v, want a refusal by the only owner", err)
	}
	startPeer(t, log, func() (any, error) { return struct{}{}, nil })
	time.Sleep(1100 * time.Millisecond) // the owner is looked up at most once a second
	if err := submit(t, gtw, "00000000000000a6"); err != nil {
		t.Errorf("error %v, want the next owner to accept the job", err)
	}
}

// An entry of an earlier version decodes what this one sends, and what it does not send has a
// default here.
func TestRequestsBetweenVersions(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	var got struct {
		Pool  string          `json:"service"`
		Queue string          `json:"queue"`
		Job   json.RawMessage `json:"job"`
	}
	startPeerWith(t, log, func(params json.RawMessage) (any, error) { return struct{}{}, json.Unmarshal(params, &got) })
	gtw := newGateway(t, log, func() bool { return true })
	if err := submit(t, gtw, "00000000000000a7"); err != nil {
		t.Fatal(err)
	}
	if job, err := jobrecord.DecodeJob(got.Job); got.Pool != "gate" || got.Queue != "q" || err != nil || job.Plan.ID != "00000000000000a7" {
		t.Errorf("an entry of an earlier version gets %+v (%v)", got, err)
	}
}

// While the owner of a pool was gone, the log showed the state of a job to callers of another queue of
// the pool, and a cancellation there was answered as if the job were theirs.
func TestStoredStateIsShownInItsQueueOnly(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	own := queue.Queue{Name: "own", Host: "h", Prefix: "/own/", Pool: "gate"}
	other := queue.Queue{Name: "other", Host: "h", Prefix: "/other/", Pool: "gate"}
	renamed := own
	renamed.Name = "renamed"
	put := func(key string, value []byte, err error) {
		t.Helper()
		if err == nil {
			_, err = log.Append(t.Context(), statelog.AppendRequest{Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{{Key: "gate/" + key, Value: value}}})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	const waiting, running, ended, apart = "00000000000000b1", "00000000000000b2", "00000000000000b3", "00000000000000b4"
	for _, id := range []string{waiting, running, apart} {
		data, err := jobrecord.EncodeJob(jobrecord.Job{Plan: &plan.Plan{ID: id, Steps: []plan.Step{{Count: 1}}}, Queue: own.Name, Address: own.Address()})
		key := "j/" + id
		if id == apart {
			key = "n/" + id
		}
		put(key, data, err)
	}
	for id, ste := range map[string]jobrecord.State{running: jobrecord.Running, apart: jobrecord.Running, ended: jobrecord.Completed} {
		data, err := jobrecord.EncodeProgress(jobrecord.Progress{State: ste, Queue: own.Name, Address: own.Address()})
		put("p/"+id, data, err)
	}
	for _, tst := range []struct {
		asked  queue.Queue
		queues []queue.Queue
		want   bool
	}{
		{own, []queue.Queue{own, other}, true},
		{other, []queue.Queue{own, other}, false},
		{renamed, []queue.Queue{renamed, other}, true},
		{renamed, []queue.Queue{renamed, {Name: own.Name, Host: "h", Prefix: "/third/", Pool: "gate"}}, true},
		{other, []queue.Queue{other}, true}, // as before, since the queue may have moved to another address
	} {
		gtw := newGateway(t, log, func() bool { return false }) // no owner can be found
		gtw.SetTable(time.Now(), queue.NewTable(1, tst.queues, []queue.Pool{{Name: "gate"}}))
		for _, id := range []string{waiting, running, ended, apart} {
			if _, found, err := gtw.State(t.Context(), tst.asked, id); found != tst.want || err != nil {
				t.Errorf("job %s in the queue %s of %d: found %v (%v), want %v", id, tst.asked.Name, len(tst.queues), found, err, tst.want)
			}
		}
	}
}

// An entry that could not read which pools have accepted jobs of a queue, after the configuration had
// moved the queue, went by what it had read before: it answered that there is no such job, and
// submitted a repeated job again.
func TestUnreadPoolsOfAQueueAreNotTakenForNone(t *testing.T) {
	const stored, id = "old", "00000000000000c1"
	log := logstore.New(logstore.Config{}).Client()
	newest := log.Newest
	var isUnread atomic.Bool
	reader := log
	reader.Newest = func(ctx context.Context, topic string, part int) ([]statelog.Record, int64, error) {
		if topic == "queues" && isUnread.Load() {
			return nil, 0, errors.New("too many reads")
		}
		return newest(ctx, topic, part)
	}
	var submitted atomic.Int64
	ept := startPeerWith(t, log, func(json.RawMessage) (any, error) {
		submitted.Add(1)
		return map[string]any{}, nil
	})
	ept.Handle("job.state", func(context.Context, json.RawMessage) (any, error) { return map[string]any{}, nil })
	ept.Handle("job.cancel", func(context.Context, json.RawMessage) (any, error) { return map[string]any{}, nil })
	ept.Handle("queue.waiting", func(context.Context, json.RawMessage) (any, error) { return map[string]any{}, nil })
	gtw := newGateway(t, reader, func() bool { return true })
	// The pool that has the job had the queue before the first configuration that the entry has read.
	before := queue.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "between", Version: 1}
	pools := []queue.Pool{{Name: stored}, {Name: "between"}, {Name: "gate"}}
	gtw.SetTable(time.Now().Add(-time.Hour), queue.NewTable(1, []queue.Queue{before}, pools))
	if _, found, err := gtw.State(t.Context(), before, id); found || err != nil {
		t.Fatalf("found %v (%v) before the job is submitted", found, err)
	}
	writer := poolindex.New(poolindex.Config{StateLog: log, Journal: journal.New(journal.Config{})})
	pln := &plan.Plan{ID: id, Steps: []plan.Step{{Count: 1}}}
	data, err := jobrecord.EncodeJob(jobrecord.Job{Plan: pln, Queue: before.Name, Address: before.Address()})
	if err == nil {
		_, err = log.Append(t.Context(), statelog.AppendRequest{Topic: "jobs", ExpectedEnd: statelog.AnyOffset, Records: []statelog.Record{{Key: stored + "/j/" + id, Value: data}}})
	}
	if err := errors.Join(err, writer.Record(t.Context(), before.Address(), stored)); err != nil {
		t.Fatal(err)
	}
	after := before
	after.Pool, after.Version = "gate", 2
	gtw.SetTable(time.Now(), queue.NewTable(2, []queue.Queue{after}, pools))
	isUnread.Store(true)
	if _, found, err := gtw.State(t.Context(), after, id); fault.CodeOf(err) != code.LogUnavailable {
		t.Errorf("state: found %v (%v), want an error", found, err)
	}
	if found, err := gtw.Cancel(t.Context(), time.Now(), after, id); fault.CodeOf(err) != code.LogUnavailable {
		t.Errorf("cancel: found %v (%v), want an error", found, err)
	}
	if err := gtw.Submit(t.Context(), time.Now(), after, pln); fault.CodeOf(err) != code.LogUnavailable || submitted.Load() != 0 {
		t.Errorf("repeated submission: %v, %d submitted to the present pool", err, submitted.Load())
	}
	if count, err := gtw.Queued(t.Context(), after); fault.CodeOf(err) != code.LogUnavailable {
		t.Errorf("count %d (%v), want an error", count, err)
	}
	time.Sleep(1100 * time.Millisecond) // until the index is read again
	isUnread.Store(false)
	if _, found, err := gtw.State(t.Context(), after, id); !found || err != nil {
		t.Errorf("state once the index can be read: found %v (%v)", found, err)
	}
}

// A job is handed over from a former pool of its queue to the present one between the questions to the
// two. It must not be said to be unknown.
func TestJobIsFoundDuringItsHandover(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	var asked atomic.Int64 // questions to the present pool
	answer := func(_ context.Context, params json.RawMessage) (any, error) {
		var req struct {
			Pool string `json:"service"`
		}
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}
		isFound := req.Pool == "gate" && asked.Add(1) > 1
		return map[string]any{"isFound": isFound, "state": jobrecord.Running}, nil
	}
	ept := startPeerWith(t, log, func(json.RawMessage) (any, error) { return map[string]any{}, nil })
	ept.Handle("job.state", answer)
	ept.Handle("job.cancel", answer)
	address, err := claim.FindOwner(t.Context(), log, claim.Pool("gate"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := claim.Acquire(t.Context(), log, claim.Pool("old"), address); err != nil {
		t.Fatal(err)
	}
	que := queue.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "gate", Version: 2}
	if err := poolindex.New(poolindex.Config{StateLog: log, Journal: journal.New(journal.Config{})}).Record(t.Context(), que.Address(), "old"); err != nil {
		t.Fatal(err)
	}
	gtw := newGateway(t, log, func() bool { return true })
	gtw.SetTable(time.Now(), queue.NewTable(2, []queue.Queue{que}, []queue.Pool{{Name: "gate"}}))
	if ste, found, err := gtw.State(t.Context(), que, "00000000000000d1"); !found || err != nil || ste != jobrecord.Running {
		t.Errorf("state %s, found %v (%v), want running", ste, found, err)
	}
	asked.Store(0)
	if found, err := gtw.Cancel(t.Context(), time.Now(), que, "00000000000000d1"); !found || err != nil {
		t.Errorf("cancel: found %v (%v)", found, err)
	}
}
