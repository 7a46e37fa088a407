package refusal_test

import (
	"fmt"
	"testing"
	"time"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/refusal"
)

func job(num int) *plan.Plan {
	return &plan.Plan{ID: fmt.Sprintf("%016x", num), Steps: []plan.Step{
		{Count: 4, Demand: plan.Demand{MilliCores: 500}},
		{Count: 9, Demand: plan.Demand{MilliCores: 9000}, After: []int{0}},
	}}
}

// A burst of 50 callers per second starts with an outage of 4 s, in which all of them
// retry every second. Each caller counts once, as long as its retry is expected.
func TestOutageInABurst(t *testing.T) {
	rfs, began := refusal.New(), time.Unix(100, 0)
	for sec := range 4 {
		now := began.Add(time.Duration(sec) * time.Second)
		for num := range 50 * (sec + 1) {
			rfs.Add(now, job(num))
		}
	}
	end := began.Add(4 * time.Second)
	if got := rfs.ReturningDemand(end); got != 200*2000 {
		t.Errorf("%d thousandths of a core expected from retries, want %d", got, 200*2000)
	}
	if got := rfs.Accept(end, job(60).ID); !got.Equal(began.Add(time.Second)) {
		t.Errorf("the first attempt was %s after the start, want one second", got.Sub(began))
	}
	if got := rfs.ReturningDemand(end); got != 199*2000 {
		t.Errorf("%d thousandths of a core after one was accepted, want %d", got, 199*2000)
	}
	if got := rfs.ReturningDemand(end.Add(10 * time.Second)); got != 0 {
		t.Errorf("%d thousandths of a core for callers that stopped retrying, want 0", got)
	}
}

// Callers whose jobs can still meet their deadlines retry soon. The others retry later,
// so that they do not compete with the former and their five attempts last for 8 s.
func TestLateCallersRetryLater(t *testing.T) {
	rfs, began := refusal.New(), time.Unix(100, 0)
	const attempts, outage = 5, 8 * time.Second
	at := time.Duration(0)
	for attempt := range attempts {
		if attempt == attempts-1 && at < outage {
			t.Errorf("the last attempt is %s after the first, want at least %s", at, outage)
		}
		at += rfs.Add(began.Add(at), job(1))
	}
	if wait := rfs.Add(began.Add(outage), job(2)); wait != time.Second {
		t.Errorf("a new caller is told to wait %s, want 1s", wait)
	}
}

func TestCallersThatWereNotRefused(t *testing.T) {
	rfs, now := refusal.New(), time.Unix(100, 0)
	if got := rfs.Accept(now, job(1).ID); !got.Equal(now) {
		t.Errorf("the first attempt was at %s, want now", got)
	}
	rfs.Add(now, job(1))
	later := now.Add(time.Hour)
	if got := rfs.Accept(later, job(1).ID); !got.Equal(later) {
		t.Errorf("an hour later the first attempt was at %s, want now", got)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	rfs, now := refusal.New(), time.Unix(100, 0)
	for num := range 20000 {
		rfs.Add(now, job(num))
	}
	if got := rfs.ReturningDemand(now); got != 8192*2000 {
		t.Errorf("%d thousandths of a core, want those of 8,192 callers", got)
	}
	now = now.Add(time.Minute)
	rfs.Add(now, job(1<<20))
	if got := rfs.ReturningDemand(now); got != 2000 {
		t.Errorf("%d thousandths of a core after the old callers expired, want 2000", got)
	}
}
