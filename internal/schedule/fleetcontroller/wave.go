package fleetcontroller

import (
	"log/slog"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/maintenance"
)

// wave is a maintenance wave and its progress. A changed request makes it a new wave.
type wave struct {
	request     maintenance.Wave
	isRequested bool                 // the operator's request is known
	isReplaced  bool                 // the request has replaced an earlier one
	requestedAt time.Time            // when the request became known
	absences    map[string]absence   // machines that the last lists since requestedAt lack
	done        map[string]bool      // machines whose order was carried out
	retryAt     map[string]time.Time // when a machine whose evacuation or order failed is tried again
	reported    waveState
}

type waveState int

const (
	unreported waveState = iota
	inProgress
	completed
)

// waveOf returns the wave with this number, and creates it if it is not known yet.
func (ctl *Controller) waveOf(number int64) *wave {
	wav, ok := ctl.waves[number]
	if !ok {
		wav = &wave{done: map[string]bool{}, retryAt: map[string]time.Time{}}
		ctl.waves[number] = wav
	}
	return wav
}

// addWave adds a wave, or replaces the request of one that is known. What was done stays done,
// but the state that was reported and the machines that were gone belong to the old request.
func (ctl *Controller) addWave(now time.Time, req maintenance.Wave) {
	old := ctl.waveOf(req.Number)
	ctl.waves[req.Number] = &wave{
		request: req, isRequested: true, isReplaced: old.isRequested, requestedAt: now, absences: map[string]absence{}, done: old.done, retryAt: old.retryAt,
	}
	ctl.cfg.Journal.Event(now, "waveAsked", slog.Int64("wave", req.Number), slog.Int("machines", len(req.Machines)),
		slog.Int("cap", req.Cap), slog.Duration("within", req.Within))
}

// planWaves starts evacuating the next machines of each wave.
func (ctl *Controller) planWaves(now time.Time) {
	load := ctl.load()
	for number, wav := range ctl.waves {
		if !wav.isRequested {
			continue
		}
		// A machine counts against the cap from the start of its evacuation until it is up
		// again.
		free := wav.request.Cap - ctl.countUnderMaintenance(number, wav)
		var cands []maintenance.Candidate
		for _, name := range wav.request.Machines {
			if !ctl.isEligible(now, wav, name) {
				continue
			}
			cnd := load[ctl.machines[name].VM]
			cnd.Machine = name
			cands = append(cands, cnd)
		}
		for _, name := range maintenance.Next(cands, maintenance.EvacuationBudget{Cap: wav.request.Cap, Free: free, LongRunning: ctl.countLongRunningEvacuations(number, load)}) {
			ctl.operations[name] = &operation{machine: name, vm: ctl.machines[name].VM, wave: number, startedAt: now}
			ctl.cfg.Journal.Event(now, "upkeepBegun", slog.Int64("wave", number), slog.String("machine", name), slog.String("vm", ctl.machines[name].VM))
		}
	}
}

// DueVMs returns the VMs of a pool whose maintenance in a wave is still to come, if the pool
// has long-running tasks, which should not be placed there.
func (ctl *Controller) DueVMs(pol balance.Pool) []string {
	ctl.mu.Lock()
	defer ctl.unlock()
	isDue := map[string]bool{}
	for _, wav := range ctl.waves {
		for _, name := range wav.request.Machines {
			if mac, ok := ctl.machines[name]; ok && !wav.done[name] {
				isDue[mac.VM] = true
			}
		}
	}
	var due []string
	longRunning := 0
	for _, vm := range pol.VMs {
		longRunning += vm.LongRunning
		if isDue[vm.ID] {
			due = append(due, vm.ID)
		}
	}
	if longRunning == 0 {
		return nil
	}
	return due
}

// load returns the task counts of each VM according to the latest reports.
func (ctl *Controller) load() map[string]maintenance.Candidate {
	load := map[string]maintenance.Candidate{}
	for _, rpt := range ctl.reports {
		for _, vm := range rpt.pool.VMs {
			load[vm.ID] = maintenance.Candidate{Tasks: vm.Tasks, LongRunning: vm.LongRunning}
		}
	}
	return load
}

// isEligible reports whether the machine may be evacuated for the wave now.
func (ctl *Controller) isEligible(now time.Time, wav *wave, name string) bool {
	mac, ok := ctl.machines[name]
	return ok && mac.IsUp && !ctl.isBlocked(now, name) && !wav.done[name] && ctl.operations[name] == nil && !now.Before(wav.retryAt[name])
}

// isAnyEligible reports whether any machine of the wave may be evacuated now.
func (ctl *Controller) isAnyEligible(now time.Time, wav *wave) bool {
	for _, name := range wav.request.Machines {
		if ctl.isEligible(now, wav, name) {
			return true
		}
	}
	return false
}

// countLongRunningEvacuations returns how many machines of the wave with long-running tasks are
// being evacuated.
func (ctl *Controller) countLongRunningEvacuations(number int64, load map[string]maintenance.Candidate) int {
	count := 0
	for _, opr := range ctl.operations {
		if opr.wave == number && !opr.isOrdered && load[opr.vm].LongRunning > 0 {
			count++
		}
	}
	return count
}

// countUnderMaintenance returns how many machines of the wave are being evacuated or are
// down, including those that are still down, or not listed, after an order of an earlier
// controller.
func (ctl *Controller) countUnderMaintenance(number int64, wav *wave) int {
	count := 0
	for _, opr := range ctl.operations {
		if opr.wave == number {
			count++
		}
	}
	for _, name := range wav.request.Machines {
		if wav.done[name] && ctl.isMissing(wav, name) && ctl.operations[name] == nil {
			count++
		}
	}
	for name := range wav.done {
		mac, ok := ctl.machines[name]
		if ok && !mac.IsUp && !mac.IsOff && ctl.operations[name] == nil {
			count++
		}
	}
	return count
}

// isCompleted reports whether the maintenance order of every machine of the wave was carried
// out, except for those that are gone for good.
func (ctl *Controller) isCompleted(wav *wave) bool {
	due, missing := ctl.countUndone(wav)
	return len(ctl.machines) > 0 && due == 0 && missing == 0
}

// countUndone returns how many machines of the wave whose order was not carried out yet are
// listed, and how many are not listed but may not be gone either.
func (ctl *Controller) countUndone(wav *wave) (due, missing int) {
	for _, name := range wav.request.Machines {
		_, isListed := ctl.machines[name]
		switch {
		case wav.done[name]:
		case isListed:
			due++
		case ctl.isMissing(wav, name):
			missing++
		}
	}
	return due, missing
}
