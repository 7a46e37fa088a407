package main

import (
	"bytes"
	"context"
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
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// program is the command of the deploy file.
var program = []string{"target/daisywheel", "scheduler"}

const (
	restartDelay = 500 * time.Millisecond // of a process that has ended
	host         = "pule25.example"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// site is a small deployment: the platform, the machines with their runners, and the entries.
type site struct {
	rec     *recorder
	sto     *store
	cld     *cloud
	folder  string
	servers []*http.Server
	entries []*entry
	version int64
}

// entry is one machine of the system and its process.
type entry struct {
	sit                *site
	name, front, ready string
	peer               string
	config             string
	storeProxy         *proxy
	mu                 sync.Mutex
	cmd                *exec.Cmd
	isEnding           bool
	done               chan struct{}
}

func serveOn(hnd http.Handler) (*http.Server, string, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	srv := &http.Server{Handler: hnd, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lsn) }() // ends with the site
	return srv, lsn.Addr().String(), nil
}

// startSite starts the platform, machines in each pool and the entries, and returns when the
// entries are ready.
func startSite(rec *recorder, entries int, pools map[string]int) (*site, error) {
	sit := &site{rec: rec, sto: newStore(), version: 1}
	current.Store(sit)
	sit.cld = newCloud(sit.sto, rec)
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return sit, err
	}
	sit.folder = folder
	names := []string{}
	for name := range pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for i := range pools[name] {
			if err := sit.cld.addMachine(fmt.Sprintf("m-%s-%02d", name, i), name, zones[i%len(zones)]); err != nil {
				return sit, err
			}
		}
	}
	storeServer, storeAddress, err := serveOn(sit.sto.handler())
	if err != nil {
		return sit, err
	}
	cloudServer, cloudAddress, err := serveOn(sit.cld.handler())
	if err != nil {
		return sit, err
	}
	sit.servers = []*http.Server{storeServer, cloudServer}
	for i := range entries {
		if err := sit.addEntry(i, storeAddress, cloudAddress); err != nil {
			return sit, err
		}
	}
	return sit, nil
}

// Ports of an entry at its own address.
const (
	peerPort = 7060 + iota
	frontPort
	readyPort
	controlPort
	metricsPort
)

// freeAddress returns a loopback address of which no port of an entry is in use.
func freeAddress() (string, error) {
	for range 20 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(255), 1+rand.IntN(254))
		isFree := true
		for port := peerPort; port <= metricsPort; port++ {
			lsn, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
			if err != nil {
				isFree = false
				break
			}
			_ = lsn.Close()
		}
		if isFree {
			return ip, nil
		}
	}
	return "", errors.New("no free loopback address")
}

func (sit *site) addEntry(num int, storeAddress, cloudAddress string) error {
	ip, err := freeAddress()
	if err != nil {
		return err
	}
	prx, err := startProxy(storeAddress)
	if err != nil {
		return err
	}
	address := func(port int) string { return ip + ":" + strconv.Itoa(port) }
	ent := &entry{
		sit: sit, name: "frontend-" + strconv.Itoa(num), front: address(frontPort), ready: address(readyPort), peer: address(peerPort),
		config: filepath.Join(sit.folder, "boot-"+strconv.Itoa(num)+".yaml"), storeProxy: prx, done: make(chan struct{}),
	}
	zone := zones[num%len(zones)]
	text := fmt.Sprintf(`node_name: %q
role: "scheduler"
machine_class: "frontend"
serves: ["frontend"]
ip: %q
zone: %q
region: "region-a"
zones: {zone-a: "region-a", zone-b: "region-a", zone-c: "region-a"}
listen: {frontend: %q, ready: %q, control: %q}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: %d
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000, recovery_s: 12, hold_max_ms: %d, stop_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2, fencing: false, lease_ms: %d}
orders: "push"
platform: {address: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: %d, append_ms: 3.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, request_bytes: 2097152, keep_s: 300, partition_mb: 200, ttl_min_ms: 1000}
cloud: {address: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`, ent.name, ip, zone, ent.front, ent.ready, address(controlPort), peerPort, metricsPort, beat.Milliseconds(), holdMax.Milliseconds(), leaseTime.Milliseconds(), prx.address(), partitions, cloudAddress)
	if err := os.WriteFile(ent.config, []byte(text), 0o600); err != nil {
		return err
	}
	sit.entries = append(sit.entries, ent)
	go ent.run()
	return nil
}

// run runs the process, and starts it again after it has ended, as the platform does.
func (ent *entry) run() {
	defer close(ent.done)
	for life := 1; ; life++ {
		log, err := os.Create(filepath.Join(ent.sit.folder, fmt.Sprintf("%s-%d.log", ent.name, life)))
		if err != nil {
			ent.sit.rec.event("error", err.Error())
			return
		}
		cmd := exec.Command(program[0], program[1:]...)
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAISYWHEEL_CONFIG=" + ent.config}
		cmd.Stdout, cmd.Stderr = log, log
		ent.mu.Lock()
		if ent.isEnding {
			ent.mu.Unlock()
			return
		}
		err = cmd.Start()
		ent.cmd = cmd
		ent.mu.Unlock()
		ent.sit.rec.event("process", fmt.Sprintf("%s started", ent.name))
		if err == nil {
			err = cmd.Wait()
		}
		_ = log.Close()
		ent.sit.rec.event("process", fmt.Sprintf("%s ended (%v)", ent.name, err))
		time.Sleep(restartDelay)
	}
}

// current is the site that is to be stopped before this program ends.
var current atomic.Pointer[site]

func (sit *site) stop() {
	if !current.CompareAndSwap(sit, nil) {
		return
	}
	for _, ent := range sit.entries {
		ent.mu.Lock()
		ent.isEnding = true
		if ent.cmd != nil && ent.cmd.Process != nil {
			_ = ent.cmd.Process.Kill() // it may have ended
		}
		ent.mu.Unlock()
	}
	for _, ent := range sit.entries {
		<-ent.done
		ent.storeProxy.stop()
	}
	for _, srv := range sit.servers {
		_ = srv.Close()
	}
	sit.cld.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(sit.folder)
	} else {
		fmt.Println("kept", sit.folder)
	}
}

// route is a queue of the configuration.
type route struct{ name, prefix, pool string }

// configure writes a configuration.
func (sit *site) configure(pools []string, routes ...route) {
	rows, services := []any{}, []any{}
	for _, rte := range routes {
		rows = append(rows, map[string]any{
			"name": rte.name, "host": host, "path_prefix": rte.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "latency_goal_ms": 600,
			"priority": 0, "service": rte.pool, "max_attempts": 3, "deadline_factor": 1.6,
		})
	}
	for _, pool := range pools {
		services = append(services, map[string]any{
			"name": pool, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false,
		})
	}
	sit.version += 3
	sit.sto.put("keyed.op", "config", map[string]any{
		"version": sit.version, "routes": rows, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	sit.rec.event("config", fmt.Sprintf("version %d acknowledged, routes %v", sit.version, routes))
}

// requestWave writes a wave.
func (sit *site) requestWave(number int64, limit int, machines ...string) {
	sit.sto.put("keyed.op", "wave/"+strconv.FormatInt(number, 10), map[string]any{"wave": number, "machines": machines, "cap": limit, "complete_by_s": 26})
	sit.rec.event("wave", fmt.Sprintf("%d of %v, cap %d", number, machines, limit))
}

// answer is the response to a consumer, status 0 when there was none.
type answer struct {
	status int
	body   map[string]any
}

// call sends a consumer's request to an entry.
func (sit *site) call(ent *entry, method, path string, body any) answer {
	var data []byte
	if body != nil {
		data = mustJSON(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+ent.front+path, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Close = true
	sit.rec.event("request", fmt.Sprintf("%s %s at %s", method, path, ent.name))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		sit.rec.event("answer", fmt.Sprintf("%s %s at %s: none (%v)", method, path, ent.name, err))
		return answer{}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		sit.rec.event("answer", fmt.Sprintf("%s %s at %s: none (%v)", method, path, ent.name, err))
		return answer{}
	}
	ans := answer{status: res.StatusCode, body: map[string]any{}}
	_ = json.Unmarshal(text, &ans.body) // some answers have no body
	sit.rec.event("answer", fmt.Sprintf("%s %s at %s: %d %s", method, path, ent.name, ans.status, trimmed(text)))
	return ans
}

func (ans answer) isOK() bool { return ans.status >= 200 && ans.status < 300 }

// submit hands a job in at an entry, again after 429 and 503, until it is accepted.
func (sit *site) submit(ent *entry, path string, job any) error {
	for range 20 {
		if sit.call(ent, http.MethodPost, path, job).isOK() {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// awaitReady waits until all entries are ready.
func (sit *site) awaitReady() error {
	return await(15*time.Second, "entries ready", func() bool {
		for _, ent := range sit.entries {
			res, err := http.Get("http://" + ent.ready + "/api/readyz")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			if res.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// awaitState waits until a job is shown in the state.
func (sit *site) awaitState(ent *entry, path, state string, limit time.Duration) error {
	return await(limit, path+" "+state, func() bool {
		time.Sleep(200 * time.Millisecond)
		return sit.call(ent, http.MethodGet, path, nil).body["state"] == state
	})
}

// ownerOf returns the entry that has claimed a pool or the fleet.
func (sit *site) ownerOf(name string) *entry {
	address := sit.sto.ownerOf(name)
	for _, ent := range sit.entries {
		if ent.peer == address {
			return ent
		}
	}
	return nil
}

func await(limit time.Duration, what string, isDone func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if isDone() {
			return nil
		}
	}
	return errors.New("waited too long: " + what)
}

// jobOf returns a job of one step.
func jobOf(spec string, step map[string]any) map[string]any {
	step["estimate_ms"] = 1000
	return map[string]any{"spec": spec, "steps": []any{step}}
}

func jobPath(prefix string, num int) string {
	return prefix + fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+num)
}

func jobID(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }
