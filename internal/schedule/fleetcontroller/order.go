package fleetcontroller

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/schedule/statelog"
)

// topic holds a record for each machine whose maintenance has started, and the record of
// recent orders.
const topic = "fleet"

// wavePrefix is the key prefix of maintenance records.
const wavePrefix = "w/"

// maintenanceJSON is the stored state of a machine's maintenance: the order was carried
// out, or it may have been sent.
type maintenanceJSON struct {
	IsDone bool `json:"isDone"`
}

func maintenanceKey(number int64, machine string) string {
	return wavePrefix + strconv.FormatInt(number, 10) + "/" + machine
}

// restore reads the maintenance records and the recent orders. Maintenance that may have
// been ordered is ordered again once the machine is evacuated; the outcome tells whether
// it was done.
func (ctl *Controller) restore(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	recs, _, err := ctl.cfg.StateLog.Newest(ctx, topic, ctl.cfg.Partition)
	if err != nil {
		return errors.Wrap(err, "read maintenance records")
	}
	for _, rec := range recs {
		if rec.Key == recentOrdersKey {
			if err := ctl.restoreRecentOrders(rec.Value); err != nil {
				ctl.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", err.Error()))
				ctl.allBlockedUntil = ctl.takeoverAt.Add(ctl.handoverDelay())
			}
			continue
		}
		number, machine, ok := parseMaintenanceKey(rec.Key)
		if !ok || len(rec.Value) == 0 {
			continue
		}
		var mnt maintenanceJSON
		if err := json.Unmarshal(rec.Value, &mnt); err != nil {
			ctl.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", err.Error()))
			mnt = maintenanceJSON{} // it may have been ordered
		}
		if mnt.IsDone {
			ctl.waveOf(number).done[machine] = true
			continue
		}
		ctl.operations[machine] = &operation{machine: machine, wave: number, startedAt: now, isRestored: true}
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

// sendOrders stores the orders that are about to be sent and then sends them. The append
// proves that this controller's term still lasts.
func (ctl *Controller) sendOrders(now time.Time, ready []*operation) {
	provenAt := ctl.cfg.SinceBoot()
	if err := ctl.storeOrders(ready); err != nil {
		ctl.mu.Lock()
		for _, opr := range ready {
			opr.isInFlight = false
		}
		ctl.mu.Unlock()
		ctl.cfg.Journal.Warn(now, "ordersUnstored", slog.String("error", err.Error()))
		return
	}
	for _, opr := range ready {
		go ctl.guard(func() { ctl.sendOrder(opr, provenAt) })
	}
}

// storeOrders appends the records of the orders that are about to be sent, after repeating
// an earlier append whose outcome is unknown.
func (ctl *Controller) storeOrders(ready []*operation) error {
	if len(ctl.unconfirmed) > 0 {
		if err := ctl.appendRecords(context.Background(), ctl.unconfirmed); err != nil {
			return err
		}
		ctl.unconfirmed = nil
	}
	recs, err := ctl.orderRecords(ready)
	if err != nil {
		return err
	}
	if len(recs) > 0 {
		ctl.seq++
	}
	err = ctl.appendRecords(context.Background(), recs)
	switch {
	case len(recs) == 0 || err == nil:
	case errors.Is(err, statelog.ErrNotAppended):
		ctl.seq--
	default:
		ctl.unconfirmed = recs // seq may be used, so these records must be repeated under it
	}
	return err
}

// orderRecords returns the records to store before the orders are sent, including those of
// maintenance that was completed since the last append.
func (ctl *Controller) orderRecords(ready []*operation) ([]statelog.Record, error) {
	ctl.mu.Lock()
	defer ctl.unlock()
	var recs []statelog.Record
	for _, opr := range ready {
		if opr.wave == 0 || opr.isOrdered {
			continue
		}
		data, err := json.Marshal(maintenanceJSON{})
		if err != nil {
			return nil, errors.Wrap(err, "encode maintenance record")
		}
		recs = append(recs, statelog.Record{Key: maintenanceKey(opr.wave, opr.machine), Value: data})
	}
	for _, opr := range ctl.unrecorded {
		data, err := json.Marshal(maintenanceJSON{IsDone: true})
		if err != nil {
			return nil, errors.Wrap(err, "encode maintenance record")
		}
		recs = append(recs, statelog.Record{Key: maintenanceKey(opr.wave, opr.machine), Value: data})
	}
	ctl.unrecorded = nil
	rec, err := ctl.recentOrdersRecord(time.Now(), ready)
	return append(recs, rec), err
}

// sendOrder sends the order for one machine, unless what it rests on is too old: the proof of the
// term, taken at provenAt since boot, or the knowledge that the machine is free of tasks.
func (ctl *Controller) sendOrder(opr *operation, provenAt time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out directory.OrderOutcome
	var err error
	sinceBoot := ctl.cfg.SinceBoot()
	switch {
	case sinceBoot-provenAt > maxProofAge:
		out, err = directory.OrderThrottled, errors.New("last proof that the term lasts is too old")
	case sinceBoot-opr.knownAt > maxReportAge:
		out, err = directory.OrderThrottled, errors.New("last report that the VM is evacuated is too old")
	case opr.wave > 0:
		out, err = ctl.cfg.Directory.Maintain(ctx, opr.machine, opr.wave, ctl.cfg.Holder, ctl.clm.FencingToken())
	default:
		out, err = ctl.cfg.Directory.Move(ctx, opr.machine, opr.pool, ctl.cfg.Holder, ctl.clm.FencingToken())
	}
	now := time.Now()
	attrs := []slog.Attr{
		slog.String("machine", opr.machine), slog.Int64("wave", opr.wave), slog.String("pool", opr.pool), slog.Int("outcome", int(out)),
		slog.Duration("known", sinceBoot-opr.knownAt),
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	ctl.cfg.Journal.Event(now, "machineOrdered", attrs...)
	ctl.mu.Lock()
	defer ctl.unlock()
	ctl.handleOutcome(now, opr, out)
}

// handleOutcome records the outcome of an order.
func (ctl *Controller) handleOutcome(now time.Time, opr *operation, out directory.OrderOutcome) {
	opr.isInFlight, opr.outcomeAt = false, now
	switch out {
	case directory.OrderDone:
		opr.isOrdered, opr.isExecuted = true, true
		if opr.wave > 0 {
			ctl.waveOf(opr.wave).done[opr.machine] = true
			ctl.unrecorded = append(ctl.unrecorded, opr)
		}
	case directory.OrderUnknown:
		opr.isOrdered = true
	case directory.OrderRefused:
		delete(ctl.operations, opr.machine)
		if opr.wave > 0 {
			ctl.waveOf(opr.wave).retryAt[opr.machine] = now.Add(evacuationRetryDelay)
		}
	case directory.OrderBusy:
		if opr.wave == 0 && !opr.isOrdered {
			delete(ctl.operations, opr.machine)
		}
	}
}
