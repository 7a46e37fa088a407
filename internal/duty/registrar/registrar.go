// Package registrar registers the entry in the fleet's registry and confirms its
// shares of the backend servers' slots.
package registrar

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals and timeouts.
const (
	interval          = 100 * time.Millisecond
	idleInterval      = 2 * time.Second // while registered and confirmed
	proposeTimeout    = 5 * time.Second
	deregisterTimeout = 3 * time.Second // for in-flight work to end, and again for the record
)

func init() {
	plugin.Register(plugin.Plugin{Name: "registrar", Order: 20, Start: start})
}

// Registrar registers and deregisters the entry and confirms its shares.
type Registrar struct {
	nod *node.Node
}

func start(nod *node.Node) (func(), error) {
	reg := &Registrar{nod: nod}
	lop := loop.OnWake("registrar", interval, nod.Replica().Changed, reg.step)
	return func() {
		lop.Stop()
		reg.deregister()
	}, nil
}

// step registers the entry or confirms its shares if needed, once the log has been
// read to its head, and returns the time until the next step if the applied state
// does not change.
func (reg *Registrar) step(now time.Time) time.Duration {
	_, atHead := reg.nod.Replica().Lag(now)
	if !atHead {
		return interval
	}
	var isRegistered, needsConfirm bool
	var generation int64
	set := reg.nod.Settings()
	reg.nod.Replica().View(func(flt *fleet.Fleet) {
		isRegistered = reg.nod.IsRegistered(flt)
		generation = flt.Generation(set.Zone)
		needsConfirm = isRegistered && !flt.HasConfirmedShare(set.Name, set.Zone)
	})
	if !isRegistered {
		reg.register(now)
		return interval
	}
	if !needsConfirm {
		return idleInterval
	}
	if reg.nod.Dispatcher().IsWithinShares() {
		reg.confirm(now, generation)
	}
	return interval
}

// register registers this incarnation of the entry.
func (reg *Registrar) register(now time.Time) {
	set := reg.nod.Settings()
	rec := reg.nod.NewRecord(now, record.Config{
		Kind: record.EntryJoin, Entry: set.Name, Zone: set.Zone, VM: set.VM,
		Incarnation: reg.nod.Incarnation(), Address: set.PeerAddress,
	})
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	vrd, err := reg.nod.Proposer().Propose(ctx, rec)
	if err != nil {
		return
	}
	if vrd.Code() != code.OK {
		reg.nod.Journal().Warn(now, "entryRefused", slog.String("code", vrd.Code().Name()))
		return
	}
	reg.nod.Journal().Event(now, "entryJoined", slog.Int64("offset", vrd.Offset()))
}

// confirm records that the entry keeps to its shares of the registry generation.
func (reg *Registrar) confirm(now time.Time, generation int64) {
	set := reg.nod.Settings()
	rec := reg.nod.NewRecord(now, record.Config{
		Kind: record.ShareConfirm, Entry: set.Name, Incarnation: reg.nod.Incarnation(), Generation: generation,
		ChangeID: fmt.Sprintf("share/%s/%d/%d", set.Name, reg.nod.Incarnation(), generation),
	})
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	// A lost confirmation is repeated by the next step.
	_, _ = reg.nod.Proposer().Propose(ctx, rec)
}

// deregister deregisters the entry once nothing is in flight. If work is still in flight
// after deregisterTimeout, or the record is lost, the entry stays registered until the
// platform lists its VM as gone.
func (reg *Registrar) deregister() {
	now := reg.nod.Now()
	for until := now.Add(deregisterTimeout); reg.nod.Dispatcher().TotalInFlight() > 0; time.Sleep(interval) {
		if reg.nod.Now().After(until) {
			return
		}
		// Slots of abandoned attempts are freed by the first tick after their hold time.
		reg.nod.Dispatcher().Tick(reg.nod.Now())
	}
	set := reg.nod.Settings()
	rec := reg.nod.NewRecord(now, record.Config{
		Kind: record.EntryLeave, Entry: set.Name, Incarnation: reg.nod.Incarnation(), Reason: "stopped",
		ChangeID: fmt.Sprintf("leave/%s/%d", set.Name, reg.nod.Incarnation()),
	})
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	_, err := reg.nod.Proposer().Propose(ctx, rec)
	if err != nil {
		reg.nod.Journal().Warn(now, "goodbyeLost", slog.String("error", err.Error()))
	}
}
