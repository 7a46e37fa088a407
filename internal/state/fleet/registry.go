package fleet

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

// MaxZoneEntries is the largest number of entries in one availability zone. It
// keeps the connections to each runner within their limit.
const MaxZoneEntries = 8

type entryState struct {
	zone        string
	vm          string
	address     string
	incarnation int64
}

// zoneState holds the registered entries of one availability zone as a list of
// generations. An entry's share of a runner is the smallest that any generation
// in the list grants it, so the shares in use never add up to more than the
// runner has, whichever prefix of the log each entry has applied.
type zoneState struct {
	sets       []entrySet
	isCut      bool
	heartbeats int64
	vms        map[string]bool
	vmList     nameList
}

type entrySet struct {
	generation int64
	entries    []string // sorted
	confirmed  map[string]bool
}

func (flt *Fleet) zoneOf(zone string) *zoneState {
	zon, ok := flt.zones[zone]
	if !ok {
		zon = &zoneState{vms: map[string]bool{}}
		flt.zones[zone] = zon
	}
	return zon
}

func (flt *Fleet) entryJoin(cfg record.Config) code.Code {
	old, ok := flt.entries[cfg.Entry]
	if ok && cfg.Incarnation <= old.incarnation {
		return code.StaleEntry
	}
	if cfg.Entry == "" || cfg.Zone == "" {
		return code.BadRecord
	}
	if !ok && len(flt.EntriesIn(cfg.Zone)) >= MaxZoneEntries {
		return code.TooManyEntries
	}
	if ok {
		flt.removeEntry(cfg.Entry)
	}
	flt.entries[cfg.Entry] = entryState{zone: cfg.Zone, vm: cfg.VM, address: cfg.Address, incarnation: cfg.Incarnation}
	flt.addEntrySet(cfg.Zone)
	return code.OK
}

func (flt *Fleet) entryLeave(cfg record.Config) code.Code {
	old, ok := flt.entries[cfg.Entry]
	if !ok {
		return code.UnknownEntry
	}
	if cfg.Incarnation != old.incarnation {
		return code.StaleEntry
	}
	flt.removeEntry(cfg.Entry)
	flt.addEntrySet(old.zone)
	return code.OK
}

// removeEntry takes the entry out of the registry and out of every confirmation
// that waits for it.
func (flt *Fleet) removeEntry(name string) {
	delete(flt.entries, name)
	for _, vms := range flt.vms {
		if _, ok := vms.unconfirmed[name]; ok {
			delete(vms.unconfirmed, name)
			flt.markOutIfConfirmed(vms)
		}
	}
}

func (flt *Fleet) addEntrySet(zone string) {
	zon := flt.zoneOf(zone)
	generation := int64(1)
	if len(zon.sets) > 0 {
		generation = zon.sets[len(zon.sets)-1].generation + 1
	}
	var names []string
	for name, ent := range flt.entries {
		if ent.zone == zone {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	flt.entryList.invalidate()
	zon.sets = append(zon.sets, entrySet{generation: generation, entries: names, confirmed: map[string]bool{}})
	flt.dropConfirmedSets(zon)
	flt.notify(flt.cfg.OnZone, zone)
}

func (flt *Fleet) shareConfirm(cfg record.Config) code.Code {
	ent, ok := flt.entries[cfg.Entry]
	if !ok {
		return code.UnknownEntry
	}
	if ent.incarnation != cfg.Incarnation {
		return code.StaleEntry
	}
	zon := flt.zoneOf(ent.zone)
	for idx := range zon.sets {
		if zon.sets[idx].generation <= cfg.Generation {
			zon.sets[idx].confirmed[cfg.Entry] = true
		}
	}
	flt.dropConfirmedSets(zon)
	flt.notify(flt.cfg.OnZone, ent.zone)
	return code.OK
}

// dropSets removes each generation whose registered entries have all confirmed
// the following one.
func (flt *Fleet) dropConfirmedSets(zon *zoneState) {
	for len(zon.sets) > 1 {
		for _, name := range zon.sets[0].entries {
			_, registered := flt.entries[name]
			if registered && !zon.sets[1].confirmed[name] {
				return
			}
		}
		zon.sets = zon.sets[1:]
	}
}

// zoneBeat shows that the zone reaches the log, so that it is not cut off.
func (flt *Fleet) zoneHeartbeat(cfg record.Config) code.Code {
	zon, ok := flt.zones[cfg.Zone]
	if !ok {
		return code.UnknownEntry
	}
	zon.heartbeats++
	if zon.isCut {
		flt.setZoneCut(cfg.Zone, zon, false)
	}
	return code.OK
}

// Beats returns how many beats of the zone the fold has met.
func (flt *Fleet) Beats(zone string) int64 {
	zon, ok := flt.zones[zone]
	if !ok {
		return 0
	}
	return zon.heartbeats
}

func (flt *Fleet) zoneStatus(cfg record.Config) code.Code {
	zon, ok := flt.zones[cfg.Zone]
	if !ok || zon.isCut == cfg.IsCut {
		return code.Duplicate
	}
	flt.setZoneCut(cfg.Zone, zon, cfg.IsCut)
	return code.OK
}

// setCut counts the VMs of a zone that is cut off as not available.
func (flt *Fleet) setZoneCut(name string, zon *zoneState, isCut bool) {
	touched := map[string]bool{}
	for _, vms := range flt.vms {
		if vms.member.Zone() == name {
			flt.addToCounters(vms.member, -1)
			touched[vms.member.VM()] = true
		}
	}
	zon.isCut = isCut
	for vm := range touched {
		flt.addToCounters(flt.vms[vm].member, 1)
	}
	flt.notify(flt.cfg.OnZone, name)
}

// Generation returns the newest generation of the zone's registry, 0 when empty.
func (flt *Fleet) Generation(zone string) int64 {
	zon, ok := flt.zones[zone]
	if !ok || len(zon.sets) == 0 {
		return 0
	}
	return zon.sets[len(zon.sets)-1].generation
}

// HasConfirmedShare reports whether the entry has confirmed the newest generation.
func (flt *Fleet) HasConfirmedShare(entry, zone string) bool {
	zon, ok := flt.zones[zone]
	if !ok || len(zon.sets) == 0 {
		return false
	}
	return zon.sets[len(zon.sets)-1].confirmed[entry]
}

// IsZoneCut reports whether other zones have found the zone unreachable.
func (flt *Fleet) IsZoneCut(zone string) bool {
	zon, ok := flt.zones[zone]
	return ok && zon.isCut
}

// EntriesIn returns the registered entries of the zone, sorted. The caller must
// not change the list.
func (flt *Fleet) EntriesIn(zone string) []string {
	zon, ok := flt.zones[zone]
	if !ok || len(zon.sets) == 0 {
		return nil
	}
	return zon.sets[len(zon.sets)-1].entries
}

// Entries returns all registered entries, sorted. The caller must not change the
// list.
func (flt *Fleet) Entries() []string {
	return flt.entryList.get(func() []string { return sortedNames(flt.entries) })
}

// EntryInfo are the registered facts of an entry.
type EntryInfo struct {
	Zone        string
	VM          string
	Address     string
	Incarnation int64
}

// Entry returns the facts of a registered entry.
func (flt *Fleet) Entry(name string) (EntryInfo, bool) {
	ent, ok := flt.entries[name]
	return EntryInfo{Zone: ent.zone, VM: ent.vm, Address: ent.address, Incarnation: ent.incarnation}, ok
}

// Zones returns the names of all availability zones with an entry, sorted.
func (flt *Fleet) Zones() []string {
	names := make([]string, 0, len(flt.zones))
	for name := range flt.zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Share returns how many of total units on the VM the entry may use now.
func (flt *Fleet) Share(entry, vm string, total int) int {
	vms, ok := flt.vms[vm]
	if !ok {
		return 0
	}
	zon, ok := flt.zones[vms.member.Zone()]
	if !ok {
		return 0
	}
	least := total
	for _, set := range zon.sets {
		least = min(least, set.share(entry, vm, total))
	}
	return least
}

// share divides total over the set. The remainder goes to the entries that rank
// first for the VM by rendezvous hashing.
func (set entrySet) share(entry, vm string, total int) int {
	count := len(set.entries)
	if count == 0 {
		return 0
	}
	rank := Rank(entry, vm, set.entries)
	if rank < 0 {
		return 0
	}
	units := total / count
	if rank < total%count {
		units++
	}
	return units
}

// Rank returns the place of name among names for the key by rendezvous hashing,
// 0 for the first, and -1 when name is not among them.
func Rank(name, key string, names []string) int {
	rank := 0
	found := false
	own := rendezvous(name, key)
	for _, oth := range names {
		if oth == name {
			found = true
			continue
		}
		score := rendezvous(oth, key)
		if score > own || score == own && oth < name {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

func rendezvous(name, key string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(len(name)) + ":" + name + key)
}
