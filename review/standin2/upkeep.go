package main

import (
	"fmt"
	"slices"
	"time"
)

// playUpkeep lets the machine API give no answers while two machines of a wave are evacuated, and the
// store be down after that. Meanwhile tasks that last fail and start again. It checks that the upkeep
// does not end more tasks of their step at once than may be missed.
func playUpkeep(rec *recorder, isTrouble bool) ([]string, error) {
	const (
		downTime  = 6300 * time.Millisecond // as in the site file
		failAfter = 5400 * time.Millisecond
		mayMiss   = 1
	)
	sit, err := startSite(rec, 3, map[string]int{"yard": 6})
	defer sit.stop()
	if err != nil {
		return nil, err
	}
	sit.configure([]string{"yard"}, route{"q-renew", "/renew/", "yard"})
	if err := sit.awaitReady(); err != nil {
		return nil, err
	}
	path := jobPath("/renew/", 1)
	step := map[string]any{"count": 4, "cpu": 1300, "mem_mb": 4096, "long_running": true, "anti_affinity": 1, "allow_miss": mayMiss}
	if err := sit.submit(sit.entries[0], path, jobOf("last", step)); err != nil {
		return nil, err
	}
	if err := await(10*time.Second, "four tasks at work", func() bool { return len(sit.atWork()) == 4 }); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second)
	var downAt time.Time
	due := []string{"m-yard-00", "m-yard-01"}
	if isTrouble {
		sit.cld.setSilent(true)
		rec.event("silent", "the machine API")
	}
	sit.requestWave(1, 2, due...)
	if isTrouble {
		if err := await(15*time.Second, "both machines evacuated and ordered", func() bool { return sit.countUnanswered() >= 2 }); err != nil {
			return nil, err
		}
		sit.sto.setDown(true)
		rec.event("down", "the store")
		sit.cld.setSilent(false)
		rec.event("answering", "the machine API")
		downAt = time.Now()
	}
	time.Sleep(failAfter)
	for _, rnr := range sit.cld.runners() { // tasks that last may fail at any time
		if !slices.Contains(due, sit.cld.machineOf(rnr)) {
			for _, task := range rnr.tasks() {
				if sit.countRunsOn(due) < len(due) {
					rnr.fail(task)
					time.Sleep(150 * time.Millisecond)
				}
			}
		}
	}
	if isTrouble {
		time.Sleep(time.Until(downAt.Add(downTime)))
		sit.sto.setDown(false)
		rec.event("up", "the store")
	}
	time.Sleep(12 * time.Second)
	return sit.missed(mayMiss), nil
}

// atWork returns the tasks at work on all machines.
func (sit *site) atWork() []string {
	var tasks []string
	for _, rnr := range sit.cld.runners() {
		tasks = append(tasks, rnr.tasks()...)
	}
	return tasks
}

// countRunsOn returns how many tasks run on the machines.
func (sit *site) countRunsOn(machines []string) int {
	count := 0
	for _, rnr := range sit.cld.runners() {
		if slices.Contains(machines, sit.cld.machineOf(rnr)) {
			count += rnr.count()
		}
	}
	return count
}

// missed returns the orders that ended a task at work while so many others of its step, which has
// all tasks, were away because of earlier orders.
func (sit *site) missed(mayMiss int) []string {
	var broken []string
	spans := sit.rec.runsOf("")
	for _, ord := range sit.cld.received() {
		for _, task := range ord.endedTasks {
			var away []string
			for _, spn := range spans {
				if spn.task != task && spn.how == "terminated" && spn.to.Before(ord.at) && !isAtWork(spans, spn.task, ord.at) && !slices.Contains(away, spn.task) {
					away = append(away, spn.task)
				}
			}
			if len(away) >= mayMiss {
				broken = append(broken, fmt.Sprintf("the upkeep of %s at %.3f ended %s, with %v away by other orders; allow_miss is %d",
					ord.machine, sit.rec.since(ord.at), task, away, mayMiss))
			}
		}
	}
	return broken
}

// isAtWork reports whether a task that lasts was at work at the time.
func isAtWork(spans []span, task string, at time.Time) bool {
	return slices.ContainsFunc(spans, func(spn span) bool {
		return spn.task == task && !at.Before(spn.from.Add(startup)) && (spn.to.IsZero() || spn.to.After(at))
	})
}
