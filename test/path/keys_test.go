package path

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Idempotency keys and their answers must outlive the entries that stored them, when
// entries are replaced one at a time.
func TestKeysOutliveTheirEntries(t *testing.T) {
	ste := startSite(t, smallPlan(2))
	const count = 20
	first := make([]string, count)
	for key := range count {
		rsp, body := send(t, ste, key%2, http.MethodPost, fmt.Sprint("k", key), strconv.Itoa(key))
		if rsp.StatusCode != http.StatusOK {
			t.Fatalf("key %d: %d %s", key, rsp.StatusCode, body)
		}
		first[key] = body
	}
	for _, step := range []struct{ add, stop string }{{"z1-late1", "z1-e1"}, {"z1-late2", "z1-e2"}} {
		if err := ste.AddEntry("z1", step.add); err != nil {
			t.Fatal(err)
		}
		entries := ste.Entries()
		await(t, "entry ready", entries[len(entries)-1].Node().IsReady)
		time.Sleep(time.Second)
		ste.StopEntry(step.stop)
		time.Sleep(time.Second)
	}
	for key := range count {
		id := fmt.Sprint("k", key)
		rsp, body := send(t, ste, key%2, http.MethodPost, id, strconv.Itoa(key))
		if runs := ste.Runs(id); runs != 1 {
			t.Errorf("key %d ran %d times", key, runs)
		}
		if rsp.StatusCode != http.StatusOK || body != first[key] {
			t.Errorf("key %d: got %d %q, want %q", key, rsp.StatusCode, body, first[key])
		}
	}
}
