package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// scheduledBody returns a job with occurrences. Each has steps of count tasks.
func scheduledBody(first time.Time, interval time.Duration, times, steps, count int, spec taskSpec) []byte {
	text, _ := json.Marshal(spec)
	list := make([]map[string]any, steps)
	for i := range list {
		list[i] = map[string]any{"count": count, "cpu": spec.CPU, "mem_mb": spec.Mem, "estimate_ms": max(spec.Ms, 1)}
	}
	data, _ := json.Marshal(map[string]any{
		"spec": string(text), "steps": list, "start_at_ms": first.UnixMilli(), "interval_ms": interval.Milliseconds(), "repeat_count": times,
	})
	return data
}

// ownerOf returns the entry that has claimed the service last.
func (ste *site) ownerOf(service string) *entry {
	var newest *entry
	var fence int64
	for _, ent := range ste.entries {
		for _, line := range strings.Split(ste.logOf(ent), "\n") {
			var lne struct {
				Msg   string `json:"msg"`
				Pool  string `json:"pool"`
				Fence int64  `json:"fence"`
			}
			if json.Unmarshal([]byte(line), &lne) == nil && lne.Msg == "ownerStarted" && lne.Pool == service && lne.Fence > fence {
				newest, fence = ent, lne.Fence
			}
		}
	}
	return newest
}

// handover adds a larger entry, twice, while scheduled jobs fall due. It takes all services
// over from a sound owner each time.
func handover(ste *site, isTrouble bool) (bool, error) {
	const jobs, times, interval = 20, 170, 200 * time.Millisecond
	large := kind{MilliCores: 16000, MemoryMB: 64000}
	ste.cpuShare = 0.192
	cli, err := startSite(ste, 2, 2, large)
	if err != nil {
		return false, err
	}
	services, routes := []string{firstService}, ste.config.Routes
	for _, name := range []string{"mill", "depot", "quarry", "common"} {
		if err := ste.startRunners(name, 2, large); err != nil {
			return false, err
		}
		services, routes = append(services, name), append(routes, route("r-"+name, "/"+name+"/", name))
	}
	ste.putConfig(routes, services...)
	time.Sleep(4 * time.Second)
	short := taskSpec{Ms: 30, CPU: 500, Mem: 100}
	load(cli, 10000, 1500, 5*time.Millisecond, jobBody(1, short))
	start := time.Now().Add(3 * time.Second)
	for num := range jobs * len(routes) {
		body := scheduledBody(start.Add(time.Duration(num)*7*time.Millisecond%interval), interval, times, 1, 1, short)
		if !cli.submit(routes[num%len(routes)].Prefix+jobID(1000+num), body, 10*time.Second) {
			return false, errNotServing
		}
	}
	for _, share := range []float64{0.4, 0.8} {
		time.Sleep(12 * time.Second)
		if isTrouble {
			ste.cpuShare = share
			ste.rec.say("an entry with %.1f cores is added", share)
			if err := ste.startEntry(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(20 * time.Second)
	count, completed := countTwice(ste), 0
	for num := range jobs * len(routes) {
		if cli.state(ste.entries[0], routes[num%len(routes)].Prefix+jobID(1000+num)) == "completed" {
			completed++
		}
	}
	ste.rec.say("%d of %d scheduled jobs completed, %d breaks of TWICE", completed, jobs*len(routes), count)
	return count > 0, nil
}

// residentMB returns the memory of a process in megabytes.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			size, _ := strconv.Atoi(fields[1])
			return size / 1024
		}
	}
	return 0
}

// memoryLimitMB is memory_mb of the settings.
const memoryLimitMB = 284

// overdue submits one scheduled job whose occurrences are all due at once. The platform
// kills a process that exceeds its memory, and starts it again.
func overdue(ste *site, isTrouble bool) (bool, error) {
	cli, err := startSite(ste, 3, 3, kind{MilliCores: 16000, MemoryMB: 64000})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ends := map[string]int{}
	quit := make(chan struct{})
	var grp sync.WaitGroup
	grp.Go(func() {
		for {
			select {
			case <-quit:
				return
			case <-time.After(100 * time.Millisecond):
			}
			for _, ent := range ste.entries {
				size := residentMB(ent.cmd.Process.Pid)
				if size <= memoryLimitMB {
					continue
				}
				ste.rec.say("%s uses %d MB of %d and is killed", ent.name, size, memoryLimitMB)
				mu.Lock()
				ends[ent.name]++
				mu.Unlock()
				_ = ent.cmd.Process.Signal(syscall.SIGKILL)
				_ = ent.cmd.Wait()
				time.Sleep(500 * time.Millisecond)
				if err := ste.run(ent); err != nil {
					ste.rec.say("%v", err)
				}
			}
		}
	})
	if isTrouble {
		time.AfterFunc(5*time.Second, func() {
			body := scheduledBody(time.Now().Add(-time.Hour), time.Second, 1000, 1, 2000, taskSpec{Ms: 30, CPU: 2000, Mem: 100})
			ste.rec.say("a client hands in a scheduled job with 1000 overdue occurrences of 2000 tasks")
			cli.submit(firstPath+jobID(77), body, 20*time.Second)
		})
	}
	accepted := load(cli, 100, 60, 500*time.Millisecond, jobBody(1, taskSpec{Ms: 2000, CPU: 500, Mem: 100}))
	time.Sleep(20 * time.Second)
	close(quit)
	grp.Wait()
	unanswered := 0
	for _, num := range accepted {
		if state := cli.state(ste.entries[num%len(ste.entries)], firstPath+jobID(num)); state != "completed" {
			unanswered++
		}
	}
	often := 0
	for _, count := range ends {
		if count >= 3 {
			often++
		}
	}
	ste.rec.say("%d of 60 jobs accepted, %d of them not shown as completed 20 s later; ends of processes: %v", len(accepted), unanswered, ends)
	return often >= 2, nil
}

// tooLong lets one scheduled job run often, so that its progress outgrows a record of the
// store, or several jobs that run as often together. It counts the cancels of other jobs
// that get no answer.
func tooLong(ste *site, isTrouble bool) (bool, error) {
	const interval, often, seldom, steps = 125 * time.Millisecond, 1000, 100, 64
	cli, err := startSite(ste, 3, 2, kind{MilliCores: 16000, MemoryMB: 64000})
	if err != nil {
		return false, err
	}
	times := seldom
	if isTrouble {
		times = often
	}
	first := time.Now().Add(2 * time.Second)
	for num := range often / times {
		due := first.Add(time.Duration(num*times) * interval)
		if !cli.submit(firstPath+jobID(2000+num), scheduledBody(due, interval, times, steps, 1, taskSpec{Ms: 5, CPU: 10, Mem: 1}), 10*time.Second) {
			return false, errNotServing
		}
	}
	var long []int
	for num := 500; num < 510; num++ {
		if cli.submit(firstPath+jobID(num), jobBody(1, taskSpec{Ms: 600000, CPU: 10, Mem: 1}), 10*time.Second) {
			long = append(long, num)
		}
	}
	time.Sleep(70 * time.Second)
	var mu sync.Mutex
	var grp sync.WaitGroup
	unanswered := 0
	for _, num := range long {
		grp.Go(func() {
			for end := time.Now().Add(ackTime); time.Now().Before(end); {
				status, _, _ := cli.do(ste.entries[num%2], http.MethodDelete, firstPath+jobID(num), nil)
				if status == http.StatusOK || status == http.StatusGone {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered++
		})
	}
	isAccepted := cli.submit(firstPath+jobID(600), jobBody(1, taskSpec{Ms: 40, CPU: 10, Mem: 1}), 5*time.Second)
	grp.Wait()
	ste.rec.say("%d jobs accepted, %d cancels without an answer after ack_ms; a job handed in now is accepted: %v", len(long), unanswered, isAccepted)
	return unanswered >= 3 && 10*unanswered > len(long), nil
}

// ackTime is ack_ms of the settings.
const ackTime = 4 * time.Second
