// Package lender moves VMs to a pool whose surge lasts longer than lent slots can
// absorb, and back to their home pools when the surge is over.
package lender

import (
	"context"
	"log/slog"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals and timeouts. Moves have a hysteresis: each evacuates a VM, so a
// surge that lent slots can absorb must not trigger one.
const (
	interval        = 500 * time.Millisecond
	lendAfter       = 10 * time.Second // with queued requests
	returnAfter     = 60 * time.Second // without queued requests
	minMoveInterval = 5 * time.Second  // between two moves for one pool
	sendTimeout     = 2 * time.Second
)

func init() {
	plugin.Register(plugin.Plugin{Name: "lender", Order: 45, Start: start})
}

// Lender decides on VM loans in its zone.
type Lender struct {
	nod      *node.Node
	lastMove map[string]time.Time // by pool
}

func start(nod *node.Node) (func(), error) {
	lnd := &Lender{nod: nod, lastMove: map[string]time.Time{}}
	lop := loop.Every("lender", interval, lnd.step)
	return lop.Stop, nil
}

func (lnd *Lender) step(time.Time) {
	now := lnd.nod.Now()
	var recs []record.Record
	lnd.nod.Replica().View(func(flt *fleet.Fleet) {
		if !lnd.nod.IsRegistered(flt) {
			return
		}
		for _, pool := range flt.Pools() {
			if !lnd.nod.IsResponsible(flt, "lend/"+pool) || now.Sub(lnd.lastMove[pool]) < minMoveInterval {
				continue
			}
			if rec, ok := lnd.decide(flt, now, pool); ok {
				lnd.lastMove[pool] = now
				recs = append(recs, rec)
			}
		}
	})
	if len(recs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := lnd.nod.Proposer().Append(ctx, recs); err != nil {
		lnd.nod.Journal().Warn(now, "loanLost", slog.String("error", err.Error()))
	}
}

// decide returns a loan to the pool when its surge lasts, or the return of a VM to
// its home pool when the pool has had no queued requests for returnAfter.
func (lnd *Lender) decide(flt *fleet.Fleet, now time.Time, pool string) (record.Record, bool) {
	sts := lnd.nod.Dispatcher().Stats(pool)
	if !sts.BackloggedSince.IsZero() && now.Sub(sts.BackloggedSince) >= lendAfter {
		return lnd.borrow(flt, now, pool)
	}
	if !sts.QueueEmptySince.IsZero() && now.Sub(sts.QueueEmptySince) >= returnAfter {
		return lnd.giveBack(flt, now, pool)
	}
	return record.Record{}, false
}

// borrow returns a loan of a VM without tasks from a pool without backlog that
// lends VMs and has availability budget left.
func (lnd *Lender) borrow(flt *fleet.Fleet, now time.Time, pool string) (record.Record, bool) {
	for _, other := range flt.Pools() {
		sts := lnd.nod.Dispatcher().Stats(other)
		rw, _, _ := flt.Row(other)
		if other == pool || !sts.BackloggedSince.IsZero() || rw.LendVMs() == 0 || flt.RemainingBudget(other) < 1 {
			continue
		}
		for _, vm := range flt.VMsOf(other) {
			mbr, _ := flt.Member(vm)
			if mbr.Zone() == lnd.nod.Settings().Zone && mbr.IsAvailable() && mbr.Home() == other && len(flt.Tasks(vm)) == 0 {
				return lnd.move(now, mbr, pool), true
			}
		}
	}
	return record.Record{}, false
}

// giveBack returns a VM that the pool has borrowed to its home pool.
func (lnd *Lender) giveBack(flt *fleet.Fleet, now time.Time, pool string) (record.Record, bool) {
	for _, vm := range flt.VMsOf(pool) {
		mbr, _ := flt.Member(vm)
		isLoan := mbr.Home() != pool && mbr.Phase() == member.Serving
		if isLoan && mbr.Zone() == lnd.nod.Settings().Zone && flt.RemainingBudget(pool) > 0 {
			return lnd.move(now, mbr, mbr.Home()), true
		}
	}
	return record.Record{}, false
}

func (lnd *Lender) move(now time.Time, mbr member.Member, to string) record.Record {
	lnd.nod.Journal().Event(now, "vmLoan", slog.String("vm", mbr.VM()), slog.String("from", mbr.Pool()), slog.String("to", to))
	return lnd.nod.NewRecord(now, record.Config{Kind: record.VMLeave, VM: mbr.VM(), Epoch: mbr.Epoch(), Pool: to})
}
