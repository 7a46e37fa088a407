package steward

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/archive"
)

// recentKey is the key of the record that names the machines ordered lately. Two
// holders keep apart on each machine, so a new steward leaves just these alone for
// a while and may order all others at once.
const recentOrdersKey = "o/recent"

// recentForm is that record: the machines, and how long before the record each was
// ordered.
type recentOrdersJSON struct {
	Machines []recentOrderJSON `json:"machines"`
}

type recentOrderJSON struct {
	Name  string `json:"name"`
	AgeMs int64  `json:"ageMs"`
}

// apart is how long after the change of steward an order of the one before may
// still be felt: it may be sent some time after its record, and the next one waits
// for the lease.
func (ctl *Steward) handoverDelay() time.Duration { return ctl.cfg.OrderLease + maxProofAge }

// recentRecord notes the machines about to be ordered and returns the record of all
// that were ordered lately. It is stored before the orders are sent.
func (ctl *Steward) recentOrdersRecord(now time.Time, ready []*operation) (archive.Record, error) {
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
	return archive.Record{Key: recentOrdersKey, Value: data}, errors.Wrap(err, "recent orders")
}

// forgetRecent stores that nothing has been ordered lately, once that is so. Without
// it a later steward would leave machines alone for nothing.
func (ctl *Steward) clearRecentOrders(now time.Time) {
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

// holdBack takes in which machines the steward before may have ordered lately.
func (ctl *Steward) restoreRecentOrders(data []byte) error {
	var rct recentOrdersJSON
	if err := json.Unmarshal(data, &rct); err != nil {
		return errors.Wrap(err, "recent orders")
	}
	for _, mac := range rct.Machines {
		ctl.blockedUntil[mac.Name] = ctl.takeoverAt.Add(ctl.handoverDelay() - time.Duration(mac.AgeMs)*time.Millisecond)
	}
	return nil
}

// isHeldBack reports whether an order of the steward before may still be felt there.
func (ctl *Steward) isBlocked(now time.Time, machine string) bool {
	return now.Before(ctl.blockedUntil[machine])
}
