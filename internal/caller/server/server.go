// Package server is the HTTP server for callers. It accepts requests for
// /s/{service}/{path...} and returns either the backend server's complete reply or
// a refusal that states whether the request may have run.
package server

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

	"daisywheel/internal/event/metric"
	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/request/attempt"
	"daisywheel/internal/request/retrybudget"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Limits on requests, and the headers that callers set.
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
	plugin.Register(plugin.Plugin{Name: "door", Order: 90, Start: start})
}

// Server is the HTTP server for callers.
type Server struct {
	nod         *node.Node
	retryBudget *retrybudget.Budget
	bodyMemory  *semaphore.Weighted
	httpServer  *http.Server
	keys        *keyStore  // idempotency keys
	counters    sync.Map   // counterKey to *metrics.Counter
	handover    *loop.Loop // imports keys from other entries
	done        chan struct{}
}

// counterKey identifies a counter. The code is code.OK if the counter has none.
type counterKey struct {
	event   string
	service string
	code    code.Code
}

func start(nod *node.Node) (func(), error) {
	srv := &Server{nod: nod, retryBudget: retrybudget.New(), done: make(chan struct{})}
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
	srv.handover = loop.Every("key handover", handoverInterval, srv.keys.newHandover().step)
	go func() {
		defer close(srv.done)
		_ = srv.httpServer.Serve(lsn)
	}()
	return srv.stop, nil
}

// stop shuts the server down gracefully: requests in flight have DrainTimeout to
// finish.
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

// reservedBytes returns the number of bytes to reserve for the body: its announced
// length, or the limit if the length is unknown.
func reservedBytes(req *http.Request, limit int64) int64 {
	if req.ContentLength >= 0 {
		return req.ContentLength
	}
	return limit
}

// readBody reads the complete body before a slot is acquired, so that a slow
// caller occupies no slot and a request with a truncated body never runs.
func (srv *Server) readBody(rsp http.ResponseWriter, req *http.Request) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	set := srv.nod.Settings()
	ctl := http.NewResponseController(rsp)
	_ = ctl.SetReadDeadline(time.Now().Add(set.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(rsp, req.Body, set.BodyBytes))
	if err == nil {
		// After an error the read deadline stays in place; without it the server
		// would wait for the rest of the body before it sends the refusal.
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

// deadlineOf returns the deadline that follows from the caller's time limit, such
// as "1500ms". A zero time stands for the pool's default.
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

// isIdempotent reports whether RFC 9110 defines the method as idempotent.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// respond runs the request and writes the reply or the refusal. A request with an
// idempotency key runs at most once; a repeated request gets the stored reply, or
// a refusal that states what is known of the first one.
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
func (srv *Server) count(event, service string, cd code.Code) {
	key := counterKey{event: event, service: srv.serviceLabel(service), code: cd}
	if found, ok := srv.counters.Load(key); ok {
		if counter, ok := found.(*metrics.Counter); ok {
			counter.Inc()
		}
		return
	}
	name := metric.Name("daisywheel_requests_"+event+"_total").With("service", key.service)
	if cd != code.OK {
		name = name.With("code", strconv.Itoa(int(cd)))
	}
	counter := srv.nod.Metrics().GetOrCreateCounter(name.String())
	counter.Inc()
	srv.counters.Store(key, counter)
}

// serviceLabel returns the service as a metric label, and "other" for an unknown
// service, so that callers cannot create arbitrary labels.
func (srv *Server) serviceLabel(service string) string {
	if !srv.nod.HasService(service) {
		return "other"
	}
	return service
}
