// Package path tests requests, changes and jobs end to end on a small site with real
// sockets.
package path

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/site"
)

// smallPlan returns the plan of a site with one zone, one pool and two VMs.
func smallPlan(entries int) site.Plan {
	return site.Plan{
		Name: "small", Zones: []string{"z1"}, EntriesPerZone: entries, VMsPerPool: 2,
		VMShape: shape.New(shape.Config{Cores: 4, MemoryMB: 4096}), RebootTime: 50 * time.Millisecond,
		Pools: []site.PoolPlan{{Row: row.Config{
			Pool: "gate", Service: "gate", Weight: 1, DownVMs: 1, Queue: 10, DeadlineMs: 3000,
		}}},
	}
}

func startSite(t *testing.T, plan site.Plan) *site.Site {
	t.Helper()
	ste, err := site.Start(site.Config{Plan: plan, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ste.Stop)
	return ste
}

// send sends one request through the entry and returns the reply and its body.
func send(t *testing.T, ste *site.Site, entry int, method, id, key string) (*http.Response, string) {
	t.Helper()
	address := ste.Entries()[entry].Node().Settings().CallerAddress
	req, err := http.NewRequest(method, "http://"+address+"/s/gate/pass", strings.NewReader("body of "+id))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return rsp, string(body)
}

func TestRequestIsServed(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	rsp, body := send(t, ste, 0, http.MethodPost, "r1", "")
	if rsp.StatusCode != http.StatusOK || !strings.HasPrefix(body, "request r1 served by gate-") {
		t.Fatalf("got %d %q", rsp.StatusCode, body)
	}
	if runs := ste.Runs("r1"); runs != 1 {
		t.Fatalf("ran %d times", runs)
	}
}

// An idempotent request must not be refused as not run when its first attempt ran without
// an answer and the retry found no backend server. This was a fault once.
func TestRetryKeepsUnknownOutcome(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	for range 40 {
		send(t, ste, 0, http.MethodGet, "warm", "")
	}
	ste.VM("gate-01").SetFault(simvm.Fault{Drops: true})
	ste.VM("gate-02").Crash()
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		rsp, body := send(t, ste, 0, http.MethodGet, id, "")
		if rsp.StatusCode == http.StatusOK {
			t.Fatalf("request %s was answered: %q", id, body)
		}
		outcome := rsp.Header.Get("Daisywheel-Outcome")
		if outcome == "notRun" && ste.Runs(id) > 0 {
			t.Errorf("request %s ran %d times but was refused as notRun: %s", id, ste.Runs(id), body)
		}
	}
}

func TestNonIdempotentIsNeverResent(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	for _, name := range ste.VMs() {
		ste.VM(name).SetFault(simvm.Fault{Drops: true})
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		rsp, _ := send(t, ste, 0, http.MethodPost, id, "")
		if got := rsp.Header.Get("Daisywheel-Outcome"); got != "unknown" {
			t.Errorf("outcome %q, want unknown", got)
		}
		if runs := ste.Runs(id); runs != 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
	}
}

func TestCutReplyIsNotServedAsComplete(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	for _, name := range ste.VMs() {
		ste.VM(name).SetFault(simvm.Fault{CutsReply: true})
	}
	rsp, _ := send(t, ste, 0, http.MethodPost, "a", "")
	if rsp.Header.Get("Daisywheel-Code") != "112" || rsp.Header.Get("Daisywheel-Outcome") != "unknown" {
		t.Fatalf("got %d, code %q, outcome %q", rsp.StatusCode, rsp.Header.Get("Daisywheel-Code"), rsp.Header.Get("Daisywheel-Outcome"))
	}
}

func TestKeyedRepeatGetsFirstAnswerThroughAnotherEntry(t *testing.T) {
	ste := startSite(t, smallPlan(3))
	_, first := send(t, ste, 0, http.MethodPost, "r1", "key-1")
	for entry := range 3 {
		rsp, again := send(t, ste, entry, http.MethodPost, "r1", "key-1")
		if rsp.StatusCode != http.StatusOK || again != first {
			t.Fatalf("entry %d: got %d %q, want %q", entry, rsp.StatusCode, again, first)
		}
	}
	if runs := ste.Runs("r1"); runs != 1 {
		t.Fatalf("ran %d times", runs)
	}
}
