// Package door is the callers' interface: it takes HTTP requests for
// /s/{service}/{path...} and returns the whole answer or an honest refusal.
package door

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/kernel/registry"
	"daisywheel/internal/request/attempt"
	"daisywheel/internal/request/budget"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Bounds of what a caller may send and how long.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxAttempts       = 3
	deadlineHeader    = "Daisywheel-Timeout"
	keyHeader         = "Idempotency-Key"
	notReadyPause     = 100 * time.Millisecond
)

func init() {
	registry.Register(registry.Plugin{Name: "door", Order: 90, Start: start})
}

// Server serves callers.
type Server struct {
	nod         *node.Node
	retryBudget *budget.Budget
	bodyMemory  *semaphore.Weighted
	httpServer  *http.Server
	keys        *keyStore
	counters    sync.Map   // countKey to *metrics.Counter
	handover    *part.Part // takes keys over
	done        chan struct{}
}

// countKey names a counter. The code is code.OK where none applies.
type counterKey struct {
	metric  string
	service string
	code    code.Code
}

func start(nod *node.Node) (func(), error) {
	srv := &Server{nod: nod, retryBudget: budget.New(), done: make(chan struct{})}
	set := nod.Settings()
	srv.bodyMemory = semaphore.NewWeighted(set.BufferedBytes)
	srv.keys = newKeyStore(nod)
	mux := http.NewServeMux()
	mux.HandleFunc("/s/{service}/{path...}", srv.serveRequest)
	mux.HandleFunc("/s/{service}", srv.serveRequest)
	mux.HandleFunc("GET /ready", srv.serveReady)
	mux.HandleFunc("/", func(rsp http.ResponseWriter, _ *http.Request) {
		writeProblem(rsp, fault.New(code.UnknownService, "the path is not /s/{service}/"), 0)
	})
	srv.httpServer = &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	lsn, err := net.Listen("tcp", set.CallerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "caller address %s", set.CallerAddress)
	}
	srv.handover = part.Every("key handover", handoverInterval, srv.keys.newHandover().step)
	go func() {
		defer close(srv.done)
		_ = srv.httpServer.Serve(lsn)
	}()
	return srv.stop, nil
}

// stop ends the door gracefully: requests in flight are finished.
func (srv *Server) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), srv.nod.Settings().DrainTimeout)
	defer cancel()
	if err := srv.httpServer.Shutdown(ctx); err != nil {
		srv.nod.Journal().Warn(srv.nod.Now(), "drainTimedOut")
		_ = srv.httpServer.Close()
	}
	<-srv.done
	srv.handover.Stop()
	srv.nod.Sender().Close()
}

func (srv *Server) serveReady(rsp http.ResponseWriter, _ *http.Request) {
	if !srv.nod.IsReady() {
		writeProblem(rsp, fault.New(code.NotReady, "not registered"), 0)
		return
	}
	_, _ = io.WriteString(rsp, "ready\n")
}

func (srv *Server) serveRequest(rsp http.ResponseWriter, req *http.Request) {
	service := req.PathValue("service")
	if !srv.nod.IsReady() && !srv.nod.IsStopping() {
		srv.refuse(rsp, service, fault.New(code.NotReady, "this entry has not registered yet"))
		return
	}
	deadline, err := deadlineOf(req, srv.nod.Now())
	if err != nil {
		srv.refuse(rsp, service, err)
		return
	}
	size := reservedBytes(req, srv.nod.Settings().BodyBytes)
	if size > srv.nod.Settings().BodyBytes {
		srv.refuse(rsp, service, fault.New(code.BodyTooLarge, "at most %d bytes", srv.nod.Settings().BodyBytes))
		return
	}
	if !srv.bodyMemory.TryAcquire(size) {
		srv.refuse(rsp, service, fault.New(code.MemoryLimit, "too many bodies are held"))
		return
	}
	defer srv.bodyMemory.Release(size)
	body, err := srv.readBody(rsp, req)
	if err != nil {
		srv.refuse(rsp, service, err)
		return
	}
	srv.respond(rsp, req, service, deadline, body)
}

// bodySize returns what is reserved for the body: its announced length, or the
// bound for a body of unknown length.
func reservedBytes(req *http.Request, bound int64) int64 {
	if req.ContentLength >= 0 {
		return req.ContentLength
	}
	return bound
}

// readBody reads the whole body before a slot is taken, so that a slow caller
// holds no slot and a body that is cut short never runs.
func (srv *Server) readBody(rsp http.ResponseWriter, req *http.Request) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	set := srv.nod.Settings()
	ctl := http.NewResponseController(rsp)
	_ = ctl.SetReadDeadline(time.Now().Add(set.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(rsp, req.Body, set.BodyBytes))
	if err == nil {
		// After a failure the deadline stays: the server would otherwise wait for
		// the rest of the body before it sends the refusal.
		_ = ctl.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(code.BodyTooLarge, "at most %d bytes", set.BodyBytes)
	}
	if err != nil {
		return nil, fault.New(code.BodyCut, "the body ended early: %v", err)
	}
	return body, nil
}

// deadlineOf reads the caller's time limit, such as "1500ms". A zero time stands
// for the pool's default.
func deadlineOf(req *http.Request, now time.Time) (time.Time, error) {
	text := req.Header.Get(deadlineHeader)
	if text == "" {
		return time.Time{}, nil
	}
	limit, err := time.ParseDuration(text)
	if err != nil || limit <= 0 {
		return time.Time{}, fault.New(code.BadRequest, "%s is %q, must be a time like 1500ms", deadlineHeader, text)
	}
	return now.Add(limit), nil
}

// isIdempotent reports whether RFC 9110 allows the method to be repeated.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// answer runs the request and writes the reply or the refusal. A request with a
// key runs at most once; its repeats get the first answer or the first's state.
func (srv *Server) respond(rsp http.ResponseWriter, req *http.Request, service string, deadline time.Time, body []byte) {
	key := req.Header.Get(keyHeader)
	if key == "" || isIdempotent(req.Method) {
		rpy, err := srv.execute(req, service, deadline, body)
		srv.writeResult(rsp, service, rpy, err)
		return
	}
	clm, err := srv.keys.claim(req.Context(), service, key, fingerprint(req, body))
	if err != nil {
		srv.refuse(rsp, service, err)
		return
	}
	if clm.reply != nil {
		srv.writeResult(rsp, service, clm.reply, nil)
		return
	}
	rpy, err := srv.execute(req, service, deadline, body)
	srv.keys.settle(clm, rpy, err)
	srv.writeResult(rsp, service, rpy, err)
}

func (srv *Server) writeResult(rsp http.ResponseWriter, service string, rpy *attempt.Reply, err error) {
	if err != nil {
		srv.refuse(rsp, service, err)
		return
	}
	srv.count("served", service, code.OK)
	writeReply(rsp, rpy)
}

func (srv *Server) refuse(rsp http.ResponseWriter, service string, err error) {
	srv.count("refused", service, fault.CodeOf(err))
	writeProblem(rsp, err, srv.nod.Dispatcher().RetryAfter(service))
}

// count adds one to a counter.
func (srv *Server) count(metric, service string, cd code.Code) {
	key := counterKey{metric: metric, service: srv.serviceLabel(service), code: cd}
	if found, ok := srv.counters.Load(key); ok {
		if counter, ok := found.(*metrics.Counter); ok {
			counter.Inc()
		}
		return
	}
	label := "{service=" + strconv.Quote(key.service)
	if cd != code.OK {
		label += ",code=\"" + strconv.Itoa(int(cd)) + "\""
	}
	counter := srv.nod.Metrics().GetOrCreateCounter("daisywheel_requests_" + metric + "_total" + label + "}")
	counter.Inc()
	srv.counters.Store(key, counter)
}

// cleanLabel bounds what a caller can put into a metric's name.
func (srv *Server) serviceLabel(service string) string {
	if !srv.nod.HasService(service) {
		return "other"
	}
	return service
}
