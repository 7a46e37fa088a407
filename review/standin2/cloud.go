package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// cloud is the platform's machine API, with the machines and their runners.
type cloud struct {
	sto        *store
	rec        *recorder
	mu         sync.Mutex
	machines   []*machine
	nextID     int
	orders     []machineOrder
	lists      int             // of machines since the last crash
	isSilent   bool            // no call is carried out or answered
	unanswered map[string]bool // machines whose orders got no answer
	quit       chan struct{}
}

type machine struct {
	host, pool, zone string
	state            string
	waves            map[int64]bool // whose upkeep has begun
	rnr              *runner        // nil unless the state is up
}

// machineOrder is an order for a machine that the cloud has received.
type machineOrder struct {
	at            time.Time
	machine, what string
	holder        string
	fence         int64
	status        int
	endedTasks    []string // that were at work
}

func newCloud(sto *store, rec *recorder) *cloud {
	cld := &cloud{sto: sto, rec: rec, nextID: 1, unanswered: map[string]bool{}, quit: make(chan struct{})}
	go cld.beat()
	return cld
}

// addMachine adds a machine that is up.
func (cld *cloud) addMachine(host, pool, zone string) error {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	mac := &machine{host: host, pool: pool, zone: zone, waves: map[int64]bool{}}
	cld.machines = append(cld.machines, mac)
	return cld.bringUp(mac)
}

// bringUp begins a new life of a machine. The caller holds the lock.
func (cld *cloud) bringUp(mac *machine) error {
	rnr, err := startRunner(cld.rec, fmt.Sprintf("i-%04d", cld.nextID), mac.pool, mac.zone, "127.0.0.1:0")
	if err != nil {
		return err
	}
	cld.nextID++
	mac.rnr, mac.state = rnr, "up"
	cld.sto.put("keyed.servers", rnr.id, rnr.announcement())
	cld.rec.event("up", fmt.Sprintf("machine %s pool %s runner %s", mac.host, mac.pool, rnr.id))
	return nil
}

// beat lets each runner report once in each interval, unless the store is down.
func (cld *cloud) beat() {
	tck := time.NewTicker(beat)
	defer tck.Stop()
	for {
		select {
		case <-cld.quit:
			return
		case <-tck.C:
		}
		cld.sto.mu.Lock()
		isDown := cld.sto.isDown
		cld.sto.mu.Unlock()
		for _, rnr := range cld.runners() {
			if !isDown {
				cld.sto.put("keyed.servers", rnr.id, rnr.announcement())
			}
		}
	}
}

// runners returns the runners that are up.
func (cld *cloud) runners() []*runner {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	var list []*runner
	for _, mac := range cld.machines {
		if mac.rnr != nil {
			list = append(list, mac.rnr)
		}
	}
	return list
}

// machineOf returns the machine of a runner.
func (cld *cloud) machineOf(rnr *runner) string {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	for _, mac := range cld.machines {
		if mac.rnr == rnr {
			return mac.host
		}
	}
	return ""
}

func (cld *cloud) setSilent(isSilent bool) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	cld.isSilent = isSilent
}

// received returns the orders that the cloud has received, oldest first.
func (cld *cloud) received() []machineOrder {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	return slices.Clone(cld.orders)
}

func (cld *cloud) stop() {
	close(cld.quit)
	for _, rnr := range cld.runners() {
		rnr.terminate()
	}
}

func (cld *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", cld.list)
	mux.HandleFunc("POST /api/machine-move", cld.order)
	mux.HandleFunc("POST /api/machine-upkeep", cld.order)
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		cld.mu.Lock()
		isSilent := cld.isSilent
		cld.mu.Unlock()
		if isSilent {
			cld.noteUnanswered(req)
			<-req.Context().Done() // the caller has given up
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(wrt, req)
	})
}

func (cld *cloud) list(wrt http.ResponseWriter, _ *http.Request) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	cld.lists++
	rows := []any{}
	for _, mac := range cld.machines {
		row := map[string]any{
			"host_id": mac.host, "pool": mac.pool, "state": mac.state, "zone": mac.zone, "labels": []string{"a", "r1-" + mac.zone},
			"capacity": map[string]any{"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "id": "",
		}
		if mac.rnr != nil {
			row["id"] = mac.rnr.id
		}
		rows = append(rows, row)
	}
	reply(wrt, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

func (cld *cloud) order(wrt http.ResponseWriter, req *http.Request) {
	var msg struct {
		Host string `json:"host_id"`
		Pool string `json:"pool"`
		Wave int64  `json:"wave"`
	}
	if json.NewDecoder(req.Body).Decode(&msg) != nil {
		wrt.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseInt(req.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil {
		fence = 0
	}
	cld.mu.Lock()
	defer cld.mu.Unlock()
	ord := machineOrder{at: time.Now(), machine: msg.Host, holder: req.Header.Get("X-Lease-Holder"), fence: fence, status: http.StatusOK, what: "wave " + strconv.FormatInt(msg.Wave, 10)}
	if msg.Wave == 0 {
		ord.what = "pool " + msg.Pool
	}
	idx := slices.IndexFunc(cld.machines, func(mac *machine) bool { return mac.host == msg.Host })
	reason := ""
	switch {
	case idx < 0:
		ord.status = http.StatusBadRequest
	default:
		reason = cld.carryOut(&ord, cld.machines[idx], msg.Pool, msg.Wave)
	}
	cld.orders = append(cld.orders, ord)
	cld.rec.event("machineOrder", fmt.Sprintf("machine %s %s holder %s fence %d status %d %s ended %v", ord.machine, ord.what, ord.holder, ord.fence, ord.status, reason, ord.endedTasks))
	if reason != "" {
		reply(wrt, ord.status, map[string]any{"reason": reason})
		return
	}
	reply(wrt, ord.status, map[string]any{})
}

// carryOut carries out an order unless it is done or the machine is not up. The caller holds the
// lock.
func (cld *cloud) carryOut(ord *machineOrder, mac *machine, pool string, wave int64) (reason string) {
	switch {
	case wave > 0 && mac.waves[wave] || wave == 0 && mac.pool == pool:
		return ""
	case mac.state != "up":
		ord.status = http.StatusConflict
		return "busy"
	case wave > 0 && !cld.isOfWave(mac.host, wave):
		ord.status = http.StatusConflict
		return "wave"
	}
	ord.endedTasks = mac.rnr.tasks()
	cld.sto.put("keyed.servers", mac.rnr.id, nil)
	mac.rnr.terminate()
	mac.rnr = nil
	after := migration
	mac.state = "moving"
	if wave > 0 {
		mac.state, mac.waves[wave], after = "upkeep", true, maintenance
	} else {
		mac.pool = pool
	}
	time.AfterFunc(after, func() {
		cld.mu.Lock()
		defer cld.mu.Unlock()
		select {
		case <-cld.quit:
			return
		default:
		}
		if err := cld.bringUp(mac); err != nil {
			cld.rec.event("error", err.Error())
		}
	})
	return ""
}

func (cld *cloud) isOfWave(host string, wave int64) bool {
	var wav struct {
		Machines []string `json:"machines"`
	}
	err := json.Unmarshal(cld.sto.get("keyed.op", 0, "wave/"+strconv.FormatInt(wave, 10)), &wav)
	return err == nil && slices.Contains(wav.Machines, host)
}

// noteUnanswered notes a call that is neither carried out nor answered.
func (cld *cloud) noteUnanswered(req *http.Request) {
	body, err := io.ReadAll(req.Body)
	var msg struct {
		Host string `json:"host_id"`
	}
	if err != nil || json.Unmarshal(body, &msg) != nil {
		msg.Host = ""
	}
	cld.rec.event("unanswered", fmt.Sprintf("%s %s machine %q by %s fence %s", req.Method, req.URL.Path, msg.Host, req.Header.Get("X-Lease-Holder"), req.Header.Get("X-Fencing-Token")))
	if msg.Host != "" {
		cld.mu.Lock()
		defer cld.mu.Unlock()
		cld.unanswered[msg.Host] = true
	}
}

// countUnanswered returns how many machines have had an order that got no answer.
func (sit *site) countUnanswered() int {
	sit.cld.mu.Lock()
	defer sit.cld.mu.Unlock()
	return len(sit.cld.unanswered)
}
