package rank_test

import (
	"slices"
	"testing"
	"time"

	"daisywheel/internal/schedule/rank"
)

var now = time.Unix(1000, 0)

func candidate(left, need time.Duration) rank.Candidate {
	return rank.Candidate{Deadline: now.Add(left), Remaining: need, Slack: 1200 * time.Millisecond, Submitted: now.Add(-time.Second)}
}

func TestBands(t *testing.T) {
	started, tooLate := candidate(time.Second, time.Second), candidate(900*time.Millisecond, time.Second)
	started.HasStarted, tooLate.HasStarted = true, true
	tight := candidate(1100*time.Millisecond, time.Second)
	tight.Slack = 300 * time.Millisecond
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
		{"a started job that cannot meet its deadline", tooLate, rank.Late},
		{"a new job with a reserve", candidate(1500*time.Millisecond, time.Second), rank.NotStarted},
		{"a new job without a reserve", candidate(1300*time.Millisecond, time.Second), rank.Late},
		{"a new job with little slack", tight, rank.NotStarted},
		{"a job that cannot meet its deadline", candidate(500*time.Millisecond, time.Second), rank.Late},
	} {
		if got := rank.BandOf(now, tst.cnd); got != tst.want {
			t.Errorf("%s: band %d, want %d", tst.name, got, tst.want)
		}
	}
}

// serve serves jobs that arrive at an interval for a time, one after the other and ordered
// by rank, and returns how many end by their deadlines. Each is expected to take
// serviceTime and takes the given one; its caller learns of the end after showDelay.
func serve(interval, span, takes, showDelay time.Duration) (inTime int) {
	var deadlines, waiting []time.Time
	for at := time.Duration(0); at < span; at += interval {
		deadlines = append(deadlines, now.Add(at+serviceTime+slack))
	}
	next := 0
	for clock := now; len(waiting) > 0 || next < len(deadlines); {
		for next < len(deadlines) && !now.Add(time.Duration(next)*interval).After(clock) {
			waiting = append(waiting, deadlines[next])
			next++
		}
		if len(waiting) == 0 {
			clock = clock.Add(interval)
			continue
		}
		slices.SortFunc(waiting, func(one, two time.Time) int {
			return rank.Compare(rank.KeyOf(clock, rank.Candidate{Deadline: one, Remaining: serviceTime, Slack: slack}),
				rank.KeyOf(clock, rank.Candidate{Deadline: two, Remaining: serviceTime, Slack: slack}))
		})
		clock = clock.Add(takes)
		if !clock.Add(showDelay).After(waiting[0]) {
			inTime++
		}
		waiting = waiting[1:]
	}
	return inTime
}

const (
	serviceTime = 640 * time.Millisecond
	slack       = 984 * time.Millisecond
)

// In a burst, jobs ask for four times the capacity of one server. Serving them by
// latest start without a reserve would finish nearly all of them late.
func TestBurstMeetsAsManyDeadlinesAsPossible(t *testing.T) {
	const span = 4 * time.Second
	if inTime, possible := serve(serviceTime/4, span, serviceTime, 0), int(span/serviceTime); inTime < possible {
		t.Errorf("%d jobs met their deadlines, the server could do %d within the burst", inTime, possible)
	}
}

// While a zone is cut off, the jobs ask for far more than the other zones have, for
// seconds. Every job then starts as late as its rank allows, so the reserve must cover
// that it takes a little longer than expected and that its caller asks for its state only
// from time to time.
func TestLastingOverloadMeetsDeadlinesThatAreEstimated(t *testing.T) {
	const span, takes = 8 * time.Second, 115 * serviceTime / 100
	inTime, possible := serve(takes/2, span, takes, 200*time.Millisecond), int(span/takes)
	if inTime < 9*possible/10 {
		t.Errorf("%d jobs met their deadlines, the server could do %d", inTime, possible)
	}
}
