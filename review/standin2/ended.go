package main

import (
	"fmt"
	"syscall"
	"time"
)

// playEnded crashes runners, which are back under their ids about a second later, and freezes the
// entry of the fleet controller for about half a second as they come back. It checks that no task
// runs twice.
func playEnded(rec *recorder, isTrouble bool) ([]string, error) {
	const (
		machines   = 8
		rounds     = 5
		freezeTime = 550 * time.Millisecond
		backAfter  = 60 * time.Millisecond // from the freeze
		jobPause   = 100 * time.Millisecond
	)
	sit, err := startSite(rec, 4, map[string]int{"yard": machines})
	defer sit.stop()
	if err != nil {
		return nil, err
	}
	sit.configure([]string{"yard"}, route{"q-gate", "/gate/", "yard"})
	if err := sit.serveAll("/gate/"); err != nil {
		return nil, err
	}
	owner, controller := sit.ownerOf("yard"), sit.ownerOf("fleet")
	if owner == nil || controller == nil || owner == controller {
		return nil, fmt.Errorf("one entry owns both the pool and the fleet")
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for num := 100; ; num++ {
			select {
			case <-quit:
				return
			case <-time.After(jobPause):
			}
			step := map[string]any{"count": 4, "cpu": 1000, "mem_mb": 256, "affinity": "r1-" + zones[num%len(zones)]}
			sit.call(owner, "POST", jobPath("/gate/", num), jobOf("work 3000", step))
		}
	}()
	time.Sleep(5 * time.Second)
	for num := range rounds {
		crashed, err := sit.cld.crash(num)
		if err != nil {
			return nil, err
		}
		if err := sit.cld.awaitLists(2); err != nil {
			return nil, err
		}
		if isTrouble {
			controller.signal(syscall.SIGSTOP)
		}
		time.Sleep(backAfter)
		if err := sit.cld.restart(num, crashed); err != nil {
			return nil, err
		}
		time.Sleep(freezeTime - backAfter)
		if isTrouble {
			controller.signal(syscall.SIGCONT)
		}
		time.Sleep(7 * time.Second)
		if len(rec.twice()) > 0 {
			break
		}
	}
	close(quit)
	<-done
	return rec.twice(), nil
}

// crash ends the runner of a machine without a word, and returns it.
func (cld *cloud) crash(num int) (*runner, error) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	mac := cld.machines[num]
	if mac.rnr == nil {
		return nil, fmt.Errorf("machine %s is not up", mac.host)
	}
	old := mac.rnr
	mac.rnr, mac.state = nil, "down"
	cld.lists = 0
	cld.rec.event("crash", fmt.Sprintf("machine %s runner %s", mac.host, old.id))
	old.terminate()
	return old, nil
}

// awaitLists waits until the machines have been listed so many times since the last crash.
func (cld *cloud) awaitLists(count int) error {
	return await(5*time.Second, "lists of machines", func() bool {
		cld.mu.Lock()
		defer cld.mu.Unlock()
		return cld.lists >= count
	})
}

// restart begins a new life of the machine's runner under its id and at its address.
func (cld *cloud) restart(num int, old *runner) error {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	mac := cld.machines[num]
	rnr, err := startRunner(cld.rec, old.id, mac.pool, mac.zone, old.address)
	if err != nil {
		return err
	}
	mac.rnr, mac.state = rnr, "up"
	cld.sto.put("keyed.servers", rnr.id, rnr.announcement())
	cld.rec.event("up", fmt.Sprintf("machine %s runner %s again", mac.host, rnr.id))
	return nil
}
