package fleetcontroller

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/balance"
)

// operation is a move or the maintenance of one machine.
type operation struct {
	machine   string
	vm        string // its incarnation when the operation started
	pool      string // target pool of a move, empty for maintenance
	wave      int64  // number of the maintenance wave, 0 for a move
	startedAt time.Time
	askedAt   time.Time // when the owner was first told to evacuate vm for this operation
	// askedSinceBoot is the same, since boot.
	askedSinceBoot time.Duration
	outcomeAt      time.Time // when the outcome of the last order arrived
	// knownAt is when what the next order rests on became known: the report that vm is evacuated, or
	// the list that shows nothing running on the machine.
	knownAt    time.Duration // since boot
	isOrdered  bool          // an order was carried out, or may have been
	isExecuted bool          // an order was carried out; the machine is not up again yet
	isInFlight bool          // an order is in flight
	// isRestored is set when an earlier fleet controller may have sent the order.
	isRestored bool
	absence    absence // from the last machine lists
	milliCores int64
	isUrgent   bool // see balance.Transfer
}

// completeOperations finishes the operations of machines that are up again according
// to the machine list, which was requested at requestedAt, or gone for good. A list that is not
// complete shows of no machine that it is gone.
func (ctl *Controller) completeOperations(now, requestedAt time.Time, isComplete bool) {
	for name, opr := range ctl.operations {
		mac, ok := ctl.machines[name]
		isUp := ok && mac.IsUp && mac.VM != ""
		isNew := isUp && mac.VM != opr.vm
		if ok {
			opr.absence = absence{}
		} else if isComplete {
			opr.absence = opr.absence.next(requestedAt)
		}
		switch {
		case opr.absence.isGone() || isUp && opr.isExecuted && opr.isFinished(requestedAt, isNew) || isNew && opr.wave == 0 && opr.isOrdered:
			ctl.finish(now, opr, ok)
		case isNew:
			opr.vm, opr.askedAt = mac.VM, time.Time{} // restarted, but not by an order
		}
	}
}

// isFinished reports whether a machine list requested at requestedAt shows the end of
// an order that was carried out, given that the machine is up. A list requested before
// the outcome arrived may show the state before the order. A machine that is up in the
// same incarnation was ordered earlier, by a call without a reply or by an earlier fleet
// controller: the platform reports a repeated order as done without executing it again.
func (opr *operation) isFinished(requestedAt time.Time, isNew bool) bool {
	if isNew {
		return requestedAt.After(opr.outcomeAt)
	}
	return requestedAt.Sub(opr.outcomeAt) >= listInterval
}

func (ctl *Controller) finish(now time.Time, opr *operation, isListed bool) {
	delete(ctl.operations, opr.machine)
	ctl.cfg.Journal.Event(now, "machineBack", slog.String("machine", opr.machine), slog.Int64("wave", opr.wave),
		slog.String("pool", opr.pool), slog.Bool("listed", isListed), slog.Duration("after", now.Sub(opr.startedAt)))
}

// expireOperations cancels operations that take too long: the VM cannot be evacuated, or
// the machine is not up again after a move. The time since boot is that of now.
func (ctl *Controller) expireOperations(now time.Time, sinceBoot time.Duration) {
	load, evacuated := ctl.load(), ctl.evacuatedVMs(sinceBoot)
	for name, opr := range ctl.operations {
		age, limit := now.Sub(opr.startedAt), evacuationTimeout
		if load[opr.vm].LongRunning > 0 {
			limit = longEvacuationTimeout
		}
		switch {
		case opr.isInFlight || opr.isRestored:
			continue
		case opr.wave == 0 && (age > moveTimeout || !opr.isOrdered && age > moveEvacuationTimeout && !opr.isEvacuated(evacuated[opr.vm])):
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

// readyOperations returns the operations whose order can be sent now, the oldest first and
// at most ordersPerRound, and marks them as in flight. The time since boot is that of now.
func (ctl *Controller) readyOperations(now time.Time, sinceBoot time.Duration) []*operation {
	evacuated := ctl.evacuatedVMs(sinceBoot)
	var ready []*operation
	for _, opr := range ctl.operations {
		knownAt, isFree := ctl.isFreeOfTasks(sinceBoot, opr, evacuated)
		if !isFree || ctl.isBlocked(now, opr.machine) || opr.isExecuted || opr.isInFlight || now.Sub(opr.outcomeAt) < orderRetryDelay {
			continue
		}
		opr.knownAt = knownAt
		ready = append(ready, opr)
	}
	slices.SortFunc(ready, func(one, two *operation) int {
		return cmp.Or(one.startedAt.Compare(two.startedAt), cmp.Compare(one.machine, two.machine))
	})
	ready = ready[:ctl.orderLimit.take(now, orderShare*ctl.cfg.OrderRate, len(ready))]
	for _, opr := range ready {
		opr.isInFlight = true
	}
	return ready
}

// isFreeOfTasks reports whether the machine is known to be free of tasks, and when that became known,
// since boot. Its VM must be evacuated, also for an order that is repeated: the owner lifts an evacuation
// when it gets no answers. That it is the VM's machine still is known while the VM answers its owner, or else
// from a recent list. A machine that is not up after an earlier order, or whose pool is on standby, has no VM.
func (ctl *Controller) isFreeOfTasks(sinceBoot time.Duration, opr *operation, evacuated map[string]evacuation) (knownAt time.Duration, isFree bool) {
	mac, ok := ctl.machines[opr.machine]
	if !ok {
		return 0, false
	}
	if ctl.isStandby(mac.Pool) && !ctl.isReported(sinceBoot, mac.VM) {
		return sinceBoot, true
	}
	listAge := sinceBoot - ctl.listedSinceBoot
	if evc := evacuated[opr.vm]; opr.isEvacuated(evc) && mac.VM == opr.vm && (evc.isAnswering || listAge <= maxVMListAge) {
		return evc.sinceBoot, true
	}
	isDown := (opr.isOrdered || opr.isRestored) && !mac.IsUp && ctl.listedAt.After(opr.outcomeAt)
	return ctl.listedSinceBoot, isDown && listAge <= maxDownListAge
}

// isReported reports whether an owner has the VM in its last report. The configuration that has its pool on
// standby may be old, and tasks run there. An owner that can't report for maxUnreportedTime has ended.
func (ctl *Controller) isReported(sinceBoot time.Duration, vm string) bool {
	if vm == "" {
		return false
	}
	for _, rpt := range ctl.reports {
		if sinceBoot-rpt.sinceBoot > maxUnreportedTime {
			continue
		}
		if slices.ContainsFunc(rpt.pool.VMs, func(rvm balance.VM) bool { return rvm.ID == vm }) {
			return true
		}
	}
	return false
}

// isEvacuated reports whether a recent report of the pool's owner shows that the VM was
// evacuated for this operation. A report from before the owner was told may stem from an
// earlier operation, for which the VM is not kept closed any more.
func (opr *operation) isEvacuated(evc evacuation) bool {
	if evc.isAcked {
		return !opr.askedAt.IsZero() && evc.sinceBoot >= opr.askedSinceBoot
	}
	return !opr.askedAt.IsZero() && evc.at.After(opr.askedAt)
}

// evacuation says since when a VM is known to be evacuated.
type evacuation struct {
	at        time.Time     // when the report arrived
	sinceBoot time.Duration // the same, or when the answer was given that the report acknowledges
	isAcked   bool
	// isAnswering is set if the VM answers its owner.
	isAnswering bool
}

// evacuatedVMs returns the VMs that are evacuated according to recent reports of the pools' owners. The age
// of a report counts from the answer that it acknowledges: the report itself may have been on its way
// for longer than the owner keeps a VM closed.
func (ctl *Controller) evacuatedVMs(sinceBoot time.Duration) map[string]evacuation {
	evacuated := map[string]evacuation{}
	for _, rpt := range ctl.reports {
		evc := evacuation{at: rpt.at, sinceBoot: rpt.sinceBoot, isAcked: rpt.pool.HasAcks}
		if evc.isAcked {
			evc.sinceBoot = rpt.pool.AckedAt
		}
		isOfOtherTerm := evc.isAcked && rpt.pool.AckedTerm != ctl.clm.FencingToken()
		if isOfOtherTerm || sinceBoot-evc.sinceBoot > maxReportAge {
			continue
		}
		for _, vm := range rpt.pool.VMs {
			if vm.IsEvacuating && vm.Tasks == 0 {
				evc.isAnswering = !vm.IsUnresponsive
				evacuated[vm.ID] = evc
			}
		}
	}
	return evacuated
}

// ordersPerRound returns how many orders may be sent in a regular round.
func (ctl *Controller) ordersPerRound() int {
	return max(1, int(orderShare*ctl.cfg.OrderRate*roundInterval.Seconds()))
}
