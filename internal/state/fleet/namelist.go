package fleet

import (
	"sort"
	"sync/atomic"
)

// nameList caches a sorted list of names until the next change, because duties read
// it often. Concurrent readers of the same Fleet may call get.
type nameList struct {
	names atomic.Pointer[[]string]
}

// get returns the list. After a change it calls build for a new one.
func (nml *nameList) get(build func() []string) []string {
	if names := nml.names.Load(); names != nil {
		return *names
	}
	names := build()
	nml.names.Store(&names)
	return names
}

// invalidate drops the cached list after a change.
func (nml *nameList) invalidate() { nml.names.Store(nil) }

func sortedNames[T any](set map[string]T) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
