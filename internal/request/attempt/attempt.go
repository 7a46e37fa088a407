// Package attempt sends one request to one backend server over one connection
// and tells exactly what is known of the outcome.
package attempt

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times and bounds of connections to backend servers.
const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = time.Second // bounds how long a connection can go silent unnoticed
	tcpUserTimeoutMs  = 5000        // unacknowledged data closes the connection
	keepAliveIdle     = 2 * time.Second
	keepAliveCount    = 3
	maxConnsPerServer = 8 // per backend server and entry; a zone has at most 8 entries
	maxBufferedReply  = 256 << 10
	maxHeaderBytes    = 64 << 10
)

// OutcomeHeader says of a refusal whether the request ran: notRun or unknown.
// A backend server that refuses without running the request says notRun in it.
const OutcomeHeader = "Daisywheel-Outcome"

// NotRun and Unknown are the values of OutcomeHeader.
const (
	NotRun  = "notRun"
	Unknown = "unknown"
)

// Outcome is what is known of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Answered       Outcome = iota // the reply's header arrived
	NotSent                       // no byte reached a backend server
	Refused                       // the backend server said that it did not run the request
	MaybeRan                      // bytes were sent and no whole reply came
	ReplyTruncated                // the reply's body was cut short
)

// Request is one request to send. The body is whole in memory.
type Request struct {
	Address string
	Method  string
	URL     *url.URL
	Host    string
	Header  http.Header
	Body    []byte
}

// Reply is the answer of a backend server. Rest is nil when Prefix is the whole
// body; otherwise the rest is read from it and Rest must be closed.
type Reply struct {
	Status int
	Header http.Header
	Prefix []byte
	Rest   io.ReadCloser
	Length int64 // announced length of the whole body, -1 when unknown
}

// Sender sends attempts. It is safe for concurrent use.
type Sender struct {
	transport *http.Transport
}

// Config holds a seam for dialling; nil dials TCP.
type Config struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns a Sender.
func New(cfg Config) *Sender {
	dial := cfg.Dial
	if dial == nil {
		dial = newDialer().DialContext
	}
	return &Sender{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			cnn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: cnn}, nil
		},
		MaxConnsPerHost:        maxConnsPerServer,
		MaxIdleConnsPerHost:    maxConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without the option the kernel's own, longer timeout holds.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMs)
			})
		},
	}
}

// countedConn counts the bytes that were handed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (ccn *countingConn) Write(data []byte) (int, error) {
	ccn.written.Add(int64(len(data)))
	return ccn.Conn.Write(data)
}

// Close ends all idle connections.
func (snd *Sender) Close() { snd.transport.CloseIdleConnections() }

// Send makes one attempt. The transport never repeats a request that is not
// idempotent: its body cannot be rewound. The reply is non-nil only with outcome
// Answered.
func (snd *Sender) Send(ctx context.Context, rqt Request) (*Reply, Outcome, error) {
	trk := &connTracker{}
	req := newRequest(httptrace.WithClientTrace(ctx, trk.trace()), rqt)
	rsp, err := snd.transport.RoundTrip(req)
	if err != nil {
		return nil, trk.outcome(), err
	}
	if rsp.StatusCode == http.StatusServiceUnavailable && rsp.Header.Get(OutcomeHeader) == NotRun {
		_, _ = io.CopyN(io.Discard, rsp.Body, maxBufferedReply)
		_ = rsp.Body.Close()
		return nil, Refused, nil
	}
	return readReply(rsp, rqt.Method)
}

// watch remembers the connection of an attempt and how much had been written to
// it before. The transport may take a second connection for an idempotent
// request; what the first one has written is not forgotten.
type connTracker struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
	hasSent       atomic.Bool
}

func (trk *connTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		trk.recordSent()
		ccn, ok := inf.Conn.(*countingConn)
		if !ok {
			trk.hasSent.Store(true)
			return
		}
		trk.writtenBefore.Store(ccn.written.Load())
		trk.conn.Store(ccn)
	}}
}

// note keeps whether anything was written to the present connection.
func (trk *connTracker) recordSent() {
	ccn := trk.conn.Load()
	if ccn != nil && ccn.written.Load() != trk.writtenBefore.Load() {
		trk.hasSent.Store(true)
	}
}

func (trk *connTracker) outcome() Outcome {
	trk.recordSent()
	if trk.hasSent.Load() {
		return MaybeRan
	}
	return NotSent
}

func newRequest(ctx context.Context, rqt Request) *http.Request {
	target := *rqt.URL
	target.Scheme = "http"
	target.Host = rqt.Address
	req := &http.Request{
		Method: rqt.Method, URL: &target, Host: rqt.Host, Header: rqt.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(rqt.Body) > 0 || hasIdempotencyKey(rqt) {
		req.Body = io.NopCloser(bytes.NewReader(rqt.Body))
		req.ContentLength = int64(len(rqt.Body))
	}
	return req.WithContext(ctx)
}

// isRepeatable reports whether the transport would take the request for
// idempotent, by its key, although its method is not. A body that cannot be
// rewound keeps it from sending such a request twice.
func hasIdempotencyKey(rqt Request) bool {
	return len(rqt.Header["Idempotency-Key"]) > 0 || len(rqt.Header["X-Idempotency-Key"]) > 0
}

// readPrefix reads the whole body if it is small and its beginning otherwise.
func readPrefix(rsp *http.Response) ([]byte, error) {
	if rsp.ContentLength < 0 || rsp.ContentLength > maxBufferedReply {
		return io.ReadAll(io.LimitReader(rsp.Body, maxBufferedReply))
	}
	prefix := make([]byte, rsp.ContentLength)
	_, err := io.ReadFull(rsp.Body, prefix)
	if err != nil {
		return nil, err
	}
	// The end of the body lets the transport keep the connection.
	_, err = rsp.Body.Read(make([]byte, 1))
	if err != nil && err != io.EOF {
		return nil, err
	}
	return prefix, nil
}

// readReply buffers a small body whole. A body without announced end cannot be
// told from one that was cut short and is refused.
func readReply(rsp *http.Response, method string) (*Reply, Outcome, error) {
	hasNoBody := method == http.MethodHead || rsp.StatusCode == http.StatusNoContent || rsp.StatusCode == http.StatusNotModified
	isChunked := len(rsp.TransferEncoding) > 0
	if !hasNoBody && rsp.ContentLength < 0 && !isChunked {
		_ = rsp.Body.Close()
		return nil, ReplyTruncated, io.ErrUnexpectedEOF
	}
	if hasNoBody {
		_ = rsp.Body.Close()
		return &Reply{Status: rsp.StatusCode, Header: rsp.Header, Length: rsp.ContentLength}, Answered, nil
	}
	prefix, err := readPrefix(rsp)
	if err != nil {
		_ = rsp.Body.Close()
		return nil, ReplyTruncated, err
	}
	rpy := &Reply{Status: rsp.StatusCode, Header: rsp.Header, Prefix: prefix, Length: rsp.ContentLength, Rest: rsp.Body}
	if len(prefix) < maxBufferedReply || int64(len(prefix)) == rsp.ContentLength {
		_ = rsp.Body.Close()
		rpy.Rest = nil
	}
	return rpy, Answered, nil
}
