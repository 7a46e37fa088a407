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
type maintenanceRecord struct {
	IsDone bool `json:"isDone"`
}

func maintenanceKey(number int64, machine string) string {
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
		if rec.Key == recentOrdersKey {
			if err := stw.restoreRecentOrders(rec.Value); err != nil {
				return err
			}
			continue
		}
		number, machine, ok := parseMaintenanceKey(rec.Key)
		if !ok || len(rec.Value) == 0 {
			continue
		}
		var mnt maintenanceRecord
		if err := json.Unmarshal(rec.Value, &mnt); err != nil {
			stw.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", err.Error()))
			continue
		}
		if mnt.IsDone {
			stw.waveOf(number).done[machine] = true
			continue
		}
		stw.operations[machine] = &operation{machine: machine, wave: number, startedAt: now, isRestored: true}
	}
	return nil
}

func parseMaintenanceKey(key string) (number int64, machine string, ok bool) {
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
func (stw *Steward) sendOrders(now time.Time, ready []*operation) {
	provenAt := sinceBoot()
	if err := stw.storeOrders(ready); err != nil {
		stw.mu.Lock()
		for _, opr := range ready {
			opr.isInFlight = false
		}
		stw.mu.Unlock()
		stw.cfg.Journal.Warn(now, "ordersUnstored", slog.String("error", err.Error()))
		return
	}
	for _, opr := range ready {
		go stw.sendOrder(opr, provenAt)
	}
}

func (stw *Steward) storeOrders(ready []*operation) error {
	if len(stw.unconfirmed) > 0 {
		if err := stw.appendRecords(context.Background(), stw.unconfirmed); err != nil {
			return err
		}
		stw.unconfirmed = nil
	}
	recs, err := stw.orderRecords(ready)
	if err != nil {
		return err
	}
	if len(recs) > 0 {
		stw.seq++
	}
	err = stw.appendRecords(context.Background(), recs)
	switch {
	case len(recs) == 0 || err == nil:
	case errors.Is(err, archive.ErrNotDone):
		stw.seq--
	default:
		stw.unconfirmed = recs // the number may be used, so only the same may follow
	}
	return err
}

func (stw *Steward) orderRecords(ready []*operation) ([]archive.Record, error) {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	var recs []archive.Record
	for _, opr := range ready {
		if opr.wave == 0 || opr.isOrdered {
			continue
		}
		data, err := json.Marshal(maintenanceRecord{})
		if err != nil {
			return nil, errors.Wrap(err, "upkeep record")
		}
		recs = append(recs, archive.Record{Key: maintenanceKey(opr.wave, opr.machine), Value: data})
	}
	for _, opr := range stw.unrecorded {
		data, err := json.Marshal(maintenanceRecord{IsDone: true})
		if err != nil {
			return nil, errors.Wrap(err, "upkeep record")
		}
		recs = append(recs, archive.Record{Key: maintenanceKey(opr.wave, opr.machine), Value: data})
	}
	stw.unrecorded = nil
	rec, err := stw.recentOrdersRecord(time.Now(), ready)
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

func (stw *Steward) sendOrder(opr *operation, provenAt time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out directory.Ordered
	var err error
	switch {
	case sinceBoot()-provenAt > maxProofAge:
		out, err = directory.OrderLater, errors.New("the proof of the term is too old")
	case opr.wave > 0:
		out, err = stw.cfg.Directory.Maintain(ctx, opr.machine, opr.wave, stw.cfg.Holder, stw.clm.Fence())
	default:
		out, err = stw.cfg.Directory.Move(ctx, opr.machine, opr.pool, stw.cfg.Holder, stw.clm.Fence())
	}
	now := time.Now()
	attrs := []slog.Attr{
		slog.String("machine", opr.machine), slog.Int64("wave", opr.wave), slog.String("pool", opr.pool), slog.Int("outcome", int(out)),
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	stw.cfg.Journal.Event(now, "machineOrdered", attrs...)
	stw.mu.Lock()
	defer stw.mu.Unlock()
	stw.handleOutcome(now, opr, out)
}

// ordered takes in the outcome of an order.
func (stw *Steward) handleOutcome(now time.Time, opr *operation, out directory.Ordered) {
	opr.isInFlight, opr.outcomeAt = false, now
	switch out {
	case directory.OrderDone:
		opr.isOrdered, opr.isExecuted = true, true
		if opr.wave > 0 {
			stw.waveOf(opr.wave).done[opr.machine] = true
			stw.unrecorded = append(stw.unrecorded, opr)
		}
	case directory.OrderUnknown:
		opr.isOrdered = true
	case directory.OrderRefused:
		delete(stw.operations, opr.machine)
		if opr.wave > 0 {
			stw.waveOf(opr.wave).retryAt[opr.machine] = now.Add(drainRetryDelay)
		}
	case directory.OrderBusy:
		if opr.wave == 0 && !opr.isOrdered {
			delete(stw.operations, opr.machine)
		}
	}
}
