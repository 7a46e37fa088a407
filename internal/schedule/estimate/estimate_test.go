package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"daisywheel/internal/schedule/estimate"
)

func TestModelLearnsRatio(t *testing.T) {
	var mdl estimate.Model
	for range 200 {
		mdl.Observe(time.Second, 1900*time.Millisecond)
	}
	if got := mdl.Predict(2 * time.Second); got < 3700*time.Millisecond || got > 3900*time.Millisecond {
		t.Errorf("estimates %s for 2 s declared, want about 3.8 s", got)
	}
}

func TestModelIgnoresStuckVM(t *testing.T) {
	var mdl estimate.Model
	for range 100 {
		mdl.Observe(time.Second, time.Second)
	}
	mdl.Observe(time.Second, time.Hour)
	if got := mdl.Predict(time.Second); got > 1300*time.Millisecond {
		t.Errorf("estimates %s after one stuck step", got)
	}
	mdl.Observe(0, time.Second)
}

// On the large simulated site the declared times of queue gate-pass range from 0.04 to
// 3.3 s and the actual ones from 0.4 to 3 s. Their logarithms have standard deviations
// of 1.0 and 0.5 and a correlation of 0.44.
func TestModelTrustsRoughDeclarationsLittle(t *testing.T) {
	var mdl estimate.Model
	rnd := rand.New(rand.NewPCG(1, 2))
	var modelError, ratioError float64
	for num := range 1000 {
		trueTime := math.Exp(0.45 * rnd.NormFloat64())
		declared := time.Duration(trueTime * math.Exp(0.9*rnd.NormFloat64()) * float64(time.Second))
		actual := time.Duration(trueTime * 1.5 * float64(time.Second))
		if num >= 500 {
			modelError += math.Abs(math.Log(mdl.Predict(declared).Seconds() / actual.Seconds()))
			ratioError += math.Abs(math.Log(1.5 * declared.Seconds() / actual.Seconds()))
		}
		mdl.Observe(declared, actual)
	}
	if modelError > 0.6*ratioError {
		t.Errorf("off by a factor of %.2f on average, a constant ratio by %.2f", math.Exp(modelError/500), math.Exp(ratioError/500))
	}
}

func TestModelTrustsGoodDeclarations(t *testing.T) {
	var mdl estimate.Model
	rnd := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		declared := time.Duration(math.Exp(rnd.NormFloat64()) * float64(time.Second))
		mdl.Observe(declared, declared*13/10)
	}
	for _, declared := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		if ratio := mdl.Predict(declared).Seconds() / declared.Seconds(); ratio < 1.25 || ratio > 1.35 {
			t.Errorf("estimates %.2f times the declared %s, want 1.3", ratio, declared)
		}
	}
}
