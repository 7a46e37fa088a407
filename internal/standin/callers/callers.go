// Package callers is a stand-in for the users' callers and the platform's load
// balancer. It sends open-loop load, in which the services surge one after the other,
// and checks every reply.
package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Settings of the load.
const (
	surgeFactor    = 5.0  // times the mean rate, for the service that surges
	baseFactor     = 0.05 // times the mean rate, for the other services
	readyInterval  = 100 * time.Millisecond
	callTimeout    = 20 * time.Second
	maxTrackable   = 60_000_000 // microseconds, the longest latency that the histogram records
	sentTwiceShare = 0.2        // share of the keyed requests that are sent twice
)

// Config holds the settings of the load. Entries returns the caller addresses of the
// running entries.
type Config struct {
	Services   []string
	MeanPerSec float64       // mean request rate of each service
	SurgeTime  time.Duration // for which one service surges before the next one does
	Delay      time.Duration // one-way network delay between caller and entry
	Seed       uint64
	Entries    func() []string
}

// Tally counts what the callers saw.
type Tally struct {
	Served          int
	RefusedNotRun   int            // refused with outcome notRun, or not sent because no entry was ready
	Unknown         int            // refused with outcome unknown, or without a complete reply
	Mismatched      int            // replies that belong to another request
	Truncated       int            // served replies whose body ends early without an error
	NoOutcome       int            // refusals without an outcome
	ReplayedAnswers int            // repeats of keyed requests that got the first answer
	NotRun          []string       // ids of requests refused with outcome notRun, except those sent twice
	Answered        []string       // ids of served requests
	Refusals        map[string]int // by code
}

// Callers sends load. It is safe for concurrent use.
type Callers struct {
	cfg       Config
	http      *http.Client
	mu        sync.Mutex
	tally     Tally
	ready     []string
	latencies *hdrhistogram.Histogram
	pollDone  chan struct{}
	quit      chan struct{}
	wtg       sync.WaitGroup
}

// Start starts the load.
func Start(cfg Config) *Callers {
	clr := &Callers{
		cfg: cfg, pollDone: make(chan struct{}), quit: make(chan struct{}),
		latencies: hdrhistogram.New(1, maxTrackable, 3),
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second,
		}},
	}
	clr.tally.Refusals = map[string]int{}
	clr.pollReady()
	go clr.pollLoop()
	for idx := range cfg.Services {
		clr.wtg.Go(func() { clr.generateLoad(idx) })
	}
	return clr
}

// pollLoop keeps the list of ready entries up to date, as a load balancer does.
func (clr *Callers) pollLoop() {
	defer close(clr.pollDone)
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		select {
		case <-clr.quit:
			return
		case <-tick.C:
			clr.pollReady()
		}
	}
}

func (clr *Callers) pollReady() {
	var ready []string
	for _, address := range clr.cfg.Entries() {
		rsp, err := clr.http.Get("http://" + address + "/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		_ = rsp.Body.Close()
		if rsp.StatusCode == http.StatusOK {
			ready = append(ready, address)
		}
	}
	clr.mu.Lock()
	defer clr.mu.Unlock()
	clr.ready = ready
}

// generateLoad sends the requests of one service until Stop is called.
func (clr *Callers) generateLoad(idx int) {
	rnd := rand.New(rand.NewPCG(clr.cfg.Seed, uint64(idx)+100))
	startedAt := time.Now()
	next := startedAt
	for count := 0; ; count++ {
		rate := clr.rate(idx, next.Sub(startedAt))
		next = next.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-clr.quit:
			return
		case <-time.After(time.Until(next)):
		}
		cal := call{service: clr.cfg.Services[idx], id: fmt.Sprintf("%s-%d", clr.cfg.Services[idx], count)}
		cal.randomize(rnd)
		clr.wtg.Go(func() { clr.sendAll(cal) })
	}
}

// rate returns the requests per second of a service at a time since the start.
func (clr *Callers) rate(idx int, since time.Duration) float64 {
	surging := int(since/clr.cfg.SurgeTime) % len(clr.cfg.Services)
	if surging == idx {
		return clr.cfg.MeanPerSec * surgeFactor
	}
	return clr.cfg.MeanPerSec * baseFactor
}

// call is one request to send.
type call struct {
	service        string
	id             string
	method         string
	idempotencyKey string
	isSentTwice    bool
	entryPick      uint64
	body           []byte
}

func (cal *call) randomize(rnd *rand.Rand) {
	cal.entryPick = rnd.Uint64()
	cal.method = http.MethodGet
	switch share := rnd.Float64(); {
	case share < 0.2:
		cal.method = http.MethodPost
	case share < 0.4:
		cal.method = http.MethodPost
		cal.idempotencyKey = cal.id
		cal.isSentTwice = rnd.Float64() < sentTwiceShare
	}
	if cal.method == http.MethodPost {
		cal.id = "once-" + cal.id
		cal.body = []byte("charge " + cal.id)
	}
}

// IsAtMostOnce reports whether the request with the id must not run more than once.
func IsAtMostOnce(id string) bool { return len(id) > 5 && id[:5] == "once-" }

func (clr *Callers) sendAll(cal call) {
	clr.send(cal)
	if cal.isSentTwice {
		cal.entryPick++
		clr.send(cal)
	}
}

func (clr *Callers) send(cal call) {
	address := clr.pickEntry(cal.entryPick)
	if address == "" {
		clr.updateTally(func(tly *Tally) { tly.RefusedNotRun++ })
		return
	}
	time.Sleep(clr.cfg.Delay)
	startedAt := time.Now()
	path := "/s/" + cal.service + "/" + cal.id
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, cal.method, "http://"+address+path, bytes.NewReader(cal.body))
	if err != nil {
		return
	}
	req.Header.Set("X-Request-Id", cal.id)
	if cal.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", cal.idempotencyKey)
	}
	rsp, err := clr.http.Do(req)
	if err != nil {
		clr.updateTally(func(tly *Tally) { tly.Unknown++ })
		return
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(rsp.Body)
	latency := time.Since(startedAt)
	time.Sleep(clr.cfg.Delay)
	clr.checkReply(cal, rsp, string(body), err, latency, path)
}

func (clr *Callers) pickEntry(entryPick uint64) string {
	clr.mu.Lock()
	defer clr.mu.Unlock()
	if len(clr.ready) == 0 {
		return ""
	}
	return clr.ready[entryPick%uint64(len(clr.ready))]
}

func (clr *Callers) checkReply(cal call, rsp *http.Response, body string, err error, latency time.Duration, path string) {
	clr.mu.Lock()
	defer clr.mu.Unlock()
	tly := &clr.tally
	if err != nil {
		tly.Unknown++
		return
	}
	if rsp.StatusCode != http.StatusOK {
		clr.checkRefusal(cal, rsp)
		return
	}
	tly.Served++
	// The error is for latencies of over a minute, which the call timeout excludes.
	_ = clr.latencies.RecordValue(latency.Microseconds())
	tly.Answered = append(tly.Answered, cal.id)
	runner := rsp.Header.Get("X-Runner")
	want := fmt.Sprintf("request %s served by %s for %s\n", cal.id, runner, path)
	switch {
	case body == want:
	case len(body) < len(want) && want[:len(body)] == body:
		tly.Truncated++
	default:
		tly.Mismatched++
	}
}

func (clr *Callers) checkRefusal(cal call, rsp *http.Response) {
	tly := &clr.tally
	tly.Refusals[rsp.Header.Get("Daisywheel-Code")]++
	switch rsp.Header.Get("Daisywheel-Outcome") {
	case "notRun":
		tly.RefusedNotRun++
		if !cal.isSentTwice {
			tly.NotRun = append(tly.NotRun, cal.id)
		}
	case "unknown":
		tly.Unknown++
	default:
		tly.NoOutcome++
	}
}

func (clr *Callers) updateTally(change func(tly *Tally)) {
	clr.mu.Lock()
	defer clr.mu.Unlock()
	change(&clr.tally)
}

// Tally returns the counts so far.
func (clr *Callers) Tally() Tally {
	clr.mu.Lock()
	defer clr.mu.Unlock()
	return clr.tally
}

// LatencyMs returns the latency of served requests in milliseconds at the quantile,
// 0 to 100.
func (clr *Callers) LatencyMs(quantile float64) float64 {
	clr.mu.Lock()
	defer clr.mu.Unlock()
	return float64(clr.latencies.ValueAtQuantile(quantile)) / 1000
}

// Stop ends the load and waits for all replies.
func (clr *Callers) Stop() {
	close(clr.quit)
	clr.wtg.Wait()
	<-clr.pollDone
	clr.http.CloseIdleConnections()
}
