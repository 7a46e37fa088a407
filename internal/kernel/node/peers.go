package node

import (
	"sort"

	"daisywheel/internal/state/fleet"
)

// PeerAddresses returns the peer addresses of the other registered entries, own
// zone first, and of the settings while the registry is empty.
func (nod *Node) PeerAddresses() []string {
	var near, far []string
	nod.replica.View(func(flt *fleet.Fleet) {
		for _, name := range flt.Entries() {
			facts, _ := flt.Entry(name)
			if name == nod.settings.Name || facts.Address == "" {
				continue
			}
			if facts.Zone == nod.settings.Zone {
				near = append(near, facts.Address)
			} else {
				far = append(far, facts.Address)
			}
		}
	})
	all := append(near, far...)
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
