// Package host describes a VM as it announces itself to the platform.
package host

import (
	"slices"

	"daisywheel/internal/job/plan"
)

// Host is one life of a VM in a pool.
type Host struct {
	ID         string // of this life; a restart may keep it
	Service    string
	Address    string
	Zone       string
	Labels     []string // kind and rack
	Capacity   plan.Demand
	Born       int64 // Unix millisecond of the start, 0 while unknown
	IsDraining bool
}

// Has reports whether the VM has the label. Every VM has the empty label.
func (hst *Host) Has(label string) bool { return label == "" || slices.Contains(hst.Labels, label) }

// Rack returns the rack: the last label.
func (hst *Host) Rack() string {
	if len(hst.Labels) == 0 {
		return ""
	}
	return hst.Labels[len(hst.Labels)-1]
}
