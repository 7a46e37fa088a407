package cell

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"daisywheel/internal/fleet/host"
)

// SetHosts takes in the VMs that the platform lists for the pool. A VM that is
// no longer listed is kept while it answers or while its tasks may run.
func (cel *Cell) SetHosts(now time.Time, hosts []host.Host) {
	listed := make(map[string]bool, len(hosts))
	for _, hst := range hosts {
		listed[hst.ID] = true
		if born, isOver := cel.over[hst.ID]; isOver && hst.Born <= born {
			continue // its announcement has not been removed yet
		}
		delete(cel.over, hst.ID)
		cel.takeHost(now, hst)
	}
	for id := range cel.over {
		if !listed[id] {
			delete(cel.over, id)
		}
	}
	for id, mac := range cel.vms {
		if mac.isListed && !listed[id] {
			mac.isListed, mac.unlistedAt = false, now
			cel.cfg.Event(now, "vmUnlisted", slog.String("vm", id), slog.Int("tasks", len(mac.works)))
		}
	}
}

func (cel *Cell) takeHost(now time.Time, hst host.Host) {
	mac, ok := cel.vms[hst.ID]
	if !ok {
		mac = newMachine(hst)
		cel.addVM(mac)
		cel.record(mac)
		cel.cfg.Event(now, "vmListed", slog.String("vm", hst.ID), slog.String("zone", hst.Zone), slog.Int64("born", hst.Born))
	}
	if mac.host.IsDraining != hst.IsDraining {
		cel.cfg.Event(now, "vmDraining", slog.String("vm", hst.ID), slog.Bool("draining", hst.IsDraining))
	}
	if mac.isOld && hst.Born > mac.host.Born && mac.host.Born != 0 {
		mac.isOld = false // a new life holds nothing of before
	}
	isMoved := mac.host.Address != hst.Address
	mac.host, mac.isListed = hst, true
	if isMoved {
		cel.record(mac)
	}
	if hst.Born != 0 && mac.born != 0 && hst.Born > mac.born {
		cel.reborn(now, mac, hst.Born)
	}
}

func (cel *Cell) addVM(mac *machine) {
	cel.vms[mac.host.ID] = mac
	cel.ordered = nil
}

// machines returns the VMs by id.
func (cel *Cell) machines() []*machine {
	if cel.ordered == nil {
		cel.ordered = make([]*machine, 0, len(cel.vms))
		for _, mac := range cel.vms {
			cel.ordered = append(cel.ordered, mac)
		}
		slices.SortFunc(cel.ordered, func(one, two *machine) int { return strings.Compare(one.host.ID, two.host.ID) })
	}
	return cel.ordered
}

// record asks for the VM to be stored before it is used.
func (cel *Cell) record(mac *machine) {
	mac.isRecorded = false
	cel.newVMs[mac.host.ID] = true
	delete(cel.goneVMs, mac.host.ID)
}

// forget drops a VM on which nothing can run any more.
func (cel *Cell) forget(mac *machine) {
	delete(cel.vms, mac.host.ID)
	cel.ordered = nil
	delete(cel.newVMs, mac.host.ID)
	cel.goneVMs[mac.host.ID] = true
}

// relistWithin is how long a VM that the list has lost may take to be listed again.
// Announcements lapse while the store is away and are back within 2 s of its return.
const relistWithin = 2500 * time.Millisecond

// isPresent reports whether the VM is listed, or may be again soon. Whether it still
// lives is told by its answers, and orders name the life that they are for.
func (mac *machine) isPresent(now time.Time) bool {
	return mac.isListed || !mac.unlistedAt.IsZero() && now.Sub(mac.unlistedAt) < relistWithin
}

// RestoreHost adds a VM that an earlier owner may have used.
func (cel *Cell) RestoreHost(now time.Time, hst host.Host) {
	mac := newMachine(hst)
	mac.isOld, mac.isRecorded = true, true
	mac.leaseEnd = now.Add(OwnerReach + leaseBound(cel.cfg.LeaseMax))
	cel.addVM(mac)
}

// reborn takes in that the VM has started anew: what ran there has ended. A
// start without an answer may still reach the new life, so it is stopped there.
func (cel *Cell) reborn(now time.Time, mac *machine, born int64) {
	cel.cfg.Event(now, "vmReborn", slog.String("vm", mac.host.ID), slog.Int64("born", born), slog.Int("tasks", len(mac.works)))
	mac.born, mac.isHeld, mac.isOld, mac.seen, mac.acked = born, false, false, 0, 0
	mac.dropStrays()
	for _, wrk := range mac.works {
		if wrk.phase == starting || wrk.isDoubtful {
			cel.stop(wrk)
			wrk.stopAcked = time.Time{}
			continue
		}
		cel.suspend(now, wrk)
	}
}

// suspend takes in that the life of the task's VM has ended. An owner that was cut
// off may hear of it later than its successor, which may have seen the run end as
// done, so the task waits until this owner is confirmed.
func (cel *Cell) suspend(now time.Time, wrk *work) {
	if wrk.phase == stopping && wrk.step.job.state.IsEnded() {
		cel.release(wrk)
		return
	}
	wrk.vm.remove(wrk)
	wrk.phase = unsure
	cel.unsure[wrk] = now
}

// IsUnsure reports whether tasks wait for a confirmation of the owner.
func (cel *Cell) IsUnsure() bool { return len(cel.unsure) > 0 }

// Unanswered takes in that a look at the VM failed. It gets no new work before
// it answers again.
func (cel *Cell) Unanswered(id string) {
	if mac, ok := cel.vms[id]; ok {
		mac.isSilent = true
	}
}

// Replaced takes in that another VM answers at the address: the life has ended
// with all that ran there.
func (cel *Cell) Replaced(now time.Time, id string) {
	mac, ok := cel.vms[id]
	if !ok {
		return
	}
	cel.cfg.Event(now, "vmReplaced", slog.String("vm", id), slog.Int("tasks", len(mac.works)))
	for _, wrk := range mac.works {
		cel.suspend(now, wrk)
	}
	mac.dropStrays()
	cel.forget(mac)
	cel.over[id] = max(mac.born, mac.host.Born)
}
