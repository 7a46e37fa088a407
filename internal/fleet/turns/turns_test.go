package turns_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/turns"
)

const (
	length = 4 * time.Second
	step   = 200 * time.Millisecond
)

var start = time.Unix(1000, 0)

// play lets four pools have their turns of ten jobs a second and returns what was
// foreseen for each moment.
func play(trn *turns.Turns, until time.Duration, ask func(at time.Duration, wanted map[string]int64)) {
	pools := []string{"a", "b", "c", "d"}
	sums := map[string]turns.Arrival{}
	for at := time.Duration(0); at < until; at += step {
		on := pools[int(at/length)%len(pools)]
		sum := sums[on]
		sum.Jobs += 2
		sum.Work += 2 * 5400 // thousandths of a core for a second
		sums[on] = sum
		for _, pool := range pools {
			trn.Observe(start.Add(at), pool, sums[pool])
		}
		ask(at, trn.Forecast(start.Add(at)))
	}
}

func TestForecastNamesTheNextPool(t *testing.T) {
	trn := turns.New()
	hits, misses := 0, 0
	play(trn, 40*time.Second, func(at time.Duration, wanted map[string]int64) {
		next := []string{"a", "b", "c", "d"}[int((at+2*time.Second)/length)%4]
		isBeforeTurn := at%length >= 2*time.Second && at%length < length-step
		switch {
		case at < 11*time.Second || !isBeforeTurn:
		case wanted[next] > 40000 && wanted[next] < 70000 && len(wanted) == 1:
			hits++
		default:
			misses++
			t.Logf("at %s: %v, want about 54000 for %s", at, wanted, next)
		}
	})
	if misses > hits/10 {
		t.Errorf("%d hits, %d misses", hits, misses)
	}
}

func TestNothingIsForeseenWithoutTurns(t *testing.T) {
	trn := turns.New()
	sum := turns.Arrival{}
	for at := time.Duration(0); at < 30*time.Second; at += step {
		sum.Jobs += 2
		sum.Work += 9000
		trn.Observe(start.Add(at), "a", sum)
		trn.Observe(start.Add(at), "b", sum)
		if wanted := trn.Forecast(start.Add(at)); len(wanted) > 0 {
			t.Fatalf("steady demand at %s: %v", at, wanted)
		}
	}
}
