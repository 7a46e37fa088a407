package fleet

import (
	"daisywheel/internal/pool/member"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

func (flt *Fleet) setMember(vms *vmState, mbr member.Member) {
	flt.addToCounters(vms.member, -1)
	vms.member = mbr
	flt.addToCounters(mbr, 1)
	if mbr.Phase() == member.Serving || mbr.Status() == member.Gone {
		delete(flt.notServing, mbr.VM())
	} else {
		flt.notServing[mbr.VM()] = true
	}
	flt.notify(flt.cfg.OnMember, mbr.VM())
}

func (flt *Fleet) vmAdd(cfg record.Config) code.Code {
	old, ok := flt.vms[cfg.Member.VM]
	if ok && old.member.Status() != member.Gone {
		return code.Duplicate
	}
	if cfg.Member.VM == "" || cfg.Member.Zone == "" {
		return code.BadRecord
	}
	if _, ok := flt.rows[cfg.Member.Pool]; !ok {
		return code.UnknownPool
	}
	mbr := member.New(cfg.Member)
	flt.vms[mbr.VM()] = &vmState{
		member: mbr, unconfirmed: map[string]int64{}, tasks: map[string]bool{}, failedJobs: map[string]bool{},
	}
	flt.addToCounters(mbr, 1)
	flt.updateNameLists(mbr)
	if missing := sortedNames(flt.poolOf(mbr.Pool()).missing); len(missing) > 0 {
		flt.forgetRemovedVM(missing[0])
	}
	flt.notify(flt.cfg.OnMember, mbr.VM())
	return code.OK
}

// forgetRemovedVM deletes a VM that the platform has removed, so that it no longer
// counts as unavailable.
func (flt *Fleet) forgetRemovedVM(vm string) {
	delete(flt.poolOf(flt.vms[vm].member.Home()).missing, vm)
	delete(flt.vms, vm)
}

func (flt *Fleet) vmStatus(cfg record.Config) code.Code {
	vms, ok := flt.vms[cfg.VM]
	if !ok {
		return code.UnknownVM
	}
	if vms.member.Status() == member.Gone || vms.member.Status() == cfg.Status {
		return code.Duplicate
	}
	flt.setMember(vms, vms.member.WithStatus(cfg.Status))
	if cfg.Status == member.Gone {
		flt.updateNameLists(vms.member)
		flt.handleRemovedVM(vms)
	}
	return code.OK
}

// handleRemovedVM ends the placements on a VM that the platform has removed and makes
// waves skip it. The VM counts as unavailable in its home pool until another VM is
// added there or an operator releases it.
func (flt *Fleet) handleRemovedVM(vms *vmState) {
	flt.poolOf(vms.member.Home()).missing[vms.member.VM()] = true
	for name := range vms.tasks {
		flt.endPlacement(flt.jobs[name], record.Lost)
	}
	for _, wav := range flt.waves {
		if wav.IsPending(vms.member.VM()) {
			wav.Skip(vms.member.VM(), "the platform removed the VM")
			flt.notify(flt.cfg.OnWave, wav.Name())
		}
	}
}

// vmLeave starts a move to another pool or an evacuation for maintenance. It is refused
// when more VMs of the pool would be unavailable than the row allows at this point of
// the log.
func (flt *Fleet) vmLeave(cfg record.Config) code.Code {
	vms, cd := flt.lookup(cfg.VM, cfg.Epoch)
	if cd != code.OK {
		return cd
	}
	mbr := vms.member
	if mbr.Phase() != member.Serving {
		return code.WrongPhase
	}
	if _, ok := flt.rows[cfg.Pool]; !ok {
		return code.UnknownPool
	}
	if cd := flt.checkWave(cfg); cd != code.OK {
		return cd
	}
	if cd := flt.checkLoan(mbr, cfg); cd != code.OK {
		return cd
	}
	if flt.RemainingBudget(mbr.Pool()) < flt.cost(mbr) {
		return code.BudgetReached
	}
	for name, ent := range flt.entries {
		if ent.zone == mbr.Zone() {
			vms.unconfirmed[name] = ent.incarnation
		}
	}
	if cfg.Wave != "" {
		flt.waves[cfg.Wave].Begin(cfg.VM)
		flt.notify(flt.cfg.OnWave, cfg.Wave)
	}
	flt.setMember(vms, mbr.Leave(cfg.Pool, cfg.Home, cfg.Wave))
	flt.markOutIfConfirmed(vms)
	return code.OK
}

func (flt *Fleet) lookup(vm string, epoch int64) (*vmState, code.Code) {
	vms, ok := flt.vms[vm]
	if !ok || vms.member.Status() == member.Gone {
		return nil, code.UnknownVM
	}
	if vms.member.Epoch() != epoch {
		return nil, code.StaleEpoch
	}
	return vms, code.OK
}

func (flt *Fleet) checkWave(cfg record.Config) code.Code {
	if cfg.Wave == "" {
		return code.OK
	}
	wav, ok := flt.waves[cfg.Wave]
	if !ok {
		return code.UnknownWave
	}
	if !wav.IsWaiting(cfg.VM) {
		return code.WaveOverlap
	}
	if wav.State().String() != "running" {
		return code.WaveNotRunning
	}
	return code.OK
}

// vmConfirm records that an entry has nothing in flight on a leaving VM.
func (flt *Fleet) vmConfirm(cfg record.Config) code.Code {
	vms, cd := flt.lookup(cfg.VM, cfg.Epoch)
	if cd != code.OK {
		return cd
	}
	if vms.member.Phase() != member.Leaving {
		return code.WrongPhase
	}
	incarnation, ok := vms.unconfirmed[cfg.Entry]
	if !ok || incarnation != cfg.Incarnation {
		return code.StaleEntry
	}
	delete(vms.unconfirmed, cfg.Entry)
	flt.markOutIfConfirmed(vms)
	return code.OK
}

func (flt *Fleet) markOutIfConfirmed(vms *vmState) {
	if vms.member.Phase() != member.Leaving {
		return
	}
	if len(vms.unconfirmed) > 0 || len(vms.tasks) > 0 {
		return
	}
	flt.setMember(vms, vms.member.MarkOut())
}

// vmReboot allows the reboot of an evacuated VM, unless failures since the evacuation
// have exceeded the pool's availability budget.
func (flt *Fleet) vmReboot(cfg record.Config) code.Code {
	vms, cd := flt.lookup(cfg.VM, cfg.Epoch)
	if cd != code.OK {
		return cd
	}
	if vms.member.Phase() != member.Out || vms.member.Wave() == "" {
		return code.WrongPhase
	}
	if wav, ok := flt.waves[vms.member.Wave()]; !ok || !wav.IsOpen() {
		return code.WaveNotRunning
	}
	if flt.RemainingBudget(vms.member.Pool()) < 0 {
		return code.BudgetReached
	}
	flt.setMember(vms, vms.member.Reboot())
	return code.OK
}

// vmJoin makes a VM serve its next pool. An evacuated VM that was not rebooted returns
// to the waiting VMs of its wave.
func (flt *Fleet) vmJoin(offset int64, cfg record.Config) code.Code {
	vms, cd := flt.lookup(cfg.VM, cfg.Epoch)
	if cd != code.OK {
		return cd
	}
	mbr := vms.member
	if mbr.Phase() != member.Out && mbr.Phase() != member.Rebooting {
		return code.WrongPhase
	}
	if wav, ok := flt.waves[mbr.Wave()]; ok {
		switch {
		case mbr.Phase() == member.Rebooting:
			wav.Finish(cfg.VM)
		case wav.IsOpen() && wav.IsPending(cfg.VM):
			wav.PutBack(cfg.VM)
		}
		flt.notify(flt.cfg.OnWave, wav.Name())
	}
	joined := mbr.Join(offset + 1)
	if joined.Status() == member.Down {
		joined = joined.WithStatus(member.Up)
	}
	flt.setMember(vms, joined)
	return code.OK
}

// vmRelease ends the quarantine of a VM, or forgets a removed VM that is not replaced.
func (flt *Fleet) vmRelease(cfg record.Config) code.Code {
	vms, ok := flt.vms[cfg.VM]
	if !ok {
		return code.UnknownVM
	}
	if vms.member.Status() == member.Gone {
		flt.forgetRemovedVM(cfg.VM)
		return code.OK
	}
	vms.failedJobs = map[string]bool{}
	flt.setMember(vms, vms.member.WithQuarantine(false))
	return code.OK
}
