package node

import "daisywheel/internal/state/fleet"

// AddressOf returns the address of the VM's backend server.
func (nod *Node) AddressOf(vm string) (address string, ok bool) {
	nod.replica.View(func(flt *fleet.Fleet) {
		mbr, found := flt.Member(vm)
		address, ok = mbr.Address(), found
	})
	return address, ok
}

// HasService reports whether a pool in the table serves the service.
func (nod *Node) HasService(service string) bool { return nod.dispatcher.HasService(service) }
