package steward

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/upkeep"
)

// wave is a maintenance wave and how far it is.
type wave struct {
	request     upkeep.Wave
	isRequested bool                 // the request has been read
	done        map[string]bool      // machines whose order was carried out
	retryAt     map[string]time.Time // when a machine that could not be emptied is tried again
	reported    waveState
}

type waveState int

const (
	unreported waveState = iota
	inProgress
	completed
)

func (stw *Steward) waveOf(number int64) *wave {
	wav, ok := stw.waves[number]
	if !ok {
		wav = &wave{done: map[string]bool{}, retryAt: map[string]time.Time{}}
		stw.waves[number] = wav
	}
	return wav
}

func (stw *Steward) addWave(now time.Time, req upkeep.Wave) {
	wav := stw.waveOf(req.Number)
	wav.request, wav.isRequested = req, true
	stw.cfg.Journal.Event(now, "waveAsked", slog.Int64("wave", req.Number), slog.Int("machines", len(req.Machines)),
		slog.Int("cap", req.Cap), slog.Duration("within", req.Within))
}

// planWaves begins to empty the machines that are next.
func (stw *Steward) planWaves(now time.Time) {
	load := stw.load()
	for number, wav := range stw.waves {
		if !wav.isRequested {
			continue
		}
		// The cap counts machines from the moment that they are being emptied, and
		// until they are back.
		free := wav.request.Cap - stw.countUnderMaintenance(number, wav)
		var cands []upkeep.Candidate
		for _, name := range wav.request.Machines {
			if !stw.isEligible(now, wav, name) {
				continue
			}
			cnd := load[stw.machines[name].VM]
			cnd.Machine = name
			cands = append(cands, cnd)
		}
		for _, name := range upkeep.Next(cands, upkeep.Room{Cap: wav.request.Cap, Free: free, Lasting: stw.countSlowDrains(number, load)}) {
			stw.operations[name] = &operation{machine: name, vm: stw.machines[name].VM, wave: number, startedAt: now}
			stw.cfg.Journal.Event(now, "upkeepBegun", slog.Int64("wave", number), slog.String("machine", name), slog.String("vm", stw.machines[name].VM))
		}
	}
}

// Due returns the VMs of a pool that a wave has not come to yet, if the pool has
// lasting tasks that should keep away from them.
func (stw *Steward) Due(pol balance.Pool) []string {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	isDue := map[string]bool{}
	for _, wav := range stw.waves {
		for _, name := range wav.request.Machines {
			if mac, ok := stw.machines[name]; ok && !wav.done[name] {
				isDue[mac.VM] = true
			}
		}
	}
	var due []string
	lasting := 0
	for _, vm := range pol.VMs {
		lasting += vm.Lasting
		if isDue[vm.ID] {
			due = append(due, vm.ID)
		}
	}
	if lasting == 0 {
		return nil
	}
	return due
}

// load returns what runs on each VM, by the latest reports.
func (stw *Steward) load() map[string]upkeep.Candidate {
	load := map[string]upkeep.Candidate{}
	for _, rpt := range stw.reports {
		for _, vm := range rpt.pool.VMs {
			load[vm.ID] = upkeep.Candidate{Tasks: vm.Tasks, Lasting: vm.Lasting}
		}
	}
	return load
}

// isNext reports whether the machine may be emptied for the wave now.
func (stw *Steward) isEligible(now time.Time, wav *wave, name string) bool {
	mac, ok := stw.machines[name]
	return ok && mac.IsUp && !stw.isBlocked(now, name) && !wav.done[name] && stw.operations[name] == nil && !now.Before(wav.retryAt[name])
}

// isAnyLeft reports whether a machine of the wave is not being emptied yet.
func (stw *Steward) isAnyEligible(now time.Time, wav *wave) bool {
	for _, name := range wav.request.Machines {
		if stw.isEligible(now, wav, name) {
			return true
		}
	}
	return false
}

// slow returns how many machines of the wave with lasting tasks are being emptied.
func (stw *Steward) countSlowDrains(number int64, load map[string]upkeep.Candidate) int {
	count := 0
	for _, opr := range stw.operations {
		if opr.wave == number && !opr.isOrdered && load[opr.vm].Lasting > 0 {
			count++
		}
	}
	return count
}

// under returns how many machines of the wave are being emptied or are down. An
// earlier steward may have ordered some that are still down.
func (stw *Steward) countUnderMaintenance(number int64, wav *wave) int {
	count := 0
	for _, opr := range stw.operations {
		if opr.wave == number {
			count++
		}
	}
	for name := range wav.done {
		mac, ok := stw.machines[name]
		if ok && !mac.IsUp && !mac.IsOff && stw.operations[name] == nil {
			count++
		}
	}
	return count
}

// reportWaves tells the operator how the waves stand.
func (stw *Steward) reportWaves(now time.Time) {
	stw.mu.Lock()
	var due []waveReport
	for number, wav := range stw.waves {
		if !wav.isRequested {
			continue
		}
		want := inProgress
		if stw.isCompleted(wav) {
			want = completed
		}
		if wav.reported < want {
			due = append(due, waveReport{number, want})
		}
	}
	stw.mu.Unlock()
	for _, rpt := range due {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := stw.cfg.Directory.ReportWave(ctx, rpt.number, rpt.state == completed)
		cancel()
		if err != nil {
			stw.cfg.Journal.Warn(now, "waveUnreported", slog.Int64("wave", rpt.number), slog.String("error", err.Error()))
			continue
		}
		stw.mu.Lock()
		stw.waves[rpt.number].reported = rpt.state
		stw.mu.Unlock()
		stw.cfg.Journal.Event(now, "waveReported", slog.Int64("wave", rpt.number), slog.Bool("completed", rpt.state == completed))
	}
}

type waveReport struct {
	number int64
	state  waveState
}

// isCompleted reports whether all machines of the wave that are left have begun
// their maintenance.
func (stw *Steward) isCompleted(wav *wave) bool {
	if len(stw.machines) == 0 {
		return false
	}
	for _, name := range wav.request.Machines {
		if _, ok := stw.machines[name]; ok && !wav.done[name] {
			return false
		}
	}
	return true
}
