package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playFrozen freezes an entry while a queue moves to another pool. Cancels of jobs that the new pool has
// accepted wait at the entry until it wakes. It checks that no task of such a job starts later than it
// may after the answer.
func playFrozen(rec *recorder, isTrouble bool) ([]string, error) {
	const (
		freezeTime = 4 * time.Second
		cancelTime = 3 * time.Second // cancel_ms
		ackTime    = 4 * time.Second // ack_ms
		firstWork  = 14 * time.Second
		cancelled  = 4 // jobs
	)
	pools := []string{"depot", "yard"}
	sit, err := startSite(rec, 5, map[string]int{"depot": 3, "yard": 3})
	defer sit.stop()
	if err != nil {
		return nil, err
	}
	sit.configure(pools, route{"q-gate", "/gate/", "yard"}, route{"q-mail", "/mail/", "depot"})
	if err := sit.serveAll("/mail/", "/gate/"); err != nil {
		return nil, err
	}
	frozen, other := sit.plainEntries()
	if other == nil {
		return nil, fmt.Errorf("fewer than two entries own nothing")
	}
	frozenAt := time.Now()
	if isTrouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(500 * time.Millisecond)
	sit.configure(pools, route{"q-gate", "/gate/", "depot"}, route{"q-mail", "/mail/", "depot"})
	time.Sleep(300 * time.Millisecond)
	var paths []string
	for num := range cancelled {
		path := jobPath("/gate/", 9+num)
		job := jobOf("work "+fmt.Sprint(firstWork.Milliseconds()), map[string]any{"count": 1, "cpu": 500, "mem_mb": 256})
		job["steps"] = append(job["steps"].([]any), map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000, "depends_on": []int{0}})
		if !sit.call(other, http.MethodPost, path, job).isOK() {
			return nil, fmt.Errorf("the job %s was not accepted", path)
		}
		paths = append(paths, path)
	}
	time.Sleep(time.Until(frozenAt.Add(freezeTime * 2 / 5)))
	if isTrouble {
		time.AfterFunc(time.Until(frozenAt.Add(freezeTime)), func() { frozen.signal(syscall.SIGCONT) })
	}
	var broken []string
	var mu sync.Mutex
	var grp sync.WaitGroup
	for _, path := range paths {
		grp.Go(func() {
			ans := sit.call(frozen, http.MethodDelete, path, nil)
			for !ans.isOK() && ans.status != http.StatusGone {
				time.Sleep(500 * time.Millisecond)
				ans = sit.call(other, http.MethodDelete, path, nil)
			}
			answeredAt := time.Now()
			time.Sleep(firstWork + 3*time.Second)
			sit.call(other, http.MethodGet, path, nil)
			for _, spn := range rec.runsOf(jobID(path)) {
				if late := spn.from.Sub(answeredAt); late > cancelTime+ackTime {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("task %s started on %s at %.3f, %d ms after its cancelling was answered with %d; cancel_ms is %d",
						spn.task, spn.runner, rec.since(spn.from), late.Milliseconds(), ans.status, cancelTime.Milliseconds()))
					mu.Unlock()
				}
			}
		})
	}
	grp.Wait()
	return broken, nil
}

// plainEntries returns two entries that own neither a pool nor the fleet.
func (sit *site) plainEntries() (one, two *entry) {
	for _, ent := range sit.entries {
		switch {
		case ent == sit.ownerOf("fleet") || ent == sit.ownerOf("yard") || ent == sit.ownerOf("depot"):
		case one == nil:
			one = ent
		case two == nil:
			two = ent
		}
	}
	return one, two
}

// signal sends a signal to the process.
func (ent *entry) signal(sig syscall.Signal) {
	ent.mu.Lock()
	cmd := ent.cmd
	ent.mu.Unlock()
	ent.sit.rec.event("signal", fmt.Sprintf("%s to %s", sig, ent.name))
	_ = cmd.Process.Signal(sig) // it may have ended
}
