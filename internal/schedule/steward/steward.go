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
	roundInterval = 200 * time.Millisecond
	// reportAge is how old a pool's report may be.
	maxReportAge = 1500 * time.Millisecond
	// listEach is how often the machines are listed while something is going on.
	// The list takes few calls a second from all entries together.
	listInterval = 400 * time.Millisecond
	// callTimeout bounds a call to the directory or the log.
	callTimeout = time.Second
	// confirmEach is the pause between looks at the claims. A steward to which nobody
	// reports any more has nothing to store, and learns in no other way that it was
	// replaced.
	claimCheckInterval = time.Second
	// orderWithin is the longest time between the proof that this is still the
	// term and the order that rests on it.
	maxProofAge = time.Second
	// orderRetry is the pause before an order without an answer is repeated, which
	// does no harm as a done order is answered alike.
	orderRetryDelay = 500 * time.Millisecond
	// emptyWithin is how long a VM may take to be emptied for a move; what runs
	// there then is worth more than the move.
	moveEvacuationTimeout = 3 * time.Second
	// moveWithin is how long a move may take in all; the platform's takes 1.5 s.
	moveTimeout = 8 * time.Second
	// drainWithin is how long a VM may take to be emptied for maintenance before
	// another one takes its place, if any is left, and stayPause how long until it is
	// tried again.
	evacuationTimeout    = 7 * time.Second
	evacuationRetryDelay = 3 * time.Second
	// moveOutWithin is the same for a VM with lasting tasks, which leave one after the
	// other, each when those of its step that are away have been restarted.
	longEvacuationTimeout = 15 * time.Second
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
	cfg           Config
	clm           claim.Claim
	poolsLoggedAt time.Time
	takeoverAt    time.Time
	seq           int64
	// unsettled are records of an append without an answer.
	unconfirmed []archive.Record
	// recent are the machines ordered lately, with the time of the last order, and
	// heldBack those that the steward before has ordered lately, with the time until
	// which they are left alone.
	recentOrders  map[string]time.Time
	blockedUntil  map[string]time.Time
	mu            sync.Mutex
	reports       map[string]report
	arrivals      *arrivals.Arrivals
	missingCounts map[string]int               // silent VMs that the latest lists do not show
	machines      map[string]directory.Machine // by name
	listedAt      time.Time
	operations    map[string]*operation // by machine
	waves         map[int64]*wave
	// unrecorded is maintenance that is done and not stored as done.
	unrecorded []*operation
	loop       *part.Part
	claimCheck *part.Part
	lost       chan struct{}
	lostOnce   sync.Once
}

type report struct {
	pool balance.Pool
	at   time.Time
}

// Open claims the fleet and restores the maintenance that has begun.
func Open(ctx context.Context, now time.Time, cfg Config) (*Steward, error) {
	clm, err := claim.Take(ctx, cfg.Archive, Name, cfg.Address)
	if err != nil {
		return nil, err
	}
	ctl := &Steward{
		cfg: cfg, clm: clm, takeoverAt: now, reports: map[string]report{}, arrivals: arrivals.New(), machines: map[string]directory.Machine{},
		operations: map[string]*operation{}, waves: map[int64]*wave{}, lost: make(chan struct{}),
		recentOrders: map[string]time.Time{}, blockedUntil: map[string]time.Time{},
	}
	if err := ctl.appendRecords(ctx, nil); err != nil {
		return nil, err
	}
	ctl.takeoverAt = time.Now() // from here on the steward before can prove nothing
	if err := ctl.restore(ctx, now); err != nil {
		return nil, err
	}
	cfg.Journal.Event(now, "stewardStarted", slog.Int64("fence", clm.Fence()), slog.Int("term", clm.Term()))
	ctl.loop = part.Every("steward", roundInterval, ctl.step)
	ctl.claimCheck = part.Every("stewardClaim", claimCheckInterval, ctl.checkClaim)
	return ctl, nil
}

// Lost returns a channel that is closed when another entry has taken over.
func (ctl *Steward) Lost() <-chan struct{} { return ctl.lost }

// Close ends the term.
func (ctl *Steward) Close() {
	part.StopAll(ctl.loop, ctl.claimCheck)
	ctl.cfg.Journal.Event(time.Now(), "stewardStopped", slog.Int64("fence", ctl.clm.Fence()))
}

// append stores records on the condition that the term lasts. Without records it
// only proves that.
func (ctl *Steward) appendRecords(ctx context.Context, recs []archive.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	app := archive.Append{
		Topic: topic, Partition: ctl.cfg.Partition, Records: recs, At: archive.Anywhere,
		Producer: Name, Epoch: ctl.clm.Fence(), Seq: ctl.seq,
	}
	_, err := ctl.cfg.Archive.Append(ctx, app)
	if errors.Is(err, archive.ErrFenced) {
		ctl.setLost(time.Now(), "a later steward has fenced this one")
	}
	return err
}

// confirm looks whether another entry has claimed the fleet.
func (ctl *Steward) checkClaim(now time.Time) {
	holds, err := claim.Holds(context.Background(), ctl.cfg.Archive, Name, ctl.clm.Fence())
	if err == nil && !holds {
		ctl.setLost(now, "a later steward has claimed the fleet")
	}
	// Without the store the membership is not confirmed either, which is logged.
}

func (ctl *Steward) setLost(now time.Time, reason string) {
	ctl.lostOnce.Do(func() {
		ctl.cfg.Journal.Event(now, "stewardLost", slog.Int64("fence", ctl.clm.Fence()), slog.String("reason", reason))
		close(ctl.lost)
	})
}

// Report takes in how a pool stands. It returns the VMs that the pool should
// empty, and those whose life has ended.
func (ctl *Steward) Report(now time.Time, pol balance.Pool) (leaving, ended []string) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.reports[pol.Name] = report{pool: pol, at: now}
	ctl.arrivals.Observe(now, pol.Name, pol.Arrived)
	asked := make(map[string]bool, len(ctl.operations))
	for _, opr := range ctl.operations {
		asked[opr.vm] = true
	}
	for _, vm := range pol.VMs {
		if asked[vm.ID] {
			leaving = append(leaving, vm.ID)
		}
		if vm.IsSilent && ctl.isEnded(vm.ID) {
			ended = append(ended, vm.ID)
			ctl.cfg.Journal.Event(now, "vmEnded", slog.String("vm", vm.ID), slog.String("pool", pol.Name), slog.Int("tasks", vm.Tasks))
		}
	}
	return leaving, ended
}

// Request takes in a maintenance wave that the operator asks for.
func (ctl *Steward) Request(now time.Time, wav upkeep.Wave) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.waves[wav.Number] != nil && ctl.waves[wav.Number].isRequested {
		return
	}
	ctl.addWave(now, wav)
}

// step is one round of decisions.
func (ctl *Steward) step(now time.Time) {
	ctl.refreshMachines(now)
	ctl.mu.Lock()
	ctl.expireOperations(now)
	ctl.planWaves(now)
	ctl.planMoves(now)
	ready := ctl.readyOperations(now)
	ctl.mu.Unlock()
	if len(ready) > 0 {
		ctl.sendOrders(now, ready)
	}
	ctl.clearRecentOrders(now)
	ctl.reportWaves(now)
}

func (ctl *Steward) isStandby(pool string) bool {
	tab := ctl.cfg.Table()
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
