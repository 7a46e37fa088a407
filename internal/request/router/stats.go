package router

import "time"

// Stats are the counts of one pool at this entry.
type Stats struct {
	Slots    int
	Used     int
	Lent     int
	Borrowed int
	Waiting  int
	Ejected  int

	PressedSince time.Time // zero while no request waits
	CalmSince    time.Time // zero while requests wait
}

// Stats returns the counts of the pool.
func (rtr *Router) Stats(name string) Stats {
	pol, ok := rtr.pools[name]
	if !ok {
		return Stats{}
	}
	var pressed time.Time
	if pol.isBacklogged {
		pressed = pol.backloggedAt
	}
	return Stats{
		PressedSince: pressed, CalmSince: pol.queueEmptySince,
		Slots: pol.slots, Used: pol.used, Lent: pol.lent, Borrowed: pol.borrowed,
		Waiting: pol.queue.Len(), Ejected: pol.ejected,
	}
}
