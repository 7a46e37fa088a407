package main

import "time"

// reborn lets one runner lose power for a moment and start again under its id, while short
// jobs come.
func reborn(ste *site, isTrouble bool) (bool, error) {
	cli, err := startSite(ste, "yard", 3, 2, kind{MilliCores: 16000, MemoryMB: 64000})
	if err != nil {
		return false, err
	}
	if isTrouble {
		time.AfterFunc(5*time.Second, func() { ste.runners[0].powerCycle(400 * time.Millisecond) })
	}
	accepted := load(cli, "/first/", 100, 400, 25*time.Millisecond, jobBody(1, taskSpec{Ms: 40, CPU: 500, Mem: 100}))
	time.Sleep(4 * time.Second)
	count := countTwice(ste)
	ste.rec.say("%d jobs accepted, %d breaks of TWICE", len(accepted), count)
	return count > 0, nil
}

// otherKind lets runners crash one after the other. Each starts again under its id with half
// of its capacity, while more work waits than the pool holds.
func otherKind(ste *site, isTrouble bool) (bool, error) {
	large := kind{MilliCores: 16000, MemoryMB: 64000}
	cli, err := startSite(ste, "yard", 4, 2, large)
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
	accepted := load(cli, "/first/", 100, 250, 100*time.Millisecond, jobBody(6, taskSpec{Ms: 1000, CPU: 2000, Mem: 100}))
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
