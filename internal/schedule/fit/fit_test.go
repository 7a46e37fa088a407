package fit_test

import (
	"testing"

	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/fit"
)

func candidate(free int64) fit.Candidate {
	return fit.Candidate{
		Free: plan.Demand{MilliCores: free}, Capacity: plan.Demand{MilliCores: 16000}, IsNear: true,
	}
}

func TestScorePrefers(t *testing.T) {
	remote, avoided, latencyBound, withBackground, sameStep, inWave := candidate(4000), candidate(4000), candidate(16000), candidate(4000), candidate(4000), candidate(4000)
	inWave.InWave = true
	remote.IsNear, avoided.IsAvoided, latencyBound.LatencyBound, withBackground.Background, sameStep.SameStep = false, true, 1, 1, 3
	for _, tst := range []struct {
		name          string
		step          plan.Step
		better, worse fit.Candidate
	}{
		{"the fuller VM for a finite task", plan.Step{}, candidate(2000), candidate(9000)},
		{"a VM in the rack of the data", plan.Step{Rack: "r1"}, candidate(16000), remote},
		{"a VM other than the one where the task failed", plan.Step{}, candidate(16000), avoided},
		{"a VM without latency-bound tasks for a background task", plan.Step{IsBackground: true}, candidate(1000), latencyBound},
		{"a VM without background tasks for a latency-bound task", plan.Step{IsLongRunning: true, LatencyGoal: 1}, candidate(8000), withBackground},
		{"a VM without tasks of the step for a long-running task", plan.Step{IsLongRunning: true}, candidate(16000), sameStep},
		{"a VM outside the pending wave for a long-running task", plan.Step{IsLongRunning: true}, candidate(16000), inWave},
		{"the fuller VM for a finite task, though a wave is pending there", plan.Step{}, inWave, candidate(9000)},
	} {
		if fit.Score(&tst.step, tst.better) >= fit.Score(&tst.step, tst.worse) {
			t.Errorf("%s is not preferred", tst.name)
		}
	}
}
