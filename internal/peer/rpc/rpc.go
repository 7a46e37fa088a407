// Package rpc carries RPCs between entries as JSON-RPC 2.0 over TCP.
package rpc

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"daisywheel/internal/kernel/crash"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// dialTimeout bounds the time for opening a connection.
const dialTimeout = time.Second

// discardLog stops the library from writing lines that are not events to standard
// error.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// Handler handles calls of one method.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Config holds what an Endpoint needs.
type Config struct {
	// Dial dials a peer; if it is nil, New dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnCrash is called after a panic in the handler of a method, whose caller gets an error; nil calls nothing.
	OnCrash func(method string, crs *crash.Crash)
}

// Endpoint is the RPC client and server of one entry for calls between entries. It is
// safe for concurrent use.
type Endpoint struct {
	cfg      Config
	mu       sync.Mutex
	handlers map[string]Handler
	outgoing map[string]*jsonrpc2.Conn
	incoming map[*jsonrpc2.Conn]bool
	listener net.Listener
	done     chan struct{}
	isClosed bool
}

// New returns an Endpoint that does not listen yet.
func New(cfg Config) *Endpoint {
	if cfg.Dial == nil {
		dlr := &net.Dialer{Timeout: dialTimeout}
		cfg.Dial = dlr.DialContext
	}
	return &Endpoint{
		cfg: cfg, handlers: map[string]Handler{}, outgoing: map[string]*jsonrpc2.Conn{},
		incoming: map[*jsonrpc2.Conn]bool{}, done: make(chan struct{}),
	}
}

// Handle registers the handler of a method. It must be called before Listen.
func (ept *Endpoint) Handle(method string, hnd Handler) {
	ept.mu.Lock()
	defer ept.mu.Unlock()
	ept.handlers[method] = hnd
}

// Listen accepts connections from peers at the address until Close.
func (ept *Endpoint) Listen(address string) error {
	lsn, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "peer address %s", address)
	}
	ept.listener = lsn
	go ept.accept()
	return nil
}

func (ept *Endpoint) accept() {
	defer close(ept.done)
	for {
		cnn, err := ept.listener.Accept()
		if err != nil {
			return
		}
		stream := jsonrpc2.NewBufferedStream(cnn, jsonrpc2.VSCodeObjectCodec{})
		jcn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(ept.serve)), discardLog)
		ept.track(jcn)
	}
}

// track keeps an incoming connection until it ends, so that Close can close it.
func (ept *Endpoint) track(jcn *jsonrpc2.Conn) {
	ept.mu.Lock()
	defer ept.mu.Unlock()
	if ept.isClosed {
		_ = jcn.Close()
		return
	}
	ept.incoming[jcn] = true
	go func() {
		<-jcn.DisconnectNotify()
		ept.mu.Lock()
		defer ept.mu.Unlock()
		delete(ept.incoming, jcn)
	}()
}

// serve handles one call of a peer.
func (ept *Endpoint) serve(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	ept.mu.Lock()
	hnd, ok := ept.handlers[req.Method]
	ept.mu.Unlock()
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	var out any
	var err error
	crs := crash.Catch(func() { out, err = hnd(ctx, params) })
	if crs != nil {
		if ept.cfg.OnCrash != nil {
			ept.cfg.OnCrash(req.Method, crs)
		}
		err = fault.Wrap(crs, code.OutcomeUnknown, "handling %s", req.Method)
	}
	if err != nil {
		return nil, toRPCError(err)
	}
	return out, nil
}

// errorData is the data of an RPC error, besides its code and message.
type errorData struct {
	RetryAfterMs int64 `json:"retryAfterMs"`
}

func toRPCError(err error) *jsonrpc2.Error {
	rpcErr := &jsonrpc2.Error{Code: int64(fault.CodeOf(err)), Message: err.Error()}
	if wait := fault.RetryAfterOf(err); wait > 0 {
		rpcErr.SetError(errorData{RetryAfterMs: wait.Milliseconds()})
	}
	return rpcErr
}

func fromRPCError(rpcErr *jsonrpc2.Error) error {
	var dat errorData
	if rpcErr.Data != nil {
		if err := json.Unmarshal(*rpcErr.Data, &dat); err != nil {
			dat.RetryAfterMs = 0 // unreadable data: the error counts without a retry time
		}
	}
	return fault.NewRetryAfter(time.Duration(dat.RetryAfterMs)*time.Millisecond, code.Code(rpcErr.Code), "%s", rpcErr.Message)
}

// IsUnknownMethod reports whether the error is that the peer does not know the method, as it runs an earlier version of
// the program. It has done nothing then.
func IsUnknownMethod(err error) bool { return fault.CodeOf(err) == jsonrpc2.CodeMethodNotFound }

// Call calls a method of the peer at the address and decodes the reply into out. A
// call that fails may or may not have been carried out.
func (ept *Endpoint) Call(ctx context.Context, address, method string, params, out any) error {
	jcn, err := ept.conn(ctx, address)
	if err != nil {
		return err
	}
	err = callUntilDone(ctx, jcn, method, params, out)
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return fromRPCError(rpcErr)
	}
	if err != nil {
		ept.dropConn(address, jcn)
		return errors.Wrapf(err, "peer %s", address)
	}
	return nil
}

// callUntilDone returns when ctx ends, even if the write of this call, or of an
// earlier one, is blocked because the peer does not read.
func callUntilDone(ctx context.Context, jcn *jsonrpc2.Conn, method string, params, out any) error {
	var raw json.RawMessage
	ended := make(chan error, 1)
	go func() { ended <- jcn.Call(ctx, method, params, &raw) }()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-ended:
		if err != nil || out == nil || len(raw) == 0 {
			return err
		}
		return errors.Wrapf(json.Unmarshal(raw, out), "answer to %s", method)
	}
}

// CallIdempotent is Call for an idempotent method: if the connection turns out to be
// broken, it repeats the call over a new one.
func (ept *Endpoint) CallIdempotent(ctx context.Context, address, method string, params, out any) error {
	err := ept.Call(ctx, address, method, params, out)
	if err == nil || ctx.Err() != nil || fault.CodeOf(err) != code.PlatformError {
		return err
	}
	return ept.Call(ctx, address, method, params, out)
}

// Connect opens a connection to the peer unless there is one. If it fails, nothing
// has been sent to the peer.
func (ept *Endpoint) Connect(ctx context.Context, address string) error {
	_, err := ept.conn(ctx, address)
	return err
}

func (ept *Endpoint) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	ept.mu.Lock()
	jcn, ok := ept.outgoing[address]
	ept.mu.Unlock()
	if ok {
		return jcn, nil
	}
	cnn, err := ept.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	stream := jsonrpc2.NewBufferedStream(cnn, jsonrpc2.VSCodeObjectCodec{})
	jcn = jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(ept.serve)), discardLog)
	ept.mu.Lock()
	defer ept.mu.Unlock()
	if other, ok := ept.outgoing[address]; ok {
		_ = jcn.Close()
		return other, nil
	}
	ept.outgoing[address] = jcn
	return jcn, nil
}

// dropConn closes a connection that failed, so that the next call opens a new one.
func (ept *Endpoint) dropConn(address string, jcn *jsonrpc2.Conn) {
	ept.mu.Lock()
	if ept.outgoing[address] == jcn {
		delete(ept.outgoing, address)
	}
	ept.mu.Unlock()
	_ = jcn.Close()
}

// Close closes the listener and all connections.
func (ept *Endpoint) Close() {
	ept.mu.Lock()
	ept.isClosed = true
	var open []*jsonrpc2.Conn
	for _, jcn := range ept.outgoing {
		open = append(open, jcn)
	}
	for jcn := range ept.incoming {
		open = append(open, jcn)
	}
	ept.mu.Unlock()
	if ept.listener != nil {
		_ = ept.listener.Close()
		<-ept.done
	}
	for _, jcn := range open {
		_ = jcn.Close()
	}
}
