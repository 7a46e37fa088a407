package admission_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/caller/admission"
	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// entry is an entry that has read the configuration present some time ago, while stored is in the log.
type entry struct {
	present, stored *queue.Table
	age             time.Duration
	isCutOff        bool
	reads           int
}

func (ent *entry) gate(maxKeyAge time.Duration) *admission.Gate {
	return admission.NewGate(admission.GateConfig{
		Table: func() *queue.Table { return ent.present }, Age: func() time.Duration { return ent.age },
		CatchUp: func(context.Context, time.Time) error {
			ent.reads++
			if ent.isCutOff {
				return errors.New("cut off")
			}
			ent.present, ent.age = ent.stored, 0
			return nil
		},
		MaxKeyAge: maxKeyAge, Metrics: metrics.NewSet(),
	})
}

func tableOf(t *testing.T, version int64, keys ...string) *queue.Table {
	t.Helper()
	orgs := organisation.NewSet()
	if err := orgs.Add(organisation.Organisation{Name: "acme"}, keys); err != nil {
		t.Fatal(err)
	}
	return queue.NewTable(version, []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", NeedsKey: true}}, nil).WithOrganisations(orgs)
}

// A key is taken away and another added while the entry does not hear of it.
func TestGateReadsWhatItCannotTell(t *testing.T) {
	const bound = 5 * time.Second
	for _, tst := range []struct {
		name     string
		key      string
		age      time.Duration
		isCutOff bool
		maxAge   time.Duration
		want     code.Code
		reads    int
	}{
		{"key in force", "both", 0, false, bound, code.OK, 0},
		{"key in force, old configuration", "both", time.Minute, false, bound, code.OK, 1},
		{"key that was taken away", "old", 2 * time.Second, false, bound, code.OK, 0},
		{"key that was taken away, after the bound", "old", 6 * time.Second, false, bound, code.UnknownKey, 1},
		{"the same, after a freeze, cut off", "old", time.Hour, true, bound, code.KeyUnproven, 1},
		{"the same without a bound", "old", time.Hour, true, 0, code.OK, 0},
		{"key that was just added", "new", 2 * time.Second, false, bound, code.OK, 1},
		{"key that was just added, cut off", "new", 2 * time.Second, true, bound, code.KeyUnproven, 1},
		{"guess", "guess", 2 * time.Second, false, bound, code.UnknownKey, 1},
		{"guess soon after another", "guess", 100 * time.Millisecond, false, bound, code.UnknownKey, 0},
	} {
		ent := &entry{present: tableOf(t, 1, "both", "old"), stored: tableOf(t, 2, "both", "new"), age: tst.age, isCutOff: tst.isCutOff}
		que, rest, ok, err := ent.gate(tst.maxAge).Admit(t.Context(), time.Now(), "h", "/q/x", tst.key)
		if !ok || rest != "x" || fault.CodeOf(err) != tst.want || ent.reads != tst.reads {
			t.Errorf("%s: found %t, rest %q, error %v after %d reads, want code %d after %d", tst.name, ok, rest, err, ent.reads, tst.want, tst.reads)
		}
		if err == nil && que.Organisation != "acme" {
			t.Errorf("%s: organisation %q", tst.name, que.Organisation)
		}
	}
}

// While the log can't be read callers are refused at once, and soon after it can be they are served.
func TestGateDoesNotReadInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ent := &entry{present: tableOf(t, 1, "key"), stored: tableOf(t, 2, "key"), age: time.Hour, isCutOff: true}
		gat := ent.gate(5 * time.Second)
		for range 20 {
			if _, _, _, err := gat.Admit(t.Context(), time.Now(), "h", "/q/x", "key"); fault.CodeOf(err) != code.KeyUnproven {
				t.Errorf("error %v, want keyUnproven", err)
			}
		}
		if ent.reads != 1 {
			t.Errorf("%d reads for 20 requests, want 1", ent.reads)
		}
		ent.isCutOff = false
		time.Sleep(500 * time.Millisecond)
		if _, _, _, err := gat.Admit(t.Context(), time.Now(), "h", "/q/x", "key"); err != nil {
			t.Errorf("after the log is back: %v", err)
		}
	})
}

func TestGateWithoutConfiguration(t *testing.T) {
	ent := &entry{}
	if _, _, _, err := ent.gate(0).Admit(t.Context(), time.Now(), "h", "/q/x", "key"); fault.CodeOf(err) != code.NotReady {
		t.Errorf("error %v, want notReady", err)
	}
	ent.present = tableOf(t, 1, "both")
	if _, _, ok, err := ent.gate(0).Admit(t.Context(), time.Now(), "h", "/x/x", "key"); ok || err != nil {
		t.Errorf("queue that is not configured: found %t, error %v", ok, err)
	}
}
