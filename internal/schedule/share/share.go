// Package share tells which waiting work goes beyond the part of its organisation in a pool that can't
// run all of it. It is made for an organisation that sends many times its usual: its own work then
// waits, not that of the others, while nothing that others leave stays unused.
package share

import "daisywheel/internal/job/plan"

// Work is work that waits, in the order in which it would start.
type Work struct {
	Organisation string      // empty for none
	Need         plan.Demand // of all its tasks that wait
}

// Pool is the pool that is shared.
type Pool struct {
	Capacity plan.Demand
	// Used is what organisations have running there.
	Used map[string]plan.Demand
	// Weight returns the weight of an organisation; 0 counts as the least.
	Weight func(organisation string) float64
}

// minWeight is the weight of an organisation that the configuration gives none.
const minWeight = 1e-3

// Beyond reports for each work whether its organisation has its part without it, by the resource of which it
// uses most. A part is that of the weight among the organisations with work in the pool. Work without an organisation
// is never beyond. It returns nil if all works fit.
func Beyond(pol Pool, works []Work) []bool {
	sum, total := 0.0, plan.Demand{}
	used := map[string]plan.Demand{}
	for name, dmd := range pol.Used {
		total = total.Plus(dmd)
		if (dmd != plan.Demand{}) {
			used[name] = dmd
		}
	}
	for i := range works {
		total = total.Plus(works[i].Need)
		if name := works[i].Organisation; name != "" {
			used[name] = used[name].Plus(plan.Demand{})
		}
	}
	if total.Fits(pol.Capacity) {
		return nil
	}
	weights := make(map[string]float64, len(used))
	for name := range used {
		weights[name] = max(minWeight, pol.Weight(name))
		sum += weights[name]
	}
	beyond := make([]bool, len(works))
	for i := range works {
		name := works[i].Organisation
		if name == "" {
			continue
		}
		beyond[i] = dominant(used[name], pol.Capacity) >= weights[name]/sum
		used[name] = used[name].Plus(works[i].Need)
	}
	return beyond
}

// dominant returns the largest share of a resource.
func dominant(used, capacity plan.Demand) float64 {
	return max(fraction(used.MilliCores, capacity.MilliCores), fraction(used.MemoryMB, capacity.MemoryMB), fraction(used.GPUs, capacity.GPUs))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
