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

// Config holds the function that dials a peer. If it is nil, New dials TCP.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
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

// New returns a Link that does not listen yet.
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
func (lnk *Endpoint) Handle(method string, hnd Handler) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.handlers[method] = hnd
}

// Listen accepts connections from peers at the address until Close.
func (lnk *Endpoint) Listen(address string) error {
	lsn, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "peer address %s", address)
	}
	lnk.listener = lsn
	go lnk.accept()
	return nil
}

func (lnk *Endpoint) accept() {
	defer close(lnk.done)
	for {
		cnn, err := lnk.listener.Accept()
		if err != nil {
			return
		}
		stream := jsonrpc2.NewBufferedStream(cnn, jsonrpc2.VSCodeObjectCodec{})
		rpc := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(lnk.serve)), discardLog)
		lnk.track(rpc)
	}
}

// track keeps an incoming connection until it ends, so that Close can close it.
func (lnk *Endpoint) track(rpc *jsonrpc2.Conn) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.isClosed {
		_ = rpc.Close()
		return
	}
	lnk.incoming[rpc] = true
	go func() {
		<-rpc.DisconnectNotify()
		lnk.mu.Lock()
		defer lnk.mu.Unlock()
		delete(lnk.incoming, rpc)
	}()
}

// serve handles one call of a peer.
func (lnk *Endpoint) serve(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	lnk.mu.Lock()
	hnd, ok := lnk.handlers[req.Method]
	lnk.mu.Unlock()
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	out, err := hnd(ctx, params)
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
	rpc := &jsonrpc2.Error{Code: int64(fault.CodeOf(err)), Message: err.Error()}
	if wait := fault.RetryAfterOf(err); wait > 0 {
		rpc.SetError(errorData{RetryAfterMs: wait.Milliseconds()})
	}
	return rpc
}

func fromRPCError(rpc *jsonrpc2.Error) error {
	var dat errorData
	if rpc.Data != nil {
		if err := json.Unmarshal(*rpc.Data, &dat); err != nil {
			dat.RetryAfterMs = 0 // unreadable data: the error counts without a retry time
		}
	}
	return fault.NewRetryAfter(time.Duration(dat.RetryAfterMs)*time.Millisecond, code.Code(rpc.Code), "%s", rpc.Message)
}

// Call calls a method of the peer at the address and decodes the reply into out. A
// call that fails may or may not have been carried out.
func (lnk *Endpoint) Call(ctx context.Context, address, method string, params, out any) error {
	rpc, err := lnk.conn(ctx, address)
	if err != nil {
		return err
	}
	err = callUntilDone(ctx, rpc, method, params, out)
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return fromRPCError(rpcErr)
	}
	if err != nil {
		lnk.dropConn(address, rpc)
		return errors.Wrapf(err, "peer %s", address)
	}
	return nil
}

// callUntilDone returns when ctx ends, even if the write of this call, or of an
// earlier one, is blocked because the peer does not read.
func callUntilDone(ctx context.Context, rpc *jsonrpc2.Conn, method string, params, out any) error {
	var raw json.RawMessage
	ended := make(chan error, 1)
	go func() { ended <- rpc.Call(ctx, method, params, &raw) }()
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

// CallIdempotent is Call for an idempotent method: if the connection turns out to be broken, it
// repeats the call over a new one.
func (lnk *Endpoint) CallIdempotent(ctx context.Context, address, method string, params, out any) error {
	err := lnk.Call(ctx, address, method, params, out)
	if err == nil || ctx.Err() != nil || fault.CodeOf(err) != code.PlatformError {
		return err
	}
	return lnk.Call(ctx, address, method, params, out)
}

// Connect opens a connection to the peer unless there is one. If it fails, nothing
// has been sent to the peer.
func (lnk *Endpoint) Connect(ctx context.Context, address string) error {
	_, err := lnk.conn(ctx, address)
	return err
}

func (lnk *Endpoint) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	lnk.mu.Lock()
	rpc, ok := lnk.outgoing[address]
	lnk.mu.Unlock()
	if ok {
		return rpc, nil
	}
	cnn, err := lnk.cfg.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	stream := jsonrpc2.NewBufferedStream(cnn, jsonrpc2.VSCodeObjectCodec{})
	rpc = jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(lnk.serve)), discardLog)
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if other, ok := lnk.outgoing[address]; ok {
		_ = rpc.Close()
		return other, nil
	}
	lnk.outgoing[address] = rpc
	return rpc, nil
}

// dropConn closes a connection that failed, so that the next call opens a new one.
func (lnk *Endpoint) dropConn(address string, rpc *jsonrpc2.Conn) {
	lnk.mu.Lock()
	if lnk.outgoing[address] == rpc {
		delete(lnk.outgoing, address)
	}
	lnk.mu.Unlock()
	_ = rpc.Close()
}

// Close closes the listener and all connections.
func (lnk *Endpoint) Close() {
	lnk.mu.Lock()
	lnk.isClosed = true
	var open []*jsonrpc2.Conn
	for _, rpc := range lnk.outgoing {
		open = append(open, rpc)
	}
	for rpc := range lnk.incoming {
		open = append(open, rpc)
	}
	lnk.mu.Unlock()
	if lnk.listener != nil {
		_ = lnk.listener.Close()
		<-lnk.done
	}
	for _, rpc := range open {
		_ = rpc.Close()
	}
}
