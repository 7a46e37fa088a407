package api

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/metric"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/state/fleet"
)

// peer is another registered entry.
type peer struct {
	name    string
	zone    string
	address string
}

func (ap *API) peers() []peer {
	var peers []peer
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, name := range flt.Entries() {
			facts, _ := flt.Entry(name)
			if name != ap.nod.Settings().Name {
				peers = append(peers, peer{name: name, zone: facts.Zone, address: facts.Address})
			}
		}
	})
	return peers
}

// serveStatus answers the status request of a peer.
func (ap *API) serveStatus(context.Context, json.RawMessage) (any, error) {
	return ap.ownStatus(), nil
}

func (ap *API) ownStatus() wire.Entry {
	now := ap.nod.Now()
	set := ap.nod.Settings()
	lag, atHead := ap.nod.Replica().Lag(now)
	ent := wire.Entry{Name: set.Name, Zone: set.Zone, IsReachable: true, LagMs: lag.Milliseconds(), IsAtHead: atHead}
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		ent.Offset = flt.Next()
		ent.TableRev = flt.TableRev()
	})
	return ent
}

// fetchStatuses requests the status of all peers in parallel. The result is in their
// order; of a peer that cannot be reached it has only the name and the zone.
func (ap *API) fetchStatuses(ctx context.Context, peers []peer) []wire.Entry {
	entries := make([]wire.Entry, len(peers))
	var wtg sync.WaitGroup
	for idx, per := range peers {
		wtg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			err := ap.nod.PeerEndpoint().Call(callCtx, per.address, methodStatus, struct{}{}, &entries[idx])
			if err != nil {
				entries[idx] = wire.Entry{Name: per.name, Zone: per.zone}
			}
		})
	}
	wtg.Wait()
	return entries
}

// awaitApplied waits until every peer reports that it has applied the record at the
// offset. It returns the names of those that have not reported it in time.
func (ap *API) awaitApplied(ctx context.Context, offset int64) []string {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	waiting := ap.peers()
	for {
		var lagging []peer
		for idx, ent := range ap.fetchStatuses(ctx, waiting) {
			if ent.Offset <= offset {
				lagging = append(lagging, waiting[idx])
			}
		}
		waiting = lagging
		if len(waiting) == 0 || ctx.Err() != nil {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(applyPollInterval):
		}
	}
	names := []string{}
	for _, per := range waiting {
		names = append(names, per.name)
	}
	return names
}

func (ap *API) getStatus(req *http.Request) (any, error) {
	own := ap.ownStatus()
	out := wire.Status{
		Entry: own.Name, Zone: own.Zone, Ready: ap.nod.IsReady(), Offset: own.Offset, TableRev: own.TableRev,
		LagMs: own.LagMs, Entries: []wire.Entry{own}, CutZones: []string{},
	}
	out.Entries = append(out.Entries, ap.fetchStatuses(req.Context(), ap.peers())...)
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, zone := range flt.Zones() {
			if flt.IsZoneCut(zone) {
				out.CutZones = append(out.CutZones, zone)
			}
		}
	})
	return out, nil
}

func (ap *API) getPools(*http.Request) (any, error) {
	out := wire.Pools{Pools: []wire.Pool{}}
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, name := range flt.Pools() {
			rw, _, _ := flt.Row(name)
			out.Pools = append(out.Pools, wire.Pool{
				Name: name, Service: rw.Service(), VMs: len(flt.VMsOf(name)),
				Unavailable: flt.Unavailable(name), DownVMs: rw.DownVMs(),
			})
		}
	})
	for idx := range out.Pools {
		pol := &out.Pools[idx]
		sts := ap.nod.Dispatcher().Stats(pol.Name)
		pol.Slots, pol.Used, pol.Lent = sts.Slots, sts.Used, sts.Lent
		pol.Borrowed, pol.Waiting = sts.Borrowed, sts.Waiting
	}
	return out, nil
}

// writeMetrics writes this entry's metrics in the Prometheus text format. Gauges are
// set from the present state first.
func (ap *API) writeMetrics(rsp http.ResponseWriter) {
	out, _ := ap.getPools(nil)
	pools, _ := out.(wire.Pools)
	for _, pol := range pools.Pools {
		ap.setGauge("slots", pol.Name, pol.Slots)
		ap.setGauge("slots_used", pol.Name, pol.Used)
		ap.setGauge("slots_lent", pol.Name, pol.Lent)
		ap.setGauge("slots_borrowed", pol.Name, pol.Borrowed)
		ap.setGauge("queue", pol.Name, pol.Waiting)
		ap.setGauge("unavailable_vms", pol.Name, pol.Unavailable)
	}
	own := ap.ownStatus()
	mts := ap.nod.Metrics()
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		zone := ap.nod.Settings().Zone
		tasks := 0
		for _, vm := range flt.VMsWithTasks(zone) {
			tasks += len(flt.Tasks(vm))
		}
		mts.GetOrCreateFloatCounter("daisywheel_vms_draining").Set(float64(len(flt.NotServing(zone))))
		mts.GetOrCreateFloatCounter("daisywheel_task_leases").Set(float64(tasks))
		mts.GetOrCreateFloatCounter("daisywheel_jobs_pending").Set(float64(len(flt.PendingJobs())))
	})
	mts.GetOrCreateFloatCounter("daisywheel_applied_offset").Set(float64(own.Offset))
	mts.GetOrCreateFloatCounter("daisywheel_log_lag_seconds").Set(float64(own.LagMs) / 1000)
	mts.WritePrometheus(rsp)
	metrics.WriteProcessMetrics(rsp)
}

func (ap *API) setGauge(gauge, pool string, value int) {
	name := metric.Name("daisywheel_pool_" + gauge)
	ap.nod.Metrics().GetOrCreateFloatCounter(name.With("pool", pool).String()).Set(float64(value))
}
