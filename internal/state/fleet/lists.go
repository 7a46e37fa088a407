package fleet

import (
	"sort"

	"daisywheel/internal/pool/member"
)

// NotServing returns the names of the zone's VMs that are leaving, out or rebooting,
// sorted.
func (flt *Fleet) NotServing(zone string) []string {
	var names []string
	for name := range flt.notServing {
		if flt.vms[name].member.Zone() == zone {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Member returns the membership of the VM, if the VM is known.
func (flt *Fleet) Member(vm string) (member.Member, bool) {
	vms, ok := flt.vms[vm]
	if !ok {
		return member.Member{}, false
	}
	return vms.member, true
}

// VMs returns the names of all VMs that the platform has not removed, sorted.
// The caller must not change the list.
func (flt *Fleet) VMs() []string {
	return flt.vmList.get(func() []string {
		names := make([]string, 0, len(flt.vms))
		for name, vms := range flt.vms {
			if vms.member.Status() != member.Gone {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		return names
	})
}

// VMsIn returns the names of the zone's VMs that the platform has not removed,
// sorted. The caller must not change the list.
func (flt *Fleet) VMsIn(zone string) []string {
	zon, ok := flt.zones[zone]
	if !ok {
		return nil
	}
	return zon.vmList.get(func() []string { return sortedNames(zon.vms) })
}

// updateNameLists adds the VM to the lists of names, or removes it when it is gone.
func (flt *Fleet) updateNameLists(mbr member.Member) {
	zon := flt.zoneOf(mbr.Zone())
	if mbr.Status() == member.Gone {
		delete(zon.vms, mbr.VM())
	} else {
		zon.vms[mbr.VM()] = true
	}
	zon.vmList.invalidate()
	flt.vmList.invalidate()
}

// VMsWithTasks returns the names of the zone's VMs with tasks, sorted.
func (flt *Fleet) VMsWithTasks(zone string) []string {
	var names []string
	for name := range flt.vmsWithTasks {
		if flt.vms[name].member.Zone() == zone {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// VMsOf returns the names of the pool's VMs, sorted.
func (flt *Fleet) VMsOf(pool string) []string {
	pol, ok := flt.pools[pool]
	if !ok {
		return nil
	}
	names := make([]string, 0, len(pol.vms))
	for name := range pol.vms {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// UnconfirmedEntries returns the names of the entries that have yet to confirm that
// nothing is in flight on the leaving VM, sorted.
func (flt *Fleet) UnconfirmedEntries(vm string) []string {
	vms, ok := flt.vms[vm]
	if !ok {
		return nil
	}
	names := make([]string, 0, len(vms.unconfirmed))
	for name := range vms.unconfirmed {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
