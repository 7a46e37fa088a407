package main

import (
	"fmt"
	"time"
)

// playHolders stops the entry that orders machines right after its first order, and its successor
// after an order for another machine. It checks that holders in touch which take turns on a machine
// are a lease apart.
func playHolders(rec *recorder, isTrouble bool) ([]string, error) {
	const stopGap = 1100 * time.Millisecond // between two stops; the shortest gap_s of a site is 1.05 s
	sit, err := startSite(rec, 4, map[string]int{"yard": 6})
	defer sit.stop()
	if err != nil {
		return nil, err
	}
	sit.configure([]string{"yard"}, route{"q-gate", "/gate/", "yard"})
	if err := sit.awaitReady(); err != nil {
		return nil, err
	}
	path := jobPath("/gate/", 1)
	if err := sit.submit(sit.entries[0], path, jobOf("work 300", map[string]any{"count": 2, "cpu": 500, "mem_mb": 256})); err != nil {
		return nil, err
	}
	if err := sit.awaitState(sit.entries[0], path, "completed", 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second) // all entries are in touch
	first, second := "m-yard-00", "m-yard-01"
	sit.requestWave(1, 1, first)
	one, err := awaitOrder(sit, first, "", 10*time.Second)
	if err != nil {
		return nil, err
	}
	if isTrouble {
		sit.entryNamed(one.holder).stopProcess()
	}
	stoppedAt := time.Now()
	sit.requestWave(2, 1, second)
	other := ""
	if isTrouble {
		other = one.holder
	}
	two, err := awaitOrder(sit, second, other, 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(stoppedAt.Add(stopGap)))
	if isTrouble {
		sit.entryNamed(two.holder).stopProcess()
	}
	time.Sleep(10 * time.Second)
	return turnsOf(sit), nil
}

// awaitOrder waits for an order for the machine by another holder than this one.
func awaitOrder(sit *site, machine, other string, limit time.Duration) (ord machineOrder, err error) {
	err = await(limit, "order for "+machine, func() bool {
		for _, got := range sit.cld.received() {
			if got.machine == machine && got.holder != other {
				ord = got
				return true
			}
		}
		return false
	})
	return ord, err
}

// turnsOf returns the orders for one machine by which holders in touch took turns within a lease, or
// came with a lower fence number after a higher one.
func turnsOf(sit *site) []string {
	var broken []string
	last := map[string]machineOrder{}
	for _, ord := range sit.cld.received() {
		prev, ok := last[ord.machine]
		last[ord.machine] = ord
		if !ok {
			continue
		}
		gap := ord.at.Sub(prev.at)
		switch {
		case ord.fence < prev.fence:
			broken = append(broken, fmt.Sprintf("machine %s: fence %d after %d", ord.machine, ord.fence, prev.fence))
		case ord.holder == prev.holder:
		case ord.fence == prev.fence:
			broken = append(broken, fmt.Sprintf("machine %s: %s and %s with fence %d", ord.machine, prev.holder, ord.holder, ord.fence))
		case gap < leaseTime && sit.wasInTouch(prev) && sit.wasInTouch(ord):
			broken = append(broken, fmt.Sprintf("machine %s: %s (fence %d) at %.3f, then %s (fence %d) %d ms later; lease_ms is %d",
				ord.machine, prev.holder, prev.fence, sit.rec.since(prev.at), ord.holder, ord.fence, gap.Milliseconds(), leaseTime.Milliseconds()))
		}
	}
	return broken
}

// wasInTouch reports whether nothing was done to the holder of an order in the contact time before.
func (sit *site) wasInTouch(ord machineOrder) bool {
	ent := sit.entryNamed(ord.holder)
	return ent != nil && ent.wasCalm(ord.at.Add(-contactTime), ord.at)
}
