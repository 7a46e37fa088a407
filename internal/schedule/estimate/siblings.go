package estimate

import (
	"math"
	"time"
)

// Siblings are the finished runs of the tasks of one step, which take nearly the same time. The zero value has none.
type Siblings struct {
	count             int
	sumLog, sumSquare float64 // of logarithms of seconds
}

// Add adds a run that was finished, from its beginning, in the time.
func (sbl *Siblings) Add(took time.Duration) {
	if took <= 0 {
		return
	}
	log := math.Log(took.Seconds())
	sbl.count++
	sbl.sumLog += log
	sbl.sumSquare += log * log
}

// Count returns the number of runs.
func (sbl *Siblings) Count() int { return sbl.count }

func (sbl *Siblings) mean() float64 { return sbl.sumLog / float64(sbl.count) }

const (
	// initialSpread is the standard deviation of the logarithms of run times within a step, and initialResidual
	// that between steps after their declared times, until enough have been observed.
	initialSpread   = 0.2
	initialResidual = 0.5
	// minSpread keeps a few equal run times from being taken for certain.
	minSpread = 0.05
	// spreadWeight is the number of degrees of freedom that the initial spread counts as.
	spreadWeight = 20
)

// ObserveSiblings records how much the run times within a finished step differ.
func (mdl *Model) ObserveSiblings(sbl Siblings) {
	if sbl.count < 2 {
		return
	}
	freedom := float64(sbl.count - 1)
	mdl.spreadSum = decay*mdl.spreadSum + max(0, sbl.sumSquare-float64(sbl.count)*sbl.mean()*sbl.mean())
	mdl.spreadWeight = decay*mdl.spreadWeight + freedom
}

// spread returns the standard deviation of the logarithms of run times within a step.
func (mdl *Model) spread() float64 {
	variance := (mdl.spreadSum + spreadWeight*initialSpread*initialSpread) / (mdl.spreadWeight + spreadWeight)
	return max(minSpread, math.Sqrt(variance))
}

// Residual returns the standard deviation of the logarithms of step times after their declared times.
func (mdl *Model) Residual() float64 {
	if !mdl.hasLearned() {
		return initialResidual
	}
	_, _, _, variance := mdl.regression()
	return max(minSpread, math.Sqrt(variance))
}

// PredictStep returns the estimated time of a step of so many tasks from its declared time and the runs of its tasks that have
// finished. So many others are running.
func (mdl *Model) PredictStep(declared time.Duration, tasks, running int, sbl Siblings) time.Duration {
	prior := mdl.Predict(declared)
	if sbl.count == 0 || prior <= 0 {
		return prior
	}
	spread := mdl.spread()
	// The slowest of the tasks takes as much longer than their mean.
	ownLog, ownVariance := sbl.mean()+spread*(quickestOf(sbl.count, running)+slowestOf(tasks)), spread*spread/float64(sbl.count)
	priorLog, priorVariance := math.Log(prior.Seconds()), mdl.Residual()*mdl.Residual()
	log := (ownLog*priorVariance + priorLog*ownVariance) / (priorVariance + ownVariance)
	return seconds(math.Exp(log))
}

// PredictRun returns the estimated time of one run of a step of so many tasks.
func (mdl *Model) PredictRun(declared time.Duration, tasks, running int, sbl Siblings) time.Duration {
	step := mdl.PredictStep(declared, tasks, running, sbl)
	return time.Duration(float64(step) * math.Exp(-mdl.spread()*slowestOf(tasks)))
}

// slowestOf returns by how many standard deviations the slowest of so many tasks is expected to be above their mean, by
// Blom's approximation for a normal distribution.
func slowestOf(tasks int) float64 {
	if tasks < 2 {
		return 0
	}
	num := float64(tasks)
	return normalQuantile((num - 0.375) / (num + 0.25))
}

// quickestOf returns by how many standard deviations the mean of the runs that have finished is expected to be below that of
// all, while others that began with them are running.
func quickestOf(finished, running int) float64 {
	if running <= 0 {
		return 0
	}
	part := float64(finished) / float64(finished+running)
	quantile := normalQuantile(part)
	return math.Exp(-quantile*quantile/2) / math.Sqrt(2*math.Pi) / part
}

func normalQuantile(part float64) float64 { return math.Sqrt2 * math.Erfinv(2*part-1) }

func seconds(num float64) time.Duration {
	return time.Duration(min(num, maxSeconds) * float64(time.Second))
}

// State is a Model as it is stored.
type State struct {
	Count                                   int
	Weight, SumX, SumY, SumXX, SumXY, SumY2 float64
	SpreadSum, SpreadWeight                 float64
}

// State returns the model for Restore.
func (mdl *Model) State() State {
	return State{
		Count: mdl.count, Weight: mdl.weight, SumX: mdl.sumX, SumY: mdl.sumY, SumXX: mdl.sumXX, SumXY: mdl.sumXY, SumY2: mdl.sumY2,
		SpreadSum: mdl.spreadSum, SpreadWeight: mdl.spreadWeight,
	}
}

// Residual returns the spread of the model, see Model.Residual.
func (ste State) Residual() float64 {
	mdl, ok := Restore(ste)
	if !ok {
		return initialResidual
	}
	return mdl.Residual()
}

// Precede adds observations of an earlier owner, as if they had been made before those of the model.
func (mdl *Model) Precede(old *Model) {
	faded := math.Pow(decay, float64(mdl.count))
	mdl.count += old.count
	mdl.weight += faded * old.weight
	mdl.sumX += faded * old.sumX
	mdl.sumY += faded * old.sumY
	mdl.sumXX += faded * old.sumXX
	mdl.sumXY += faded * old.sumXY
	mdl.sumY2 += faded * old.sumY2
	mdl.spreadSum += faded * old.spreadSum
	mdl.spreadWeight += faded * old.spreadWeight
}

const (
	// maxSeconds and minSeconds bound the run times that a model may stand for.
	maxSeconds = 7 * 24 * 3600
	minSeconds = 1e-3
)

// Restore returns the model of a State. It reports false if no observations lead to such a state, or if it stands for run times
// that no step has.
func Restore(ste State) (*Model, bool) {
	mdl := &Model{
		count: ste.Count, weight: ste.Weight, sumX: ste.SumX, sumY: ste.SumY, sumXX: ste.SumXX, sumXY: ste.SumXY, sumY2: ste.SumY2,
		spreadSum: ste.SpreadSum, spreadWeight: ste.SpreadWeight,
	}
	for _, num := range []float64{ste.Weight, ste.SumX, ste.SumY, ste.SumXX, ste.SumXY, ste.SumY2, ste.SpreadSum, ste.SpreadWeight} {
		if math.IsNaN(num) || math.IsInf(num, 0) {
			return nil, false
		}
	}
	if ste.Count < 0 || ste.Weight < 0 || ste.Weight > 1/(1-decay)+1 || ste.SpreadSum < 0 || ste.SpreadWeight < 0 {
		return nil, false
	}
	if !mdl.hasLearned() {
		return mdl, true
	}
	if ste.Weight < 1 {
		return nil, false
	}
	for _, mean := range []float64{ste.SumX / ste.Weight, ste.SumY / ste.Weight} {
		if mean < math.Log(minSeconds) || mean > math.Log(maxSeconds) {
			return nil, false
		}
	}
	const slack = -1e-6
	isPossible := ste.SumXX/ste.Weight-(ste.SumX/ste.Weight)*(ste.SumX/ste.Weight) >= slack && ste.SumY2/ste.Weight-(ste.SumY/ste.Weight)*(ste.SumY/ste.Weight) >= slack
	return mdl, isPossible
}
