package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/standin/logstore"
)

// keyedFixture is a pool whose queue needs a key.
func keyedFixture(t *testing.T, vms int) *fixture {
	fxt := newFixture(t, vms, logstore.Config{})
	orgs := organisation.NewSet()
	if err := orgs.Add(organisation.Organisation{Name: "acme"}, []string{"secret"}); err != nil {
		t.Fatal(err)
	}
	queues := fxt.table.Queues()
	queues[0].NeedsKey = true
	fxt.table = queue.NewTable(1, queues, fxt.table.Pools()).WithOrganisations(orgs)
	return fxt
}

// A job belongs to its organisation, also after a change of its owner, after its end, and for an entry that
// reads its state from the log.
func TestJobsAreShownToTheirOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = "00000000000000a1"
		acme, other := passes, passes
		acme.Organisation, other.Organisation = "acme", "zenith"
		fxt := keyedFixture(t, 2)
		pln := &plan.Plan{ID: id, Steps: []plan.Step{{Count: 1, Demand: plan.Demand{MilliCores: 1000}, Estimate: time.Second}}}
		check := func(own *owner.Owner, stage string) {
			t.Helper()
			if _, ok, err := own.State(acme, id); !ok || err != nil {
				t.Errorf("%s: its own organisation: found %t, error %v", stage, ok, err)
			}
			if _, _, err := own.State(other, id); fault.CodeOf(err) != code.UnknownJob {
				t.Errorf("%s: another organisation: error %v, want unknownJob", stage, err)
			}
			if _, err := own.Cancel(t.Context(), time.Now(), other, id); fault.CodeOf(err) != code.UnknownJob {
				t.Errorf("%s: cancelled by another organisation: error %v, want unknownJob", stage, err)
			}
			for ref, want := range map[queue.Ref]bool{acme: true, other: false} {
				_, ok, err := owner.StoredState(t.Context(), fxt.store.Client(), pool, 0, id, ref.MayShow)
				if ok != want || err != nil {
					t.Errorf("%s: in the log, for %s: found %t, error %v", stage, ref.Organisation, ok, err)
				}
			}
		}
		first := fxt.open()
		if err := first.Submit(t.Context(), time.Now(), pln, acme); err != nil {
			t.Fatal(err)
		}
		check(first, "accepted")
		if err := first.Submit(t.Context(), time.Now(), pln, other); fault.CodeOf(err) != code.KeyConflict {
			t.Errorf("the same id from another organisation: error %v, want keyConflict", err)
		}
		time.Sleep(200 * time.Millisecond)
		check(first, "running")
		second := fxt.open()
		check(second, "with another owner")
		time.Sleep(5 * time.Second)
		check(second, "ended")
	})
}

// An entry of an earlier version checks no keys.
func TestSubmissionsWithoutCheckedKeyAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := keyedFixture(t, 1)
		own := fxt.open()
		pln := &plan.Plan{ID: "00000000000000a2", Steps: []plan.Step{{Count: 1, Demand: plan.Demand{MilliCores: 1000}}}}
		if err := own.Submit(t.Context(), time.Now(), pln, passes); fault.CodeOf(err) != code.QueueFull {
			t.Errorf("error %v, want queueFull", err)
		}
		time.Sleep(time.Second)
		if _, ok, _ := own.State(passes, pln.ID); ok {
			t.Error("the refused job is known")
		}
	})
}
