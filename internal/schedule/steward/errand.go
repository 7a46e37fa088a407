package steward

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

// errand is something that is to be done with a machine.
type operation struct {
	machine     string
	vm          string // its life when the errand began
	pool        string // where it goes, for a move
	wave        int64  // for maintenance
	startedAt   time.Time
	evacuatedVM string    // the life that was empty when the last order was sent
	outcomeAt   time.Time // of the last order's outcome
	isOrdered   bool      // an order may have been carried out
	isExecuted  bool      // the order was carried out; the machine is not back yet
	isInFlight  bool      // an order is in flight
	// isRestored tells that an earlier steward may have ordered it.
	isRestored bool
	milliCores int64
}

// complete ends the errands of machines that are back, by a list that was asked for
// at the given time.
func (ctl *Steward) completeOperations(now, asked time.Time) {
	for name, opr := range ctl.operations {
		mac, ok := ctl.machines[name]
		isUp := ok && mac.IsUp && mac.VM != ""
		isNew := isUp && mac.VM != opr.vm
		switch {
		case !ok || isUp && opr.isExecuted && opr.isFinished(asked, isNew) || isNew && opr.wave == 0 && opr.isOrdered:
			ctl.finish(now, opr, ok)
		case isNew:
			opr.vm = mac.VM // it has started anew by itself
		}
	}
}

// isOver reports whether a list shows the end of an order that was carried out,
// given that the machine is up. A list that was asked for earlier may show the time
// before. A machine that is up in the same life had been ordered before, by a call
// without an answer or by an earlier steward; a done order is answered alike.
func (opr *operation) isFinished(asked time.Time, isNew bool) bool {
	if isNew {
		return asked.After(opr.outcomeAt)
	}
	return asked.Sub(opr.outcomeAt) >= listInterval
}

func (ctl *Steward) finish(now time.Time, opr *operation, isListed bool) {
	delete(ctl.operations, opr.machine)
	ctl.cfg.Journal.Event(now, "machineBack", slog.String("machine", opr.machine), slog.Int64("wave", opr.wave),
		slog.String("pool", opr.pool), slog.Bool("listed", isListed), slog.Duration("after", now.Sub(opr.startedAt)))
}

// expire gives up what takes too long: a VM that cannot be emptied, or a machine
// that does not come back from a move.
func (ctl *Steward) expireOperations(now time.Time) {
	load, empty := ctl.load(), ctl.evacuatedVMs(now)
	for name, opr := range ctl.operations {
		age, limit := now.Sub(opr.startedAt), evacuationTimeout
		if load[opr.vm].Lasting > 0 {
			limit = longEvacuationTimeout
		}
		switch {
		case opr.isInFlight || opr.isRestored:
			continue
		case opr.wave == 0 && (age > moveTimeout || !opr.isOrdered && age > moveEvacuationTimeout && !empty[opr.vm]):
		case opr.wave > 0 && !opr.isOrdered && age > limit && ctl.isAnyEligible(now, ctl.waveOf(opr.wave)):
			ctl.waveOf(opr.wave).retryAt[name] = now.Add(evacuationRetryDelay)
		default:
			continue
		}
		delete(ctl.operations, name)
		ctl.cfg.Journal.Event(now, "errandGivenUp", slog.String("machine", name), slog.String("vm", opr.vm),
			slog.String("pool", opr.pool), slog.Int64("wave", opr.wave), slog.Bool("ordered", opr.isOrdered))
	}
}

// ready returns the errands whose VM is empty, the oldest first.
func (ctl *Steward) readyOperations(now time.Time) []*operation {
	empty := ctl.evacuatedVMs(now)
	var ready []*operation
	for _, opr := range ctl.operations {
		mac, ok := ctl.machines[opr.machine]
		wasEmpty := opr.isOrdered && opr.evacuatedVM == opr.vm
		isEmpty := empty[opr.vm] || wasEmpty || opr.isRestored && !mac.IsUp || ctl.isStandby(mac.Pool)
		if !ok || ctl.isBlocked(now, opr.machine) || !isEmpty || opr.isExecuted || opr.isInFlight || now.Sub(opr.outcomeAt) < orderRetryDelay {
			continue
		}
		ready = append(ready, opr)
	}
	slices.SortFunc(ready, func(one, two *operation) int {
		return cmp.Or(one.startedAt.Compare(two.startedAt), cmp.Compare(one.machine, two.machine))
	})
	ready = ready[:min(len(ready), ctl.ordersPerRound())]
	for _, opr := range ready {
		opr.isInFlight, opr.evacuatedVM = true, opr.vm
	}
	return ready
}

// emptied returns the VMs that their owners have emptied, by reports of late.
func (ctl *Steward) evacuatedVMs(now time.Time) map[string]bool {
	empty := map[string]bool{}
	for _, rpt := range ctl.reports {
		if now.Sub(rpt.at) > maxReportAge {
			continue
		}
		for _, vm := range rpt.pool.VMs {
			empty[vm.ID] = vm.IsLeaving && vm.Tasks == 0
		}
	}
	return empty
}

// perRound returns how many orders may go out in a round.
func (ctl *Steward) ordersPerRound() int {
	return max(1, int(orderShare*ctl.cfg.OrderRate*roundInterval.Seconds()))
}
