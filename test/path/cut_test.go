package path

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"daisywheel/internal/operator/client"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/standin/faultnet"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/site"
)

// startZones starts a site of two zones with two entries each, and two pools of four VMs.
func startZones(t *testing.T) (*site.Site, *faultnet.Network) {
	t.Helper()
	plan := smallPlan(2)
	plan.Zones = []string{"z1", "z2"}
	plan.VMsPerPool = 4
	other := plan.Pools[0]
	other.Row.Pool, other.Row.Service = "office", "office"
	plan.Pools = append(plan.Pools, other)
	wrs := faultnet.New()
	ste, err := site.Start(site.Config{Plan: plan, Seed: 1, Dial: wrs.Dial})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ste.Stop)
	return ste, wrs
}

// rowAt returns the first table row as the entry has it.
func rowAt(t *testing.T, ste *site.Site, entry int) wire.Row {
	t.Helper()
	var tbl wire.Table
	if err := operatorAt(ste, entry).Get(context.Background(), "/v1/table", &tbl); err != nil {
		t.Fatal(err)
	}
	return tbl.Rows[0]
}

func operatorAt(ste *site.Site, entry int) *client.Client {
	address := ste.Entries()[entry].Node().Settings().OperatorAddress
	return client.New(client.Config{Addresses: []string{address}, Token: ste.Token()})
}

func setQueueAt(ste *site.Site, entry int, rw wire.Row, queue int) (wire.Answer, error) {
	edt := wire.Edit{Row: rw, BaseRev: rw.Rev, ChangeID: uuid.NewString()}
	edt.Row.Queue = queue
	return operatorAt(ste, entry).Change(context.Background(), http.MethodPut, "/v1/table/rows/gate", edt)
}

// A zone that is cut off from the platform must keep serving, receive changes through
// peers in the other zone, and have its own changes appended by them.
func TestZoneCutFromPlatform(t *testing.T) {
	ste, wrs := startZones(t)
	platform := strings.TrimPrefix(ste.PlatformBase(), "http://")
	wrs.Cut(func(entry, address string) bool { return strings.HasPrefix(entry, "z2") && address == platform })
	time.Sleep(4 * time.Second) // longer than a long poll that hangs on a stalled connection
	if _, err := setQueueAt(ste, 0, rowAt(t, ste, 0), 33); err != nil {
		t.Fatal(err)
	}
	for _, entry := range []int{2, 3} {
		await(t, "change through peers", func() bool { return rowAt(t, ste, entry).Queue == 33 })
		if rsp, body := send(t, ste, entry, http.MethodPost, "cut", ""); rsp.StatusCode != http.StatusOK {
			t.Errorf("entry %d: %d %s", entry, rsp.StatusCode, body)
		}
	}
	if _, err := setQueueAt(ste, 2, rowAt(t, ste, 2), 44); err != nil {
		t.Errorf("a change made in the cut zone: %v", err)
	}
	await(t, "change of the cut zone", func() bool { return rowAt(t, ste, 0).Queue == 44 })
}

// A zone whose entries reach nothing but their backend servers must keep serving. The
// others must count its VMs as down, and a move of one must wait until the zone is back.
func TestZoneCutFromEverything(t *testing.T) {
	ste, wrs := startZones(t)
	backends := map[string]bool{}
	for _, name := range ste.VMs() {
		facts := ste.VM(name).Facts()
		backends[facts.Address] = facts.Zone == "z2"
	}
	wrs.Cut(func(entry, address string) bool { return strings.HasPrefix(entry, "z2") && !backends[address] })
	var vms wire.VMs
	if err := operatorAt(ste, 0).Get(context.Background(), "/v1/vms?pool=office", &vms); err != nil {
		t.Fatal(err)
	}
	var farVM wire.VM
	for _, vm := range vms.VMs {
		if vm.Zone == "z2" {
			farVM = vm
		}
	}
	mov := wire.Move{To: "gate", Epoch: farVM.Epoch, ChangeID: uuid.NewString()}
	if _, err := operatorAt(ste, 0).Change(context.Background(), http.MethodPost, "/v1/vms/"+farVM.Name+"/move", mov); err != nil {
		t.Fatal(err)
	}
	phase := func() string {
		_ = operatorAt(ste, 0).Get(context.Background(), "/v1/vms", &vms)
		for _, vm := range vms.VMs {
			if vm.Name == farVM.Name {
				return vm.Phase
			}
		}
		return ""
	}
	await(t, "zone counted as cut", func() bool {
		var sts wire.Status
		err := operatorAt(ste, 0).Get(context.Background(), "/v1/status", &sts)
		return err == nil && len(sts.CutZones) == 1
	})
	if got := phase(); got != "leaving" {
		t.Errorf("the move reached phase %q without the zone's entries", got)
	}
	for _, entry := range []int{2, 3} {
		if rsp, body := send(t, ste, entry, http.MethodPost, "alone", ""); rsp.StatusCode != http.StatusOK {
			t.Errorf("entry %d: %d %s", entry, rsp.StatusCode, body)
		}
	}
	wrs.Cut(nil)
	await(t, "move ended", func() bool { return phase() == "serving" })
	await(t, "zone back", func() bool {
		var sts wire.Status
		err := operatorAt(ste, 0).Get(context.Background(), "/v1/status", &sts)
		return err == nil && len(sts.CutZones) == 0
	})
}

// A VM must not be assigned its next pool while a request of any entry runs on it.
func TestMoveWaitsForRequestInFlight(t *testing.T) {
	ste, _ := startZones(t)
	slow := ste.VM("gate-01")
	slow.SetFault(simvm.Fault{Slow: 1500 * time.Millisecond})
	var wtg sync.WaitGroup
	entry := 0
	if slow.Facts().Zone == "z2" {
		entry = 2
	}
	for idx := range 8 {
		wtg.Go(func() { send(t, ste, entry+idx%2, http.MethodPost, fmt.Sprint("slow", idx), "") })
	}
	await(t, "a request on the VM", func() bool { return slow.Counts().Served > 0 })
	mov := wire.Move{To: "office", Epoch: 1, ChangeID: uuid.NewString()}
	if _, err := ste.Client().Change(context.Background(), http.MethodPost, "/v1/vms/gate-01/move", mov); err != nil {
		t.Fatal(err)
	}
	await(t, "VM moved", func() bool { return slow.Pool() == "office" })
	if cnt := slow.Counts(); cnt.WorkWhileMoving > 0 {
		t.Errorf("%d requests were running when the VM was assigned its next pool", cnt.WorkWhileMoving)
	}
	wtg.Wait()
}
