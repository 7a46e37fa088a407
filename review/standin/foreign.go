package main

import (
	"fmt"
	"time"
)

// foreign asks one queue for the jobs of another queue of the same service, while the
// entry that runs the service is killed.
func foreign(ste *site, isTrouble bool) (bool, error) {
	cli, err := startSite(ste, 3, 3, kind{MilliCores: 16000, MemoryMB: 64000})
	if err != nil {
		return false, err
	}
	const otherPath = "/other/"
	ste.putConfig([]routeJSON{route("r-first", firstPath, firstService), route("r-other", otherPath, firstService)}, firstService)
	time.Sleep(4 * time.Second)
	accepted := load(cli, 100, 20, 20*time.Millisecond, jobBody(1, taskSpec{Ms: 3000, CPU: 500, Mem: 100}))
	time.Sleep(5 * time.Second)
	if isTrouble {
		ent := ste.ownerOf(firstService)
		if ent == nil {
			return false, errNotServing
		}
		ste.rec.say("%s is killed", ent.name)
		_ = ent.cmd.Process.Kill()
		_ = ent.cmd.Wait()
	}
	shown, answers := 0, map[string]int{}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
		for _, ent := range ste.entries {
			for _, num := range accepted[:2] {
				state := cli.state(ent, otherPath+jobID(num))
				answers[state]++
				if state == "queued" || state == "in_progress" || state == "completed" {
					shown++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	ste.rec.say("%d jobs accepted by one queue; answers of the other queue: %v", len(accepted), fmt.Sprint(answers))
	return shown > 0, nil
}
