package fit_test

import (
	"testing"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/fit"
)

func candidate(free int64) fit.Candidate {
	return fit.Candidate{
		Room: plan.Demand{MilliCores: free}, Capacity: plan.Demand{MilliCores: 16000}, IsNear: true,
	}
}

func TestScorePrefers(t *testing.T) {
	far, avoided, serving, helped, same, due := candidate(4000), candidate(4000), candidate(16000), candidate(4000), candidate(4000), candidate(4000)
	due.IsDue = true
	far.IsNear, avoided.IsAvoided, serving.Serving, helped.Helpers, same.Same = false, true, 1, 1, 3
	for _, tst := range []struct {
		name          string
		step          plan.Step
		better, worse fit.Candidate
	}{
		{"the fuller VM for finite work", plan.Step{}, candidate(2000), candidate(9000)},
		{"the rack of the data", plan.Step{Rack: "r1"}, candidate(16000), far},
		{"another VM than the one that failed", plan.Step{}, candidate(16000), avoided},
		{"a VM without serving neighbours for background work", plan.Step{IsBackground: true}, candidate(1000), serving},
		{"a VM without background work for serving tasks", plan.Step{IsLasting: true, Goal: 1}, candidate(8000), helped},
		{"a VM without tasks of the step for lasting work", plan.Step{IsLasting: true}, candidate(16000), same},
		{"a VM that no wave will come to for lasting work", plan.Step{IsLasting: true}, candidate(16000), due},
		{"the fuller VM for finite work, though a wave will come to it", plan.Step{}, due, candidate(9000)},
	} {
		if fit.Score(&tst.step, tst.better) >= fit.Score(&tst.step, tst.worse) {
			t.Errorf("%s is not preferred", tst.name)
		}
	}
}
