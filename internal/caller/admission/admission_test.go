package admission_test

import (
	"testing"
	"time"

	"daisywheel/internal/caller/admission"
)

func TestDecide(t *testing.T) {
	const maxAge = 5 * time.Second
	for _, tst := range []struct {
		name        string
		isKnown     bool
		age, maxAge time.Duration
		want        admission.Verdict
	}{
		{"known, fresh", true, 0, maxAge, admission.Accept},
		{"known, old but within the bound", true, 4700 * time.Millisecond, maxAge, admission.Accept},
		{"known, within the bound by a clock that may be slow", true, 4950 * time.Millisecond, maxAge, admission.Verify},
		{"known, beyond the bound, as after a freeze", true, time.Minute, maxAge, admission.Verify},
		{"known, age unknown", true, -1, maxAge, admission.Verify},
		{"known, no bound", true, time.Hour, 0, admission.Accept},
		{"known, no bound, age unknown", true, -1, 0, admission.Accept},
		{"unknown, fresh", false, 100 * time.Millisecond, maxAge, admission.Refuse},
		{"unknown, the key may have been added since", false, time.Second, maxAge, admission.Verify},
		{"unknown, no bound", false, time.Second, 0, admission.Verify},
		{"unknown, age unknown", false, -1, 0, admission.Verify},
	} {
		if got := admission.Decide(tst.isKnown, tst.age, tst.maxAge); got != tst.want {
			t.Errorf("%s: verdict %d, want %d", tst.name, got, tst.want)
		}
	}
}
