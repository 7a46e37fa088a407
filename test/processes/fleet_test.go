// Package processes tests entries that run as separate operating system processes:
// kills, pauses and graceful stops.
package processes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/operator/client"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/standin/logservice"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/vmlist"
)

const (
	token      = "0123456789abcdef"
	awaitLimit = 20 * time.Second

	vmsPerPool = 2
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "daisywheel")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "daisywheel")
	out, err := exec.Command("go", "build", "-o", binary, "daisywheel").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// fleet is a stand-in platform and VMs inside the test process, and entries outside it.
type fleet struct {
	t        *testing.T
	ledger   *logservice.Service
	cloud    *vmlist.VMList
	base     string
	entries  []*child
	machines map[string]*simvm.VM

	mu   sync.Mutex
	runs map[string]int
}

// child is one entry process.
type child struct {
	cmd      *exec.Cmd
	name     string
	caller   string
	operator string
	peer     string
}

const (
	// The system takes no ports below 32768 for connections, so that none is taken between the choice and the start of a process.
	minPort = 20000
	maxPort = 32767
)

// freeAddress returns a loopback address that is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 100 {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+rand.IntN(maxPort-minPort)))
		if lsn, err := net.Listen("tcp", address); err == nil {
			_ = lsn.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func startFleet(t *testing.T, entries int) *fleet {
	t.Helper()
	flt := &fleet{
		t: t, ledger: logservice.New(logservice.Config{}), cloud: vmlist.New(vmlist.Config{}),
		machines: map[string]*simvm.VM{}, runs: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/streams/", flt.ledger.Handler())
	mux.Handle("/v1/vms", flt.cloud.Handler())
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lsn) }()
	t.Cleanup(func() { _ = srv.Close() })
	flt.base = "http://" + lsn.Addr().String()
	for idx := range entries {
		flt.startEntry(fmt.Sprintf("e%d", idx+1))
	}
	flt.await("entries ready", func() bool { return flt.status().Ready && len(flt.status().Entries) == entries })
	for _, pool := range []string{"gate", "office"} {
		edt := wire.Edit{ChangeID: uuid.NewString(), Row: wire.FromRow(row.Config{
			Pool: pool, Service: pool, Weight: 1, TakeVMs: 9, LendVMs: 9, DownVMs: 1, Queue: 100, DeadlineMs: 5000,
		}, 0, "")}
		if _, err := flt.operator().Change(context.Background(), http.MethodPut, "/v1/table/rows/"+pool, edt); err != nil {
			t.Fatal(err)
		}
		for idx := range vmsPerPool {
			flt.startVM(fmt.Sprintf("%s-%d", pool, idx+1), pool)
		}
	}
	flt.await("VMs listed", func() bool { return len(flt.vms()) == 2*vmsPerPool })
	return flt
}

func (flt *fleet) startEntry(name string) *child {
	flt.t.Helper()
	chd := &child{name: name, caller: freeAddress(flt.t), operator: freeAddress(flt.t), peer: freeAddress(flt.t)}
	path := filepath.Join(flt.t.TempDir(), name+".yaml")
	text := fmt.Sprintf("name: %s\nzone: z1\nvm: vm-%s\ncallerAddress: %s\noperatorAddress: %s\npeerAddress: %s\n"+
		"operatorToken: %s\nlogService: %s\nvmList: %s\nbalancerDelay: 100ms\nattemptTimeout: 5s\n",
		name, name, chd.caller, chd.operator, chd.peer, token, flt.base, flt.base)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		flt.t.Fatal(err)
	}
	chd.cmd = exec.Command(binary, "entry", "-settings", path)
	chd.cmd.Stderr = os.Stderr
	if err := chd.cmd.Start(); err != nil {
		flt.t.Fatal(err)
	}
	flt.t.Cleanup(func() {
		_ = chd.cmd.Process.Signal(syscall.SIGCONT)
		_ = chd.cmd.Process.Kill()
		_ = chd.cmd.Wait()
	})
	flt.cloud.Add(time.Now(), member.Config{VM: "vm-" + name, Zone: "z1"}, true)
	flt.entries = append(flt.entries, chd)
	return chd
}

func (flt *fleet) startVM(name, pool string) {
	mch, err := simvm.Start(simvm.Config{
		Facts: member.Config{VM: name, Zone: "z1", Rack: "r1", Pool: pool, Shape: shape.New(shape.Config{Cores: 4, MemoryMB: 4096})},
		OnRun: func(_, request string) {
			flt.mu.Lock()
			defer flt.mu.Unlock()
			flt.runs[request]++
		},
		ServiceTime: func(*http.Request) time.Duration { return 20 * time.Millisecond },
	})
	if err != nil {
		flt.t.Fatal(err)
	}
	flt.machines[name] = mch
	flt.cloud.Add(time.Now(), mch.Facts(), false)
	flt.t.Cleanup(mch.Close)
}

func (flt *fleet) operator() *client.Client {
	var addresses []string
	for _, chd := range flt.entries {
		addresses = append(addresses, chd.operator)
	}
	return client.New(client.Config{Addresses: addresses, Token: token})
}

func (flt *fleet) status() wire.Status {
	var sts wire.Status
	_ = flt.operator().Get(context.Background(), "/v1/status", &sts)
	return sts
}

func (flt *fleet) vms() []wire.VM {
	var vms wire.VMs
	_ = flt.operator().Get(context.Background(), "/v1/vms", &vms)
	return vms.VMs
}

func (flt *fleet) vm(name string) wire.VM {
	for _, vm := range flt.vms() {
		if vm.Name == name {
			return vm
		}
	}
	return wire.VM{}
}

func (flt *fleet) await(what string, isTrue func() bool) {
	flt.t.Helper()
	until := time.Now().Add(awaitLimit)
	for !isTrue() {
		if time.Now().After(until) {
			flt.t.Fatalf("%s: still waiting after %s", what, awaitLimit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (flt *fleet) move(vm, to string) error {
	mov := wire.Move{To: to, Epoch: flt.vm(vm).Epoch, ChangeID: uuid.NewString()}
	_, err := flt.operator().Change(context.Background(), http.MethodPost, "/v1/vms/"+vm+"/move", mov)
	return err
}

// post sends one non-idempotent request and returns its status and outcome.
func post(address, id string) (status int, outcome string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/s/gate/x", strings.NewReader(id))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Request-Id", id)
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = rsp.Body.Close() }()
	_, err = io.Copy(io.Discard, rsp.Body)
	return rsp.StatusCode, rsp.Header.Get("Daisywheel-Outcome"), err
}

// load sends requests through one entry and records their outcomes.
type load struct {
	mu       sync.Mutex
	answered []string
	notRun   []string
	failed   int // requests without a whole reply
	workers  sync.WaitGroup
}

// startLoad sends requests from the given number of workers until stop is closed.
func startLoad(address, prefix string, workers int, stop <-chan struct{}) *load {
	lod := &load{}
	for worker := range workers {
		lod.workers.Go(func() {
			for count := 0; ; count++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%s-%d-%d", prefix, worker, count)
				lod.send(id, address)
			}
		})
	}
	return lod
}

func (lod *load) send(id, address string) {
	status, outcome, err := post(address, id)
	lod.mu.Lock()
	defer lod.mu.Unlock()
	switch {
	case err != nil:
		lod.failed++
	case status == http.StatusOK:
		lod.answered = append(lod.answered, id)
	case outcome == "notRun":
		lod.notRun = append(lod.notRun, id)
	}
	if err != nil {
		time.Sleep(5 * time.Millisecond)
	}
}

// check compares what callers saw with what the VMs ran.
func (flt *fleet) check(lods ...*load) {
	flt.t.Helper()
	flt.mu.Lock()
	defer flt.mu.Unlock()
	for id, runs := range flt.runs {
		if runs > 1 {
			flt.t.Errorf("request %s ran %d times", id, runs)
		}
	}
	for _, lod := range lods {
		for _, id := range lod.answered {
			if flt.runs[id] != 1 {
				flt.t.Errorf("request %s was answered but ran %d times", id, flt.runs[id])
			}
		}
		for _, id := range lod.notRun {
			if flt.runs[id] != 0 {
				flt.t.Errorf("request %s was refused as not run but ran", id)
			}
		}
	}
	for name, mch := range flt.machines {
		if cnt := mch.Counts(); cnt.SlotsExceeded+cnt.ConnsExceeded+cnt.LateWork+cnt.WorkWhileMoving > 0 {
			flt.t.Errorf("VM %s: %+v", name, cnt)
		}
	}
}
