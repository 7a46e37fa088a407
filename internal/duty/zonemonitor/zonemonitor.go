// Package zonemonitor appends heartbeats of its own zone to the log and declares other
// zones cut off when their heartbeats stop.
package zonemonitor

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals and timeouts.
const (
	interval          = 500 * time.Millisecond
	heartbeatInterval = 2 * time.Second
	cutOffAfter       = 8 * time.Second // without a heartbeat, while this entry reads the log to its head
	maxLag            = 3 * time.Second // with a longer lag, missing heartbeats say nothing about other zones
	rankDelay         = 2 * time.Second // additional wait per rank of the entry
	sendTimeout       = 2 * time.Second
)

func init() {
	plugin.Register(plugin.Plugin{Name: "watcher", Order: 35, Start: start})
}

// Monitor sends heartbeats for its zone and checks those of the others.
type Monitor struct {
	nod           *node.Node
	lastHeartbeat time.Time            // last one that this entry sent
	heartbeats    map[string]heartbeat // by zone
}

// heartbeat is the latest heartbeat of a zone in the applied state.
type heartbeat struct {
	count int64     // heartbeats of the zone so far
	at    time.Time // when the present wait for the next heartbeat began
}

func start(nod *node.Node) (func(), error) {
	mon := &Monitor{nod: nod, heartbeats: map[string]heartbeat{}}
	lop := loop.Every("watcher", interval, mon.step)
	return lop.Stop, nil
}

func (mon *Monitor) step(time.Time) {
	now := mon.nod.Now()
	lag, atHead := mon.nod.Replica().Lag(now)
	isFresh := atHead && lag < maxLag
	var recs []record.Record
	mon.nod.Replica().View(func(flt *fleet.Fleet) {
		if !mon.nod.IsRegistered(flt) {
			return
		}
		recs = append(recs, mon.heartbeatRecords(flt, now)...)
		for _, zone := range flt.Zones() {
			recs = append(recs, mon.checkZone(flt, now, zone, isFresh)...)
		}
	})
	if len(recs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := mon.nod.Proposer().Append(ctx, recs); err != nil {
		mon.nod.Journal().Warn(now, "beatLost", slog.String("error", err.Error()))
	}
}

// heartbeatRecords returns a heartbeat if the zone needs one. Entries of a higher
// rank wait longer, so that they send one only if those before them do not.
func (mon *Monitor) heartbeatRecords(flt *fleet.Fleet, now time.Time) []record.Record {
	set := mon.nod.Settings()
	rank := fleet.Rank(set.Name, "beat/"+set.Zone, flt.EntriesIn(set.Zone))
	last := mon.heartbeats[set.Zone]
	isOverdue := now.Sub(last.at) >= heartbeatInterval+time.Duration(rank)*rankDelay
	if rank < 0 || !isOverdue || now.Sub(mon.lastHeartbeat) < heartbeatInterval {
		return nil
	}
	mon.lastHeartbeat = now
	return []record.Record{mon.nod.NewRecord(now, record.Config{Kind: record.ZoneHeartbeat, Zone: set.Zone, Entry: set.Name})}
}

// checkZone returns the record that declares the zone cut off if its heartbeats have
// stopped. A zone whose entries have all left is empty, not cut off.
func (mon *Monitor) checkZone(flt *fleet.Fleet, now time.Time, zone string, isFresh bool) []record.Record {
	set := mon.nod.Settings()
	count := flt.Heartbeats(zone)
	last, ok := mon.heartbeats[zone]
	if !ok || last.count != count || !isFresh && zone != set.Zone {
		mon.heartbeats[zone] = heartbeat{count: count, at: now}
		return nil
	}
	if zone == set.Zone || flt.IsZoneCut(zone) || len(flt.EntriesIn(zone)) == 0 {
		return nil
	}
	rank := mon.rankOutside(flt, zone)
	if rank < 0 || now.Sub(last.at) < cutOffAfter+time.Duration(rank)*rankDelay {
		return nil
	}
	mon.heartbeats[zone] = heartbeat{count: count, at: now}
	mon.nod.Journal().Warn(now, "zoneCut", slog.String("cutZone", zone))
	return []record.Record{mon.nod.NewRecord(now, record.Config{Kind: record.ZoneStatus, Zone: zone, IsCut: true})}
}

// rankOutside returns the rank of this entry among the entries outside the zone.
func (mon *Monitor) rankOutside(flt *fleet.Fleet, zone string) int {
	var outside []string
	for _, name := range flt.Entries() {
		if info, _ := flt.Entry(name); info.Zone != zone {
			outside = append(outside, name)
		}
	}
	return fleet.Rank(mon.nod.Settings().Name, "watch/"+zone, outside)
}
