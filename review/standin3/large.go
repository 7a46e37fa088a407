package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["large"] = playLarge }

const (
	largeJobs = 240
	// perSecond is how many jobs the consumer hands in a second.
	perSecond = 20
)

// guardMemory kills the processes that exceed the memory of their machine, as the platform does, and starts them again. It
// returns how often that happened, by process, once done is closed.
func (ste *site) guardMemory(done <-chan struct{}) map[string]int {
	kills := map[string]int{}
	for {
		select {
		case <-done:
			return kills
		case <-time.After(50 * time.Millisecond):
		}
		for _, ent := range ste.entries {
			if mem := ent.memory(); mem > machineMB {
				kills[ent.name]++
				ste.rec.add("platform: process %s uses %d MB of %d MB", ent.name, mem, machineMB)
				ste.kill(ent, syscall.SIGKILL)
				time.Sleep(restartDelay)
				if err := ste.start(ent); err != nil {
					ste.rec.add("%v", err)
				}
			}
		}
	}
}

// playLarge has a consumer hand in large jobs at once: each has one step of 4,096 small tasks. Without the trouble they
// have 8 tasks.
func playLarge(ste *site, hasTrouble bool) ([]string, error) {
	if err := ste.configure([]string{"alder", "birch"}, []route{{"/alder/", "alder"}, {"/birch/", "birch"}}); err != nil {
		return nil, err
	}
	ste.addMachines("alder", 6)
	ste.addMachines("birch", 6)
	if err := ste.addEntries(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	count := 8
	if hasTrouble {
		count = 4096
	}
	done, kills := make(chan struct{}), make(chan map[string]int, 1)
	go func() { kills <- ste.guardMemory(done) }()
	var grp sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	for num := range largeJobs {
		grp.Go(func() {
			id := fmt.Sprintf("%016x", 0xb000+num)
			if ste.submit("/alder/", id, 500*time.Millisecond, step{Count: count, CPU: 500, MemMB: 64, EstimateMs: 500}) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	grp.Wait()
	ste.rec.add("%d of %d jobs were accepted", len(accepted), largeJobs)
	time.Sleep(finishTime)
	isIdle := ste.isIdleFor(idleTime, 8*time.Second)
	open := ste.openJob("/alder/", accepted)
	close(done)
	for name, num := range <-kills {
		ste.rec.add("process %s exceeded the memory of its machine %d times", name, num)
	}
	if isIdle && open != "" {
		return []string{fmt.Sprintf("LOST: nothing has run for %s, %s after the last job was handed in, though accepted jobs such as %s are open and all runners are idle", idleTime, finishTime, open)}, nil
	}
	return nil, nil
}

// openJob returns a job that is shown as queued or in progress, "" if none is. As consumers do, it asks other entries where one
// gives no answer.
func (ste *site) openJob(prefix string, ids []string) string {
	for _, id := range ids {
		for _, ent := range ste.entries {
			status, state := ste.state(ent, prefix, id)
			if status == http.StatusOK && (state == "queued" || state == "in_progress") {
				return id
			}
			if status == http.StatusOK {
				break
			}
		}
	}
	return ""
}
