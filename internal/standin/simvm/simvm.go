// Package simvm is a stand-in for one VM, which runs a backend server and the
// agent, with injected faults. It counts, as seen from the VM, the violations of the
// invariants that the product keeps for VMs.
package simvm

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

// departureGrace is how long a VM may still get new requests after the platform has
// announced its departure.
const departureGrace = 3 * time.Second

// relistenAttempts bounds the attempts to listen on the old port again after a reboot.
const relistenAttempts = 50

// Config holds the VM's facts and delays. The function fields may be nil.
type Config struct {
	Facts       member.Config
	RebootTime  time.Duration
	UsageLag    time.Duration // from a task's start until its usage is reported
	ServiceTime func(req *http.Request) time.Duration
	IsFailing   func(task string) bool
	OnRun       func(vm, request string)
	OnReboot    func(vm string)
	OnTask      func(vm, task string, isRunning bool)
}

// Fault holds the faults that the VM shows at present.
type Fault struct {
	Hangs          bool          // accepts requests and never answers
	Refuses        bool          // answers that it did not run the request
	CutsReply      bool          // closes the connection in the middle of the body
	Drops          bool          // runs the request and closes the connection without a reply
	Slow           time.Duration // added to the service time
	IsUnresponsive bool          // agent and backend server do not answer; connections stay open
}

// Counts holds the VM's counts of requests, reboots and violated invariants.
type Counts struct {
	Served          int64 // requests received
	SlotsExceeded   int64 // requests received with all slots in use
	ConnsExceeded   int64 // connections beyond MaxConnections
	LateWork        int64 // requests received after the departure grace
	CutByReboot     int64 // requests in flight at a planned reboot
	WorkWhileMoving int64 // requests in flight at a change of pool, or received while down
	Boots           int64 // reboots
}

// VM is the running stand-in of a VM. It is safe for concurrent use.
type VM struct {
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

// Start listens on loopback for the agent and the backend server, and serves both.
func Start(cfg Config) (*VM, error) {
	vm := &VM{cfg: cfg, pool: cfg.Facts.Pool, epoch: 1, tasks: map[string]*task{}}
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

func (vm *VM) serveBackend(lsn net.Listener) {
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

func (vm *VM) countConn(_ net.Conn, stt http.ConnState) {
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

// Facts returns the VM's facts, with the addresses on which it listens.
func (vm *VM) Facts() member.Config { return vm.cfg.Facts }

// Pool returns the pool of the last order to the agent.
func (vm *VM) Pool() string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.pool
}

// Counts returns the counts so far.
func (vm *VM) Counts() Counts {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.counts
}

// BusyTime returns the sum of the times for which requests held slots.
func (vm *VM) BusyTime() time.Duration {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.busyTime
}

// IsDown reports whether the VM is rebooting or has crashed.
func (vm *VM) IsDown() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.isDown || vm.isCrashed
}

// SetFault replaces the present faults.
func (vm *VM) SetFault(flt Fault) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.fault = flt
}

// SetDeparting records that the platform announced the VM's departure at now.
func (vm *VM) SetDeparting(now time.Time) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.departingAt = now
}

// Crash ends the VM's processes at once, like an unplanned failure.
func (vm *VM) Crash() {
	vm.mu.Lock()
	vm.isCrashed = true
	backend := vm.backend
	vm.mu.Unlock()
	_ = backend.Close()
	_ = vm.agent.Close()
}

// serve answers one request. The reply contains the request's id and path, so that
// the caller can tell whether it is the reply to its request and complete.
func (vm *VM) serve(rsp http.ResponseWriter, req *http.Request) {
	startedAt := time.Now()
	flt := vm.beginRequest(startedAt, req)
	defer vm.endRequest(startedAt)
	// The server notices that the client has closed the connection only after the body is read.
	_, _ = io.Copy(io.Discard, req.Body)
	if flt.IsUnresponsive || flt.Hangs {
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

func (vm *VM) beginRequest(now time.Time, _ *http.Request) Fault {
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

func (vm *VM) endRequest(startedAt time.Time) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.inFlight--
	vm.busyTime += time.Since(startedAt)
}

// reboot restarts the backend server after the reboot time. It counts the requests
// that this cuts off.
func (vm *VM) reboot() {
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

// Close stops the VM and counts no violations. Requests in flight get one second to
// end.
func (vm *VM) Close() {
	vm.mu.Lock()
	backend := vm.backend
	vm.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = backend.Shutdown(ctx)
	_ = backend.Close()
	_ = vm.agent.Close()
}
