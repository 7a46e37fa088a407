package main

import "time"

// moved lets the operator send two queues to another service while their jobs wait and run:
// the route of one names the other service, and the route of the other is dropped and one
// with the same host and prefix is added.
func moved(ste *site, isTrouble bool) (bool, error) {
	const otherService, secondPath = "mill", "/second/"
	small := kind{MilliCores: 4000, MemoryMB: 16000}
	cli, err := startSite(ste, 2, 2, small)
	if err != nil {
		return false, err
	}
	if err := ste.startRunners(otherService, 2, small); err != nil {
		return false, err
	}
	ste.putConfig([]routeJSON{route("r-first", firstPath, firstService), route("r-second", secondPath, firstService)}, firstService, otherService)
	time.Sleep(4 * time.Second)
	body := jobBody(2, taskSpec{Ms: 2000, CPU: 2000, Mem: 100})
	first := load(cli, 100, 8, 20*time.Millisecond, body)
	var second []int
	for num := 200; num < 204; num++ {
		if cli.submit(secondPath+jobID(num), body, 10*time.Second) {
			second = append(second, num)
		}
	}
	time.Sleep(time.Second)
	if isTrouble {
		ste.putConfig([]routeJSON{route("r-first", firstPath, otherService), route("r-third", secondPath, otherService)}, firstService, otherService)
	}
	time.Sleep(30 * time.Second)
	gone := 0
	for _, queue := range []struct {
		path string
		jobs []int
	}{{firstPath, first}, {secondPath, second}} {
		states, never := map[string]int{}, 0
		for _, num := range queue.jobs {
			states[cli.state(ste.entries[num%2], queue.path+jobID(num))]++
			if !ste.hasBegun(jobID(num)) {
				never++
			}
		}
		gone += states["410"]
		ste.rec.say("%s: %d jobs accepted; their states 30 s later: %v; jobs of which no task has begun: %d", queue.path, len(queue.jobs), states, never)
	}
	return gone > 0, nil
}

// hasBegun reports whether any task of the job has been started.
func (ste *site) hasBegun(id string) bool {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	for _, rn := range ste.runs {
		if rn.task[:len(id)] == id {
			return true
		}
	}
	return false
}
