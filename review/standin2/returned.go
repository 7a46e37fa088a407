package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playReturned freezes an entry while a queue moves to another pool and back. A job that the other pool
// has accepted meanwhile arrives once more, at the frozen entry. It checks that its task runs once.
func playReturned(rec *recorder, isTrouble bool) ([]string, error) {
	const freezeTime = 4 * time.Second
	pools := []string{"depot", "yard"}
	sit, err := startSite(rec, 5, map[string]int{"depot": 3, "yard": 3})
	defer sit.stop()
	if err != nil {
		return nil, err
	}
	mail := route{"q-mail", "/mail/", "depot"}
	sit.configure(pools, route{"q-gate", "/gate/", "yard"}, mail)
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
	sit.configure(pools, route{"q-gate", "/gate/", "depot"}, mail)
	time.Sleep(300 * time.Millisecond)
	path := jobPath("/gate/", 9)
	job := jobOf("work 10000", map[string]any{"count": 1, "cpu": 500, "mem_mb": 256})
	if !sit.call(other, http.MethodPost, path, job).isOK() {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(200 * time.Millisecond)
	sit.configure(pools, route{"q-gate", "/gate/", "yard"}, mail)
	time.Sleep(time.Until(frozenAt.Add(freezeTime / 2)))
	if isTrouble {
		time.AfterFunc(time.Until(frozenAt.Add(freezeTime)), func() { frozen.signal(syscall.SIGCONT) })
	}
	sit.call(frozen, http.MethodPost, path, job)
	time.Sleep(12 * time.Second)
	sit.call(other, http.MethodGet, path, nil)
	return rec.twice(), nil
}

// calmTime is how long a case waits before its disruption: entries count what they have read about the
// pools of queues as settled from 5 s after their first configuration, at their next look.
const calmTime = contactTime + 6*time.Second

// serveAll lets each queue complete a job and each entry serve the queues, and returns when all entries
// are calm.
func (sit *site) serveAll(prefixes ...string) error {
	if err := sit.awaitReady(); err != nil {
		return err
	}
	for num, prefix := range prefixes {
		path := jobPath(prefix, num+1)
		if err := sit.submit(sit.entries[0], path, jobOf("work 300", map[string]any{"count": 1, "cpu": 500, "mem_mb": 256})); err != nil {
			return err
		}
		if err := sit.awaitState(sit.entries[0], path, "completed", 10*time.Second); err != nil {
			return err
		}
		for _, ent := range sit.entries {
			sit.call(ent, http.MethodGet, prefix, nil)
		}
	}
	time.Sleep(calmTime)
	return nil
}
