package main

import (
	"net"
	"sync"
)

// proxy passes the connections of one entry on to a server, unless it is cut.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	isCut   bool
	healed  chan struct{}
}

func newProxy(target string) (*proxy, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx := &proxy{address: lsn.Addr().String(), target: target}
	go func() {
		for {
			cnn, err := lsn.Accept()
			if err != nil {
				return
			}
			go prx.pass(cnn)
		}
	}()
	return prx, nil
}

// cut makes all connections, also new ones, silent in both directions.
func (prx *proxy) cut() {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	prx.isCut, prx.healed = true, make(chan struct{})
}

// heal ends the cut.
func (prx *proxy) heal() {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	if prx.isCut {
		prx.isCut = false
		close(prx.healed)
	}
}

// awaitHeal reports whether the proxy was cut, and returns once it is not.
func (prx *proxy) awaitHeal() bool {
	prx.mu.Lock()
	isCut, healed := prx.isCut, prx.healed
	prx.mu.Unlock()
	if isCut {
		<-healed
	}
	return isCut
}

// pass passes bytes on in both directions. What comes during a cut is lost, and the
// connection is reset once the cut has healed.
func (prx *proxy) pass(cnn net.Conn) {
	if prx.awaitHeal() {
		reset(cnn)
		return
	}
	far, err := net.Dial("tcp", prx.target)
	if err != nil {
		_ = cnn.Close()
		return
	}
	go prx.copy(far, cnn)
	prx.copy(cnn, far)
}

func (prx *proxy) copy(dst, src net.Conn) {
	defer reset(dst)
	defer reset(src)
	buf := make([]byte, 32<<10)
	for {
		num, err := src.Read(buf)
		if prx.awaitHeal() || err != nil {
			return
		}
		if _, err := dst.Write(buf[:num]); err != nil {
			return
		}
	}
}
