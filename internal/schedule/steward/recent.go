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
const recentKey = "o/recent"

// recentForm is that record: the machines, and how long before the record each was
// ordered.
type recentForm struct {
	Machines []recentMachine `json:"machines"`
}

type recentMachine struct {
	Name  string `json:"name"`
	AgeMs int64  `json:"ageMs"`
}

// apart is how long after the change of steward an order of the one before may
// still be felt: it may be sent some time after its record, and the next one waits
// for the lease.
func (stw *Steward) apart() time.Duration { return stw.cfg.OrderLease + orderWithin }

// recentRecord notes the machines about to be ordered and returns the record of all
// that were ordered lately. It is stored before the orders are sent.
func (stw *Steward) recentRecord(now time.Time, ready []*errand) (archive.Record, error) {
	for name, at := range stw.recent {
		if now.Sub(at) > stw.apart() {
			delete(stw.recent, name)
		}
	}
	for _, ern := range ready {
		stw.recent[ern.machine] = now
	}
	frm := recentForm{Machines: make([]recentMachine, 0, len(stw.recent))}
	for name, at := range stw.recent {
		frm.Machines = append(frm.Machines, recentMachine{name, now.Sub(at).Milliseconds()})
	}
	slices.SortFunc(frm.Machines, func(one, two recentMachine) int { return strings.Compare(one.Name, two.Name) })
	data, err := json.Marshal(frm)
	return archive.Record{Key: recentKey, Value: data}, errors.Wrap(err, "recent orders")
}

// forgetRecent stores that nothing has been ordered lately, once that is so. Without
// it a later steward would leave machines alone for nothing.
func (stw *Steward) forgetRecent(now time.Time) {
	stw.mu.Lock()
	isStale := len(stw.recent) > 0
	for _, at := range stw.recent {
		isStale = isStale && now.Sub(at) > stw.apart()
	}
	stw.mu.Unlock()
	if !isStale {
		return
	}
	if err := stw.storeBegun(nil); err != nil {
		stw.cfg.Journal.Warn(now, "recentOrdersUnstored", slog.String("error", err.Error()))
	}
}

// holdBack takes in which machines the steward before may have ordered lately.
func (stw *Steward) holdBack(data []byte) error {
	var frm recentForm
	if err := json.Unmarshal(data, &frm); err != nil {
		return errors.Wrap(err, "recent orders")
	}
	for _, mac := range frm.Machines {
		stw.heldBack[mac.Name] = stw.since.Add(stw.apart() - time.Duration(mac.AgeMs)*time.Millisecond)
	}
	return nil
}

// isHeldBack reports whether an order of the steward before may still be felt there.
func (stw *Steward) isHeldBack(now time.Time, machine string) bool {
	return now.Before(stw.heldBack[machine])
}
