package owner_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/standin/logstore"
)

// An owner starts a task on a VM that has restarted under its id. The next owner reads the VM's
// record and must wait for its report.
func TestTaskOnRestartedVMDoesNotRunElsewhereAfterChangeOfOwner(t *testing.T) {
	for name, open := range map[string]func(*fixture) *owner.Owner{"present version": (*fixture).open, "earlier version": (*fixture).openEarlier} {
		t.Run(name, func(t *testing.T) { checkRestartAndChangeOfOwner(t, open) })
	}
}

func checkRestartAndChangeOfOwner(t *testing.T, open func(*fixture) *owner.Owner) {
	synctest.Test(t, func(t *testing.T) {
		fxt := newFixture(t, 2, logstore.Config{})
		first := open(fxt)
		time.Sleep(time.Second)
		fxt.fleet.Reboot(time.Now(), "vm-0")
		fxt.fleet.Reboot(time.Now(), "vm-1")
		first.SetListedVMs(time.Now(), fxt.fleet.Hosts())
		time.Sleep(time.Second)
		longRunning := &plan.Plan{ID: longRunningID, Steps: []plan.Step{{
			Count: 2, Demand: plan.Demand{MilliCores: 4000, MemoryMB: 100}, IsLongRunning: true, MaxPerVM: 1,
		}}}
		if err := fxt.submit(first, longRunning); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		first.Close()
		fxt.fleet.Reboot(time.Now(), "vm-1") // its task may start again, but not instead of the one on vm-0
		agt := fxt.fleet.Agent()
		poll := agt.Poll
		agt.Poll = func(ctx context.Context, tgt agent.Target, req agent.Poll) (agent.Report, agent.Outcome, error) {
			if tgt.VM == "vm-0" {
				time.Sleep(100 * time.Millisecond)
			}
			return poll(ctx, tgt, req)
		}
		fxt.openWith(fxt.store.Client(), agt)
		time.Sleep(3 * time.Second)
		fxt.checkInvariants()
	})
}

// VMs restart under their ids while short jobs come. An owner learns of a restart from the
// list of VMs, which lags behind, or from the next poll, as the open one stays silent.
func TestTasksRunOnceThroughRestartsOfVMs(t *testing.T) {
	for name, open := range map[string]func(*fixture) *owner.Owner{"present version": (*fixture).open, "earlier version": (*fixture).openEarlier} {
		t.Run(name, func(t *testing.T) { checkRestartsOfVMs(t, open) })
	}
}

func checkRestartsOfVMs(t *testing.T, open func(*fixture) *owner.Owner) {
	synctest.Test(t, func(t *testing.T) {
		const vms, jobs = 6, 120
		fxt := newFixture(t, vms, logstore.Config{})
		own := open(fxt)
		time.Sleep(time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for num := range 4 * vms {
				time.Sleep(410 * time.Millisecond)
				fxt.fleet.Reboot(time.Now(), fmt.Sprintf("vm-%d", num%vms))
				time.Sleep(250 * time.Millisecond)
				own.SetListedVMs(time.Now(), fxt.fleet.Hosts())
			}
		}()
		for num := range jobs {
			if err := fxt.submit(own, job(num, 3)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(120 * time.Millisecond)
		}
		<-done
		for num := range jobs {
			fxt.await(own, job(num, 3).ID, 20*time.Second)
		}
		fxt.checkInvariants()
	})
}
