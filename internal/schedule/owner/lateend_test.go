package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/standin/logstore"
)

// unresponsive returns the unresponsive VMs of the pool as the owner reports them.
func unresponsive(own *owner.Owner) []balance.VM {
	var vms []balance.VM
	for _, vm := range own.BalanceInput(time.Now()).VMs {
		if vm.IsUnresponsive {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Guards against tasks that run twice: a VM was down, the fleet controller answered the report of
// that late, and the owner ended the incarnation that had come back and started its tasks elsewhere.
func TestLateEndDoesNotEndAVMThatHasComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		fxt.runTime = 3 * time.Second
		own := fxt.open()
		time.Sleep(time.Second)
		fxt.fleet.Cut("vm-0", true)
		time.Sleep(4 * time.Second)
		reported := unresponsive(own)
		if len(reported) != 1 {
			t.Fatalf("the owner reports %v as unresponsive, want vm-0", reported)
		}
		fxt.fleet.Reboot(time.Now(), "vm-0")
		time.Sleep(2 * time.Second)
		own.SetListedVMs(time.Now(), fxt.fleet.Hosts())
		time.Sleep(time.Second)
		if err := fxt.submit(own, job(1, 8)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if count := fxt.fleet.CountRunning(time.Now(), "vm-0"); count == 0 {
			t.Fatal("no task runs on the VM that has come back")
		}
		own.SetTerminated(time.Now(), reported)
		fxt.await(own, job(1, 8).ID, 20*time.Second)
		if got := fxt.fleet.Starts(); got != 9 {
			t.Errorf("%d starts, want 9", got)
		}
		fxt.checkInvariants()
	})
}

// The end of a VM that has not answered since it was reported takes effect.
func TestEndOfAVMThatIsDownStartsItsTasksElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		fxt.runTime = 3 * time.Second
		own := fxt.open()
		time.Sleep(time.Second)
		if err := fxt.submit(own, job(1, 4)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		vm := "vm-0"
		if fxt.fleet.CountRunning(time.Now(), vm) == 0 {
			vm = "vm-1"
		}
		fxt.fleet.Reboot(time.Now(), vm) // what ran there has ended
		fxt.fleet.Cut(vm, true)
		time.Sleep(3500 * time.Millisecond)
		own.SetTerminated(time.Now(), unresponsive(own))
		fxt.await(own, job(1, 4).ID, 7*time.Second)
		fxt.checkInvariants()
	})
}
