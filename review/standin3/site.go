package main

import (
	"bytes"
	"encoding/json"
	"errors"
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
	"time"
)

// site is a small deployment: a stand-in platform with runners in this process, and the system's processes.
type site struct {
	rec       *record
	dir       string
	program   string
	store     *store
	runs      *runs
	mu        sync.Mutex
	machines  []*machine
	lives     int // runners that have started
	isClosed  bool
	version   int // of the configuration
	entries   []*entry
	storeAddr string
	cloudAddr string
	quit      chan struct{}
	servers   []*http.Server
	client    *http.Client
}

// entry is one process of the system.
type entry struct {
	name     string
	zone     string
	caller   string
	ready    string
	settings string
	peerPort int
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
}

// process returns the present process of the entry, and what is closed when it has ended; nil before the first start.
func (ent *entry) process() (*exec.Cmd, chan struct{}) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	return ent.cmd, ent.ended
}

// The deployment has the bounds of tccp-daisywheel.
const settingsYAML = `node_name: %q
role: "scheduler"
machine_class: "frontend"
serves: ["frontend"]
ip: "127.0.0.1"
zone: %q
region: "new-england"
zones: {north-shed: "new-england", mill-room: "new-england", depot-annex: "new-england"}
listen: {frontend: "127.0.0.1:%d", ready: "127.0.0.1:%d"}
port_range: [%d, %d]
seeds: []
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
fault_tolerance: {machines: 1, zones: 1, region_count: 0}
bounds: {contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, recovery_s: 12, hold_max_ms: 10000, stop_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_factor: 1.5, checkpoint_s: 1, restore_ms: 600, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2, fencing: false, lease_ms: 3000}
orders: "push"
platform: {address: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: 16, append_ms: 3.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 300, partition_mb: 200, ttl_min_ms: 1000}
cloud: {address: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

const (
	callerHost = "pule25.example"
	parts      = 16
	// readyTime bounds the start of the processes.
	readyTime = 15 * time.Second
)

const (
	machineMB = 284 // memory_mb in the settings
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// finishTime is finish_s: from then on no job may have nothing running for idleTime while there is capacity.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// The rule on faults counts processes that end so often in a day, on so many machines at least.
	maxEnds     = 3
	minMachines = 2
)

// settle is how long the start may take until the pools have owners.
const settle = 4 * time.Second

var zoneNames = []string{"north-shed", "mill-room", "depot-annex"}

func newSite(rec *record, program, dir string) (*site, error) {
	ste := &site{
		rec: rec, program: program, dir: dir, store: newStore(parts), runs: newRuns(), quit: make(chan struct{}),
		client: &http.Client{Timeout: 4 * time.Second},
	}
	var err error
	if ste.storeAddr, err = ste.serve(ste.store); err != nil {
		return nil, err
	}
	ste.cloudAddr, err = ste.serve(http.HandlerFunc(ste.serveCloud))
	return ste, err
}

func (ste *site) serve(hnd http.Handler) (string, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: hnd, ReadHeaderTimeout: time.Minute}
	ste.servers = append(ste.servers, srv)
	go func() { _ = srv.Serve(lsn) }()
	return lsn.Addr().String(), nil
}

// machine is a machine of the platform, with the runner that it has, nil while it has none.
type machine struct {
	host, zone, pool, state string
	upkeeps                 map[int64]bool
	runner                  *runner
}

const (
	moveTime   = 1500 * time.Millisecond // migrate_s
	upkeepTime = 2 * time.Second         // maintenance_s
)

// serveCloud lists the machines, moves them between services and takes them down for their upkeep.
func (ste *site) serveCloud(wrt http.ResponseWriter, req *http.Request) {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	if req.Method == http.MethodPost {
		ste.order(wrt, req)
		return
	}
	rows := []any{}
	for _, mac := range ste.machines {
		row := map[string]any{
			"host_id": mac.host, "pool": mac.pool, "state": mac.state, "zone": mac.zone, "labels": []string{"a"},
			"capacity": map[string]any{"cpu": cores, "mem_mb": memoryMB, "gpu": 0},
		}
		if mac.runner != nil {
			row["id"], row["labels"] = mac.runner.id, []string{"a", mac.runner.rack}
		}
		rows = append(rows, row)
	}
	answer(wrt, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// order carries out an order for a machine. The caller holds the lock.
func (ste *site) order(wrt http.ResponseWriter, req *http.Request) {
	var msg struct {
		Host string `json:"host_id"`
		Pool string `json:"pool"`
		Wave int64  `json:"wave"`
	}
	err := json.NewDecoder(req.Body).Decode(&msg)
	var mac *machine
	for _, other := range ste.machines {
		if other.host == msg.Host {
			mac = other
		}
	}
	isUpkeep := req.URL.Path == "/api/machine-upkeep"
	ste.rec.add("platform: %s %s %s wave %d by %s with %s", req.URL.Path, msg.Host, msg.Pool, msg.Wave, req.Header.Get("X-Lease-Holder"), req.Header.Get("X-Fencing-Token"))
	switch {
	case err != nil || mac == nil:
		answer(wrt, http.StatusBadRequest, map[string]any{})
	case isUpkeep && mac.upkeeps[msg.Wave], !isUpkeep && mac.pool == msg.Pool:
		answer(wrt, http.StatusOK, map[string]any{})
	case mac.state != "up" || mac.runner == nil:
		answer(wrt, http.StatusConflict, map[string]any{"reason": "busy"})
	default:
		mac.runner.stop()
		mac.runner, mac.state = nil, "moving"
		wait := moveTime
		if isUpkeep {
			mac.state, wait = "upkeep", upkeepTime
			mac.upkeeps[msg.Wave] = true
		} else {
			mac.pool = msg.Pool
		}
		time.AfterFunc(wait, func() { ste.comeUp(mac) })
		answer(wrt, http.StatusOK, map[string]any{})
	}
}

// comeUp starts the next runner of a machine.
func (ste *site) comeUp(mac *machine) {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	if ste.isClosed {
		return
	}
	ste.lives++
	rnr, err := startRunner(ste, ste.lives, mac)
	if err != nil {
		ste.rec.add("%v", err)
		return
	}
	mac.runner, mac.state = rnr, "up"
}

// runnersOf returns the runners of a service.
func (ste *site) runnersOf(service string) (rnrs []*runner) {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	for _, mac := range ste.machines {
		if mac.runner != nil && mac.pool == service {
			rnrs = append(rnrs, mac.runner)
		}
	}
	return rnrs
}

// route is a queue of the configuration.
type route struct{ prefix, service string }

// configure writes the next version of the configuration.
func (ste *site) configure(services []string, routes []route) error {
	ste.version++
	rows, pools := []any{}, []any{}
	for i, rte := range routes {
		rows = append(rows, map[string]any{
			"name": "r-" + strconv.Itoa(i), "host": callerHost, "path_prefix": rte.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"latency_goal_ms": 600, "priority": 0, "service": rte.service, "max_attempts": 3, "deadline_factor": 1.6,
		})
	}
	for _, name := range services {
		pools = append(pools, map[string]any{
			"name": name, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": ste.version, "routes": rows, "services": pools,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err == nil {
		ste.store.put("keyed.op", "config", data)
		ste.rec.add("operator: version %d with the services %q", ste.version, services)
	}
	return err
}

// addMachines adds machines with a runner each.
func (ste *site) addMachines(service string, count int) {
	for num := range count {
		mac := &machine{host: fmt.Sprintf("m-%s-%d", service, num), zone: zoneNames[num%len(zoneNames)], pool: service, upkeeps: map[int64]bool{}}
		ste.mu.Lock()
		ste.machines = append(ste.machines, mac)
		ste.mu.Unlock()
		ste.comeUp(mac)
	}
}

const (
	// The system takes no ports below 32768 for connections, so that none is taken between the choice and the start of a process.
	minPort = 20000
	maxPort = 32000
)

// freePorts returns consecutive ports that are free.
func freePorts(count int) (int, error) {
	for range 200 {
		port := minPort + rand.IntN(maxPort-minPort)
		var open []net.Listener
		for num := range count {
			if lsn, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+num))); err == nil {
				open = append(open, lsn)
			}
		}
		for _, lsn := range open {
			_ = lsn.Close()
		}
		if len(open) == count {
			return port, nil
		}
	}
	return 0, errors.New("no consecutive ports are free")
}

// entries is the number of processes of the system, one in each zone.
const entries = 3

// addEntries starts the processes of the system and waits until they are ready.
func (ste *site) addEntries() error {
	for range entries {
		port, err := freePorts(6)
		if err != nil {
			return err
		}
		num := len(ste.entries)
		ent := &entry{
			name: fmt.Sprintf("frontend-%d", num+1), zone: zoneNames[num%len(zoneNames)],
			caller: net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), ready: net.JoinHostPort("127.0.0.1", strconv.Itoa(port+1)),
			settings: filepath.Join(ste.dir, fmt.Sprintf("boot-%d.yaml", num+1)), peerPort: port + 2,
		}
		text := fmt.Sprintf(settingsYAML, ent.name, ent.zone, port, port+1, port+2, port+5, ste.storeAddr, ste.cloudAddr)
		if err := os.WriteFile(ent.settings, []byte(text), 0o600); err != nil {
			return err
		}
		ste.entries = append(ste.entries, ent)
		if err := ste.start(ent); err != nil {
			return err
		}
	}
	for _, ent := range ste.entries {
		if err := ste.awaitReady(ent); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of an entry.
func (ste *site) start(ent *entry) error {
	log, err := os.OpenFile(filepath.Join(ste.dir, ent.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(ste.program, "scheduler")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + ste.dir, "LANG=C", "DAISYWHEEL_CONFIG=" + ent.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	ent.mu.Lock()
	ent.cmd, ent.ended = cmd, ended
	ent.mu.Unlock()
	ste.rec.add("process %s starts", ent.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		ste.rec.add("process %s has ended: %v", ent.name, err)
		close(ended)
	}()
	return nil
}

func (ste *site) awaitReady(ent *entry) error {
	for deadline := time.Now().Add(readyTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		rsp, err := ste.client.Get("http://" + ent.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = rsp.Body.Close()
		if rsp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready after %s", ent.name, readyTime)
}

// isUp reports whether the process of the entry runs.
func (ent *entry) isUp() bool {
	_, ended := ent.process()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// kill ends the process with the signal and waits for its end.
func (ste *site) kill(ent *entry, sig syscall.Signal) {
	ste.rec.add("process %s gets %s", ent.name, sig)
	cmd, ended := ent.process()
	_ = cmd.Process.Signal(sig)
	<-ended
}

// close ends all processes and servers.
func (ste *site) close() {
	for _, ent := range ste.entries {
		if cmd, ended := ent.process(); cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-ended
		}
	}
	close(ste.quit)
	for _, srv := range ste.servers {
		_ = srv.Close()
	}
	ste.mu.Lock()
	defer ste.mu.Unlock()
	ste.isClosed = true
	for _, mac := range ste.machines {
		if mac.runner != nil {
			mac.runner.stop()
		}
	}
}

// ask sends a consumer's request to an entry. It returns the status, 0 without an answer, and the body.
func (ste *site) ask(ent *entry, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+ent.caller+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = callerHost
	req.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	rsp, err := ste.client.Do(req)
	if err != nil {
		ste.rec.add("consumer: %s %s at %s gets no answer: %v", method, path, ent.name, err)
		return 0, nil
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, nil
	}
	ste.rec.add("consumer: %s %s at %s gets %d %s", method, path, ent.name, rsp.StatusCode, bytes.TrimSpace(data))
	return rsp.StatusCode, data
}

// step is a step of a job.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMB       int   `json:"mem_mb"`
	EstimateMs  int   `json:"estimate_ms"`
	DependsOn   []int `json:"depends_on,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
}

// submit hands a job in, at one entry after the other as consumers retry. It reports whether the job was accepted.
func (ste *site) submit(prefix, id string, work time.Duration, steps ...step) bool {
	body, err := json.Marshal(map[string]any{"spec": fmt.Sprintf("ms=%d", work.Milliseconds()), "steps": steps})
	if err != nil {
		return false
	}
	for attempt := range 5 {
		ent := ste.entries[attempt%len(ste.entries)]
		if !ent.isUp() {
			continue
		}
		if status, _ := ste.ask(ent, http.MethodPost, prefix+id, body); status >= 200 && status < 300 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job, "" without one.
func (ste *site) state(ent *entry, prefix, id string) (status int, state string) {
	status, data := ste.ask(ent, http.MethodGet, prefix+id, nil)
	var msg struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(data, &msg) != nil {
		return status, ""
	}
	return status, msg.State
}

// memory returns the resident memory of the process in MB, 0 if it has ended.
func (ent *entry) memory() int {
	cmd, _ := ent.process()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10
		}
	}
	return 0
}

// isIdleFor reports whether nothing runs for the time at any moment within the limit.
func (ste *site) isIdleFor(idle, limit time.Duration) bool {
	since := time.Now()
	for deadline := since.Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ste.runs.count() > 0 {
			since = time.Now()
		}
		if time.Since(since) >= idle {
			return true
		}
	}
	return false
}
