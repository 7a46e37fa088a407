package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of one runner, as PROTOCOL.md describes it under "Running tasks". It starts whatever it is
// told to start, as with admission_check false. A task works for the time in its spec, "ms=TIME".
type runner struct {
	ste     *site
	id      string
	host    string // host_id of its machine
	service string
	zone    string
	rack    string
	address string
	born    time.Time
	mu      sync.Mutex
	fence   int64
	until   time.Duration // end of the lease on its clock
	lapsed  time.Time     // when the lease was last seen expired
	runs    map[string]*run
	highest map[string]int // highest run that was stopped or has ended, by task
	ends    []end
	count   int64
	changed chan struct{}
	server  *http.Server
	gone    chan struct{} // closed at its end
}

type run struct {
	task   string
	number int
	work   time.Duration // 0: it lasts until it is stopped
	began  time.Time
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
}

const (
	holdMax    = 10 * time.Second // hold_max_ms
	listedEnds = 500
	maxWait    = 2 * time.Second
	beatTime   = 1500 * time.Millisecond // heartbeat_ms
	cores      = 16000
	memoryMB   = 65536
)

func startRunner(ste *site, num int, mac *machine) (*runner, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rnr := &runner{
		ste: ste, id: fmt.Sprintf("i-%04x", 0x7f00+num), host: mac.host, service: mac.pool, zone: mac.zone, rack: "r1-" + strconv.Itoa(len(mac.host)%2),
		address: lsn.Addr().String(), born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), gone: make(chan struct{}),
	}
	rnr.server = &http.Server{Handler: rnr, ReadHeaderTimeout: time.Minute}
	go func() { _ = rnr.server.Serve(lsn) }()
	go rnr.work()
	go rnr.beat()
	return rnr, nil
}

// stop ends the runner and all that runs there.
func (rnr *runner) stop() {
	close(rnr.gone)
	_ = rnr.server.Close()
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	for _, rn := range rnr.runs {
		rnr.end(rn, "with its runner")
	}
	rnr.ste.store.put("keyed.servers", rnr.id, nil)
}

// entry returns what the runner writes about itself to the store.
func (rnr *runner) entry(seq int) map[string]any {
	return map[string]any{
		"service": rnr.service, "address": rnr.address, "zone": rnr.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": cores, "mem_mb": memoryMB, "gpu": 0}, "labels": []string{"a", rnr.rack}, "clock_ms": rnr.clock().Milliseconds(),
		"born": rnr.born.UnixMilli(), "seq": seq,
	}
}

// beat writes the runner's entry each heartbeat.
func (rnr *runner) beat() {
	for seq := 1; ; seq++ {
		data, err := json.Marshal(rnr.entry(seq))
		rnr.mu.Lock()
		if err == nil && !rnr.isGone() {
			rnr.ste.store.put("keyed.servers", rnr.id, data)
		}
		rnr.mu.Unlock()
		select {
		case <-rnr.gone:
			return
		case <-time.After(beatTime):
		}
	}
}

func (rnr *runner) isGone() bool {
	select {
	case <-rnr.gone:
		return true
	default:
		return false
	}
}

func (rnr *runner) clock() time.Duration { return time.Since(rnr.born) }

// work ends the runs that are done, and all runs when the lease has expired.
func (rnr *runner) work() {
	tck := time.NewTicker(10 * time.Millisecond)
	defer tck.Stop()
	for {
		select {
		case <-rnr.gone:
			return
		case <-tck.C:
		}
		rnr.mu.Lock()
		isLapsed := rnr.clock() > rnr.until
		if isLapsed {
			rnr.lapsed = time.Now()
		}
		for _, rn := range rnr.runs {
			switch {
			case isLapsed:
				rnr.end(rn, "lapsed")
			case rn.work > 0 && time.Since(rn.began) >= rn.work:
				rnr.end(rn, "done")
			}
		}
		rnr.mu.Unlock()
	}
}

// end ends a run. The caller holds the lock.
func (rnr *runner) end(rn *run, how string) {
	delete(rnr.runs, rn.task)
	rnr.highest[rn.task] = max(rnr.highest[rn.task], rn.number)
	rnr.count++
	rnr.ends = append(rnr.ends, end{number: rnr.count, task: rn.task, run: rn.number, how: how, at: time.Now()})
	rnr.ste.rec.add("runner %s: run %d of %s ends %s", rnr.id, rn.number, rn.task, how)
	rnr.ste.runs.ended(rnr.id, rn, how)
	close(rnr.changed)
	rnr.changed = make(chan struct{})
}

type orderMessage struct {
	Task    string `json:"task"`
	Run     int    `json:"run_id"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fencing_token"`
	Acked   int64  `json:"ack_cursor"`
	WaitMs  int64  `json:"wait_ms"`
}

func (rnr *runner) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	var msg orderMessage
	if err := json.NewDecoder(req.Body).Decode(&msg); err != nil {
		rnr.reply(wrt, http.StatusBadRequest, nil)
		return
	}
	if id := req.Header.Get("X-Expect-Instance"); id != "" && id != rnr.id {
		rnr.ste.rec.add("runner %s: %s for %s gets 421", rnr.id, req.URL.Path, id)
		rnr.reply(wrt, http.StatusMisdirectedRequest, nil)
		return
	}
	rnr.mu.Lock()
	if msg.Fence < rnr.fence {
		rnr.mu.Unlock()
		rnr.reply(wrt, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	rnr.fence = msg.Fence
	switch req.URL.Path {
	case "/api/run-start":
		status, reason := rnr.start(msg)
		rnr.mu.Unlock()
		if status == http.StatusOK {
			rnr.reply(wrt, status, nil)
			return
		}
		rnr.reply(wrt, status, map[string]any{"reason": reason})
	case "/api/run-stop":
		rnr.highest[msg.Task] = max(rnr.highest[msg.Task], msg.Run)
		if rn := rnr.runs[msg.Task]; rn != nil && rn.number == msg.Run {
			rnr.end(rn, "stopped")
		}
		rnr.mu.Unlock()
		rnr.reply(wrt, http.StatusOK, nil)
	case "/api/hold":
		rnr.hold(wrt, req, msg) // gives the lock back
	default:
		rnr.mu.Unlock()
		rnr.reply(wrt, http.StatusOK, nil)
	}
}

// extend extends the lease. The caller holds the lock.
func (rnr *runner) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, rnr.clock()+holdMax)
	rnr.until = max(rnr.until, until)
}

// start carries out a start order. The caller holds the lock.
func (rnr *runner) start(msg orderMessage) (status int, reason string) {
	if rn := rnr.runs[msg.Task]; rn != nil && rn.number == msg.Run {
		rnr.extend(msg.UntilMs)
		return http.StatusOK, ""
	}
	if rnr.runs[msg.Task] != nil || msg.Run <= rnr.highest[msg.Task] {
		rnr.extend(msg.UntilMs)
		return http.StatusConflict, "old"
	}
	if time.Duration(msg.UntilMs)*time.Millisecond <= rnr.clock() {
		return http.StatusConflict, "late"
	}
	rnr.extend(msg.UntilMs)
	rn := &run{task: msg.Task, number: msg.Run, began: time.Now()}
	if text, ok := strings.CutPrefix(msg.Spec, "ms="); ok {
		ms, _ := strconv.Atoi(text)
		rn.work = time.Duration(ms) * time.Millisecond
	}
	rnr.runs[msg.Task] = rn
	rnr.ste.rec.add("runner %s: run %d of %s starts, fence %d", rnr.id, rn.number, rn.task, msg.Fence)
	rnr.ste.runs.started(rnr.id, rn)
	return http.StatusOK, ""
}

// hold answers with what runs and what has ended, at once or when a run has ended. The caller holds the lock,
// which is given back.
func (rnr *runner) hold(wrt http.ResponseWriter, req *http.Request, msg orderMessage) {
	rnr.extend(msg.UntilMs)
	kept := rnr.ends[:0:0]
	for _, end := range rnr.ends {
		if end.number > msg.Acked {
			kept = append(kept, end)
			continue
		}
		if !rnr.lapsed.After(end.at) {
			rnr.ste.runs.noted(rnr.id, end)
		}
	}
	rnr.ends = kept
	changed, hasEnds := rnr.changed, len(rnr.ends) > 0
	rnr.mu.Unlock()
	if wait := min(time.Duration(msg.WaitMs)*time.Millisecond, maxWait); wait > 0 && !hasEnds {
		select {
		case <-changed:
		case <-req.Context().Done():
		case <-time.After(wait):
		}
	}
	rnr.mu.Lock()
	active, finished := [][]any{}, [][]any{}
	for _, rn := range rnr.runs {
		percent := 100
		if rn.work > 0 {
			percent = int(100 * time.Since(rn.began) / rn.work)
		}
		active = append(active, []any{rn.task, rn.number, "", percent, 100})
	}
	for _, end := range rnr.ends[:min(len(rnr.ends), listedEnds)] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	rnr.mu.Unlock()
	sort.Slice(active, func(i, j int) bool { return active[i][0].(string) < active[j][0].(string) })
	rnr.reply(wrt, http.StatusOK, map[string]any{"active": active, "finished": finished})
}

func (rnr *runner) reply(wrt http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"], body["born"] = rnr.clock().Milliseconds(), rnr.born.UnixMilli()
	answer(wrt, status, body)
}

// runs is what all runners together have run. A run of a task beside another one, or after one that has ended done, if that end
// is taken note of, breaks the rule TWICE.
type runs struct {
	mu     sync.Mutex
	active map[string]map[string]*run // by task and runner
	done   map[string][]*doneRun      // by task
	broken []string
}

// doneRun is a run that has ended done.
type doneRun struct {
	runner   string
	number   int
	isNoted  bool
	hasAgain bool // the task was started after the end
}

func newRuns() *runs {
	return &runs{active: map[string]map[string]*run{}, done: map[string][]*doneRun{}}
}

func (rns *runs) started(id string, rn *run) {
	rns.mu.Lock()
	defer rns.mu.Unlock()
	for other, old := range rns.active[rn.task] {
		rns.broken = append(rns.broken, fmt.Sprintf("TWICE: run %d of %s on %s beside run %d on %s, which is up", rn.number, rn.task, id, old.number, other))
	}
	for _, don := range rns.done[rn.task] {
		don.hasAgain = true
		rns.check(rn.task, don)
	}
	if rns.active[rn.task] == nil {
		rns.active[rn.task] = map[string]*run{}
	}
	rns.active[rn.task][id] = rn
}

func (rns *runs) ended(id string, rn *run, how string) {
	rns.mu.Lock()
	defer rns.mu.Unlock()
	delete(rns.active[rn.task], id)
	if how == "done" {
		rns.done[rn.task] = append(rns.done[rn.task], &doneRun{runner: id, number: rn.number})
	}
}

// noted notes that an end on the runner was taken note of.
func (rns *runs) noted(id string, end end) {
	rns.mu.Lock()
	defer rns.mu.Unlock()
	for _, don := range rns.done[end.task] {
		if end.how == "done" && don.runner == id && don.number == end.run {
			don.isNoted = true
			rns.check(end.task, don)
		}
	}
}

// check notes a start after an end that was taken note of. The caller holds the lock.
func (rns *runs) check(task string, don *doneRun) {
	if don.isNoted && don.hasAgain {
		rns.broken = append(rns.broken, fmt.Sprintf("TWICE: %s starts after run %d on %s has ended done, which is taken note of", task, don.number, don.runner))
		don.hasAgain = false
	}
}

// violations returns what has broken the rule.
func (rns *runs) violations() []string {
	rns.mu.Lock()
	defer rns.mu.Unlock()
	return append([]string(nil), rns.broken...)
}

// on returns the tasks that run on the runner.
func (rns *runs) on(id string) []string {
	rns.mu.Lock()
	defer rns.mu.Unlock()
	var tasks []string
	for task, byRunner := range rns.active {
		if byRunner[id] != nil {
			tasks = append(tasks, task)
		}
	}
	sort.Strings(tasks)
	return tasks
}

// count returns how many runs are active.
func (rns *runs) count() int {
	rns.mu.Lock()
	defer rns.mu.Unlock()
	sum := 0
	for _, byRunner := range rns.active {
		sum += len(byRunner)
	}
	return sum
}
