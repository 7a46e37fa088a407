package path

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"daisywheel/internal/operator/wire"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/standin/logservice"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/site"
)

const waitLimit = 20 * time.Second

func await(t *testing.T, what string, isTrue func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !isTrue(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: still waiting after %s", what, waitLimit)
		}
	}
}

// editQueue sets the queue limit of the only row.
func editQueue(t *testing.T, ste *site.Site, queue int) {
	t.Helper()
	var tbl wire.Table
	if err := ste.Client().Get(context.Background(), "/v1/table", &tbl); err != nil {
		t.Fatal(err)
	}
	edt := wire.Edit{Row: tbl.Rows[0], BaseRev: tbl.Rows[0].Rev, ChangeID: uuid.NewString()}
	edt.Row.Queue = queue
	if _, err := ste.Client().Change(context.Background(), http.MethodPut, "/v1/table/rows/gate", edt); err != nil {
		t.Fatal(err)
	}
}

// When the log has dropped the records of the first table and of the VMs, a new entry
// must restore them from a checkpoint that was written before.
func TestFreshEntryStartsFromCheckpoint(t *testing.T) {
	ste, err := site.Start(site.Config{Plan: smallPlan(2), Seed: 1, Log: logservice.Config{Retention: 60}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ste.Stop)
	oldest := func() int64 { return ste.Entries()[0].Node().Replica().Oldest() }
	for count := 0; oldest() < 120; count++ {
		editQueue(t, ste, 10+count%50)
		if count%12 == 0 {
			time.Sleep(1100 * time.Millisecond) // checkpoints are considered every second
		}
	}
	editQueue(t, ste, 77)
	if err := ste.AddEntry("z1", "z1-late"); err != nil {
		t.Fatal(err)
	}
	late := ste.Entries()[2].Node()
	await(t, "new entry ready", late.IsReady)
	rsp, body := send(t, ste, 2, http.MethodPost, "late", "")
	await(t, "new entry serves", func() bool {
		rsp, body = send(t, ste, 2, http.MethodGet, "late-get", "")
		return rsp.StatusCode == http.StatusOK
	})
	if body == "" {
		t.Error("no answer")
	}
	var tbl wire.Table
	if err := ste.Client().Get(context.Background(), "/v1/table", &tbl); err != nil || tbl.Rows[0].Queue != 77 {
		t.Errorf("the table has %+v (%v)", tbl.Rows, err)
	}
}

// When all backend servers refuse requests, retries must stay within the retry budget.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	for _, name := range ste.VMs() {
		ste.VM(name).SetFault(simvm.Fault{Refuses: true})
	}
	before := countServed(ste)
	const count = 500
	for idx := range count {
		send(t, ste, 0, http.MethodGet, fmt.Sprint("r", idx), "")
	}
	attempts := countServed(ste) - before
	t.Logf("%d attempts for %d requests", attempts, count)
	if attempts < count/2 || attempts > count*110/100 {
		t.Errorf("%d attempts for %d requests, must be at most 10%% more", attempts, count)
	}
}

// countServed returns how many requests the VMs have received.
func countServed(ste *site.Site) int64 {
	var total int64
	for _, name := range ste.VMs() {
		total += ste.VM(name).Counts().Served
	}
	return total
}

// An urgent job must preempt tasks of lower priority on a full fleet, and these must run
// again later.
func TestUrgentJobStartsOnFullFleet(t *testing.T) {
	ste := startSite(t, smallPlan(2))
	submit := func(name string, priority, cores, seconds int) {
		jb := wire.Job{Name: name, Team: "t", Cores: cores, MemoryMB: 1, Priority: priority, Seconds: seconds, ChangeID: uuid.NewString()}
		if _, err := ste.Client().Change(context.Background(), http.MethodPost, "/v1/jobs", jb); err != nil {
			t.Fatal(err)
		}
	}
	state := func(name string) wire.Job {
		var jb wire.Job
		if err := ste.Client().Get(context.Background(), "/v1/jobs/"+name, &jb); err != nil {
			t.Fatal(err)
		}
		return jb
	}
	for idx := range 4 {
		submit(fmt.Sprint("lesser", idx), 10, 2, 3)
	}
	await(t, "fleet full", func() bool {
		for idx := range 4 {
			if state(fmt.Sprint("lesser", idx)).State != "placed" {
				return false
			}
		}
		return true
	})
	begin := time.Now()
	submit("urgent", 95, 4, 1)
	await(t, "urgent job placed", func() bool { return state("urgent").State == "placed" })
	t.Logf("placed after %v", time.Since(begin))
	await(t, "all done", func() bool {
		for idx := range 4 {
			if state(fmt.Sprint("lesser", idx)).State != "done" {
				return false
			}
		}
		return state("urgent").State == "done"
	})
	if ste.Tally().DuplicateTasks > 0 {
		t.Error("a task ran on two VMs at once")
	}
}

// A backend server that the platform lists as departing must get no new requests after
// 3 s, even while the log is unavailable.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	ste := startSite(t, smallPlan(1))
	ste.LogService().SetFault(logservice.Fault{IsDown: true})
	now := time.Now()
	ste.VM("gate-01").SetDeparting(now)
	ste.VMList().Set(now, "gate-01", member.Departing)
	before := ste.VM("gate-01").Counts().Served
	for idx := 0; time.Since(now) < 4*time.Second; idx++ {
		rsp, _ := send(t, ste, 0, http.MethodGet, fmt.Sprint("r", idx), "")
		if rsp.StatusCode != http.StatusOK {
			t.Fatalf("status %d although gate-02 serves", rsp.StatusCode)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if late := ste.VM("gate-01").Counts().LateWork; late > 0 {
		t.Errorf("%d requests came more than 3 s after the announcement", late)
	}
	if ste.VM("gate-01").Counts().Served == before {
		t.Error("the VM got no request at all, so the test proves nothing")
	}
}
