package fleet

import (
	"sort"
	"sync/atomic"
)

// nameList is a sorted list that is made again only after a change, so that
// duties can ask for it often. Readers of the same fold may ask at once.
type nameList struct {
	names atomic.Pointer[[]string]
}

// get returns the list, made by build after a change.
func (nml *nameList) get(build func() []string) []string {
	if names := nml.names.Load(); names != nil {
		return *names
	}
	names := build()
	nml.names.Store(&names)
	return names
}

// clear notes a change.
func (nml *nameList) invalidate() { nml.names.Store(nil) }

func sortedNames[T any](set map[string]T) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
