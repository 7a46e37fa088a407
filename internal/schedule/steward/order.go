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
	"daisywheel/internal/fleet/upkeep"
	"daisywheel/internal/schedule/archive"
)

// topic holds a record for each machine whose maintenance has begun.
const topic = "fleet"

const wavePrefix = "w/"

// wave is a maintenance wave and how far it is.
type wave struct {
	request  upkeep.Wave
	isAsked  bool                 // the request has been read
	done     map[string]bool      // machines whose order was carried out
	stays    map[string]time.Time // when a machine that could not be emptied is tried again
	reported waveState
}

type waveState int

const (
	unreported waveState = iota
	inProgress
	completed
)

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

func (stw *Steward) waveOf(number int64) *wave {
	wav, ok := stw.waves[number]
	if !ok {
		wav = &wave{done: map[string]bool{}, stays: map[string]time.Time{}}
		stw.waves[number] = wav
	}
	return wav
}

func (stw *Steward) ask(now time.Time, req upkeep.Wave) {
	wav := stw.waveOf(req.Number)
	wav.request, wav.isAsked = req, true
	stw.cfg.Journal.Event(now, "waveAsked", slog.Int64("wave", req.Number), slog.Int("machines", len(req.Machines)),
		slog.Int("cap", req.Cap), slog.Duration("within", req.Within))
}

// planWaves begins to empty the machines that are next.
func (stw *Steward) planWaves(now time.Time) {
	load := stw.load()
	for number, wav := range stw.waves {
		if !wav.isAsked {
			continue
		}
		// The cap counts machines from the moment that they are being emptied, and
		// until they are back.
		free := wav.request.Cap - stw.under(number)
		var cands []upkeep.Candidate
		for _, name := range wav.request.Machines {
			if !stw.isNext(now, wav, name) {
				continue
			}
			cnd := load[stw.machines[name].VM]
			cnd.Machine = name
			cands = append(cands, cnd)
		}
		for _, name := range upkeep.Next(cands, upkeep.Room{Cap: wav.request.Cap, Free: free, Lasting: stw.slow(number, load)}) {
			stw.tasks[name] = &errand{machine: name, vm: stw.machines[name].VM, wave: number, began: now}
			stw.cfg.Journal.Event(now, "upkeepBegun", slog.Int64("wave", number), slog.String("machine", name))
		}
	}
}

// load returns what runs on each VM, by the latest reports.
func (stw *Steward) load() map[string]upkeep.Candidate {
	load := map[string]upkeep.Candidate{}
	for _, rpt := range stw.reports {
		for _, vm := range rpt.pool.VMs {
			load[vm.ID] = upkeep.Candidate{Tasks: vm.Tasks, Lasting: vm.Lasting}
		}
	}
	return load
}

// isNext reports whether the machine may be emptied for the wave now.
func (stw *Steward) isNext(now time.Time, wav *wave, name string) bool {
	mac, ok := stw.machines[name]
	return ok && mac.IsUp && !stw.isHeldBack(now, name) && !wav.done[name] && stw.tasks[name] == nil && !now.Before(wav.stays[name])
}

// isAnyLeft reports whether a machine of the wave is not being emptied yet.
func (stw *Steward) isAnyLeft(now time.Time, wav *wave) bool {
	for _, name := range wav.request.Machines {
		if stw.isNext(now, wav, name) {
			return true
		}
	}
	return false
}

// slow returns how many machines of the wave with lasting tasks are being emptied.
func (stw *Steward) slow(number int64, load map[string]upkeep.Candidate) int {
	count := 0
	for _, ern := range stw.tasks {
		if ern.wave == number && !ern.isOrdered && load[ern.vm].Lasting > 0 {
			count++
		}
	}
	return count
}

// under returns how many machines of the wave are being emptied or are down.
func (stw *Steward) under(number int64) int {
	count := 0
	for _, ern := range stw.tasks {
		if ern.wave == number {
			count++
		}
	}
	return count
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

// reportWaves tells the operator how the waves stand.
func (stw *Steward) reportWaves(now time.Time) {
	stw.mu.Lock()
	var due []upkeepReport
	for number, wav := range stw.waves {
		if !wav.isAsked {
			continue
		}
		want := inProgress
		if stw.isCompleted(wav) {
			want = completed
		}
		if wav.reported < want {
			due = append(due, upkeepReport{number, want})
		}
	}
	stw.mu.Unlock()
	for _, rpt := range due {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := stw.cfg.Directory.ReportWave(ctx, rpt.number, rpt.state == completed)
		cancel()
		if err != nil {
			stw.cfg.Journal.Warn(now, "waveUnreported", slog.Int64("wave", rpt.number), slog.String("error", err.Error()))
			continue
		}
		stw.mu.Lock()
		stw.waves[rpt.number].reported = rpt.state
		stw.mu.Unlock()
		stw.cfg.Journal.Event(now, "waveReported", slog.Int64("wave", rpt.number), slog.Bool("completed", rpt.state == completed))
	}
}

type upkeepReport struct {
	number int64
	state  waveState
}

// isCompleted reports whether all machines of the wave that are left have begun
// their maintenance.
func (stw *Steward) isCompleted(wav *wave) bool {
	if len(stw.machines) == 0 {
		return false
	}
	for _, name := range wav.request.Machines {
		if _, ok := stw.machines[name]; ok && !wav.done[name] {
			return false
		}
	}
	return true
}
