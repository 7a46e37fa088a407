// Package steward looks after the fleet as a whole, for one term at one entry:
// it moves VMs between pools and carries out maintenance waves. It is the only
// one that orders machines about. The pools' owners empty the VMs that it names
// and tell it when they are empty.
package steward

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/arrivals"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/upkeep"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/claim"
)

// Name is what the steward claims.
const Name = "fleet"

// Times of the steward.
const (
	// round is the pause between decisions: a tenth of the time that demand stays
	// with one queue on the users' sites.
	round = 200 * time.Millisecond
	// reportAge is how old a pool's report may be.
	reportAge = 1500 * time.Millisecond
	// listEach is how often the machines are listed while something is going on.
	// The list takes few calls a second from all entries together.
	listEach = 400 * time.Millisecond
	// callTimeout bounds a call to the directory or the log.
	callTimeout = time.Second
	// orderWithin is the longest time between the proof that this is still the
	// term and the order that rests on it.
	orderWithin = time.Second
	// orderRetry is the pause before an order without an answer is repeated, which
	// does no harm as a done order is answered alike.
	orderRetry = 500 * time.Millisecond
	// emptyWithin is how long a VM may take to be emptied for a move; what runs
	// there then is worth more than the move.
	emptyWithin = 3 * time.Second
	// moveWithin is how long a move may take in all; the platform's takes 1.5 s.
	moveWithin = 8 * time.Second
	// drainWithin is how long a VM may take to be emptied for maintenance before
	// another one takes its place, if any is left, and stayPause how long until it is
	// tried again.
	drainWithin = 7 * time.Second
	stayPause   = 3 * time.Second
	// moveOutWithin is the same for a VM with lasting tasks, which leave one after the
	// other, each when those of its step that are away have been restarted.
	moveOutWithin = 15 * time.Second
)

// orderShare is the part of the platform's rate that is used; the rest is for orders
// that are repeated.
const orderShare = 0.9

// Config holds what a Steward needs.
type Config struct {
	Holder     string // name of this entry in orders
	Address    string
	Partition  int
	OrderLease time.Duration // two holders keep that far apart
	OrderRate  float64       // orders for machines that the platform takes in a second
	Archive    archive.Client
	Directory  directory.Client
	Journal    *journal.Journal
	Table      func() *queue.Table
}

// Steward is the fleet's steward for one term. It is safe for concurrent use.
type Steward struct {
	cfg      Config
	clm      claim.Claim
	loggedAt time.Time
	since    time.Time
	seq      int64
	// unsettled are records of an append without an answer.
	unsettled []archive.Record
	// recent are the machines ordered lately, with the time of the last order, and
	// heldBack those that the steward before has ordered lately, with the time until
	// which they are left alone.
	recent   map[string]time.Time
	heldBack map[string]time.Time
	mu       sync.Mutex
	reports  map[string]report
	arrivals *arrivals.Arrivals
	missing  map[string]int               // silent VMs that the latest lists do not show
	machines map[string]directory.Machine // by name
	listedAt time.Time
	tasks    map[string]*errand // by machine
	waves    map[int64]*wave
	// unrecorded is maintenance that is done and not stored as done.
	unrecorded []*errand
	loop       *part.Part
	lost       chan struct{}
	lostOnce   sync.Once
}

type report struct {
	pool balance.Pool
	at   time.Time
}

// errand is something that is to be done with a machine.
type errand struct {
	machine   string
	vm        string // its life when the errand began
	pool      string // where it goes, for a move
	wave      int64  // for maintenance
	began     time.Time
	orderedAt time.Time // of the last order
	isOrdered bool      // an order may have been carried out
	isDone    bool      // the order was carried out; the machine is not back yet
	isBusy    bool      // an order is in flight
	// isRestored tells that an earlier steward may have ordered it.
	isRestored bool
	milli      int64
}

// Open claims the fleet and restores the maintenance that has begun.
func Open(ctx context.Context, now time.Time, cfg Config) (*Steward, error) {
	clm, err := claim.Take(ctx, cfg.Archive, Name, cfg.Address)
	if err != nil {
		return nil, err
	}
	stw := &Steward{
		cfg: cfg, clm: clm, since: now, reports: map[string]report{}, arrivals: arrivals.New(), machines: map[string]directory.Machine{},
		tasks: map[string]*errand{}, waves: map[int64]*wave{}, lost: make(chan struct{}),
		recent: map[string]time.Time{}, heldBack: map[string]time.Time{},
	}
	if err := stw.append(ctx, nil); err != nil {
		return nil, err
	}
	stw.since = time.Now() // from here on the steward before can prove nothing
	if err := stw.restore(ctx, now); err != nil {
		return nil, err
	}
	cfg.Journal.Event(now, "stewardStarted", slog.Int64("fence", clm.Fence()), slog.Int("term", clm.Term()))
	stw.loop = part.Every("steward", round, stw.step)
	return stw, nil
}

// Lost returns a channel that is closed when another entry has taken over.
func (stw *Steward) Lost() <-chan struct{} { return stw.lost }

// Close ends the term.
func (stw *Steward) Close() {
	stw.loop.Stop()
	stw.cfg.Journal.Event(time.Now(), "stewardStopped", slog.Int64("fence", stw.clm.Fence()))
}

// append stores records on the condition that the term lasts. Without records it
// only proves that.
func (stw *Steward) append(ctx context.Context, recs []archive.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	app := archive.Append{
		Topic: topic, Partition: stw.cfg.Partition, Records: recs, At: archive.Anywhere,
		Producer: Name, Epoch: stw.clm.Fence(), Seq: stw.seq,
	}
	_, err := stw.cfg.Archive.Append(ctx, app)
	if errors.Is(err, archive.ErrFenced) {
		stw.lostOnce.Do(func() { close(stw.lost) })
	}
	return err
}

// Report takes in how a pool stands. It returns the VMs that the pool should
// empty, and those whose life has ended.
func (stw *Steward) Report(now time.Time, pol balance.Pool) (leaving, ended []string) {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	stw.reports[pol.Name] = report{pool: pol, at: now}
	stw.arrivals.Observe(now, pol.Name, pol.Arrived)
	asked := make(map[string]bool, len(stw.tasks))
	for _, ern := range stw.tasks {
		asked[ern.vm] = true
	}
	for _, vm := range pol.VMs {
		if asked[vm.ID] {
			leaving = append(leaving, vm.ID)
		}
		if vm.IsSilent && stw.isEnded(vm.ID) {
			ended = append(ended, vm.ID)
			stw.cfg.Journal.Event(now, "vmEnded", slog.String("vm", vm.ID), slog.String("pool", pol.Name), slog.Int("tasks", vm.Tasks))
		}
	}
	return leaving, ended
}

// isEnded reports whether the list of machines shows that the life is over: the
// machine is off, or has another life. One list may be older than the VM.
func (stw *Steward) isEnded(vm string) bool {
	return stw.missing[vm] >= listsToEnd
}

// countMissing notes which reported VMs the list does not show as lives.
func (stw *Steward) countMissing() {
	alive := make(map[string]bool, len(stw.machines))
	for _, mac := range stw.machines {
		if !mac.IsOff {
			alive[mac.VM] = true
		}
	}
	missing := map[string]int{}
	for _, rpt := range stw.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsSilent && !alive[vm.ID] {
				missing[vm.ID] = stw.missing[vm.ID] + 1
			}
		}
	}
	stw.missing = missing
}

// listsToEnd is how many lists in a row must show that a life is over.
const listsToEnd = 2

// Request takes in a maintenance wave that the operator asks for.
func (stw *Steward) Request(now time.Time, wav upkeep.Wave) {
	stw.mu.Lock()
	defer stw.mu.Unlock()
	if stw.waves[wav.Number] != nil && stw.waves[wav.Number].isAsked {
		return
	}
	stw.ask(now, wav)
}

// step is one round of decisions.
func (stw *Steward) step(now time.Time) {
	stw.list(now)
	stw.mu.Lock()
	stw.expire(now)
	stw.planWaves(now)
	stw.planMoves(now)
	ready := stw.ready(now)
	stw.mu.Unlock()
	if len(ready) > 0 {
		stw.order(now, ready)
	}
	stw.forgetRecent(now)
	stw.reportWaves(now)
}

// list reads the machines while something is going on.
func (stw *Steward) list(now time.Time) {
	stw.mu.Lock()
	isDue := now.Sub(stw.listedAt) >= listEach && (len(stw.tasks) > 0 || len(stw.machines) == 0 || stw.isMissing()) ||
		now.Sub(stw.listedAt) >= listIdle
	stw.mu.Unlock()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	all, err := stw.cfg.Directory.Machines(ctx)
	if err != nil {
		stw.cfg.Journal.Warn(now, "machinesUnlisted", slog.String("error", err.Error()))
		return
	}
	stw.mu.Lock()
	defer stw.mu.Unlock()
	stw.listedAt = now
	clear(stw.machines)
	for _, mac := range all {
		stw.machines[mac.Name] = mac
	}
	stw.countMissing()
	stw.complete(now)
}

// listIdle is how often the machines are listed while nothing is going on.
const listIdle = 3 * time.Second

// isMissing reports whether a pool has a VM that the list does not show, or one
// that does not answer.
func (stw *Steward) isMissing() bool {
	known := make(map[string]bool, len(stw.machines))
	for _, mac := range stw.machines {
		known[mac.VM] = true
	}
	for _, rpt := range stw.reports {
		for _, vm := range rpt.pool.VMs {
			if vm.IsUsable && !known[vm.ID] || vm.IsSilent {
				return true
			}
		}
	}
	return false
}

// complete ends the errands of machines that are back in another life.
func (stw *Steward) complete(now time.Time) {
	for name, ern := range stw.tasks {
		mac, ok := stw.machines[name]
		isBack := ok && mac.IsUp && mac.VM != ern.vm && mac.VM != ""
		switch {
		case !ok || isBack && (ern.isDone || ern.wave == 0 && ern.isOrdered):
			stw.finish(now, ern, ok)
		case isBack:
			ern.vm = mac.VM // it has started anew by itself
		}
	}
}

func (stw *Steward) finish(now time.Time, ern *errand, isListed bool) {
	delete(stw.tasks, ern.machine)
	stw.cfg.Journal.Event(now, "machineBack", slog.String("machine", ern.machine), slog.Int64("wave", ern.wave),
		slog.String("pool", ern.pool), slog.Bool("listed", isListed), slog.Duration("after", now.Sub(ern.began)))
}

// expire gives up what takes too long: a VM that cannot be emptied, or a machine
// that does not come back from a move.
func (stw *Steward) expire(now time.Time) {
	load := stw.load()
	for name, ern := range stw.tasks {
		age, limit := now.Sub(ern.began), drainWithin
		if load[ern.vm].Lasting > 0 {
			limit = moveOutWithin
		}
		switch {
		case ern.isBusy || ern.isRestored:
			continue
		case ern.wave == 0 && (age > moveWithin || !ern.isOrdered && age > emptyWithin):
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

// ready returns the errands whose VM is empty.
func (stw *Steward) ready(now time.Time) []*errand {
	empty := map[string]bool{}
	for _, rpt := range stw.reports {
		if now.Sub(rpt.at) > reportAge {
			continue
		}
		for _, vm := range rpt.pool.VMs {
			empty[vm.ID] = vm.IsLeaving && vm.Tasks == 0
		}
	}
	var ready []*errand
	for _, ern := range stw.tasks {
		if len(ready) == stw.perRound() {
			break
		}
		mac, ok := stw.machines[ern.machine]
		isEmpty := empty[ern.vm] || ern.isOrdered || ern.isRestored && !mac.IsUp || stw.isStandby(mac.Pool)
		if !ok || stw.isHeldBack(now, ern.machine) || !isEmpty || ern.isDone || ern.isBusy || now.Sub(ern.orderedAt) < orderRetry {
			continue
		}
		ern.isBusy = true
		ready = append(ready, ern)
	}
	return ready
}

// perRound returns how many orders may go out in a round.
func (stw *Steward) perRound() int { return max(1, int(orderShare*stw.cfg.OrderRate*round.Seconds())) }

func (stw *Steward) isStandby(pool string) bool {
	tab := stw.cfg.Table()
	if tab == nil {
		return false
	}
	for _, svc := range tab.Services() {
		if svc.Name == pool {
			return svc.IsStandby
		}
	}
	return false
}
