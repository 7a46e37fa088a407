package node

import (
	"sort"

	"daisywheel/internal/state/fleet"
)

// PeerAddresses returns the peer addresses of the other registered entries, those of
// this entry's zone first, and then the further addresses in the settings, which are
// needed while the registry is empty.
func (nod *Node) PeerAddresses() []string {
	var sameZone, otherZones []string
	nod.replica.View(func(flt *fleet.Fleet) {
		for _, name := range flt.Entries() {
			info, _ := flt.Entry(name)
			if name == nod.settings.Name || info.Address == "" {
				continue
			}
			if info.Zone == nod.settings.Zone {
				sameZone = append(sameZone, info.Address)
			} else {
				otherZones = append(otherZones, info.Address)
			}
		}
	})
	all := append(sameZone, otherZones...)
	known := map[string]bool{nod.settings.PeerAddress: true}
	for _, address := range all {
		known[address] = true
	}
	var seeds []string
	for _, address := range nod.settings.Peers {
		if !known[address] {
			seeds = append(seeds, address)
		}
	}
	sort.Strings(seeds)
	return append(all, seeds...)
}
