package steward

import (
	"cmp"
	"log/slog"
	"slices"
	"time"
)

// errand is something that is to be done with a machine.
type errand struct {
	machine   string
	vm        string // its life when the errand began
	pool      string // where it goes, for a move
	wave      int64  // for maintenance
	began     time.Time
	emptied   string    // the life that was empty when the last order was sent
	orderedAt time.Time // of the last order's outcome
	isOrdered bool      // an order may have been carried out
	isDone    bool      // the order was carried out; the machine is not back yet
	isBusy    bool      // an order is in flight
	// isRestored tells that an earlier steward may have ordered it.
	isRestored bool
	milli      int64
}

// complete ends the errands of machines that are back, by a list that was asked for
// at the given time.
func (stw *Steward) complete(now, asked time.Time) {
	for name, ern := range stw.tasks {
		mac, ok := stw.machines[name]
		isUp := ok && mac.IsUp && mac.VM != ""
		isNew := isUp && mac.VM != ern.vm
		switch {
		case !ok || isUp && ern.isDone && ern.isOver(asked, isNew) || isNew && ern.wave == 0 && ern.isOrdered:
			stw.finish(now, ern, ok)
		case isNew:
			ern.vm = mac.VM // it has started anew by itself
		}
	}
}

// isOver reports whether a list shows the end of an order that was carried out,
// given that the machine is up. A list that was asked for earlier may show the time
// before. A machine that is up in the same life had been ordered before, by a call
// without an answer or by an earlier steward; a done order is answered alike.
func (ern *errand) isOver(asked time.Time, isNew bool) bool {
	if isNew {
		return asked.After(ern.orderedAt)
	}
	return asked.Sub(ern.orderedAt) >= listEach
}

func (stw *Steward) finish(now time.Time, ern *errand, isListed bool) {
	delete(stw.tasks, ern.machine)
	stw.cfg.Journal.Event(now, "machineBack", slog.String("machine", ern.machine), slog.Int64("wave", ern.wave),
		slog.String("pool", ern.pool), slog.Bool("listed", isListed), slog.Duration("after", now.Sub(ern.began)))
}

// expire gives up what takes too long: a VM that cannot be emptied, or a machine
// that does not come back from a move.
func (stw *Steward) expire(now time.Time) {
	load, empty := stw.load(), stw.emptied(now)
	for name, ern := range stw.tasks {
		age, limit := now.Sub(ern.began), drainWithin
		if load[ern.vm].Lasting > 0 {
			limit = moveOutWithin
		}
		switch {
		case ern.isBusy || ern.isRestored:
			continue
		case ern.wave == 0 && (age > moveWithin || !ern.isOrdered && age > emptyWithin && !empty[ern.vm]):
		case ern.wave > 0 && !ern.isOrdered && age > limit && stw.isAnyLeft(now, stw.waveOf(ern.wave)):
			stw.waveOf(ern.wave).stays[name] = now.Add(stayPause)
		default:
			continue
		}
		delete(stw.tasks, name)
		stw.cfg.Journal.Event(now, "errandGivenUp", slog.String("machine", name), slog.String("vm", ern.vm),
			slog.String("pool", ern.pool), slog.Int64("wave", ern.wave), slog.Bool("ordered", ern.isOrdered))
	}
}

// ready returns the errands whose VM is empty, the oldest first.
func (stw *Steward) ready(now time.Time) []*errand {
	empty := stw.emptied(now)
	var ready []*errand
	for _, ern := range stw.tasks {
		mac, ok := stw.machines[ern.machine]
		wasEmpty := ern.isOrdered && ern.emptied == ern.vm
		isEmpty := empty[ern.vm] || wasEmpty || ern.isRestored && !mac.IsUp || stw.isStandby(mac.Pool)
		if !ok || stw.isHeldBack(now, ern.machine) || !isEmpty || ern.isDone || ern.isBusy || now.Sub(ern.orderedAt) < orderRetry {
			continue
		}
		ready = append(ready, ern)
	}
	slices.SortFunc(ready, func(one, two *errand) int {
		return cmp.Or(one.began.Compare(two.began), cmp.Compare(one.machine, two.machine))
	})
	ready = ready[:min(len(ready), stw.perRound())]
	for _, ern := range ready {
		ern.isBusy, ern.emptied = true, ern.vm
	}
	return ready
}

// emptied returns the VMs that their owners have emptied, by reports of late.
func (stw *Steward) emptied(now time.Time) map[string]bool {
	empty := map[string]bool{}
	for _, rpt := range stw.reports {
		if now.Sub(rpt.at) > reportAge {
			continue
		}
		for _, vm := range rpt.pool.VMs {
			empty[vm.ID] = vm.IsLeaving && vm.Tasks == 0
		}
	}
	return empty
}

// perRound returns how many orders may go out in a round.
func (stw *Steward) perRound() int { return max(1, int(orderShare*stw.cfg.OrderRate*round.Seconds())) }
