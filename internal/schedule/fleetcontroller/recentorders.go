package fleetcontroller

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/statelog"
)

// recentOrdersKey is the key of the record that lists the recently ordered machines. The
// orders of two lease holders for one machine must be at least a lease apart, so a new
// fleet controller does not order these machines for a while and may order all others at
// once.
const recentOrdersKey = "o/recent"

// recentOrdersJSON is the value of that record.
type recentOrdersJSON struct {
	Machines []recentOrderJSON `json:"machines"`
}

type recentOrderJSON struct {
	Name  string `json:"name"`
	AgeMs int64  `json:"ageMs"` // time between the order and the record
}

// handoverDelay is how long after a takeover a machine may still be affected by an order
// of the previous controller: the order may be sent up to maxProofAge after its record,
// and the next holder has to wait for the lease.
func (ctl *Controller) handoverDelay() time.Duration { return ctl.cfg.OrderLease + maxProofAge }

// recentOrdersRecord adds the machines that are about to be ordered and returns the record
// of all recent orders. It is stored before the orders are sent.
func (ctl *Controller) recentOrdersRecord(now time.Time, ready []*operation) (statelog.Record, error) {
	for name, at := range ctl.recentOrders {
		if now.Sub(at) > ctl.handoverDelay() {
			delete(ctl.recentOrders, name)
		}
	}
	for _, opr := range ready {
		ctl.recentOrders[opr.machine] = now
	}
	rct := recentOrdersJSON{Machines: make([]recentOrderJSON, 0, len(ctl.recentOrders))}
	for name, at := range ctl.recentOrders {
		rct.Machines = append(rct.Machines, recentOrderJSON{name, now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(rct.Machines, func(one, two recentOrderJSON) int { return strings.Compare(one.Name, two.Name) })
	data, err := json.Marshal(rct)
	return statelog.Record{Key: recentOrdersKey, Value: data}, errors.Wrap(err, "encode recent orders")
}

// clearRecentOrders stores that there are no recent orders, once all have aged out.
// Otherwise a later controller would block these machines needlessly.
func (ctl *Controller) clearRecentOrders(now time.Time) {
	ctl.mu.Lock()
	isStale := len(ctl.recentOrders) > 0
	for _, at := range ctl.recentOrders {
		isStale = isStale && now.Sub(at) > ctl.handoverDelay()
	}
	ctl.mu.Unlock()
	if !isStale {
		return
	}
	if err := ctl.storeOrders(nil); err != nil {
		ctl.cfg.Journal.Warn(now, "recentOrdersUnstored", slog.String("error", err.Error()))
	}
}

// restoreRecentOrders blocks the machines that the previous controllers may have ordered
// recently. They stay on record until they have aged out, as this controller may be replaced before.
func (ctl *Controller) restoreRecentOrders(data []byte) error {
	var rct recentOrdersJSON
	if err := json.Unmarshal(data, &rct); err != nil {
		return errors.Wrap(err, "decode recent orders")
	}
	for _, ord := range rct.Machines {
		at := ctl.takeoverAt.Add(-time.Duration(ord.AgeMs) * time.Millisecond)
		ctl.recentOrders[ord.Name] = at
		ctl.blockedUntil[ord.Name] = at.Add(ctl.handoverDelay())
	}
	return nil
}

// isBlocked reports whether an order of the previous controller may still affect the
// machine.
func (ctl *Controller) isBlocked(now time.Time, machine string) bool {
	return now.Before(ctl.blockedUntil[machine]) || now.Before(ctl.allBlockedUntil)
}
