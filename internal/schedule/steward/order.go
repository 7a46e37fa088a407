package steward

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/schedule/archive"
)

// topic holds a record for each machine whose maintenance has begun.
const topic = "fleet"

const wavePrefix = "w/"

// upkeepForm is the record of a machine's maintenance: it may have been ordered,
// or it has been.
type upkeepForm struct {
	IsDone bool `json:"isDone"`
}

func upkeepKey(number int64, machine string) string {
	return wavePrefix + strconv.FormatInt(number, 10) + "/" + machine
}

// restore reads which maintenance has been done. One that may have been ordered
// is ordered again once the machine is empty, which tells whether it was done.
func (stw *Steward) restore(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	recs, _, err := stw.cfg.Archive.Newest(ctx, topic, stw.cfg.Partition)
	if err != nil {
		return errors.Wrap(err, "waves")
	}
	for _, rec := range recs {
		if rec.Key == recentKey {
			if err := stw.holdBack(rec.Value); err != nil {
				return err
			}
			continue
		}
		number, machine, ok := parseKey(rec.Key)
		if !ok || len(rec.Value) == 0 {
			continue
		}
		var frm upkeepForm
		if err := json.Unmarshal(rec.Value, &frm); err != nil {
			stw.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", err.Error()))
			continue
		}
		if frm.IsDone {
			stw.waveOf(number).done[machine] = true
			continue
		}
		stw.tasks[machine] = &errand{machine: machine, wave: number, began: now, isRestored: true}
	}
	return nil
}

func parseKey(key string) (number int64, machine string, ok bool) {
	rest, ok := strings.CutPrefix(key, wavePrefix)
	if !ok {
		return 0, "", false
	}
	num, machine, ok := strings.Cut(rest, "/")
	if !ok {
		return 0, "", false
	}
	number, err := strconv.ParseInt(num, 10, 64)
	return number, machine, err == nil
}

// order stores what is about to be ordered, which proves that the term lasts,
// and sends the orders.
func (stw *Steward) order(now time.Time, ready []*errand) {
	proof := sinceBoot()
	if err := stw.storeBegun(ready); err != nil {
		stw.mu.Lock()
		for _, ern := range ready {
			ern.isBusy = false
		}
		stw.mu.Unlock()
		stw.cfg.Journal.Warn(now, "ordersUnstored", slog.String("error", err.Error()))
		return
	}
	for _, ern := range ready {
		go stw.send(ern, proof)
	}
}

func (stw *Steward) storeBegun(ready []*errand) error {
	if len(stw.unsettled) > 0 {
		if err := stw.append(context.Background(), stw.unsettled); err != nil {
			return err
		}
		stw.unsettled = nil
	}
	recs, err := stw.records(ready)
	if err != nil {
		return err
	}
	if len(recs) > 0 {
		stw.seq++
	}
	err = stw.append(context.Background(), recs)
	switch {
	case len(recs) == 0 || err == nil:
	case errors.Is(err, archive.ErrNotDone):
		stw.seq--
	default:
		stw.unsettled = recs // the number may be used, so only the same may follow
	}
	return err
}

func (stw *Steward) records(ready []*errand) ([]archive.Record, error) {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	var recs []archive.Record
	for _, ern := range ready {
		if ern.wave == 0 || ern.isOrdered {
			continue
		}
		data, err := json.Marshal(upkeepForm{})
		if err != nil {
			return nil, errors.Wrap(err, "upkeep record")
		}
		recs = append(recs, archive.Record{Key: upkeepKey(ern.wave, ern.machine), Value: data})
	}
	for _, don := range stw.unrecorded {
		data, err := json.Marshal(upkeepForm{IsDone: true})
		if err != nil {
			return nil, errors.Wrap(err, "upkeep record")
		}
		recs = append(recs, archive.Record{Key: upkeepKey(don.wave, don.machine), Value: data})
	}
	stw.unrecorded = nil
	rec, err := stw.recentRecord(time.Now(), ready)
	return append(recs, rec), err
}

// sinceBoot returns the time since the machine started, with the time that it
// was suspended, which the usual clock of a process leaves out.
func sinceBoot() time.Duration {
	var spc unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spc); err != nil {
		return 0 // no such clock: a proof then never looks old
	}
	return time.Duration(spc.Nano())
}

func (stw *Steward) send(ern *errand, proof time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out directory.Ordered
	var err error
	switch {
	case sinceBoot()-proof > orderWithin:
		out, err = directory.OrderLater, errors.New("the proof of the term is too old")
	case ern.wave > 0:
		out, err = stw.cfg.Directory.Maintain(ctx, ern.machine, ern.wave, stw.cfg.Holder, stw.clm.Fence())
	default:
		out, err = stw.cfg.Directory.Move(ctx, ern.machine, ern.pool, stw.cfg.Holder, stw.clm.Fence())
	}
	now := time.Now()
	attrs := []slog.Attr{
		slog.String("machine", ern.machine), slog.Int64("wave", ern.wave), slog.String("pool", ern.pool), slog.Int("outcome", int(out)),
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	stw.cfg.Journal.Event(now, "machineOrdered", attrs...)
	stw.mu.Lock()
	defer stw.mu.Unlock()
	stw.ordered(now, ern, out)
}

// ordered takes in the outcome of an order.
func (stw *Steward) ordered(now time.Time, ern *errand, out directory.Ordered) {
	ern.isBusy, ern.orderedAt = false, now
	switch out {
	case directory.OrderDone:
		ern.isOrdered, ern.isDone = true, true
		if ern.wave > 0 {
			stw.waveOf(ern.wave).done[ern.machine] = true
			stw.unrecorded = append(stw.unrecorded, ern)
		}
	case directory.OrderUnknown:
		ern.isOrdered = true
	case directory.OrderRefused:
		delete(stw.tasks, ern.machine)
		if ern.wave > 0 {
			stw.waveOf(ern.wave).stays[ern.machine] = now.Add(stayPause)
		}
	case directory.OrderBusy:
		if ern.wave == 0 && !ern.isOrdered {
			delete(stw.tasks, ern.machine)
		}
	}
}
