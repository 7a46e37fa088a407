package router

import "time"

// Stats are the slot and queue counts of one pool at this entry.
type Stats struct {
	Slots    int
	Used     int
	Lent     int
	Borrowed int
	Waiting  int
	Ejected  int

	BackloggedSince time.Time // zero while no request is queued
	QueueEmptySince time.Time // zero while requests are queued, and before the first was
}

// Stats returns the counts of the pool, all zero if it is unknown.
func (rtr *Router) Stats(name string) Stats {
	pol, ok := rtr.pools[name]
	if !ok {
		return Stats{}
	}
	var since time.Time
	if pol.isBacklogged {
		since = pol.backloggedAt
	}
	return Stats{
		BackloggedSince: since, QueueEmptySince: pol.queueEmptySince,
		Slots: pol.slots, Used: pol.used, Lent: pol.lent, Borrowed: pol.borrowed,
		Waiting: pol.queue.Len(), Ejected: pol.ejected,
	}
}
