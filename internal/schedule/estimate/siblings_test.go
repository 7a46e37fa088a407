package estimate_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"daisywheel/internal/schedule/estimate"
)

// drawnStep is a step as on the users' large sites: declared times are off by a factor of several, its tasks differ
// by a quarter.
type drawnStep struct {
	declared time.Duration
	runs     []time.Duration // in the order in which they end
}

func drawStep(rnd *rand.Rand, tasks int) drawnStep {
	usual := math.Exp(0.5 * rnd.NormFloat64())
	stp := drawnStep{declared: time.Duration(usual * math.Exp(0.9*rnd.NormFloat64()) * float64(time.Second))}
	for range tasks {
		stp.runs = append(stp.runs, time.Duration(usual*math.Exp(0.25*rnd.NormFloat64())*float64(time.Second)))
	}
	slices.Sort(stp.runs)
	return stp
}

func offBy(got, want time.Duration) float64 {
	return math.Abs(math.Log(got.Seconds() / want.Seconds()))
}

// The tasks of a step that have ended tell how long the others take, also the first, which is the quickest.
func TestSiblingsTellMoreThanTheQueue(t *testing.T) {
	const tasks = 8
	var mdl estimate.Model
	rnd := rand.New(rand.NewPCG(1, 2))
	var byQueue, byFirst, byHalf, bias float64
	const learn, count = 300, 500
	for num := range learn + count {
		stp := drawStep(rnd, tasks)
		slowest := stp.runs[tasks-1]
		var sbl estimate.Siblings
		sbl.Add(stp.runs[0])
		first := mdl.PredictStep(stp.declared, tasks, tasks-1, sbl)
		for _, took := range stp.runs[1 : tasks/2] {
			sbl.Add(took)
		}
		half := mdl.PredictStep(stp.declared, tasks, tasks/2, sbl)
		if num >= learn {
			byQueue += offBy(mdl.Predict(stp.declared), slowest) / count
			byFirst += offBy(first, slowest) / count
			byHalf += offBy(half, slowest) / count
			bias += math.Log(half.Seconds()/slowest.Seconds()) / count
		}
		for _, took := range stp.runs[tasks/2:] {
			sbl.Add(took)
		}
		mdl.Observe(stp.declared, slowest)
		mdl.ObserveSiblings(sbl)
	}
	if byFirst > 0.7*byQueue || byHalf > 0.5*byQueue || math.Abs(bias) > 0.05 {
		t.Errorf("off by %.2f by the queue, %.2f after the first end, %.2f after half, %.2f on average", byQueue, byFirst, byHalf, bias)
	}
}

// Before anything else is known, the first ends of a new kind of work count.
func TestFirstStepOfANewQueue(t *testing.T) {
	var mdl estimate.Model
	var sbl estimate.Siblings
	for range 4 {
		sbl.Add(10 * time.Second)
	}
	if got := mdl.PredictRun(time.Second, 8, 0, sbl); got < 8*time.Second || got > 12*time.Second {
		t.Errorf("one more run is expected to take %s after four of 10 s", got)
	}
	if got := mdl.PredictRun(time.Second, 8, 0, estimate.Siblings{}); got < time.Second/2 || got > 2*time.Second {
		t.Errorf("the first run is expected to take %s, declared 1 s", got)
	}
	sbl.Add(0)
	sbl.Add(-time.Second)
	if sbl.Count() != 4 {
		t.Errorf("%d runs count, want 4", sbl.Count())
	}
}

// The work of a queue changes: what was learned fades.
func TestModelForgets(t *testing.T) {
	var mdl estimate.Model
	for range 1000 {
		mdl.Observe(time.Second, time.Second)
	}
	for range 600 {
		mdl.Observe(time.Second, 5*time.Second)
	}
	if got := mdl.Predict(time.Second); got < 4*time.Second {
		t.Errorf("estimates %s after 600 steps of 5 s", got)
	}
}

func TestStateIsRestored(t *testing.T) {
	var mdl estimate.Model
	rnd := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		stp := drawStep(rnd, 5)
		var sbl estimate.Siblings
		for _, took := range stp.runs {
			sbl.Add(took)
		}
		mdl.Observe(stp.declared, stp.runs[4])
		mdl.ObserveSiblings(sbl)
	}
	next, ok := estimate.Restore(mdl.State())
	if !ok || next.Predict(2*time.Second) != mdl.Predict(2*time.Second) || next.State() != mdl.State() {
		t.Errorf("restored %t: %+v, want %+v", ok, next, mdl)
	}
	if _, ok := estimate.Restore(estimate.State{}); !ok {
		t.Error("a model without observations is refused")
	}
}

// An owner learns of earlier observations after it has made some.
func TestEarlierObservationsPrecede(t *testing.T) {
	var whole, early, late estimate.Model
	for num := range 30 {
		took := time.Duration(num+1) * 100 * time.Millisecond
		whole.Observe(time.Second, took)
		if num < 25 {
			early.Observe(time.Second, took)
		}
	}
	for num := 25; num < 30; num++ {
		late.Observe(time.Second, time.Duration(num+1)*100*time.Millisecond)
	}
	late.Precede(&early)
	if got, want := late.Predict(time.Second), whole.Predict(time.Second); offBy(got, want) > 0.02 {
		t.Errorf("estimates %s, want about %s", got, want)
	}
}

// Stored models that no observations lead to must not be used.
func TestAbsurdStatesAreRefused(t *testing.T) {
	sound := estimate.State{Count: 100, Weight: 50, SumX: 0, SumY: 50, SumXX: 50, SumXY: 10, SumY2: 80, SpreadSum: 2, SpreadWeight: 60}
	if _, ok := estimate.Restore(sound); !ok {
		t.Fatal("a sound state is refused")
	}
	for name, change := range map[string]func(ste *estimate.State){
		"run times of a year":         func(ste *estimate.State) { ste.SumY, ste.SumY2 = 50*17.3, 50*17.3*17.3 },
		"run times of nothing":        func(ste *estimate.State) { ste.SumY, ste.SumY2 = -50*30, 50*900 },
		"not a number":                func(ste *estimate.State) { ste.SumXY = math.NaN() },
		"infinite":                    func(ste *estimate.State) { ste.SumX = math.Inf(1) },
		"negative variance":           func(ste *estimate.State) { ste.SumY2 = 10 },
		"negative spread":             func(ste *estimate.State) { ste.SpreadSum = -1 },
		"more weight than can be":     func(ste *estimate.State) { ste.Weight = 1e6 },
		"observations of no weight":   func(ste *estimate.State) { ste.Weight = 0 },
		"less than no observations":   func(ste *estimate.State) { ste.Count = -1 },
		"a spread of infinitely many": func(ste *estimate.State) { ste.SpreadWeight = math.Inf(1) },
	} {
		ste := sound
		change(&ste)
		if _, ok := estimate.Restore(ste); ok {
			t.Errorf("%s is accepted", name)
		}
	}
}
