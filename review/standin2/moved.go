package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playMoved moves a queue to another pool while the connection on which the owner of the former pool
// reads the operator's records is silent. A job that the new pool has accepted arrives once more, at
// that owner. It checks that its task runs once.
func playMoved(rec *recorder, isTrouble bool) ([]string, error) {
	const repeatAfter = 1500 * time.Millisecond // from the 2xx response to the repeated request
	pools := []string{"depot", "yard"}
	sit, err := startSite(rec, 3, map[string]int{"depot": 3, "yard": 3})
	defer sit.stop()
	if err != nil {
		return nil, err
	}
	sit.configure(pools, route{"q-gate", "/gate/", "yard"}, route{"q-mail", "/mail/", "depot"})
	if err := sit.awaitReady(); err != nil {
		return nil, err
	}
	first := jobPath("/mail/", 1)
	if err := sit.submit(sit.entries[0], first, jobOf("work 300", map[string]any{"count": 1, "cpu": 500, "mem_mb": 256})); err != nil {
		return nil, err
	}
	if err := sit.awaitState(sit.entries[0], first, "completed", 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	late := sit.ownerOf("yard")
	var other *entry
	for _, ent := range sit.entries {
		if ent != late {
			other = ent
		}
	}
	if late == nil {
		return nil, fmt.Errorf("the pool yard has no owner")
	}
	silent := make(chan struct{})
	if isTrouble {
		var once sync.Once
		late.storeProxy.setWatch(func(text string) bool {
			if !isOperatorRead(text) {
				return false
			}
			isFirst := false
			once.Do(func() { isFirst = true; close(silent) })
			return isFirst
		})
		select {
		case <-silent:
			rec.event("silent", "the connection on which "+late.name+" reads the operator's records")
		case <-time.After(5 * time.Second):
			return nil, fmt.Errorf("%s does not read the operator's records", late.name)
		}
	}
	sit.configure(pools, route{"q-gate", "/gate/", "depot"}, route{"q-mail", "/mail/", "depot"})
	time.Sleep(50 * time.Millisecond)
	path := jobPath("/gate/", 9)
	job := jobOf("work 8000", map[string]any{"count": 1, "cpu": 500, "mem_mb": 256})
	if !sit.call(other, http.MethodPost, path, job).isOK() {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(repeatAfter)
	sit.call(late, http.MethodPost, path, job)
	time.Sleep(12 * time.Second)
	sit.call(other, http.MethodGet, path, nil)
	return rec.twice(), nil
}
