// Package faultnet opens the connections of entries and injects network faults: it
// cuts entries off from addresses and stalls open connections.
package faultnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Network opens connections and injects faults into them. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	isCut func(entry, address string) bool
	conns map[*conn]bool
}

type conn struct {
	net.Conn
	network   *Network
	entry     string
	address   string
	isStalled atomic.Bool
}

// New returns a network without faults.
func New() *Network { return &Network{conns: map[*conn]bool{}} }

// Dial opens a connection for the entry. It fails if the entry is cut off from the
// address.
func (ntw *Network) Dial(ctx context.Context, entry, network, address string) (net.Conn, error) {
	ntw.mu.Lock()
	isCut := ntw.isCut != nil && ntw.isCut(entry, address)
	ntw.mu.Unlock()
	if isCut {
		return nil, errors.Newf("%s is cut off from %s", entry, address)
	}
	var dlr net.Dialer
	cnn, err := dlr.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	out := &conn{Conn: cnn, network: ntw, entry: entry, address: address}
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.conns[out] = true
	return out, nil
}

// Cut cuts entries off from the addresses that isCut selects and ends earlier cuts;
// nil ends all. Open connections that a cut affects stall for good.
func (ntw *Network) Cut(isCut func(entry, address string) bool) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	ntw.isCut = isCut
	for cnn := range ntw.conns {
		if isCut != nil && isCut(cnn.entry, cnn.address) {
			cnn.isStalled.Store(true)
		}
	}
}

// Stall stops the traffic of the open connections that match selects, for good.
// New connections work.
func (ntw *Network) Stall(match func(entry, address string) bool) {
	ntw.mu.Lock()
	defer ntw.mu.Unlock()
	for cnn := range ntw.conns {
		if match(cnn.entry, cnn.address) {
			cnn.isStalled.Store(true)
		}
	}
}

// Read implements net.Conn. On a stalled connection it discards data until the
// connection fails.
func (cnn *conn) Read(data []byte) (int, error) {
	for {
		count, err := cnn.Conn.Read(data)
		if err != nil || !cnn.isStalled.Load() {
			return count, err
		}
	}
}

// Write implements net.Conn. On a stalled connection it discards the data and
// reports success.
func (cnn *conn) Write(data []byte) (int, error) {
	if cnn.isStalled.Load() {
		return len(data), nil
	}
	return cnn.Conn.Write(data)
}

// Close implements net.Conn.
func (cnn *conn) Close() error {
	cnn.network.mu.Lock()
	delete(cnn.network.conns, cnn)
	cnn.network.mu.Unlock()
	return cnn.Conn.Close()
}
