package rank_test

import (
	"slices"
	"testing"
	"time"

	"daisywheel/internal/schedule/rank"
)

var now = time.Unix(1000, 0)

func candidate(left, need time.Duration) rank.Candidate {
	return rank.Candidate{Deadline: now.Add(left), Remaining: need, Submitted: now.Add(-time.Second)}
}

func TestBands(t *testing.T) {
	started := candidate(900*time.Millisecond, time.Second)
	started.HasStarted = true
	longRunning := candidate(0, 0)
	longRunning.IsLongRunning = true
	background := longRunning
	background.IsBackground = true
	for _, tst := range []struct {
		name string
		cnd  rank.Candidate
		want rank.Band
	}{
		{"a long-running step", longRunning, rank.LongRunning},
		{"a background task", background, rank.Background},
		{"a started job that may still meet its deadline", started, rank.Started},
		{"a new job with a reserve", candidate(2*time.Second, time.Second), rank.NotStarted},
		{"a new job without a reserve", candidate(1100*time.Millisecond, time.Second), rank.Late},
		{"a job that cannot meet its deadline", candidate(500*time.Millisecond, time.Second), rank.Late},
	} {
		if got := rank.BandOf(now, tst.cnd); got != tst.want {
			t.Errorf("%s: band %d, want %d", tst.name, got, tst.want)
		}
	}
}

// In a burst, jobs ask for four times the capacity of one server. Serving them by
// latest start without a reserve would finish nearly all of them late.
func TestBurstMeetsAsManyDeadlinesAsPossible(t *testing.T) {
	const (
		need    = 640 * time.Millisecond
		span    = 4 * time.Second
		arrival = need / 4
	)
	type job struct{ deadline time.Time }
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
			return rank.Compare(rank.KeyOf(clock, rank.Candidate{Deadline: one.deadline, Remaining: need}),
				rank.KeyOf(clock, rank.Candidate{Deadline: two.deadline, Remaining: need}))
		})
		clock = clock.Add(need)
		if !clock.After(waiting[0].deadline) {
			inTime++
		}
		waiting = waiting[1:]
	}
	if possible := int(span / need); inTime < possible {
		t.Errorf("%d jobs met their deadlines, the server could do %d within the burst", inTime, possible)
	}
}
