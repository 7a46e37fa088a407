package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	leaseMax    = 10 * time.Second // hold_max_ms
	stopTime    = 150 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	maxEndsSent = 500
)

// kind is what a runner's boot offers.
type kind struct {
	MilliCores int64
	MemoryMB   int64
}

// runner is a stand-in for a runner. It starts whatever it is told to start, as one
// without an admission check.
type runner struct {
	id, service, zone, address string
	site                       *site
	mu                         sync.Mutex
	boot                       int
	isOff                      bool
	powered                    chan struct{} // closed when an off runner is on again
	born                       int64
	bootedAt                   time.Time
	kind                       kind
	fence                      int64
	leaseEnd                   time.Time
	lapses                     []time.Time
	active                     map[string]*run // by task
	ends                       []*run          // not acknowledged, oldest first
	endCount                   int64
	highest                    map[string]int // highest run stopped or ended, by task
	changed                    chan struct{}
	seq                        int
	server                     *http.Server
	conns                      map[net.Conn]bool
}

// run is one run of a task, as the runner saw it.
type run struct {
	task                             string
	number                           int
	runner                           *runner
	boot                             int
	startedAt, endedAt               time.Time
	listedAt, ackedAt                time.Time
	how                              string
	endNumber                        int64
	spec                             taskSpec
	isStopping                       bool
	usedCPU, usedMemory, capacityCPU int64 // of the runner as the run started
}

// taskSpec is the content of a job's spec, by which the stand-in knows what a task takes.
type taskSpec struct {
	Ms  int64 `json:"ms"`
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem"`
}

type bootKey struct{}

func (rnr *runner) start(knd kind) error {
	lsn, err := net.Listen("tcp", rnr.address)
	if err != nil {
		return err
	}
	rnr.address = lsn.Addr().String()
	rnr.mu.Lock()
	rnr.bootAs(knd)
	rnr.conns = map[net.Conn]bool{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", rnr.serve(rnr.runStart))
	mux.HandleFunc("POST /api/run-stop", rnr.serve(rnr.runStop))
	mux.HandleFunc("POST /api/hold", rnr.serve(rnr.hold))
	mux.HandleFunc("POST /api/pace", rnr.serve(rnr.pace))
	rnr.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, bootKey{}, rnr.bootNumber())
		},
		ConnState: func(cnn net.Conn, ste http.ConnState) {
			rnr.mu.Lock()
			defer rnr.mu.Unlock()
			switch ste {
			case http.StateNew:
				rnr.conns[cnn] = true
			case http.StateClosed, http.StateHijacked:
				delete(rnr.conns, cnn)
			}
		},
	}
	srv := rnr.server
	rnr.mu.Unlock()
	go func() { _ = srv.Serve(lsn) }()
	rnr.announce()
	return nil
}

func (rnr *runner) awaitPower() {
	rnr.mu.Lock()
	isOff, powered := rnr.isOff, rnr.powered
	rnr.mu.Unlock()
	if isOff {
		<-powered
	}
}

func (rnr *runner) bootNumber() int {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	return rnr.boot
}

// bootAs begins a boot that knows nothing of before. The caller holds the lock.
func (rnr *runner) bootAs(knd kind) {
	now := time.Now()
	rnr.boot++
	rnr.kind, rnr.bootedAt, rnr.born = knd, now, now.UnixMilli()
	rnr.fence, rnr.leaseEnd, rnr.endCount, rnr.seq = 0, time.Time{}, 0, 0
	rnr.active, rnr.ends, rnr.highest, rnr.changed = map[string]*run{}, nil, map[string]int{}, make(chan struct{})
	rnr.site.rec.add("runner %s boot %d at %s: cpu %d", rnr.id, rnr.boot, rnr.address, knd.MilliCores)
}

// endAll ends all that runs when the runner loses power or crashes. The caller holds the lock.
func (rnr *runner) endAll(how string) {
	for _, rn := range rnr.active {
		rn.endedAt, rn.how = time.Now(), how
		rnr.site.rec.add("end %s run %d on %s: %s", rn.task, rn.number, rnr.id, how)
	}
	rnr.active = map[string]*run{}
}

// powerCycle takes the power away for a time. Open connections fall silent, also those that
// clients open meanwhile; the next boot resets those that still send.
func (rnr *runner) powerCycle(off time.Duration) {
	rnr.mu.Lock()
	rnr.endAll("lost with the runner")
	rnr.isOff, rnr.powered = true, make(chan struct{})
	rnr.site.rec.say("runner %s loses power", rnr.id)
	rnr.mu.Unlock()
	time.Sleep(off)
	rnr.mu.Lock()
	rnr.bootAs(rnr.kind)
	rnr.isOff = false
	close(rnr.powered)
	rnr.mu.Unlock()
	rnr.announce()
}

// crash ends the runner's process, which resets its connections, and starts it again as
// another kind.
func (rnr *runner) crash(down time.Duration, knd kind) error {
	rnr.mu.Lock()
	rnr.endAll("lost with the runner")
	rnr.boot++
	rnr.site.rec.say("runner %s crashes", rnr.id)
	for cnn := range rnr.conns {
		reset(cnn)
	}
	srv := rnr.server
	rnr.mu.Unlock()
	_ = srv.Close()
	time.Sleep(down)
	return rnr.start(knd)
}

func reset(cnn net.Conn) {
	if tcp, ok := cnn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = cnn.Close()
}

func (rnr *runner) clockMs() int64 { return time.Since(rnr.bootedAt).Milliseconds() }

// announce writes the runner's entry in the store.
func (rnr *runner) announce() {
	rnr.mu.Lock()
	if rnr.isOff {
		rnr.mu.Unlock()
		return
	}
	rnr.seq++
	data, _ := json.Marshal(map[string]any{
		"service": rnr.service, "address": rnr.address, "zone": rnr.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]int64{"cpu": rnr.kind.MilliCores, "mem_mb": rnr.kind.MemoryMB, "gpu": 0},
		"labels": []string{"a", "r1-1"}, "clock_ms": rnr.clockMs(), "born": rnr.born, "seq": rnr.seq,
	})
	rnr.mu.Unlock()
	rnr.site.log.put("keyed.servers", rnr.id, string(data))
}

type orderJSON struct {
	Task       string `json:"task"`
	Run        int    `json:"run_id"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	Fence      int64  `json:"fencing_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

type refusal struct {
	status int
	reason string
}

// serve wraps a call: it decodes the order, checks the intended runner and the fence, and
// answers nothing on a connection of an earlier boot.
func (rnr *runner) serve(call func(ctx context.Context, ord orderJSON) (map[string]any, *refusal)) http.HandlerFunc {
	return func(wrt http.ResponseWriter, req *http.Request) {
		var ord orderJSON
		if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
			wrt.WriteHeader(http.StatusBadRequest)
			return
		}
		rnr.awaitPower()
		boot, _ := req.Context().Value(bootKey{}).(int)
		if boot != rnr.bootNumber() {
			if cnn, _, err := http.NewResponseController(wrt).Hijack(); err == nil {
				reset(cnn)
			}
			return
		}
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != rnr.id {
			answer(wrt, http.StatusMisdirectedRequest, map[string]any{"born": rnr.born})
			return
		}
		body, ref := call(req.Context(), ord)
		if boot != rnr.bootNumber() {
			<-req.Context().Done() // the runner has lost power meanwhile
			return
		}
		rnr.mu.Lock()
		clock, born := rnr.clockMs(), rnr.born
		rnr.mu.Unlock()
		if ref != nil {
			answer(wrt, ref.status, map[string]any{"clock_ms": clock, "born": born, "reason": ref.reason})
			return
		}
		body["clock_ms"], body["born"] = clock, born
		answer(wrt, http.StatusOK, body)
	}
}

// admit checks the fencing token. The caller holds the lock.
func (rnr *runner) admit(ord orderJSON) *refusal {
	if ord.Fence < rnr.fence {
		return &refusal{http.StatusConflict, "fence"}
	}
	rnr.fence = ord.Fence
	return nil
}

// extend extends the lease of all that runs. The caller holds the lock.
func (rnr *runner) extend(untilMs int64) {
	if untilMs == 0 {
		return
	}
	end := rnr.bootedAt.Add(time.Duration(untilMs) * time.Millisecond)
	if limit := time.Now().Add(leaseMax); end.After(limit) {
		end = limit
	}
	if end.After(rnr.leaseEnd) {
		rnr.leaseEnd = end
	}
}

func (rnr *runner) runStart(_ context.Context, ord orderJSON) (map[string]any, *refusal) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	if ref := rnr.admit(ord); ref != nil {
		return nil, ref
	}
	if old := rnr.active[ord.Task]; old != nil && old.number == ord.Run {
		return map[string]any{}, nil
	}
	if ord.UntilMs <= rnr.clockMs() {
		return nil, &refusal{http.StatusConflict, "late"}
	}
	rnr.extend(ord.UntilMs)
	if ord.Run <= rnr.highest[ord.Task] || rnr.active[ord.Task] != nil {
		return nil, &refusal{http.StatusConflict, "old"}
	}
	rn := &run{task: ord.Task, number: ord.Run, runner: rnr, boot: rnr.boot, startedAt: time.Now()}
	if err := json.Unmarshal([]byte(ord.Spec), &rn.spec); err != nil {
		return nil, &refusal{http.StatusBadRequest, "spec"}
	}
	rnr.active[ord.Task] = rn
	for _, other := range rnr.active {
		rn.usedCPU += other.spec.CPU
		rn.usedMemory += other.spec.Mem
	}
	rn.capacityCPU = rnr.kind.MilliCores
	rnr.site.addRun(rn)
	rnr.site.rec.add("start %s run %d on %s boot %d fence %d: cpu in use %d of %d", rn.task, rn.number, rnr.id, rnr.boot, ord.Fence, rn.usedCPU, rn.capacityCPU)
	if rn.spec.Ms > 0 {
		time.AfterFunc(time.Duration(rn.spec.Ms)*time.Millisecond, func() { rnr.finish(rn, "done") })
	}
	return map[string]any{}, nil
}

// finish lists the end of a run that is still active.
func (rnr *runner) finish(rn *run, how string) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	if rnr.boot != rn.boot || rnr.active[rn.task] != rn || rnr.isOff {
		return
	}
	delete(rnr.active, rn.task)
	rnr.endCount++
	rn.endedAt, rn.how, rn.endNumber = time.Now(), how, rnr.endCount
	rnr.ends = append(rnr.ends, rn)
	rnr.highest[rn.task] = max(rnr.highest[rn.task], rn.number)
	rnr.site.rec.add("end %s run %d on %s: %s, number %d", rn.task, rn.number, rnr.id, how, rn.endNumber)
	close(rnr.changed)
	rnr.changed = make(chan struct{})
}

func (rnr *runner) runStop(_ context.Context, ord orderJSON) (map[string]any, *refusal) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	if ref := rnr.admit(ord); ref != nil {
		return nil, ref
	}
	rnr.site.rec.add("stop %s run %d on %s", ord.Task, ord.Run, rnr.id)
	rnr.highest[ord.Task] = max(rnr.highest[ord.Task], ord.Run)
	if rn := rnr.active[ord.Task]; rn != nil && rn.number <= ord.Run && !rn.isStopping {
		rn.isStopping = true
		time.AfterFunc(stopTime, func() { rnr.finish(rn, "stopped") })
	}
	return map[string]any{}, nil
}

func (rnr *runner) pace(_ context.Context, ord orderJSON) (map[string]any, *refusal) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	return map[string]any{}, rnr.admit(ord)
}

func (rnr *runner) hold(ctx context.Context, ord orderJSON) (map[string]any, *refusal) {
	rnr.mu.Lock()
	if ref := rnr.admit(ord); ref != nil {
		rnr.mu.Unlock()
		return nil, ref
	}
	rnr.extend(ord.UntilMs)
	boot, now := rnr.boot, time.Now()
	for len(rnr.ends) > 0 && rnr.ends[0].endNumber <= ord.AckCursor {
		rn := rnr.ends[0]
		rn.ackedAt = now
		rnr.ends = rnr.ends[1:]
		rnr.site.rec.add("acknowledged %s run %d on %s: number %d, cursor %d, listed before: %v",
			rn.task, rn.number, rnr.id, rn.endNumber, ord.AckCursor, !rn.listedAt.IsZero())
	}
	changed, count := rnr.changed, len(rnr.ends)
	rnr.mu.Unlock()
	if count == 0 && ord.WaitMs > 0 {
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(min(2*time.Second, time.Duration(ord.WaitMs)*time.Millisecond)):
		}
	}
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	if rnr.boot != boot {
		return nil, nil
	}
	active, finished := [][]any{}, [][]any{}
	for _, rn := range rnr.active {
		percent := 100
		if rn.spec.Ms > 0 {
			percent = int(min(99, time.Since(rn.startedAt).Milliseconds()*100/rn.spec.Ms))
		}
		active = append(active, []any{rn.task, rn.number, "", percent, rn.spec.CPU})
	}
	sort.Slice(active, func(i, j int) bool { return fmt.Sprint(active[i]...) < fmt.Sprint(active[j]...) })
	for _, rn := range rnr.ends[:min(len(rnr.ends), maxEndsSent)] {
		if rn.listedAt.IsZero() {
			rn.listedAt = time.Now()
		}
		finished = append(finished, []any{rn.endNumber, rn.task, rn.number, rn.how, ""})
	}
	return map[string]any{"active": active, "finished": finished}, nil
}

// hasLapsed reports whether the lease has lapsed between the two times.
func (rnr *runner) hasLapsed(from, to time.Time) bool {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	for _, at := range rnr.lapses {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// lapse kills all that runs when the lease has expired.
func (rnr *runner) lapse() {
	rnr.mu.Lock()
	var expired []*run
	if now := time.Now(); !rnr.isOff && !rnr.leaseEnd.IsZero() && now.After(rnr.leaseEnd) {
		rnr.lapses = append(rnr.lapses, rnr.leaseEnd)
		rnr.leaseEnd = time.Time{}
		for _, rn := range rnr.active {
			expired = append(expired, rn)
		}
	}
	rnr.mu.Unlock()
	for _, rn := range expired {
		rnr.finish(rn, "lapsed")
	}
}
