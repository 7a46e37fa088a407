package rank_test

import (
	"slices"
	"testing"
	"time"

	"daisywheel/internal/schedule/rank"
)

var now = time.Unix(1000, 0)

func claim(left, need time.Duration) rank.Claim {
	return rank.Claim{Objective: now.Add(left), Remaining: need, Submitted: now.Add(-time.Second)}
}

func TestBands(t *testing.T) {
	started := claim(900*time.Millisecond, time.Second)
	started.HasBegun = true
	longRunning := claim(0, 0)
	longRunning.IsLasting = true
	helper := longRunning
	helper.IsHelper = true
	for _, tst := range []struct {
		name string
		clm  rank.Claim
		want rank.Band
	}{
		{"lasting work goes first", longRunning, rank.LongRunning},
		{"background work", helper, rank.Background},
		{"a begun job that may still end in time", started, rank.Started},
		{"a fresh job with a reserve", claim(2*time.Second, time.Second), rank.NotStarted},
		{"a fresh job without a reserve", claim(1100*time.Millisecond, time.Second), rank.Late},
		{"a job that cannot end in time", claim(500*time.Millisecond, time.Second), rank.Late},
	} {
		if got := rank.BandOf(now, tst.clm); got != tst.want {
			t.Errorf("%s: band %d, want %d", tst.name, got, tst.want)
		}
	}
}

// A turn of a queue asks for four times what one server can do in it. Serving by
// the latest start without a reserve lets nearly all jobs end late.
func TestSurgeServesWhatItCan(t *testing.T) {
	const (
		need    = 640 * time.Millisecond
		span    = 4 * time.Second
		arrival = need / 4
	)
	type job struct{ objective time.Time }
	var jobs []job
	for at := time.Duration(0); at < span; at += arrival {
		jobs = append(jobs, job{now.Add(at + 8*need/5 + 600*time.Millisecond)})
	}
	inTime, next := 0, 0
	var waiting []job
	for clock := now; len(waiting) > 0 || next < len(jobs); {
		for next < len(jobs) && !now.Add(time.Duration(next)*arrival).After(clock) {
			waiting = append(waiting, jobs[next])
			next++
		}
		if len(waiting) == 0 {
			clock = clock.Add(arrival)
			continue
		}
		slices.SortFunc(waiting, func(one, two job) int {
			return rank.Compare(rank.KeyOf(clock, rank.Claim{Objective: one.objective, Remaining: need}),
				rank.KeyOf(clock, rank.Claim{Objective: two.objective, Remaining: need}))
		})
		clock = clock.Add(need)
		if !clock.After(waiting[0].objective) {
			inTime++
		}
		waiting = waiting[1:]
	}
	if possible := int(span / need); inTime < possible {
		t.Errorf("%d jobs in time, the server could do %d within the turn", inTime, possible)
	}
}
