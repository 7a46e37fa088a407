// Package ledger is a small stand-in for the platform's log service, with seams
// for outages, slowness, lost replies and retention.
package ledger

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Config holds the stand-in's settings. Retention is the number of records kept
// per stream; 0 keeps all.
type Config struct {
	Retention int
}

// Fault is the present misbehaviour of the log service.
type Fault struct {
	IsDown    bool
	Delay     time.Duration
	LoseReply func() bool // the append takes effect, the reply does not arrive
}

// Ledger is the stand-in. It is safe for concurrent use.
type Ledger struct {
	cfg     Config
	mu      sync.Mutex
	streams map[string]*stream
	fault   Fault
}

type stream struct {
	oldest   int64
	records  []json.RawMessage
	appended chan struct{}
}

type appendJSON struct {
	Records []json.RawMessage `json:"records"`
}

type appendedJSON struct {
	First int64 `json:"first"`
}

type pageJSON struct {
	First   int64             `json:"first"`
	Oldest  int64             `json:"oldest"`
	Head    int64             `json:"head"`
	Records []json.RawMessage `json:"records"`
}

// New returns an empty log.
func New(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, streams: map[string]*stream{}}
}

// SetFault replaces the present misbehaviour.
func (ldg *Ledger) SetFault(flt Fault) {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	ldg.fault = flt
}

func (ldg *Ledger) stream(name string) *stream {
	str, ok := ldg.streams[name]
	if !ok {
		str = &stream{appended: make(chan struct{})}
		ldg.streams[name] = str
	}
	return str
}

// Handler returns the HTTP interface.
func (ldg *Ledger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", ldg.withFault(ldg.append))
	mux.HandleFunc("GET /v1/streams/{stream}/records", ldg.withFault(ldg.read))
	return mux
}

func (ldg *Ledger) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(rsp http.ResponseWriter, req *http.Request) {
		ldg.mu.Lock()
		flt := ldg.fault
		ldg.mu.Unlock()
		if flt.Delay > 0 {
			time.Sleep(flt.Delay)
		}
		if flt.IsDown {
			http.Error(rsp, "unavailable", http.StatusServiceUnavailable)
			return
		}
		next(rsp, req)
	}
}

func (ldg *Ledger) append(rsp http.ResponseWriter, req *http.Request) {
	var wir appendJSON
	if err := json.NewDecoder(req.Body).Decode(&wir); err != nil {
		http.Error(rsp, err.Error(), http.StatusBadRequest)
		return
	}
	first, lose := ldg.Append(req.PathValue("stream"), wir.Records)
	if lose {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(rsp).Encode(appendedJSON{First: first})
}

// Append adds records and returns the first offset and whether the reply is lost.
func (ldg *Ledger) Append(name string, records []json.RawMessage) (first int64, lose bool) {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	str := ldg.stream(name)
	first = str.oldest + int64(len(str.records))
	str.records = append(str.records, records...)
	if ldg.cfg.Retention > 0 && len(str.records) > ldg.cfg.Retention {
		drop := len(str.records) - ldg.cfg.Retention
		str.records = append([]json.RawMessage(nil), str.records[drop:]...)
		str.oldest += int64(drop)
	}
	close(str.appended)
	str.appended = make(chan struct{})
	return first, ldg.fault.LoseReply != nil && ldg.fault.LoseReply()
}

func (ldg *Ledger) read(rsp http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("max"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	pag, grown := ldg.page(req.PathValue("stream"), from, limit)
	if pag != nil && len(pag.Records) == 0 && waitMs > 0 {
		tmr := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer tmr.Stop()
		select {
		case <-grown:
		case <-tmr.C:
		case <-req.Context().Done():
			return
		}
		pag, _ = ldg.page(req.PathValue("stream"), from, limit)
	}
	if pag == nil {
		http.Error(rsp, "expired", http.StatusGone)
		return
	}
	_ = json.NewEncoder(rsp).Encode(pag)
}

// page returns nil when from has expired.
func (ldg *Ledger) page(name string, from int64, limit int) (*pageJSON, <-chan struct{}) {
	ldg.mu.Lock()
	defer ldg.mu.Unlock()
	str := ldg.stream(name)
	head := str.oldest + int64(len(str.records))
	pag := &pageJSON{First: from, Oldest: str.oldest, Head: head}
	if from < 0 {
		pag.First = head
		return pag, str.appended
	}
	if from < str.oldest {
		return nil, str.appended
	}
	if from < head {
		part := str.records[from-str.oldest:]
		if limit > 0 && len(part) > limit {
			part = part[:limit]
		}
		pag.Records = append([]json.RawMessage(nil), part...)
	}
	return pag, str.appended
}
