package claim

import "strings"

const (
	// keyFormat is the present format of keys.
	keyFormat = 1
	fleetKey  = "fleet"
	// poolPrefix begins the keys of pools whose names could be taken for another key.
	poolPrefix = "pool:"
)

// Name says what a claim is for: the fleet or a pool. Names are comparable.
type Name struct {
	isPool bool
	pool   string
}

// Fleet returns the name of the claim by which the fleet controller acts.
func Fleet() Name { return Name{} }

// Pool returns the name of the claim by which the owner of the pool acts. Pools may have any name.
func Pool(pool string) Name { return Name{isPool: true, pool: pool} }

// Pool returns the pool that the name is of, false for that of the fleet.
func (nam Name) Pool() (pool string, ok bool) { return nam.pool, nam.isPool }

// String returns the name for log lines and errors.
func (nam Name) String() string {
	if !nam.isPool {
		return "fleet"
	}
	return "pool " + nam.pool
}

// key returns the key of the records of claims. No two names have the same. Most pools have the key that earlier
// versions of the program gave them, so that their terms go on.
func (nam Name) key() string {
	switch {
	case !nam.isPool:
		return fleetKey
	case nam.pool == "" || nam.pool == fleetKey || strings.HasPrefix(nam.pool, poolPrefix):
		return poolPrefix + nam.pool
	}
	return nam.pool
}

// formerKey returns the key that earlier versions of the program use, which two names may share.
func (nam Name) formerKey() string {
	if !nam.isPool {
		return fleetKey
	}
	return nam.pool
}

// parseKey returns the name with the key.
func parseKey(key string) Name {
	if key == fleetKey {
		return Fleet()
	}
	return Pool(strings.TrimPrefix(key, poolPrefix))
}
