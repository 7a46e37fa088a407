package main

import (
	"io"
	"net"
	"strings"
	"sync"
)

// proxy forwards the connections of one entry to the platform. A connection can be made silent:
// then nothing more is forwarded on it, and it stays open.
type proxy struct {
	lsn    net.Listener
	target string
	mu     sync.Mutex
	open   map[net.Conn]bool
	// watch, if not nil, is called with the text of each request that an entry sends, before it
	// is forwarded. If it returns true, the connection is silent once the request is forwarded.
	watch func(text string) bool
}

func startProxy(target string) (*proxy, error) {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx := &proxy{lsn: lsn, target: target, open: map[net.Conn]bool{}}
	go func() {
		for {
			cnn, err := lsn.Accept()
			if err != nil {
				return
			}
			go prx.serve(cnn)
		}
	}()
	return prx, nil
}

func (prx *proxy) address() string { return prx.lsn.Addr().String() }

func (prx *proxy) setWatch(watch func(text string) bool) {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	prx.watch = watch
}

func (prx *proxy) track(cnn net.Conn) {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	prx.open[cnn] = true
}

func (prx *proxy) drop(cnn net.Conn) {
	prx.mu.Lock()
	delete(prx.open, cnn)
	prx.mu.Unlock()
	_ = cnn.Close()
}

func (prx *proxy) serve(cnn net.Conn) {
	defer prx.drop(cnn)
	prx.track(cnn)
	out, err := net.Dial("tcp", prx.target)
	if err != nil {
		return
	}
	prx.track(out)
	silent := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		forward(cnn, out, silent)
	}()
	defer func() {
		prx.drop(out)
		<-done
	}()
	buf := make([]byte, 64<<10)
	isSilent := false
	for {
		num, err := cnn.Read(buf)
		if err != nil {
			return
		}
		if isSilent {
			continue
		}
		prx.mu.Lock()
		watch := prx.watch
		prx.mu.Unlock()
		if watch != nil && watch(string(buf[:num])) {
			isSilent = true
			close(silent)
		}
		if _, err := out.Write(buf[:num]); err != nil {
			return
		}
	}
}

// forward copies the answers until the connection is silent; then it drops them.
func forward(to io.Writer, from io.Reader, silent <-chan struct{}) {
	buf := make([]byte, 64<<10)
	for {
		num, err := from.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buf[:num]); err != nil {
			return
		}
	}
}

func (prx *proxy) stop() {
	_ = prx.lsn.Close()
	prx.mu.Lock()
	defer prx.mu.Unlock()
	for cnn := range prx.open {
		_ = cnn.Close()
	}
}

// isOperatorRead reports whether a request reads the operator's records.
func isOperatorRead(text string) bool {
	line, _, _ := strings.Cut(text, "\r\n")
	return strings.Contains(line, "/api/log-read") && strings.Contains(line, "keyed.op")
}
