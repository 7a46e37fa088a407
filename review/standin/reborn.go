package main

import (
	"encoding/json"
	"time"
)

// reborn lets runners lose power for a moment, one after the other and each twice, and start
// again under their ids, while short jobs come.
func reborn(ste *site, isTrouble bool) (bool, error) {
	const runners = 8
	cli, err := startSite(ste, runners, 2, kind{MilliCores: 16000, MemoryMB: 64000})
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for num := range 2 * runners {
			time.Sleep(3 * time.Second)
			if isTrouble {
				ste.runners[num%runners].powerCycle(400 * time.Millisecond)
			}
		}
	}()
	accepted := load(cli, 100, 820, 67*time.Millisecond, spreadBody(runners, 1, taskSpec{Ms: 40, CPU: 500, Mem: 100}))
	<-done
	time.Sleep(4 * time.Second)
	count := countTwice(ste)
	ste.rec.say("%d jobs accepted, %d breaks of TWICE", len(accepted), count)
	return count > 0, nil
}

// spreadBody is jobBody with at most so many tasks on one runner.
func spreadBody(count, onOne int, spec taskSpec) []byte {
	text, _ := json.Marshal(spec)
	data, _ := json.Marshal(map[string]any{
		"spec":  string(text),
		"steps": []map[string]any{{"count": count, "cpu": spec.CPU, "mem_mb": spec.Mem, "estimate_ms": spec.Ms, "anti_affinity": onOne}},
	})
	return data
}

// otherKind lets runners crash one after the other. Each starts again under its id with half
// of its capacity, while more work waits than the pool holds.
func otherKind(ste *site, isTrouble bool) (bool, error) {
	large := kind{MilliCores: 16000, MemoryMB: 64000}
	cli, err := startSite(ste, 4, 2, large)
	if err != nil {
		return false, err
	}
	done := make(chan error, 1)
	go func() {
		var failed error
		for _, rnr := range ste.runners {
			time.Sleep(5 * time.Second)
			next := kind{MilliCores: 4000, MemoryMB: 16000}
			if isTrouble && failed == nil {
				failed = rnr.crash(500*time.Millisecond, next)
			}
		}
		done <- failed
	}()
	accepted := load(cli, 100, 250, 100*time.Millisecond, jobBody(6, taskSpec{Ms: 1000, CPU: 2000, Mem: 100}))
	if err := <-done; err != nil {
		return false, err
	}
	count := 0
	ste.mu.Lock()
	defer ste.mu.Unlock()
	for _, rn := range ste.runs {
		if rn.usedCPU > rn.capacityCPU {
			count++
			ste.rec.add("LIMIT: %s run %d on %s boot %d: cpu in use %d of %d", rn.task, rn.number, rn.runner.id, rn.boot, rn.usedCPU, rn.capacityCPU)
		}
	}
	ste.rec.say("%d jobs accepted, %d starts over the capacity", len(accepted), count)
	return count > 0, nil
}
