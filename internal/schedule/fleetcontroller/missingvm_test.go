package fleetcontroller_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/standin/logstore"
)

// Guards against the end of a VM that came back between two machine lists: lists from before its
// last answer, or of another term of its owner, do not count.
func TestListsFromBeforeAVMsAnswerDoNotEndIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, plt := logstore.New(logstore.Config{Latency: 4 * time.Millisecond}), newFakePlatform("gate", "haul")
		plt.isHidden = func(machine string) bool { return machine == "gate-0" }
		ctl := openController(t, log, plt, "first")
		defer ctl.Close()
		time.Sleep(time.Second)
		report := func(fence, revision int64, isUnresponsive bool) []balance.VM {
			_, ended := ctl.HandleReport(time.Now(), balance.Pool{Name: "gate", FencingToken: fence, VMs: []balance.VM{{
				ID: "vm-gate-0-0", MilliCores: 16000, IsUsable: !isUnresponsive, IsUnresponsive: isUnresponsive, Revision: revision,
			}}})
			return ended
		}
		reportUntilEnded(t, plt, func() []balance.VM { return report(1, 5, true) }, 5)
		if ended := report(1, 7, true); len(ended) != 0 {
			t.Errorf("%v has ended by lists from before its last answer", ended)
		}
		reportUntilEnded(t, plt, func() []balance.VM { return report(1, 7, true) }, 7)
		if ended := report(2, 7, true); len(ended) != 0 {
			t.Errorf("%v has ended by lists that count for the former owner", ended)
		}
		reportUntilEnded(t, plt, func() []balance.VM { return report(2, 7, true) }, 7)
		report(2, 8, false)
		if ended := report(2, 9, true); len(ended) != 0 {
			t.Errorf("%v has ended by lists from before its last answer", ended)
		}
	})
}

// reportUntilEnded reports every 100 ms until the VM has ended, and checks that this takes two
// lists and that the revision is the reported one.
func reportUntilEnded(t *testing.T, plt *fakePlatform, report func() []balance.VM, revision int64) {
	t.Helper()
	before := plt.listCount()
	for range 50 {
		ended := report()
		switch {
		case len(ended) == 0:
			time.Sleep(100 * time.Millisecond)
			continue
		case plt.listCount() < before+2:
			t.Errorf("the VM has ended after %d lists, want 2", plt.listCount()-before)
		case ended[0].Revision != revision:
			t.Errorf("the VM has ended at revision %d, reported was %d", ended[0].Revision, revision)
		}
		return
	}
	t.Error("the VM has not ended after 5 s")
}
