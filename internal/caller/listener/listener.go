// Package listener accepts callers' connections within a budget, and tells an HTTP handler which holder of the
// budget its request came over.
package listener

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/caller/budget"
)

// receiveBuffer is how many bytes the kernel keeps of a connection that the entry has not read. It is more than a
// round trip's worth on the links of the platform.
const receiveBuffer = 64 << 10

// Listener is a listener whose connections are charged to a budget.
type Listener struct {
	net.Listener
	bgt *budget.Budget
}

// New returns a Listener that accepts what lsn accepts.
func New(lsn net.Listener, bgt *budget.Budget) *Listener { return &Listener{Listener: lsn, bgt: bgt} }

// conn is an accepted connection.
type conn struct {
	net.Conn
	hld  *budget.Holder
	once sync.Once
	err  error // of closing
}

// Accept returns the next connection for which there is room, and closes others.
func (lsn *Listener) Accept() (net.Conn, error) {
	for {
		cnn, err := lsn.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		address, _, err := net.SplitHostPort(cnn.RemoteAddr().String())
		if err != nil {
			address = cnn.RemoteAddr().String()
		}
		hld, ok := lsn.bgt.Open(time.Now(), address, func() { _ = cnn.Close() })
		if !ok {
			_ = cnn.Close()
			continue
		}
		if tcp, isTCP := cnn.(*net.TCPConn); isTCP {
			// Without it the kernel keeps more, which is no reason to refuse the caller.
			_ = tcp.SetReadBuffer(receiveBuffer)
		}
		return &conn{Conn: cnn, hld: hld}, nil
	}
}

// Close closes the connection and gives back what it is charged.
func (cnn *conn) Close() error {
	cnn.once.Do(func() {
		cnn.hld.Close()
		cnn.err = errors.WithStack(cnn.Conn.Close())
	})
	return cnn.err
}

type holderKey struct{}

// Context is for http.Server.ConnContext.
func Context(ctx context.Context, cnn net.Conn) context.Context {
	if own, ok := cnn.(*conn); ok {
		return context.WithValue(ctx, holderKey{}, own.hld)
	}
	return ctx
}

// HolderOf returns the holder of the connection that a request came over, or nil if it is not charged.
func HolderOf(ctx context.Context) *budget.Holder {
	hld, _ := ctx.Value(holderKey{}).(*budget.Holder)
	return hld
}
