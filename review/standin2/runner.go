package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as in the settings of the entries.
const (
	holdMax     = 10 * time.Second
	maintenance = 2 * time.Second
	migration   = 1500 * time.Millisecond
	leaseTime   = 3 * time.Second
	contactTime = 3 * time.Second
	beat        = 1500 * time.Millisecond
	startup     = 300 * time.Millisecond // until a task that lasts is at work
	maxWait     = 2 * time.Second
)

// runner is one life of a machine.
type runner struct {
	id, pool, zone, address string
	born                    time.Time
	rec                     *recorder
	srv                     *http.Server
	mu                      sync.Mutex
	fence                   int64
	lease                   time.Duration // on the runner's clock
	lapsedAt                time.Time     // when the lease was last seen to have lapsed
	runs                    map[string]*run
	highest                 map[string]int // number of the last run of each task that ended or was stopped
	ends                    []end
	lastEnd                 int64
	changed                 chan struct{} // closed when a run ends
	isGone                  bool
	seq                     int
}

type run struct {
	number    int
	startedAt time.Time
	work      time.Duration // 0: it lasts
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
}

// startRunner starts a runner whose tasks do what their spec says: "work MS" or "last".
func startRunner(rec *recorder, id, pool, zone, address string) (*runner, error) {
	lsn, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	rnr := &runner{
		id: id, pool: pool, zone: zone, address: lsn.Addr().String(), born: time.Now(), rec: rec,
		runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", rnr.start)
	mux.HandleFunc("POST /api/run-stop", rnr.stop)
	mux.HandleFunc("POST /api/hold", rnr.hold)
	mux.HandleFunc("POST /api/pace", func(wrt http.ResponseWriter, _ *http.Request) { rnr.answer(wrt, http.StatusOK, nil) })
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	rnr.srv = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != id {
			wrt.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(wrt, req)
	})}
	go func() { _ = rnr.srv.Serve(lsn) }() // ends with the runner
	go rnr.tick()
	return rnr, nil
}

func (rnr *runner) clock() time.Duration { return time.Since(rnr.born) }

// announcement is what the runner writes into the store about itself.
func (rnr *runner) announcement() map[string]any {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	rnr.seq++
	return map[string]any{
		"service": rnr.pool, "address": rnr.address, "zone": rnr.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "labels": []string{"a", "r1-" + rnr.zone},
		"clock_ms": rnr.clock().Milliseconds(), "born": rnr.born.UnixMilli(), "seq": rnr.seq,
	}
}

// tick ends the runs whose work is done and, when the lease expires, all of them.
func (rnr *runner) tick() {
	for range time.Tick(10 * time.Millisecond) {
		rnr.mu.Lock()
		if rnr.isGone {
			rnr.mu.Unlock()
			return
		}
		hasLapsed := rnr.clock() > rnr.lease
		if hasLapsed {
			rnr.lapsedAt = time.Now()
		}
		for task, rn := range rnr.runs {
			switch {
			case hasLapsed:
				rnr.endRun(task, "lapsed")
			case rn.work > 0 && time.Since(rn.startedAt) >= rn.work:
				rnr.endRun(task, "done")
			}
		}
		rnr.mu.Unlock()
	}
}

// endRun ends a run. The caller holds the lock.
func (rnr *runner) endRun(task, how string) {
	rn := rnr.runs[task]
	if rn == nil {
		return
	}
	delete(rnr.runs, task)
	rnr.highest[task] = max(rnr.highest[task], rn.number)
	rnr.lastEnd++
	rnr.ends = append(rnr.ends, end{rnr.lastEnd, task, rn.number, how, time.Now()})
	rnr.rec.ended(rnr.id, task, rn.number, how)
	close(rnr.changed)
	rnr.changed = make(chan struct{})
}

// fail ends the run of a task as failed, if it is here.
func (rnr *runner) fail(task string) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	rnr.endRun(task, "failed")
}

// tasks returns the names of the tasks at work.
func (rnr *runner) tasks() []string {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	var names []string
	for task, rn := range rnr.runs {
		if rn.percent() == 100 {
			names = append(names, task)
		}
	}
	return names
}

// count returns how many tasks run.
func (rnr *runner) count() int {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	return len(rnr.runs)
}

// terminate ends the runner and everything that runs on it.
func (rnr *runner) terminate() {
	rnr.mu.Lock()
	rnr.isGone = true
	for task := range rnr.runs {
		rnr.endRun(task, "terminated")
	}
	rnr.mu.Unlock()
	_ = rnr.srv.Close()
}

func (rn *run) percent() int {
	switch {
	case rn.work > 0:
		return min(99, int(100*time.Since(rn.startedAt)/rn.work))
	case time.Since(rn.startedAt) < startup:
		return 0
	}
	return 100
}

type orderJSON struct {
	Task    string `json:"task"`
	Run     int    `json:"run_id"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fencing_token"`
	Ack     int64  `json:"ack_cursor"`
	WaitMs  int64  `json:"wait_ms"`
}

func (rnr *runner) answer(wrt http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clock_ms": rnr.clock().Milliseconds(), "born": rnr.born.UnixMilli()}
	for name, value := range more {
		body[name] = value
	}
	reply(wrt, status, body)
}

// order decodes an order. It answers one that is not to be carried out, and reports false. On
// true the caller holds the lock.
func (rnr *runner) order(wrt http.ResponseWriter, req *http.Request) (orderJSON, bool) {
	var ord orderJSON
	if json.NewDecoder(req.Body).Decode(&ord) != nil {
		rnr.answer(wrt, http.StatusBadRequest, nil)
		return ord, false
	}
	rnr.mu.Lock()
	if ord.Fence < rnr.fence {
		rnr.mu.Unlock()
		rnr.answer(wrt, http.StatusConflict, map[string]any{"reason": "fence"})
		return ord, false
	}
	rnr.fence = ord.Fence
	return ord, true
}

func (rnr *runner) extendLease(untilMs int64) {
	rnr.lease = max(rnr.lease, min(time.Duration(untilMs)*time.Millisecond, rnr.clock()+holdMax))
}

func (rnr *runner) start(wrt http.ResponseWriter, req *http.Request) {
	ord, ok := rnr.order(wrt, req)
	if !ok {
		return
	}
	defer rnr.mu.Unlock()
	rn := rnr.runs[ord.Task]
	switch {
	case rn != nil && rn.number == ord.Run:
		rnr.extendLease(ord.UntilMs)
		rnr.answer(wrt, http.StatusOK, nil)
		return
	case rn != nil || ord.Run <= rnr.highest[ord.Task]:
		rnr.extendLease(ord.UntilMs)
		rnr.answer(wrt, http.StatusConflict, map[string]any{"reason": "old"})
		return
	case time.Duration(ord.UntilMs)*time.Millisecond <= rnr.clock():
		rnr.answer(wrt, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	rnr.extendLease(ord.UntilMs)
	work := time.Duration(0)
	if text, isFinite := strings.CutPrefix(ord.Spec, "work "); isFinite {
		ms, err := strconv.Atoi(text)
		if err != nil {
			rnr.answer(wrt, http.StatusBadRequest, nil)
			return
		}
		work = time.Duration(ms) * time.Millisecond
	}
	rnr.runs[ord.Task] = &run{number: ord.Run, startedAt: time.Now(), work: work}
	rnr.rec.begin(rnr.id, rnr.pool, ord.Task, ord.Run)
	rnr.answer(wrt, http.StatusOK, nil)
}

func (rnr *runner) stop(wrt http.ResponseWriter, req *http.Request) {
	ord, ok := rnr.order(wrt, req)
	if !ok {
		return
	}
	defer rnr.mu.Unlock()
	if rn := rnr.runs[ord.Task]; rn != nil && rn.number == ord.Run {
		rnr.endRun(ord.Task, "stopped")
	}
	rnr.highest[ord.Task] = max(rnr.highest[ord.Task], ord.Run)
	rnr.answer(wrt, http.StatusOK, nil)
}

func (rnr *runner) hold(wrt http.ResponseWriter, req *http.Request) {
	ord, ok := rnr.order(wrt, req)
	if !ok {
		return
	}
	if ord.UntilMs > 0 {
		rnr.extendLease(ord.UntilMs)
	}
	for len(rnr.ends) > 0 && rnr.ends[0].number <= ord.Ack {
		nd := rnr.ends[0]
		rnr.rec.acknowledged(rnr.id, nd.task, nd.run, rnr.lapsedAt.After(nd.at))
		rnr.ends = rnr.ends[1:]
	}
	changed := rnr.changed
	if len(rnr.ends) == 0 && ord.WaitMs > 0 {
		rnr.mu.Unlock()
		rnr.await(req.Context(), changed, min(maxWait, time.Duration(ord.WaitMs)*time.Millisecond))
		rnr.mu.Lock()
	}
	defer rnr.mu.Unlock()
	active, finished := [][]any{}, [][]any{}
	for task, rn := range rnr.runs {
		active = append(active, []any{task, rn.number, "", rn.percent(), 0})
	}
	for _, nd := range rnr.ends[:min(len(rnr.ends), pageItems)] {
		finished = append(finished, []any{nd.number, nd.task, nd.run, nd.how, ""})
	}
	rnr.answer(wrt, http.StatusOK, map[string]any{"active": active, "finished": finished})
}

func (rnr *runner) await(ctx context.Context, changed <-chan struct{}, wait time.Duration) {
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	select {
	case <-changed:
	case <-tmr.C:
	case <-ctx.Done():
	}
}
