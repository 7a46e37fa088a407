package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { scenarios["methods"] = playMethods }

const (
	// crowdRequests bounds the requests to one process, which come one after the other over one connection.
	crowdRequests = 24000
	// methodBytes is the length of a method. With it a request is within max_header_bytes of the configuration.
	methodBytes = 12000
)

// playMethods has a consumer send requests that each have another method, to two of three processes. The platform kills a
// process that exceeds the memory of its machine, and starts it again. Without the trouble it sends as many GETs.
func playMethods(ste *site, hasTrouble bool) ([]string, error) {
	if err := ste.configure([]string{"alder"}, []route{{"/alder/", "alder"}}); err != nil {
		return nil, err
	}
	ste.addMachines("alder", 3)
	if err := ste.addEntries(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	machines := 0
	for _, ent := range ste.entries[:minMachines] {
		ends := 0
		for range maxEnds {
			exceeded, err := ste.crowd(ent, hasTrouble)
			if err != nil {
				return nil, err
			}
			if !exceeded {
				continue
			}
			ends++
			ste.kill(ent, syscall.SIGKILL)
			if err := ste.start(ent); err != nil {
				return nil, err
			}
			if err := ste.awaitReady(ent); err != nil {
				return nil, err
			}
		}
		if ends == maxEnds {
			machines++
		}
	}
	status, _ := ste.ask(ste.entries[0], http.MethodGet, "/alder/", nil)
	ste.rec.add("an ordinary request gets %d", status)
	if machines >= minMachines {
		return []string{fmt.Sprintf("Fault: the processes of %d machines exceeded their memory %d times each", machines, maxEnds)}, nil
	}
	return nil, nil
}

// crowd sends the requests to a process, and reports whether it exceeds the memory of its machine or ends.
func (ste *site) crowd(ent *entry, hasTrouble bool) (exceeded bool, err error) {
	cnn, err := net.Dial("tcp", ent.caller)
	if err != nil {
		return false, err
	}
	defer func() { _ = cnn.Close() }()
	ste.rec.add("requests to %s begin, its process uses %d MB", ent.name, ent.memory())
	pad := strings.Repeat("A", methodBytes)
	buf := make([]byte, 4096)
	for num := range crowdRequests {
		method := http.MethodGet
		if hasTrouble {
			method = pad + strconv.Itoa(num)
		}
		if _, err := fmt.Fprintf(cnn, "%s /x HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", method, callerHost); err != nil {
			return !ent.isUp(), nil
		}
		if _, err := cnn.Read(buf); err != nil {
			return !ent.isUp(), nil
		}
		if mem := ent.memory(); mem > machineMB || !ent.isUp() {
			ste.rec.add("after %d requests the process of %s uses %d MB of %d MB", num+1, ent.name, mem, machineMB)
			return true, nil
		}
	}
	ste.rec.add("after %d requests the process of %s uses %d MB", crowdRequests, ent.name, ent.memory())
	return false, nil
}
