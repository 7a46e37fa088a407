package fleetcontroller

import (
	"slices"
	"time"
)

// absence is a sequence of consecutive lists that lack a machine.
type absence struct {
	lists       int
	first, last time.Time // when the first and the last of them were requested
}

// A machine is gone for good when listsToConfirmGone consecutive lists lack it, the first
// and the last of them at least goneAfter apart. One list is not enough: it may lag behind the
// platform, and one that is read in pages may skip a machine that moves meanwhile. Machines
// that a platform loses sight of are back within 2 s; goneAfter is twice that.
const (
	listsToConfirmGone = 3
	goneAfter          = 4 * time.Second
)

// next returns the absence after another list without the machine.
func (abs absence) next(requestedAt time.Time) absence {
	if abs.lists == 0 {
		abs.first = requestedAt
	}
	return absence{abs.lists + 1, abs.first, requestedAt}
}

func (abs absence) isGone() bool {
	return abs.lists >= listsToConfirmGone && abs.last.Sub(abs.first) >= goneAfter
}

// countAbsences counts, for each machine of the waves, the consecutive lists without it. The
// last list was requested at requestedAt. Lists requested before a wave became known say
// nothing about it, as its machines may have joined since.
func (ctl *Controller) countAbsences(requestedAt time.Time) {
	if len(ctl.machines) == 0 {
		return
	}
	for _, wav := range ctl.waves {
		if !requestedAt.After(wav.requestedAt) {
			continue
		}
		for _, name := range wav.request.Machines {
			if _, ok := ctl.machines[name]; ok {
				delete(wav.absences, name)
				continue
			}
			wav.absences[name] = wav.absences[name].next(requestedAt)
		}
	}
}

// isMissing reports whether a machine of the wave is not listed, but may not be gone either.
func (ctl *Controller) isMissing(wav *wave, name string) bool {
	_, isListed := ctl.machines[name]
	return !isListed && !wav.absences[name].isGone()
}

// isAnyWaveHeldUp reports whether a wave waits to learn whether machines are gone: it is
// completed but for them, or they count against its cap.
func (ctl *Controller) isAnyWaveHeldUp() bool {
	for _, wav := range ctl.waves {
		if wav.reported == completed {
			continue
		}
		due, missing := ctl.countUndone(wav)
		isCapTaken := slices.ContainsFunc(wav.request.Machines, func(name string) bool { return wav.done[name] && ctl.isMissing(wav, name) })
		if due == 0 && missing > 0 || isCapTaken {
			return true
		}
	}
	return false
}
