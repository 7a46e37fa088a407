// Package host describes a VM as the platform announces it.
package host

import (
	"slices"

	"daisywheel/internal/job/plan"
)

// Host is one incarnation of a VM in a pool.
type Host struct {
	ID          string // of the incarnation; a restart may keep it
	Pool        string
	Address     string
	Zone        string
	Labels      []string // kind and rack
	Capacity    plan.Demand
	Incarnation int64 // start of the incarnation, Unix ms; 0 while unknown
	IsDraining  bool
}

// Has reports whether the VM has the label. Every VM has the empty label.
func (hst *Host) Has(label string) bool { return label == "" || slices.Contains(hst.Labels, label) }

// Rack returns the last label, which names the rack, or "" without labels.
func (hst *Host) Rack() string {
	if len(hst.Labels) == 0 {
		return ""
	}
	return hst.Labels[len(hst.Labels)-1]
}
