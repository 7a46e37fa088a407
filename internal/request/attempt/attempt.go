// Package attempt sends a request to a backend server once and reports what is
// known of the outcome, in particular whether the request may have run.
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

// Timeouts and limits of connections to backend servers.
const (
	dialTimeout       = 2 * time.Second
	idleConnTimeout   = time.Second // limits how long a dead idle connection goes unnoticed
	tcpUserTimeoutMs  = 5000        // closes the connection if sent data stays unacknowledged this long
	keepAliveIdle     = 2 * time.Second
	keepAliveCount    = 3
	maxConnsPerServer = 8         // per entry; a zone has at most 8 entries
	maxBufferedReply  = 256 << 10 // bytes of a reply's body that are read into memory
	maxHeaderBytes    = 64 << 10
)

// OutcomeHeader states whether a refused request ran: notRun or unknown. A backend
// server sets it to notRun when it refuses a request without running it.
const OutcomeHeader = "Daisywheel-Outcome"

// NotRun and Unknown are the values of OutcomeHeader.
const (
	NotRun  = "notRun"
	Unknown = "unknown"
)

// Outcome is what is known of an attempt after it ended.
type Outcome int

// Outcomes of an attempt.
const (
	Answered       Outcome = iota // the reply's header and, up to the buffer limit, its body arrived
	NotSent                       // no byte reached a backend server
	Refused                       // the backend server stated that it did not run the request
	MaybeRan                      // bytes were sent, but no reply header arrived
	ReplyTruncated                // the reply's body was cut off or has no announced end
)

// Request is one request to send, with its complete body in memory.
type Request struct {
	Address string
	Method  string
	URL     *url.URL
	Host    string
	Header  http.Header
	Body    []byte
}

// Reply is the reply of a backend server. If Prefix is the complete body, Rest is
// nil; otherwise the remaining body is read from Rest, which must be closed.
type Reply struct {
	Status int
	Header http.Header
	Prefix []byte
	Rest   io.ReadCloser
	Length int64 // announced length of the complete body, -1 if unknown
}

// Sender sends attempts. It is safe for concurrent use.
type Sender struct {
	transport *http.Transport
}

// Config holds the dial function, which tests can replace; nil dials TCP.
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
				// If the option cannot be set, the kernel's longer default timeout applies.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, tcpUserTimeoutMs)
			})
		},
	}
}

// countingConn counts the bytes passed to Write.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (ccn *countingConn) Write(data []byte) (int, error) {
	ccn.written.Add(int64(len(data)))
	return ccn.Conn.Write(data)
}

// Close closes the idle connections.
func (snd *Sender) Close() { snd.transport.CloseIdleConnections() }

// Send makes one attempt. The transport does not resend a request that is not
// idempotent, because its body cannot be rewound. The reply is non-nil only with
// outcome Answered.
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

// connTracker records whether an attempt has written to any of its connections.
// The transport may use a second connection for an idempotent request; bytes
// written to the first one still count.
type connTracker struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64 // bytes written to conn by earlier requests
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

// recordSent sets hasSent if the attempt has written to the present connection.
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

// hasIdempotencyKey reports whether the request has a key that makes the transport
// treat it as idempotent, whatever its method. Such a request always gets a body,
// which cannot be rewound, so that the transport does not send it twice.
func hasIdempotencyKey(rqt Request) bool {
	return len(rqt.Header["Idempotency-Key"]) > 0 || len(rqt.Header["X-Idempotency-Key"]) > 0
}

// readPrefix reads the complete body if it is announced to fit into maxBufferedReply
// bytes, and at most that many bytes of it otherwise.
func readPrefix(rsp *http.Response) ([]byte, error) {
	if rsp.ContentLength < 0 || rsp.ContentLength > maxBufferedReply {
		return io.ReadAll(io.LimitReader(rsp.Body, maxBufferedReply))
	}
	prefix := make([]byte, rsp.ContentLength)
	_, err := io.ReadFull(rsp.Body, prefix)
	if err != nil {
		return nil, err
	}
	// The transport reuses the connection only if the body was read to its end.
	_, err = rsp.Body.Read(make([]byte, 1))
	if err != nil && err != io.EOF {
		return nil, err
	}
	return prefix, nil
}

// readReply reads the reply, with a small body read completely. It rejects a body
// that is neither chunked nor of announced length, because its end cannot be told
// from a truncation.
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
