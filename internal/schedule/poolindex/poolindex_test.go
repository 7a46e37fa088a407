package poolindex_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

var start = time.Unix(1000, 0)

// countReads returns a client whose reads fail while isDown is set, and are counted.
func countReads(log statelog.Client, reads *atomic.Int64, isDown *atomic.Bool) statelog.Client {
	newest := log.Newest
	log.Newest = func(ctx context.Context, topic string, part int) ([]statelog.Record, int64, error) {
		reads.Add(1)
		if isDown.Load() {
			return nil, 0, errors.New("down")
		}
		return newest(ctx, topic, part)
	}
	return log
}

func newIndex(log statelog.Client) *poolindex.Index {
	return poolindex.New(poolindex.Config{StateLog: log, Journal: journal.New(journal.Config{})})
}

func TestPoolsOfAQueueAreKept(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	writer := newIndex(log)
	for _, pool := range []string{"gate", "mill", "gate"} {
		if err := writer.Record(t.Context(), "h/p/", pool); err != nil {
			t.Fatal(err)
		}
	}
	reader := newIndex(log)
	for address, want := range map[string][]string{"h/p/": {"gate", "mill"}, "h/q/": nil} {
		pools, err := reader.Pools(t.Context(), start, address, start)
		slices.Sort(pools)
		if err != nil || !slices.Equal(pools, want) {
			t.Errorf("pools of %s: %v (%v), want %v", address, pools, err, want)
		}
	}
}

// The index is read at once after a change of a queue's pool, at most every 2 s for 5 s, and
// not again until the next change.
func TestIndexIsReadNoMoreThanNeeded(t *testing.T) {
	var reads atomic.Int64
	var isDown atomic.Bool
	idx := newIndex(countReads(logstore.New(logstore.Config{}).Client(), &reads, &isDown))
	ask := func(from, to time.Duration, since time.Time) {
		t.Helper()
		for at := from; at < to; at += 100 * time.Millisecond {
			if _, err := idx.Pools(t.Context(), start.Add(at), "h/p/", since); err != nil {
				t.Fatal(err)
			}
		}
	}
	ask(100*time.Millisecond, 20*time.Second, start)
	if got := reads.Load(); got != 4 {
		t.Errorf("%d reads in 20 s, want 4: at 0.1, 2.1, 4.1 and 6.1 s", got)
	}
	ask(6200*time.Millisecond, 6300*time.Millisecond, start.Add(6150*time.Millisecond))
	if got := reads.Load(); got != 5 {
		t.Errorf("%d reads after a change, want 5", got)
	}
}

// While the log is down, what was read before still leads to jobs, but nobody may conclude that a
// job is in no other pool, unless it was read after the last change.
func TestIndexWhileTheLogIsDown(t *testing.T) {
	var reads atomic.Int64
	var isDown atomic.Bool
	log := countReads(logstore.New(logstore.Config{}).Client(), &reads, &isDown)
	idx := newIndex(log)
	isDown.Store(true)
	for range 3 {
		if _, err := idx.Pools(t.Context(), start, "h/p/", start); err == nil {
			t.Error("no error though nothing was read")
		}
	}
	if got := reads.Load(); got != 1 {
		t.Errorf("%d reads at one time, want 1", got)
	}
	isDown.Store(false)
	if err := idx.Record(t.Context(), "h/p/", "gate"); err != nil {
		t.Fatal(err)
	}
	later := start.Add(time.Minute)
	if _, err := idx.Pools(t.Context(), later, "h/p/", start); err != nil {
		t.Fatal(err)
	}
	isDown.Store(true)
	want := []string{"gate"}
	later = later.Add(time.Minute)
	if pools, err := idx.Pools(t.Context(), later, "h/p/", start); err != nil || !slices.Equal(pools, want) {
		t.Errorf("pools %v (%v), want those read after the last change", pools, err)
	}
	for range 3 {
		if pools, err := idx.Pools(t.Context(), later, "h/p/", later); err == nil || !slices.Equal(pools, want) {
			t.Errorf("pools %v (%v) after another change, want those read before and an error", pools, err)
		}
	}
	isDown.Store(false)
	later = later.Add(time.Minute)
	if pools, err := idx.Pools(t.Context(), later, "h/p/", later); err != nil || !slices.Equal(pools, want) {
		t.Errorf("pools %v (%v) after the outage", pools, err)
	}
}

// A record whose value can't be read names its pool all the same.
func TestIndexReadsKeysOnly(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	if err := newIndex(log).Record(t.Context(), "h/p/", "gate"); err != nil {
		t.Fatal(err)
	}
	recs, _, err := log.Newest(t.Context(), "queues", 0)
	if err != nil || len(recs) != 1 {
		t.Fatal(recs, err)
	}
	recs[0].Value = []byte("later")
	if _, err := log.Append(t.Context(), statelog.AppendRequest{Topic: "queues", ExpectedEnd: statelog.AnyOffset, Records: recs}); err != nil {
		t.Fatal(err)
	}
	if pools, err := newIndex(log).Pools(t.Context(), start, "h/p/", start); err != nil || !slices.Equal(pools, []string{"gate"}) {
		t.Errorf("pools %v (%v), want the one in the key", pools, err)
	}
}

// Of two pools that register a queue, at least one finds the other, also one that an earlier version of the program has
// recorded without its version. A registration that an earlier owner of the pool has sent and that arrives late does
// not replace that of the present one.
func TestRegistrationsFindEachOther(t *testing.T) {
	const address = "h/p/"
	log := logstore.New(logstore.Config{}).Client()
	register := func(pool string, epoch, seq, since int64, want map[string]int64) {
		t.Helper()
		others, err := newIndex(log).Register(t.Context(), poolindex.Registration{Pool: pool, Epoch: epoch, Seq: seq, Since: map[string]int64{address: since}})
		if err != nil || !maps.Equal(others[address], want) {
			t.Errorf("the pool %s finds %v (%v), want %v", pool, others[address], err, want)
		}
	}
	if err := newIndex(log).Record(t.Context(), address, "old"); err != nil {
		t.Fatal(err)
	}
	register("gate", 1, 1, 3, map[string]int64{"old": 0})
	register("mill", 2, 1, 5, map[string]int64{"old": 0, "gate": 3})
	register("gate", 3, 1, 7, map[string]int64{"old": 0, "mill": 5})
	late := poolindex.Registration{Pool: "gate", Epoch: 1, Seq: 2, Since: map[string]int64{address: 3}}
	if _, err := newIndex(log).Register(t.Context(), late); !errors.Is(err, statelog.ErrFenced) {
		t.Errorf("registration by an earlier owner: %v, want fenced", err)
	}
	if err := newIndex(log).Record(t.Context(), address, "gate"); err != nil { // by a pool that hands jobs over
		t.Fatal(err)
	}
	register("mill", 2, 2, 5, map[string]int64{"old": 0, "gate": 7})
	pools, err := newIndex(log).Pools(t.Context(), start, address, start)
	slices.Sort(pools)
	if err != nil || !slices.Equal(pools, []string{"gate", "mill", "old"}) {
		t.Errorf("pools %v (%v)", pools, err)
	}
}
