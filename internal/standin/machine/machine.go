// Package machine is a small stand-in for one VM: a backend server and the
// worker agent, with seams for the faults that VMs have. It counts from its own
// side what the product promises about it.
package machine

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
)

// Limits of every backend server.
const (
	MaxSlots       = 8
	MaxConnections = 64
)

// leaveGrace is how long after the platform says that a VM leaves it may still get new work.
const departureGrace = 3 * time.Second

// relistenTries bounds the attempts to take the old port again after a reboot.
const relistenAttempts = 50

// Config holds the VM's facts and the seams. ServiceTime, Behave and OnRun may be nil.
type Config struct {
	Facts       member.Config
	RebootTime  time.Duration
	UsageLag    time.Duration
	ServiceTime func(req *http.Request) time.Duration
	IsFailing   func(task string) bool
	OnRun       func(vm, request string)
	OnReboot    func(vm string)
	OnTask      func(vm, task string, isRunning bool)
}

// Fault is the present misbehaviour of the backend server.
type Fault struct {
	Hangs     bool // accepts and never answers
	Refuses   bool // says that it did not run the request
	CutsReply bool // closes in the middle of the body
	Drops     bool // runs the request and closes without a reply
	Slow      time.Duration
	IsDark    bool // agent and backend server do not answer; nothing is closed
}

// Counts are what the VM saw of broken promises and of work.
type Counts struct {
	Served          int64
	SlotsExceeded   int64
	ConnsExceeded   int64
	LateWork        int64
	CutByReboot     int64
	WorkWhileMoving int64
	Boots           int64
}

// Machine is one running VM. It is safe for concurrent use.
type Machine struct {
	cfg         Config
	mu          sync.Mutex
	backend     *http.Server
	agent       *http.Server
	pool        string
	epoch       int64
	fault       Fault
	counts      Counts
	inFlight    int
	conns       int
	departingAt time.Time
	isCrashed   bool
	isDown      bool
	tasks       map[string]*task
	busyTime    time.Duration
}

type task struct {
	name         string
	fencingToken int64
	usage        shape.Shape
	startedAt    time.Time
	endsAt       time.Time
	leaseUntil   time.Time
	state        string
}

// Start opens the VM's two listeners on loopback and serves.
func Start(cfg Config) (*Machine, error) {
	vm := &Machine{cfg: cfg, pool: cfg.Facts.Pool, epoch: 1, tasks: map[string]*task{}}
	agentLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	backendLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	vm.cfg.Facts.Agent = agentLn.Addr().String()
	vm.cfg.Facts.Address = backendLn.Addr().String()
	vm.agent = &http.Server{Handler: vm.agentHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = vm.agent.Serve(agentLn) }()
	vm.serveBackend(backendLn)
	return vm, nil
}

func (vm *Machine) serveBackend(lsn net.Listener) {
	srv := &http.Server{
		ErrorLog:          log.New(io.Discard, "", 0),
		Handler:           http.HandlerFunc(vm.serve),
		ReadHeaderTimeout: time.Minute,
		ConnState:         vm.countConn,
	}
	vm.mu.Lock()
	vm.backend = srv
	vm.conns = 0
	vm.mu.Unlock()
	go func() { _ = srv.Serve(lsn) }()
}

func (vm *Machine) countConn(_ net.Conn, stt http.ConnState) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	switch stt {
	case http.StateNew:
		vm.conns++
		if vm.conns > MaxConnections {
			vm.counts.ConnsExceeded++
		}
	case http.StateClosed, http.StateHijacked:
		vm.conns--
	case http.StateActive, http.StateIdle:
	}
}

// Facts returns the VM's facts with its addresses.
func (vm *Machine) Facts() member.Config { return vm.cfg.Facts }

// Pool returns the pool that the agent was last told.
func (vm *Machine) Pool() string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.pool
}

// Counts returns what the VM has seen.
func (vm *Machine) Counts() Counts {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.counts
}

// BusyTime returns the slot time spent on requests.
func (vm *Machine) BusyTime() time.Duration {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.busyTime
}

// IsDown reports whether the VM is rebooting, gone or crashed.
func (vm *Machine) IsDown() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.isDown || vm.isCrashed
}

// SetFault replaces the present misbehaviour.
func (vm *Machine) SetFault(flt Fault) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.fault = flt
}

// SetLeaving notes that the platform said at now that the VM leaves.
func (vm *Machine) SetLeaving(now time.Time) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.departingAt = now
}

// Crash ends the VM's processes at once, as an unplanned failure does.
func (vm *Machine) Crash() {
	vm.mu.Lock()
	vm.isCrashed = true
	backend := vm.backend
	vm.mu.Unlock()
	_ = backend.Close()
	_ = vm.agent.Close()
}

// serve answers one request. The reply names the request and the service, so
// that the caller can tell whether the answer is its own and whole.
func (vm *Machine) serve(rsp http.ResponseWriter, req *http.Request) {
	startedAt := time.Now()
	flt := vm.beginRequest(startedAt, req)
	defer vm.endRequest(startedAt)
	// Only with its body read can a server notice that the caller has left.
	_, _ = io.Copy(io.Discard, req.Body)
	if flt.IsDark || flt.Hangs {
		<-req.Context().Done()
		return
	}
	if flt.Refuses {
		rsp.Header().Set("Daisywheel-Outcome", "notRun")
		http.Error(rsp, "busy", http.StatusServiceUnavailable)
		return
	}
	id := req.Header.Get("X-Request-Id")
	if vm.cfg.OnRun != nil && id != "" {
		vm.cfg.OnRun(vm.cfg.Facts.VM, id)
	}
	if flt.Drops {
		panic(http.ErrAbortHandler)
	}
	wait := flt.Slow
	if vm.cfg.ServiceTime != nil {
		wait += vm.cfg.ServiceTime(req)
	}
	time.Sleep(wait)
	body := fmt.Sprintf("request %s served by %s for %s\n", id, vm.cfg.Facts.VM, req.URL.Path)
	rsp.Header().Set("X-Runner", vm.cfg.Facts.VM)
	rsp.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if flt.CutsReply {
		_, _ = rsp.Write([]byte(body[:len(body)/2]))
		_ = http.NewResponseController(rsp).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = rsp.Write([]byte(body))
}

func (vm *Machine) beginRequest(now time.Time, _ *http.Request) Fault {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.inFlight++
	vm.counts.Served++
	if vm.inFlight > MaxSlots {
		vm.counts.SlotsExceeded++
	}
	if !vm.departingAt.IsZero() && now.Sub(vm.departingAt) > departureGrace {
		vm.counts.LateWork++
	}
	if vm.isDown {
		vm.counts.WorkWhileMoving++
	}
	return vm.fault
}

func (vm *Machine) endRequest(startedAt time.Time) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.inFlight--
	vm.busyTime += time.Since(startedAt)
}

// reboot restarts the backend server after the reboot time. Requests that it
// cuts off are counted.
func (vm *Machine) reboot() {
	vm.mu.Lock()
	vm.isDown = true
	vm.counts.Boots++
	vm.counts.CutByReboot += int64(vm.inFlight)
	backend := vm.backend
	vm.mu.Unlock()
	if vm.cfg.OnReboot != nil {
		vm.cfg.OnReboot(vm.cfg.Facts.VM)
	}
	_ = backend.Close()
	time.Sleep(vm.cfg.RebootTime)
	for range relistenAttempts {
		lsn, err := net.Listen("tcp", vm.cfg.Facts.Address)
		if err == nil {
			vm.serveBackend(lsn)
			vm.mu.Lock()
			vm.isDown = false
			vm.mu.Unlock()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Close stops the VM without counting anything.
func (vm *Machine) Close() {
	vm.mu.Lock()
	backend := vm.backend
	vm.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = backend.Shutdown(ctx)
	_ = backend.Close()
	_ = vm.agent.Close()
}
