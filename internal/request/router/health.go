package router

import (
	"slices"
	"time"
)

// recordResult updates the failure count of a VM and the moving averages after an
// attempt. Failed attempts do not enter the averages.
func (rtr *Router) recordResult(now time.Time, vmo *vm, pol *pool, took time.Duration, isFailure bool) {
	if isFailure {
		vmo.failures++
		if vmo.failures >= ejectThreshold {
			rtr.eject(now, vmo)
		}
		return
	}
	vmo.failures = 0
	vmo.ejectTime = 0
	vmo.latency = movingAverage(vmo.latency, took)
	pol.serviceTime = movingAverage(pol.serviceTime, took)
}

func movingAverage(old, newest time.Duration) time.Duration {
	if old == 0 {
		return newest
	}
	return old + time.Duration(ewmaWeight*float64(newest-old))
}

// eject excludes a failing VM from selection for a time that doubles with each
// ejection until an attempt succeeds. It does nothing if the pool already has as
// many ejected VMs as its row allows to be down.
func (rtr *Router) eject(now time.Time, vmo *vm) {
	if !vmo.ejectedUntil.IsZero() || vmo.pool.ejected >= vmo.pool.row.DownVMs() {
		return
	}
	vmo.ejectTime = min(max(2*vmo.ejectTime, minEjectTime), maxEjectTime)
	vmo.ejectedUntil = now.Add(vmo.ejectTime)
	vmo.pool.ejected++
	rtr.ejected = append(rtr.ejected, vmo)
}

// endEjection makes an ejected VM selectable again. One more failure ejects it
// again.
func (rtr *Router) endEjection(vmo *vm) {
	if vmo.ejectedUntil.IsZero() {
		return
	}
	vmo.ejectedUntil = time.Time{}
	vmo.failures = ejectThreshold - 1
	vmo.pool.ejected--
	rtr.ejected = slices.DeleteFunc(rtr.ejected, func(oth *vm) bool { return oth == vmo })
}
