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
	OnTask      func(vm, task string, running bool)
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
	mch := &Machine{cfg: cfg, pool: cfg.Facts.Pool, epoch: 1, tasks: map[string]*task{}}
	agentLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	backendLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mch.cfg.Facts.Agent = agentLn.Addr().String()
	mch.cfg.Facts.Address = backendLn.Addr().String()
	mch.agent = &http.Server{Handler: mch.agentHandler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = mch.agent.Serve(agentLn) }()
	mch.serveBackend(backendLn)
	return mch, nil
}

func (mch *Machine) serveBackend(lsn net.Listener) {
	srv := &http.Server{
		ErrorLog:          log.New(io.Discard, "", 0),
		Handler:           http.HandlerFunc(mch.serve),
		ReadHeaderTimeout: time.Minute,
		ConnState:         mch.countConn,
	}
	mch.mu.Lock()
	mch.backend = srv
	mch.conns = 0
	mch.mu.Unlock()
	go func() { _ = srv.Serve(lsn) }()
}

func (mch *Machine) countConn(_ net.Conn, stt http.ConnState) {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	switch stt {
	case http.StateNew:
		mch.conns++
		if mch.conns > MaxConnections {
			mch.counts.ConnsExceeded++
		}
	case http.StateClosed, http.StateHijacked:
		mch.conns--
	case http.StateActive, http.StateIdle:
	}
}

// Facts returns the VM's facts with its addresses.
func (mch *Machine) Facts() member.Config { return mch.cfg.Facts }

// Pool returns the pool that the agent was last told.
func (mch *Machine) Pool() string {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	return mch.pool
}

// Counts returns what the VM has seen.
func (mch *Machine) Counts() Counts {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	return mch.counts
}

// BusyTime returns the slot time spent on requests.
func (mch *Machine) BusyTime() time.Duration {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	return mch.busyTime
}

// IsDown reports whether the VM is rebooting, gone or crashed.
func (mch *Machine) IsDown() bool {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	return mch.isDown || mch.isCrashed
}

// SetFault replaces the present misbehaviour.
func (mch *Machine) SetFault(flt Fault) {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	mch.fault = flt
}

// SetLeaving notes that the platform said at now that the VM leaves.
func (mch *Machine) SetLeaving(now time.Time) {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	mch.departingAt = now
}

// Crash ends the VM's processes at once, as an unplanned failure does.
func (mch *Machine) Crash() {
	mch.mu.Lock()
	mch.isCrashed = true
	backend := mch.backend
	mch.mu.Unlock()
	_ = backend.Close()
	_ = mch.agent.Close()
}

// serve answers one request. The reply names the request and the service, so
// that the caller can tell whether the answer is its own and whole.
func (mch *Machine) serve(rsp http.ResponseWriter, req *http.Request) {
	begin := time.Now()
	flt := mch.beginRequest(begin, req)
	defer mch.endRequest(begin)
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
	if mch.cfg.OnRun != nil && id != "" {
		mch.cfg.OnRun(mch.cfg.Facts.VM, id)
	}
	if flt.Drops {
		panic(http.ErrAbortHandler)
	}
	wait := flt.Slow
	if mch.cfg.ServiceTime != nil {
		wait += mch.cfg.ServiceTime(req)
	}
	time.Sleep(wait)
	body := fmt.Sprintf("request %s served by %s for %s\n", id, mch.cfg.Facts.VM, req.URL.Path)
	rsp.Header().Set("X-Runner", mch.cfg.Facts.VM)
	rsp.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if flt.CutsReply {
		_, _ = rsp.Write([]byte(body[:len(body)/2]))
		_ = http.NewResponseController(rsp).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = rsp.Write([]byte(body))
}

func (mch *Machine) beginRequest(now time.Time, _ *http.Request) Fault {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	mch.inFlight++
	mch.counts.Served++
	if mch.inFlight > MaxSlots {
		mch.counts.SlotsExceeded++
	}
	if !mch.departingAt.IsZero() && now.Sub(mch.departingAt) > departureGrace {
		mch.counts.LateWork++
	}
	if mch.isDown {
		mch.counts.WorkWhileMoving++
	}
	return mch.fault
}

func (mch *Machine) endRequest(begin time.Time) {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	mch.inFlight--
	mch.busyTime += time.Since(begin)
}

// reboot restarts the backend server after the reboot time. Requests that it
// cuts off are counted.
func (mch *Machine) reboot() {
	mch.mu.Lock()
	mch.isDown = true
	mch.counts.Boots++
	mch.counts.CutByReboot += int64(mch.inFlight)
	backend := mch.backend
	mch.mu.Unlock()
	if mch.cfg.OnReboot != nil {
		mch.cfg.OnReboot(mch.cfg.Facts.VM)
	}
	_ = backend.Close()
	time.Sleep(mch.cfg.RebootTime)
	for range relistenAttempts {
		lsn, err := net.Listen("tcp", mch.cfg.Facts.Address)
		if err == nil {
			mch.serveBackend(lsn)
			mch.mu.Lock()
			mch.isDown = false
			mch.mu.Unlock()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Close stops the VM without counting anything.
func (mch *Machine) Close() {
	mch.mu.Lock()
	backend := mch.backend
	mch.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = backend.Shutdown(ctx)
	_ = backend.Close()
	_ = mch.agent.Close()
}
