package fleet

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

// MaxZoneEntries is the largest number of entries in one availability zone. It keeps
// the connections to each backend server within their limit.
const MaxZoneEntries = 8

type entryState struct {
	zone        string
	vm          string
	address     string
	incarnation int64
}

// zoneState holds the registered entries of one availability zone as a list of
// generations, oldest first. An entry's share of a backend server is the smallest that
// any generation in the list gives it. The shares in use therefore never add up to more
// than the server has, whichever prefix of the log each entry has applied.
type zoneState struct {
	sets       []entrySet
	isCut      bool
	heartbeats int64
	vms        map[string]bool
	vmList     nameList
}

// entrySet is one generation of the registered entries of a zone.
type entrySet struct {
	generation int64
	entries    []string        // sorted
	confirmed  map[string]bool // entries that have confirmed their shares in this generation or a later one
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

// removeEntry deletes the entry from the registry and stops every leaving VM from
// waiting for its confirmation.
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

// dropConfirmedSets removes the oldest generations as long as all their entries that
// are still registered have confirmed the following one.
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

// zoneHeartbeat counts a heartbeat of the zone. It proves that the zone reaches the log,
// so a zone that was marked as cut off no longer is.
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

// Heartbeats returns how many heartbeats of the zone have been applied.
func (flt *Fleet) Heartbeats(zone string) int64 {
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

// setZoneCut marks the zone as cut off or not. VMs of a zone that is cut off count as
// unavailable.
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

// HasConfirmedShare reports whether the entry has confirmed its shares in the newest
// generation of the zone's registry.
func (flt *Fleet) HasConfirmedShare(entry, zone string) bool {
	zon, ok := flt.zones[zone]
	if !ok || len(zon.sets) == 0 {
		return false
	}
	return zon.sets[len(zon.sets)-1].confirmed[entry]
}

// IsZoneCut reports whether other zones have declared the zone cut off.
func (flt *Fleet) IsZoneCut(zone string) bool {
	zon, ok := flt.zones[zone]
	return ok && zon.isCut
}

// EntriesIn returns the names of the registered entries of the zone, sorted. The caller
// must not change the list.
func (flt *Fleet) EntriesIn(zone string) []string {
	zon, ok := flt.zones[zone]
	if !ok || len(zon.sets) == 0 {
		return nil
	}
	return zon.sets[len(zon.sets)-1].entries
}

// Entries returns the names of all registered entries, sorted. The caller must not
// change the list.
func (flt *Fleet) Entries() []string {
	return flt.entryList.get(func() []string { return sortedNames(flt.entries) })
}

// EntryInfo is what the registry holds of an entry.
type EntryInfo struct {
	Zone        string
	VM          string
	Address     string
	Incarnation int64
}

// Entry returns what the registry holds of the entry, if it is registered.
func (flt *Fleet) Entry(name string) (EntryInfo, bool) {
	ent, ok := flt.entries[name]
	return EntryInfo{Zone: ent.zone, VM: ent.vm, Address: ent.address, Incarnation: ent.incarnation}, ok
}

// Zones returns the names of all availability zones that have had an entry or a VM,
// sorted.
func (flt *Fleet) Zones() []string {
	names := make([]string, 0, len(flt.zones))
	for name := range flt.zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Share returns how many of the total slots of the VM the entry may use now.
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

// share returns the entry's part of total, divided evenly over the set. The remainder
// goes as one slot each to the entries that rank first for the VM by rendezvous hashing.
func (set entrySet) share(entry, vm string, total int) int {
	count := len(set.entries)
	if count == 0 {
		return 0
	}
	rank := Rank(entry, vm, set.entries)
	if rank < 0 {
		return 0
	}
	slots := total / count
	if rank < total%count {
		slots++
	}
	return slots
}

// Rank returns the rank of name among names for the key by rendezvous hashing, 0 for
// the first, or -1 when name is not among them.
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
