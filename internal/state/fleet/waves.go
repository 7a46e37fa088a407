package fleet

import (
	"sort"

	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

// waveStart starts a wave. VMs that do not exist or belong to another open wave are
// skipped at once.
func (flt *Fleet) waveStart(cfg record.Config) code.Code {
	if cfg.Wave == "" || len(cfg.VMs) == 0 {
		return code.BadRecord
	}
	if _, ok := flt.waves[cfg.Wave]; ok {
		return code.WaveOverlap
	}
	wav := wave.New(wave.Config{Name: cfg.Wave, Author: cfg.Author, Waiting: cfg.VMs})
	for _, vm := range cfg.VMs {
		flt.skipIfIneligible(wav, vm)
	}
	flt.waves[cfg.Wave] = wav
	flt.waveOrder = append(flt.waveOrder, cfg.Wave)
	flt.dropEndedWaves()
	flt.notify(flt.cfg.OnWave, cfg.Wave)
	return code.OK
}

func (flt *Fleet) skipIfIneligible(wav *wave.Wave, vm string) {
	vms, ok := flt.vms[vm]
	if !ok || vms.member.Status() == member.Gone {
		wav.Skip(vm, "no such VM")
		return
	}
	for _, oth := range flt.waves {
		if oth.IsOpen() && oth.IsPending(vm) {
			wav.Skip(vm, "held by wave "+oth.Name())
			return
		}
	}
}

func (flt *Fleet) dropEndedWaves() {
	for len(flt.waveOrder) > maxEndedWaves && !flt.waves[flt.waveOrder[0]].IsOpen() {
		delete(flt.waves, flt.waveOrder[0])
		flt.waveOrder = flt.waveOrder[1:]
	}
}

func (flt *Fleet) waveState(cfg record.Config) code.Code {
	wav, ok := flt.waves[cfg.Wave]
	if !ok {
		return code.UnknownWave
	}
	if !wav.SetState(cfg.WaveState) {
		return code.WaveNotRunning
	}
	flt.notify(flt.cfg.OnWave, cfg.Wave)
	return code.OK
}

// waveSkip makes the wave skip a VM, so that it no longer waits for it.
func (flt *Fleet) waveSkip(cfg record.Config) code.Code {
	wav, ok := flt.waves[cfg.Wave]
	if !ok {
		return code.UnknownWave
	}
	if !wav.IsPending(cfg.VM) {
		return code.Duplicate
	}
	wav.Skip(cfg.VM, cfg.Reason)
	flt.notify(flt.cfg.OnWave, cfg.Wave)
	return code.OK
}

// Wave returns a copy of the wave, if it is still kept.
func (flt *Fleet) Wave(name string) (*wave.Wave, bool) {
	wav, ok := flt.waves[name]
	if !ok {
		return nil, false
	}
	return wave.New(wav.Config()), true
}

// Waves returns the names of the waves that are still kept, sorted.
func (flt *Fleet) Waves() []string {
	names := append([]string(nil), flt.waveOrder...)
	sort.Strings(names)
	return names
}
