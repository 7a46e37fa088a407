package fleet

import (
	"daisywheel/internal/pool/member"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

func (flt *Fleet) poolOf(name string) *poolState {
	pol, ok := flt.pools[name]
	if !ok {
		pol = &poolState{vms: map[string]bool{}, missing: map[string]bool{}}
		flt.pools[name] = pol
	}
	return pol
}

// addToCounters adds sign, 1 or -1, to every pool counter that includes the member.
func (flt *Fleet) addToCounters(mbr member.Member, sign int) {
	if mbr.Status() == member.Gone {
		return
	}
	pol := flt.poolOf(mbr.Pool())
	if sign > 0 {
		pol.vms[mbr.VM()] = true
	} else {
		delete(pol.vms, mbr.VM())
	}
	if !mbr.IsAvailable() || flt.IsZoneCut(mbr.Zone()) {
		pol.unavailable += sign
	}
	flt.poolOf(mbr.Home()).homeVMs += sign
	if destination(mbr) != mbr.Home() {
		flt.poolOf(mbr.Home()).lent += sign
		flt.poolOf(destination(mbr)).borrowed += sign
	}
}

// destination returns the pool that the VM serves, or will serve once it has moved.
func destination(mbr member.Member) string {
	if mbr.Phase() == member.Serving {
		return mbr.Pool()
	}
	return mbr.NextPool()
}

// cost returns by how many the unavailable VMs of the pool increase when the member
// leaves, 0 if it is unavailable already. Such a VM must still fit into the budget,
// because it may come up again while it leaves.
func (flt *Fleet) cost(mbr member.Member) int {
	if mbr.IsAvailable() && !flt.IsZoneCut(mbr.Zone()) {
		return 1
	}
	return 0
}

// checkLoan checks lendVMs of the home and takeVMs of the next pool when a VM moves to a
// pool other than its home.
func (flt *Fleet) checkLoan(mbr member.Member, cfg record.Config) code.Code {
	home := mbr.Home()
	if cfg.Home != "" {
		home = cfg.Home
	}
	if cfg.Pool == home || cfg.Pool == mbr.Pool() {
		return code.OK
	}
	if flt.poolOf(home).lent+1 > flt.rows[home].row.LendVMs() {
		return code.LendLimit
	}
	if flt.poolOf(cfg.Pool).borrowed+1 > flt.rows[cfg.Pool].row.TakeVMs() {
		return code.TakeLimit
	}
	return code.OK
}

// RemainingBudget returns how many more VMs of the pool may become unavailable now. It
// is negative when more are unavailable after failures than the row allows.
func (flt *Fleet) RemainingBudget(pool string) int {
	return flt.rows[pool].row.DownVMs() - flt.Unavailable(pool)
}

// Unavailable returns how many VMs of the pool count as unavailable, including those
// that the platform removed and nobody replaced.
func (flt *Fleet) Unavailable(pool string) int {
	pol, ok := flt.pools[pool]
	if !ok {
		return 0
	}
	return pol.unavailable + len(pol.missing)
}
