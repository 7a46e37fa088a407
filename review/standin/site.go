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
	"sync"
	"syscall"
	"time"
)

const partitions = 16

// site is a small deployment: the platform, runners and clients in this process, and the
// project's entries as processes of their own.
type site struct {
	rec     *record
	log     *logService
	dir     string
	logAddr string
	cloud   string
	entries []*entry
	runners []*runner
	quit    chan struct{}
	mu      sync.Mutex
	runs    []*run
	config  configJSON
	// cpuShare is the share of a core that the next entry has.
	cpuShare float64
}

// entry is one process of the project, with a proxy on its way to the store.
type entry struct {
	name, caller, settings string
	cmd                    *exec.Cmd
	link                   *proxy
}

type configJSON struct {
	Version  int64         `json:"version"`
	Routes   []routeJSON   `json:"routes"`
	Services []serviceJSON `json:"services"`
}

type routeJSON struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	Prefix         string  `json:"path_prefix"`
	Kind           string  `json:"kind"`
	TimeoutMs      int     `json:"timeout_ms"`
	LatencyGoalMs  int     `json:"latency_goal_ms"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	MaxAttempts    int     `json:"max_attempts"`
	DeadlineFactor float64 `json:"deadline_factor"`
}

type serviceJSON struct {
	Name           string `json:"name"`
	AdmissionCheck bool   `json:"admission_check"`
}

const host = "site.example"

func route(name, prefix, service string) routeJSON {
	return routeJSON{Name: name, Host: host, Prefix: prefix, Kind: "non_idempotent", TimeoutMs: 3000, LatencyGoalMs: 2500, Service: service, MaxAttempts: 3, DeadlineFactor: 2}
}

func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "daisywheel-review")
	if err != nil {
		return nil, err
	}
	ste := &site{rec: rec, cpuShare: 0.4, log: newLogService(partitions), dir: dir, quit: make(chan struct{})}
	if ste.logAddr, err = serveHTTP(ste.log.handler()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", ste.machines)
	if ste.cloud, err = serveHTTP(mux); err != nil {
		return nil, err
	}
	go ste.tick()
	return ste, nil
}

func serveHTTP(hnd http.Handler) (address string, err error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: hnd, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lsn) }()
	return lsn.Addr().String(), nil
}

// tick lets the runners announce themselves and kills what has lapsed.
func (ste *site) tick() {
	tck := time.NewTicker(20 * time.Millisecond)
	defer tck.Stop()
	last := time.Now()
	for {
		select {
		case <-ste.quit:
			return
		case <-tck.C:
		}
		isBeat := time.Since(last) >= heartbeat
		if isBeat {
			last = time.Now()
		}
		for _, rnr := range ste.runners {
			rnr.lapse()
			if isBeat {
				rnr.announce()
			}
		}
	}
}

// machines lists the machines. No machine is ever moved or maintained here.
func (ste *site) machines(wrt http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, rnr := range ste.runners {
		rnr.mu.Lock()
		state, id := "up", rnr.id
		if rnr.isOff {
			state, id = "down", ""
		}
		rows = append(rows, map[string]any{
			"host_id": "m-" + rnr.id, "pool": rnr.service, "state": state, "zone": rnr.zone, "labels": []string{"a", "r1-1"}, "id": id,
			"capacity": map[string]int64{"cpu": rnr.kind.MilliCores, "mem_mb": rnr.kind.MemoryMB, "gpu": 0},
		})
		rnr.mu.Unlock()
	}
	answer(wrt, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (ste *site) addRun(rn *run) {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	ste.runs = append(ste.runs, rn)
}

// startRunners starts runners of a service. They announce themselves before the entries
// start.
func (ste *site) startRunners(service string, count int, knd kind) error {
	for num := range count {
		rnr := &runner{id: fmt.Sprintf("i-%s-%d", service, num+1), service: service, zone: "zone-a", address: "127.0.0.1:0", site: ste}
		if err := rnr.start(knd); err != nil {
			return err
		}
		ste.runners = append(ste.runners, rnr)
	}
	return nil
}

// putConfig writes a config as the operator does.
func (ste *site) putConfig(routes []routeJSON, services ...string) {
	ste.config.Version += 3
	ste.config.Routes, ste.config.Services = routes, nil
	for _, name := range services {
		ste.config.Services = append(ste.config.Services, serviceJSON{Name: name})
	}
	data, _ := json.Marshal(ste.config)
	ste.log.put("keyed.op", "config", string(data))
	ste.rec.say("operator puts version %d of the config", ste.config.Version)
}

// freeAddress returns a free address for a process to listen on. Its port is below those
// that the kernel gives to outgoing connections, which could take it meanwhile.
func freeAddress() (string, error) {
	for range 100 {
		lsn, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err == nil {
			defer func() { _ = lsn.Close() }()
			return lsn.Addr().String(), nil
		}
	}
	return "", errors.New("no free port")
}

func portOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	num, _ := strconv.Atoi(port)
	return num
}

const settings = `node_name: %q
role: "scheduler"
machine_class: "frontend"
serves: ["frontend"]
ip: "127.0.0.1"
zone: "zone-a"
region: "region-a"
zones: {zone-a: "region-a"}
listen: {frontend: %q, ready: %q}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: %.3f, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, hold_max_ms: 10000, stop_ms: 200, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, lease_ms: 3000}
orders: "push"
platform: {address: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: %d, append_ms: 3.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 300, partition_mb: 200, ttl_min_ms: 1000}
cloud: {address: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

// startEntry starts a process of the project by the command of the deploy file.
func (ste *site) startEntry() error {
	ent := &entry{name: fmt.Sprintf("entry-%d", len(ste.entries)+1)}
	var free [4]string
	for i := range free {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		free[i] = address
	}
	lnk, err := newProxy(ste.logAddr)
	if err != nil {
		return err
	}
	ent.caller, ent.link = free[0], lnk
	first, last := portOf(free[2]), portOf(free[3])
	if first > last {
		first, last = last, first
	}
	path := filepath.Join(ste.dir, ent.name+".yaml")
	text := fmt.Sprintf(settings, ent.name, ent.caller, free[1], first, last, ste.cpuShare, lnk.address, partitions, ste.cloud)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	ent.settings = path
	if err := ste.run(ent); err != nil {
		return err
	}
	ste.entries = append(ste.entries, ent)
	return nil
}

// run starts the process of an entry.
func (ste *site) run(ent *entry) error {
	out, err := os.OpenFile(filepath.Join(ste.dir, ent.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	ent.cmd = exec.Command("target/daisywheel", "scheduler")
	ent.cmd.Env = append(os.Environ(), "DAISYWHEEL_CONFIG="+ent.settings)
	ent.cmd.Stdout, ent.cmd.Stderr = out, out
	return ent.cmd.Start()
}

// close ends all processes that the site has started.
func (ste *site) close() {
	close(ste.quit)
	for _, ent := range ste.entries {
		_ = ent.cmd.Process.Signal(syscall.SIGCONT)
		_ = ent.cmd.Process.Kill()
		_ = ent.cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(ste.dir)
	} else {
		fmt.Println("logs of the entries:", ste.dir)
	}
}

// logOf returns what an entry has logged.
func (ste *site) logOf(ent *entry) string {
	data, err := os.ReadFile(filepath.Join(ste.dir, ent.name+".log"))
	if err != nil {
		return ""
	}
	return string(data)
}

// client is a consumer.
type client struct {
	ste  *site
	http http.Client
}

func newClient(ste *site) *client {
	return &client{ste: ste, http: http.Client{Timeout: 3200 * time.Millisecond}}
}

// do sends one request to an entry and returns the status, 0 without an answer.
func (cli *client) do(ent *entry, method, path string, body []byte) (status int, answer []byte, retryAfter time.Duration) {
	req, err := http.NewRequest(method, "http://"+ent.caller+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	rsp, err := cli.http.Do(req)
	if err != nil {
		cli.ste.rec.add("%s %s to %s: no answer", method, path, ent.name)
		return 0, nil, 0
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		return 0, nil, 0
	}
	secs, _ := strconv.Atoi(rsp.Header.Get("Retry-After"))
	cli.ste.rec.add("%s %s to %s: %d %.60s", method, path, ent.name, rsp.StatusCode, data)
	return rsp.StatusCode, data, time.Duration(secs) * time.Second
}

// submit hands a job in, at another entry after each attempt, until it is accepted or the
// limit is over.
func (cli *client) submit(path string, body []byte, limit time.Duration) bool {
	for end, num := time.Now().Add(limit), 0; time.Now().Before(end); num++ {
		status, _, wait := cli.do(cli.ste.entries[num%len(cli.ste.entries)], http.MethodPost, path, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(max(wait, 200*time.Millisecond))
	}
	return false
}

// state returns the state of a job that an entry gives, or the status.
func (cli *client) state(ent *entry, path string) string {
	status, data, _ := cli.do(ent, http.MethodGet, path, nil)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return strconv.Itoa(status)
	}
	return body.State
}

// awaitReady waits until a job is accepted and done, so that the deployment serves.
func (cli *client) awaitReady(path string, body []byte) bool {
	if !cli.submit(path, body, 20*time.Second) {
		return false
	}
	for range 100 {
		if cli.state(cli.ste.entries[0], path) == "completed" {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
