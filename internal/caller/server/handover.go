package server

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/state/fleet"
)

// Parameters of the import of keys.
const (
	handoverInterval = 200 * time.Millisecond
	exportMethod     = "key.export"
	exportPageSize   = 200 // keys per response
)

type exportRequestJSON struct {
	Name  string `json:"name"`  // the entry that imports the keys
	After string `json:"after"` // last key of the previous page
}

type keyJSON struct {
	ID          string     `json:"id"`
	Fingerprint uint64     `json:"print"`
	State       string     `json:"state"`
	ClaimID     string     `json:"holder"`
	AgeMs       int64      `json:"ageMs"`
	Reply       *replyJSON `json:"reply,omitempty"`
}

type keyPageJSON struct {
	Keys   []keyJSON `json:"keys"`
	IsLast bool      `json:"isLast"`
}

// handover imports keys from the other entries after each change of the set of
// registered entries.
type handover struct {
	kst           *keyStore
	syncedEntries string // the set of entries for which all keys have been imported
}

func (kst *keyStore) newHandover() *handover { return &handover{kst: kst} }

// step imports the keys that this entry now owns from all other registered
// entries. If one of them does not respond, the next step starts over, until that
// entry responds or is no longer registered.
func (hnd *handover) step(time.Time) {
	entries, addresses, isRegistered := hnd.kst.registeredEntries()
	if !isRegistered || entries == hnd.syncedEntries {
		return
	}
	for _, address := range addresses {
		if err := hnd.kst.importKeys(address); err != nil {
			return
		}
	}
	hnd.syncedEntries = entries
	hnd.kst.mu.Lock()
	defer hnd.kst.mu.Unlock()
	hnd.kst.isSynced = true
}

// registeredEntries returns a string that identifies the set of registered entries
// with their incarnations, and the addresses of the other entries.
func (kst *keyStore) registeredEntries() (entries string, addresses []string, isRegistered bool) {
	kst.nod.Replica().View(func(flt *fleet.Fleet) {
		isRegistered = kst.nod.IsRegistered(flt)
		var incarnations []string
		for _, name := range flt.Entries() {
			info, _ := flt.Entry(name)
			incarnations = append(incarnations, fmt.Sprintf("%s/%d", name, info.Incarnation))
			if name != kst.nod.Settings().Name {
				addresses = append(addresses, info.Address)
			}
		}
		entries = strings.Join(incarnations, " ")
	})
	return entries, addresses, isRegistered
}

// importKeys reads all pages of one entry's keys and merges them.
func (kst *keyStore) importKeys(address string) error {
	in := exportRequestJSON{Name: kst.nod.Settings().Name}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		var out keyPageJSON
		err := kst.nod.PeerEndpoint().Call(ctx, address, exportMethod, in, &out)
		cancel()
		if err != nil {
			return err
		}
		kst.merge(kst.nod.Now(), out.Keys)
		if out.IsLast || len(out.Keys) == 0 {
			return nil
		}
		in.After = out.Keys[len(out.Keys)-1].ID
	}
}

// merge adds keys. The state of a completed request replaces "running", never the
// reverse.
func (kst *keyStore) merge(now time.Time, keys []keyJSON) {
	kst.mu.Lock()
	defer kst.mu.Unlock()
	for _, key := range keys {
		old, ok := kst.keys[key.ID]
		if ok && old.state != stateRunning {
			continue
		}
		kst.keys[key.ID] = &storedKey{
			fingerprint: key.Fingerprint, state: key.State, claimID: key.ClaimID, reply: key.Reply,
			updatedAt: now.Add(-time.Duration(key.AgeMs) * time.Millisecond),
		}
	}
}

func (kst *keyStore) serveExport(_ context.Context, params json.RawMessage) (any, error) {
	var in exportRequestJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, exportMethod)
	}
	return kst.export(kst.nod.Now(), in), nil
}

// export returns the next page of keys that the named entry owns, ordered by key.
func (kst *keyStore) export(now time.Time, in exportRequestJSON) keyPageJSON {
	names := kst.entriesWith(in.Name)
	kst.mu.Lock()
	defer kst.mu.Unlock()
	var owned []string
	for id := range kst.keys {
		if id > in.After && fleet.Rank(in.Name, "key/"+id, names) <= 1 {
			owned = append(owned, id)
		}
	}
	sort.Strings(owned)
	out := keyPageJSON{Keys: []keyJSON{}, IsLast: len(owned) <= exportPageSize}
	for _, id := range owned[:min(len(owned), exportPageSize)] {
		stk := kst.keys[id]
		out.Keys = append(out.Keys, keyJSON{
			ID: id, Fingerprint: stk.fingerprint, State: stk.state, ClaimID: stk.claimID, AgeMs: now.Sub(stk.updatedAt).Milliseconds(), Reply: stk.reply,
		})
	}
	return out
}

// entriesWith returns the registered entries and the named one, which the applied
// state of this entry may not contain yet.
func (kst *keyStore) entriesWith(name string) []string {
	var names []string
	kst.nod.Replica().View(func(flt *fleet.Fleet) {
		names = append(names, flt.Entries()...)
		if _, ok := flt.Entry(name); !ok {
			names = append(names, name)
		}
	})
	return names
}
