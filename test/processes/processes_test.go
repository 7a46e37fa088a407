package processes

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"daisywheel/internal/operator/wire"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/standin/logservice"
)

func TestWholePathOverProcesses(t *testing.T) {
	flt := startFleet(t, 2)
	status, _, err := post(flt.entries[1].caller, "r1")
	if err != nil || status != http.StatusOK {
		t.Fatalf("got %d, %v", status, err)
	}
	jb := wire.Job{Name: "nightly", Team: "a", Cores: 1, MemoryMB: 64, Seconds: 1, ChangeID: uuid.NewString()}
	if _, err := flt.operator().Change(context.Background(), http.MethodPost, "/v1/jobs", jb); err != nil {
		t.Fatal(err)
	}
	flt.await("job done", func() bool {
		var now wire.Job
		return flt.operator().Get(context.Background(), "/v1/jobs/nightly", &now) == nil && now.State == "done"
	})
	if err := flt.move("office-1", "gate"); err != nil {
		t.Fatal(err)
	}
	flt.await("VM moved", func() bool { return flt.vm("office-1").Pool == "gate" })
	flt.check()
}

func TestKilledEntryRepeatsNoRequest(t *testing.T) {
	flt := startFleet(t, 3)
	stop := make(chan struct{})
	one := startLoad(flt.entries[0].caller, "one", 4, stop)
	two := startLoad(flt.entries[1].caller, "two", 4, stop)
	time.Sleep(300 * time.Millisecond)
	_ = flt.entries[0].cmd.Process.Kill()
	_ = flt.entries[0].cmd.Wait()
	// The move must wait until the platform lists the killed entry's VM as gone.
	if err := flt.move("gate-1", "office"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	if phase := flt.vm("gate-1").Phase; phase != "leaving" {
		t.Errorf("the move reached phase %q before the killed entry's VM was listed as gone", phase)
	}
	flt.cloud.Set(time.Now(), "vm-e1", member.Gone)
	flt.await("VM moved", func() bool { return flt.vm("gate-1").Pool == "office" })
	close(stop)
	one.workers.Wait()
	two.workers.Wait()
	if len(two.answered) == 0 {
		t.Error("the surviving entry answered nothing")
	}
	flt.check(one, two)
}

func TestPausedEntryDelaysMove(t *testing.T) {
	flt := startFleet(t, 2)
	stop := make(chan struct{})
	one := startLoad(flt.entries[0].caller, "one", 4, stop)
	two := startLoad(flt.entries[1].caller, "two", 4, stop)
	time.Sleep(200 * time.Millisecond)
	paused := flt.entries[1]
	_ = paused.cmd.Process.Signal(syscall.SIGSTOP)
	if err := flt.move("gate-1", "office"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if phase := flt.vm("gate-1").Phase; phase != "leaving" {
		t.Errorf("the move reached phase %q while an entry was paused", phase)
	}
	_ = paused.cmd.Process.Signal(syscall.SIGCONT)
	flt.await("VM moved", func() bool { return flt.vm("gate-1").Pool == "office" })
	close(stop)
	one.workers.Wait()
	two.workers.Wait()
	flt.check(one, two)
}

func TestGracefulStopCompletesRequests(t *testing.T) {
	flt := startFleet(t, 2)
	stop := make(chan struct{})
	lod := startLoad(flt.entries[0].caller, "one", 6, stop)
	time.Sleep(300 * time.Millisecond)
	_ = flt.entries[0].cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		time.Sleep(50 * time.Millisecond) // until the balancer would see "not ready" and use another entry
		close(stop)
	}()
	lod.workers.Wait()
	if err := flt.entries[0].cmd.Wait(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
	if lod.failed > 0 {
		t.Errorf("%d requests got no whole reply", lod.failed)
	}
	flt.entries = flt.entries[1:]
	flt.await("entry deregistered", func() bool { return len(flt.status().Entries) == 1 })
	flt.check(lod)
}

func TestLogOutageKeepsServingAndResolvesChanges(t *testing.T) {
	flt := startFleet(t, 2)
	flt.ledger.SetFault(logservice.Fault{IsDown: true})
	time.Sleep(3 * time.Second)
	if status, _, err := post(flt.entries[0].caller, "during"); err != nil || status != http.StatusOK {
		t.Errorf("during the outage: %d, %v", status, err)
	}
	isLost := true
	flt.ledger.SetFault(logservice.Fault{LoseReply: func() bool { isLost = !isLost; return !isLost }})
	for count := range 4 {
		if err := flt.move("gate-1", "office"); err != nil {
			t.Errorf("edit %d after lost replies: %v", count, err)
		}
		flt.await("VM moved", func() bool { return flt.vm("gate-1").Pool == "office" })
		if err := flt.move("gate-1", "gate"); err != nil {
			t.Errorf("edit %d after lost replies: %v", count, err)
		}
		flt.await("VM moved back", func() bool { return flt.vm("gate-1").Pool == "gate" })
	}
	flt.check()
}
