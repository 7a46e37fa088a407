// Package logservice is a stand-in for the platform's log service: append-only streams
// of records, with injected outages, delays and lost replies and a retention limit.
package logservice

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Config holds the settings. Retention is the number of records kept per stream;
// 0 keeps all.
type Config struct {
	Retention int
}

// Fault holds the faults that the log service shows at present.
type Fault struct {
	IsDown    bool
	Delay     time.Duration
	LoseReply func() bool // if true, the append takes effect but its reply is lost
}

// Service is the stand-in log service. It is safe for concurrent use.
type Service struct {
	cfg     Config
	mu      sync.Mutex
	streams map[string]*stream
	fault   Fault
}

type stream struct {
	oldest   int64
	records  []json.RawMessage
	appended chan struct{} // closed and replaced at each append
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

// New returns a log service without records.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, streams: map[string]*stream{}}
}

// SetFault replaces the present faults.
func (svc *Service) SetFault(flt Fault) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.fault = flt
}

func (svc *Service) stream(name string) *stream {
	str, ok := svc.streams[name]
	if !ok {
		str = &stream{appended: make(chan struct{})}
		svc.streams[name] = str
	}
	return str
}

// Handler returns the HTTP interface.
func (svc *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", svc.withFault(svc.append))
	mux.HandleFunc("GET /v1/streams/{stream}/records", svc.withFault(svc.read))
	return mux
}

// withFault delays or refuses requests to next according to the present faults.
func (svc *Service) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(rsp http.ResponseWriter, req *http.Request) {
		svc.mu.Lock()
		flt := svc.fault
		svc.mu.Unlock()
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

func (svc *Service) append(rsp http.ResponseWriter, req *http.Request) {
	var app appendJSON
	if err := json.NewDecoder(req.Body).Decode(&app); err != nil {
		http.Error(rsp, err.Error(), http.StatusBadRequest)
		return
	}
	first, isReplyLost := svc.Append(req.PathValue("stream"), app.Records)
	if isReplyLost {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(rsp).Encode(appendedJSON{First: first})
}

// Append adds records to the named stream. It returns the offset of the first one
// and whether the reply is to be lost.
func (svc *Service) Append(name string, records []json.RawMessage) (first int64, isReplyLost bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	str := svc.stream(name)
	first = str.oldest + int64(len(str.records))
	str.records = append(str.records, records...)
	if svc.cfg.Retention > 0 && len(str.records) > svc.cfg.Retention {
		expired := len(str.records) - svc.cfg.Retention
		str.records = append([]json.RawMessage(nil), str.records[expired:]...)
		str.oldest += int64(expired)
	}
	close(str.appended)
	str.appended = make(chan struct{})
	return first, svc.fault.LoseReply != nil && svc.fault.LoseReply()
}

func (svc *Service) read(rsp http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("max"))
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	pag, appended := svc.page(req.PathValue("stream"), from, limit)
	if pag != nil && len(pag.Records) == 0 && waitMs > 0 {
		tmr := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer tmr.Stop()
		select {
		case <-appended:
		case <-tmr.C:
		case <-req.Context().Done():
			return
		}
		pag, _ = svc.page(req.PathValue("stream"), from, limit)
	}
	if pag == nil {
		http.Error(rsp, "expired", http.StatusGone)
		return
	}
	_ = json.NewEncoder(rsp).Encode(pag)
}

// page returns up to limit records from the offset from on, and a channel that is
// closed at the next append. The page is nil when from has expired; a negative from
// asks only for the head.
func (svc *Service) page(name string, from int64, limit int) (*pageJSON, <-chan struct{}) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	str := svc.stream(name)
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
		recs := str.records[from-str.oldest:]
		if limit > 0 && len(recs) > limit {
			recs = recs[:limit]
		}
		pag.Records = append([]json.RawMessage(nil), recs...)
	}
	return pag, str.appended
}
