package steward

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/archive"
)

// recentKey is the key of the record that names the machines ordered lately. Two
// holders keep apart on each machine, so a new steward leaves just these alone for
// a while and may order all others at once.
const recentKey = "o/recent"

// recentForm is that record.
type recentForm struct {
	Machines []string `json:"machines"`
}

// apart is how long after the change of steward an order of the one before may
// still be felt: it may be sent some time after its proof, and the next one waits
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
	frm := recentForm{Machines: make([]string, 0, len(stw.recent))}
	for name := range stw.recent {
		frm.Machines = append(frm.Machines, name)
	}
	slices.Sort(frm.Machines)
	data, err := json.Marshal(frm)
	return archive.Record{Key: recentKey, Value: data}, errors.Wrap(err, "recent orders")
}

// holdBack takes in which machines the steward before may have ordered lately.
func (stw *Steward) holdBack(data []byte) error {
	var frm recentForm
	if err := json.Unmarshal(data, &frm); err != nil {
		return errors.Wrap(err, "recent orders")
	}
	for _, name := range frm.Machines {
		stw.heldBack[name] = true
	}
	return nil
}

// dropHeldBack frees them when no order of that steward can be on its way.
func (stw *Steward) dropHeldBack(now time.Time) {
	if now.Sub(stw.since) >= stw.apart() {
		clear(stw.heldBack)
	}
}
