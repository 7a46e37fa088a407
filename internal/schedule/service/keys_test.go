package service_test

import (
	"context"
	"testing"
	"time"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/service"
)

// putKeys puts a configuration in force with an organisation of these keys.
func (ste *site) putKeys(version int64, limit int64, keys ...string) {
	ste.t.Helper()
	orgs := organisation.NewSet()
	org := organisation.Organisation{Name: "acme", Weight: 1}
	org.Cap.MilliCores = limit
	if err := orgs.Add(org, keys); err != nil {
		ste.t.Fatal(err)
	}
	keyed := passes
	keyed.NeedsKey = true
	ste.put(queue.NewTable(version, []queue.Queue{keyed}, []queue.Pool{{Name: pool}, {Name: otherPool}}).WithOrganisations(orgs))
}

// admit returns the queue and the code of the answer to a caller with the key.
func (ste *site) admit(svc *service.Service, key string) (queue.Queue, code.Code) {
	ste.t.Helper()
	ctx, cancel := context.WithTimeout(ste.t.Context(), 3*time.Second)
	defer cancel()
	que, _, ok, err := svc.Gate().Admit(ctx, time.Now(), passes.Host, passes.Prefix, key)
	if !ok {
		ste.t.Fatalf("the queue is not found: %v", err)
	}
	return que, fault.CodeOf(err)
}

// The log turns one entry away, and a key is taken away meanwhile. The entry learns of it through the others and
// goes on serving. Without them it serves no key at all.
func TestKeysAreCheckedThroughOtherEntries(t *testing.T) {
	ste := startSite(t, 1)
	first := ste.entries[0]
	ste.putKeys(2, 0, "kept", "revoked")
	ste.awaitOwner(first)
	second := ste.startEntry(entryMilliCores)
	ste.awaitTable()
	for _, key := range []string{"kept", "revoked"} {
		if _, cod := ste.admit(second, key); cod != code.OK {
			t.Fatalf("key %q: code %d", key, cod)
		}
	}
	// A count makes the second entry look up the owner, and so a neighbour.
	if _, err := second.Gateway().Queued(t.Context(), passes); err != nil {
		t.Fatal(err)
	}
	ste.refused.Store(1)
	ste.putKeys(3, 0, "kept")
	time.Sleep(maxKeyAge)
	for key, want := range map[string]code.Code{"kept": code.OK, "revoked": code.UnknownKey, "": code.UnknownKey} {
		if _, cod := ste.admit(second, key); cod != want {
			t.Errorf("key %q, log refuses: code %d, want %d", key, cod, want)
		}
	}
	ste.putKeys(4, 0, "kept", "added")
	time.Sleep(maxKeyAge) // an unknown key causes no read right after another
	if que, cod := ste.admit(second, "added"); cod != code.OK || que.Organisation != "acme" {
		t.Errorf("key that was just added: organisation %q, code %d", que.Organisation, cod)
	}
	first.SetStopping()
	first.Resign()
	first.Stop()
	time.Sleep(maxKeyAge)
	if _, cod := ste.admit(second, "kept"); cod != code.KeyUnproven {
		t.Errorf("without neighbours: code %d, want keyUnproven", cod)
	}
	second.SetStopping()
	second.Resign()
	second.Stop()
}

// Entries grant each other allowances over the link, also after the entry that decides has stopped.
func TestLimitOverEntries(t *testing.T) {
	ste := startSite(t, 2)
	ste.putKeys(2, 2000, "key")
	ste.awaitTable()
	que, cod := ste.admit(ste.entries[0], "key")
	if cod != code.OK {
		t.Fatalf("code %d", cod)
	}
	run := func(through *service.Service, num int) {
		t.Helper()
		pln := job(num)
		for limit := time.Now().Add(testTimeout); ; {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			err := through.Gateway().Submit(ctx, time.Now(), que, pln)
			cancel()
			if err == nil {
				break
			}
			if time.Now().After(limit) {
				t.Fatal(err)
			}
		}
		for limit := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
			state, found, err := through.Gateway().State(t.Context(), que, pln.ID)
			if err == nil && found && state.IsEnded() {
				return
			}
			if time.Now().After(limit) {
				t.Fatalf("job %d is %s, found %t (%v)", num, state, found, err)
			}
		}
	}
	run(ste.entries[0], 1)
	ste.entries[0].SetStopping()
	ste.entries[0].Resign()
	run(ste.entries[1], 2)
	ste.entries[0].Stop()
	ste.entries[1].SetStopping()
	ste.entries[1].Resign()
	ste.entries[1].Stop()
	ste.checkInvariants()
}
