package queue_test

import (
	"strings"
	"testing"

	"daisywheel/internal/fleet/queue"
)

// A route counts from the version that made it, also if later ones repeat it; without knowledge of the
// versions between, from the present one.
func TestSinceFollowsTheQueuesPool(t *testing.T) {
	at := func(version int64, pool string) *queue.Table {
		var queues []queue.Queue
		if pool != "" {
			queues = []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: pool}}
		}
		return queue.NewTable(version, queues, nil)
	}
	since := func(tab *queue.Table) int64 {
		que, ok := tab.Find(queue.Ref{Name: "q"})
		if !ok {
			t.Fatal("the queue is not configured")
		}
		return que.Since
	}
	first := at(3, "a")
	same := at(7, "a").After(first)
	away := at(9, "b").After(same)
	back := at(12, "a").After(away)
	for _, tst := range []struct {
		name string
		tab  *queue.Table
		want int64
	}{
		{"the first version", first, 3},
		{"the same pool", same, 3},
		{"another pool", away, 9},
		{"the pool before", back, 12},
		{"the same pool, with a gap", at(14, "a"), 14},
		{"the same pool after a version without the queue", at(16, "a").After(at(15, "").After(back)), 16},
	} {
		if got := since(tst.tab); got != tst.want {
			t.Errorf("%s: since version %d, want %d", tst.name, got, tst.want)
		}
	}
	que, _ := back.At("h/q/")
	if !que.IsRerouted(queue.Ref{Version: 9}) || que.IsRerouted(queue.Ref{Version: 12}) || que.IsRerouted(queue.Ref{}) {
		t.Error("only version 9 has another route than version 12")
	}
}

// A queue that can't be reached, with a host such as h/p/, had the address of another one, whose jobs then went by its route.
func FuzzAddress(f *testing.F) {
	f.Add("h", "/p/", "h/p/", "")
	f.Add("h", "/p/", "h/p", "/")
	f.Add("h", "/p/", "", "h/p/")
	f.Add("h", "/p/", `"h"`, "/p/")
	f.Add("h", "", "", "h")
	f.Add("h/", "", "h", "/")
	f.Fuzz(func(t *testing.T, oneHost, onePrefix, twoHost, twoPrefix string) {
		for _, text := range []*string{&oneHost, &onePrefix, &twoHost, &twoPrefix} {
			*text = strings.ToValidUTF8(*text, "\uFFFD") // as names from JSON are
		}
		one, two := queue.Queue{Host: oneHost, Prefix: onePrefix}, queue.Queue{Host: twoHost, Prefix: twoPrefix}
		isSame := oneHost == twoHost && onePrefix == twoPrefix
		if (one.Address() == two.Address()) != isSame {
			t.Errorf("%q %q has the address %q, %q %q has %q", oneHost, onePrefix, one.Address(), twoHost, twoPrefix, two.Address())
		}
	})
}
