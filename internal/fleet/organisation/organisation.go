// Package organisation holds the organisations of a configuration: their API keys, weights
// and limits.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/job/plan"
)

// Organisation is a customer whose callers submit jobs.
type Organisation struct {
	Name   string
	Weight float64 // its part of a pool that is full, relative to those of others
	// Cap limits what it may have running over all pools; 0 of a resource is no limit.
	Cap plan.Demand
}

// HasCap reports whether any resource is limited.
func (org *Organisation) HasCap() bool { return org.Cap != plan.Demand{} }

// digest stands for an API key, which is a secret.
type digest [sha256.Size]byte

// Set holds the organisations of one version of the configuration. A nil Set has none. It must not
// be changed once it is in force.
type Set struct {
	list  []Organisation
	byKey map[digest]int // index in list
}

// NewSet returns a Set without organisations.
func NewSet() *Set { return &Set{byKey: map[digest]int{}} }

// Add adds an organisation with its API keys, of which it keeps digests only. It fails with ErrUnusableName if the name
// is empty or too long, and with another error if it is taken, a key is empty or belongs to another organisation, or a figure is negative. No
// error contains a key.
func (set *Set) Add(org Organisation, keys []string) error {
	digests := make([]digest, len(keys))
	for i, key := range keys {
		if key == "" {
			return errors.Newf("key %d of organisation %.80q is empty", i, org.Name)
		}
		digests[i] = sha256.Sum256([]byte(key))
	}
	return set.add(org, digests)
}

// AddDigests is Add for keys of which another entry has kept the digests.
func (set *Set) AddDigests(org Organisation, texts []string) error {
	digests := make([]digest, len(texts))
	for i, text := range texts {
		data, err := hex.DecodeString(text)
		if err != nil || len(data) != sha256.Size {
			return errors.Newf("digest %d of organisation %.80q can't be read", i, org.Name)
		}
		digests[i] = digest(data)
	}
	return set.add(org, digests)
}

// Digests returns the digests of the organisation's keys for AddDigests.
func (set *Set) Digests(name string) []string {
	var texts []string
	for dig, index := range set.byKey {
		if set.list[index].Name == name {
			texts = append(texts, hex.EncodeToString(dig[:]))
		}
	}
	slices.Sort(texts)
	return texts
}

// maxNameBytes bounds a name, which becomes part of records, log lines and metrics.
const maxNameBytes = 200

// ErrUnusableName is the error of an organisation that can't be told from others, or from none, by its name.
var ErrUnusableName = errors.New("unusable name")

func (set *Set) add(org Organisation, digests []digest) error {
	dmd := org.Cap
	switch {
	case org.Name == "":
		return errors.Wrap(ErrUnusableName, "an organisation has no name")
	case len(org.Name) > maxNameBytes:
		return errors.Wrapf(ErrUnusableName, "name of organisation %.80q is longer than %d bytes", org.Name, maxNameBytes)
	case slices.ContainsFunc(set.list, func(other Organisation) bool { return other.Name == org.Name }):
		return errors.Newf("organisation %.80q is named twice", org.Name)
	case !(org.Weight >= 0):
		return errors.Newf("weight of organisation %.80q is negative", org.Name)
	case dmd.MilliCores < 0 || dmd.MemoryMB < 0 || dmd.GPUs < 0:
		return errors.Newf("cap of organisation %.80q is negative", org.Name)
	}
	for i, dig := range digests {
		if owner, isTaken := set.byKey[dig]; isTaken && owner != len(set.list) {
			return errors.Newf("key %d of organisation %.80q belongs to organisation %.80q too", i, org.Name, set.list[owner].Name)
		}
		set.byKey[dig] = len(set.list)
	}
	set.list = append(set.list, org)
	return nil
}

// OfKey returns the name of the organisation with the API key.
func (set *Set) OfKey(key string) (name string, ok bool) {
	if set == nil || key == "" {
		return "", false
	}
	index, ok := set.byKey[sha256.Sum256([]byte(key))]
	if !ok {
		return "", false
	}
	return set.list[index].Name, true
}

// Get returns the organisation with the name.
func (set *Set) Get(name string) (Organisation, bool) {
	if set == nil || name == "" {
		return Organisation{}, false
	}
	index := slices.IndexFunc(set.list, func(org Organisation) bool { return org.Name == name })
	if index < 0 {
		return Organisation{}, false
	}
	return set.list[index], true
}

// All returns the organisations in the order of the configuration.
func (set *Set) All() []Organisation {
	if set == nil {
		return nil
	}
	return set.list
}

// HasCaps reports whether any organisation has a limit.
func (set *Set) HasCaps() bool {
	return slices.ContainsFunc(set.All(), func(org Organisation) bool { return org.HasCap() })
}
