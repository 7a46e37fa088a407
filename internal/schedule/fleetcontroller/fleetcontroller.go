// Package fleetcontroller implements the fleet controller. For one term, at one entry, it
// moves VMs between pools and carries out maintenance waves. Nothing else sends orders for
// machines. The pools' owners evacuate the VMs that it names and report when these are
// free of tasks.
package fleetcontroller

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
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/kernel/boottime"
	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/poolscheduler"
	"daisywheel/internal/schedule/statelog"
)

// RecordsName selects the partition of the controller's records. It is also the producer of its appends, the only one in
// that topic.
const RecordsName = "fleet"

// Intervals and limits of the fleet controller.
const (
	// roundInterval is the time between rounds of decisions: a tenth of the time for
	// which a burst of demand stays with one queue at the users' sites.
	roundInterval = 200 * time.Millisecond
	// minRoundPause is the shortest pause between rounds that a report makes due early.
	minRoundPause = 20 * time.Millisecond
	// maxReportAge is the age above which a pool's report is not used to plan moves or to
	// decide that a VM is evacuated. An owner keeps a VM closed for 4 s after it has sent a report
	// that is answered, and the order may take callTimeout.
	maxReportAge = 1500 * time.Millisecond
	// maxUnreportedTime is how long an owner may use VMs without a report: an owner that is cut off from the
	// log stops after 12 s.
	maxUnreportedTime = poolscheduler.OwnerGracePeriod
	// maxVMListAge is the age above which a machine list does not show which VM a machine has: a list may
	// take callTimeout, and the next one follows listInterval later.
	maxVMListAge = callTimeout + listInterval
	// maxDownListAge is the age above which a machine list does not show that a machine is down. A VM
	// gets its first task some 0.3 s after its machine is up.
	maxDownListAge = 2 * listInterval
	// listInterval is the time between machine lists while operations are in progress,
	// VMs are missing or a wave waits for machines that are not listed. The platform accepts
	// only few list calls a second from all entries together.
	listInterval = 400 * time.Millisecond
	// callTimeout bounds a call to the directory or the log.
	callTimeout = time.Second
	// claimCheckInterval is the time between checks of the fleet's claim. A controller
	// that receives no reports has nothing to store, so it has no other way to detect
	// that it was replaced.
	claimCheckInterval = time.Second
	// maxProofAge is the longest time between the proof that this controller's term
	// still lasts and an order, or a report on a wave, that relies on it.
	maxProofAge = time.Second
	// orderRetryDelay is the delay before an order without a reply is repeated. A
	// repetition is harmless: the platform reports an order that it has carried out as
	// done again.
	orderRetryDelay = 500 * time.Millisecond
	// moveEvacuationTimeout bounds the evacuation of a VM for a move. If tasks still
	// run there after it, the move is cancelled, as they are worth more than the move.
	moveEvacuationTimeout = 3 * time.Second
	// moveTimeout bounds a whole move; the platform's part of it takes 1.5 s.
	moveTimeout = 8 * time.Second
	// evacuationTimeout bounds the evacuation of a VM for maintenance. After it another
	// machine of the wave takes its place, if one is left, and the VM is tried again
	// after evacuationRetryDelay.
	evacuationTimeout    = 7 * time.Second
	evacuationRetryDelay = 3 * time.Second
	// longEvacuationTimeout is the same for a VM with long-running tasks. These leave one
	// by one, each when the unavailable tasks of its step have been restarted.
	longEvacuationTimeout = 15 * time.Second
)

// orderShare is the share of the platform's order rate that is used for new orders; the
// rest is left for repeated ones.
const orderShare = 0.9

// Config holds what a Controller needs.
type Config struct {
	Holder     string // name of this entry in orders
	Address    string
	Partition  int
	OrderLease time.Duration // minimum time between orders of two holders for one machine
	OrderRate  float64       // machine orders that the platform accepts in a second
	StateLog   statelog.Client
	Directory  directory.Client
	Journal    *journal.Journal
	Table      func() *queue.Table
	// SinceBoot is a clock that also counts the time for which the machine was suspended; nil
	// stands for boottime.Now.
	SinceBoot func() time.Duration
}

// Controller is the fleet controller for one term. It is safe for concurrent use.
type Controller struct {
	cfg           Config
	clm           claim.Claim
	poolsLoggedAt time.Time
	takeoverAt    time.Time
	seq           int64
	reportSeq     int64 // of the last report on a wave
	// unansweredReport is the last report on a wave if its outcome is unknown.
	unansweredReport *directory.WaveReport
	// unconfirmed are the records of an append whose outcome is unknown.
	unconfirmed []statelog.Record
	// recentOrders has the time of the last order for each recently ordered machine.
	// blockedUntil has the time until which machines that the previous controller ordered
	// recently are not ordered again. allBlockedUntil is the same if it is not known which.
	recentOrders    map[string]time.Time
	blockedUntil    map[string]time.Time
	allBlockedUntil time.Time
	mu              sync.Mutex
	reports         map[string]report
	arrivals        *arrivals.Arrivals
	machines        map[string]directory.Machine // by name
	listedAt        time.Time                    // when the last list was requested
	listedSinceBoot time.Duration                // the same
	operations      map[string]*operation        // by machine
	waves           map[int64]*wave
	// unrecorded is maintenance that is done but not yet stored as done.
	unrecorded     []*operation
	roundRequested chan struct{}
	quotas         quotas
	quotaCheck     *loop.Loop
	orderLimit     orderLimit
	loop           *loop.Loop
	claimCheck     *loop.Loop
	lost           chan struct{}
	crashed        chan struct{}
	lostOnce       sync.Once
	crashOnce      sync.Once
}

type report struct {
	pool balance.Pool
	at   time.Time
	// sinceBoot is when the report arrived.
	sinceBoot time.Duration
	missing   map[string]missingVM // by id: the unresponsive VMs
}

// Open claims the fleet, restores the maintenance that has started and runs the
// controller until Close.
func Open(ctx context.Context, now time.Time, cfg Config) (*Controller, error) {
	if cfg.SinceBoot == nil {
		cfg.SinceBoot = boottime.Now
	}
	clm, err := claim.Acquire(ctx, cfg.StateLog, claim.Fleet(), cfg.Address)
	if err != nil {
		return nil, err
	}
	claimedAt := cfg.SinceBoot()
	ctl := &Controller{
		cfg: cfg, clm: clm, takeoverAt: now, reports: map[string]report{}, arrivals: arrivals.New(), machines: map[string]directory.Machine{},
		operations: map[string]*operation{}, waves: map[int64]*wave{}, lost: make(chan struct{}), crashed: make(chan struct{}),
		recentOrders: map[string]time.Time{}, blockedUntil: map[string]time.Time{},
		roundRequested: make(chan struct{}, 1), quotas: quotas{ledger: quota.NewLedger(), openedAt: claimedAt},
	}
	if err := ctl.appendRecords(ctx, nil); err != nil {
		return nil, err
	}
	ctl.takeoverAt = time.Now() // from here on the appends of the previous controller fail, so it cannot prove its term
	if err := ctl.restore(ctx, now); err != nil {
		return nil, err
	}
	cfg.Journal.Event(now, "stewardStarted", slog.Int64("fence", clm.FencingToken()), slog.Int("term", clm.Term()))
	ctl.loop = loop.EveryOrWoken("steward", roundInterval, minRoundPause, ctl.roundRequested, ctl.guarded(ctl.step))
	ctl.claimCheck = loop.Every("stewardClaim", claimCheckInterval, ctl.guarded(ctl.checkClaim))
	ctl.quotaCheck = loop.Every("stewardQuotas", quotaCheckInterval, ctl.guarded(ctl.checkQuotas))
	return ctl, nil
}

// Lost returns a channel that is closed when another entry has claimed the fleet.
func (ctl *Controller) Lost() <-chan struct{} { return ctl.lost }

// Close stops the controller and ends its term.
func (ctl *Controller) Close() {
	loop.StopAll(ctl.loop, ctl.claimCheck, ctl.quotaCheck)
	ctl.cfg.Journal.Event(time.Now(), "stewardStopped", slog.Int64("fence", ctl.clm.FencingToken()))
}

// appendRecords stores records on the condition that the term lasts. An append without
// records only checks that.
func (ctl *Controller) appendRecords(ctx context.Context, recs []statelog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	app := statelog.AppendRequest{
		Topic: topic, Partition: ctl.cfg.Partition, Records: recs, ExpectedEnd: statelog.AnyOffset,
		Producer: RecordsName, Epoch: ctl.clm.FencingToken(), Seq: ctl.seq,
	}
	_, err := ctl.cfg.StateLog.Append(ctx, app)
	if errors.Is(err, statelog.ErrFenced) {
		ctl.setLost(time.Now(), "fenced by a later fleet controller")
	}
	return err
}

// checkClaim checks whether another entry has claimed the fleet.
func (ctl *Controller) checkClaim(now time.Time) { ctl.provesTerm(now) }

// provesTerm reports whether the log shows that no other entry has claimed the fleet.
func (ctl *Controller) provesTerm(now time.Time) bool {
	isNewest, err := claim.IsNewest(context.Background(), ctl.cfg.StateLog, claim.Fleet(), ctl.clm.FencingToken())
	if err == nil && !isNewest {
		ctl.setLost(now, "fleet claimed by a later fleet controller")
	}
	// An unavailable log is not reported here: the membership logs it.
	return err == nil && isNewest
}

func (ctl *Controller) setLost(now time.Time, reason string) {
	ctl.lostOnce.Do(func() {
		ctl.cfg.Journal.Event(now, "stewardLost", slog.Int64("fence", ctl.clm.FencingToken()), slog.String("reason", reason))
		close(ctl.lost)
	})
}

// HandleReport handles a report on the state of a pool. It returns the VMs that the pool should
// evacuate, and those, as reported, whose incarnation has ended. It ignores the report of an owner that
// has been replaced by another one that reports.
func (ctl *Controller) HandleReport(now time.Time, pol balance.Pool) (evacuating []string, ended []balance.VM) {
	ctl.mu.Lock()
	defer ctl.unlock()
	last := ctl.reports[pol.Name]
	if latest := last.pool.FencingToken; pol.FencingToken > 0 && pol.FencingToken < latest {
		ctl.cfg.Journal.Event(now, "reportIgnored", slog.String("pool", pol.Name), slog.Int64("fence", pol.FencingToken), slog.Int64("latestFence", latest))
		return nil, nil
	}
	if ctl.isUrgent(pol) {
		ctl.requestRound()
	}
	rpt := report{pool: pol, at: now, sinceBoot: ctl.cfg.SinceBoot(), missing: last.nextMissing(now, pol)}
	ctl.reports[pol.Name] = rpt
	ctl.arrivals.Observe(now, pol.Name, pol.Arrived)
	inOperation := make(map[string]*operation, len(ctl.operations))
	for _, opr := range ctl.operations {
		inOperation[opr.vm] = opr
	}
	for _, vm := range pol.VMs {
		if opr := inOperation[vm.ID]; opr != nil {
			evacuating = append(evacuating, vm.ID)
			if opr.askedAt.IsZero() {
				opr.askedAt, opr.askedSinceBoot = now, rpt.sinceBoot
			}
		}
		if mvm := rpt.missing[vm.ID]; mvm.isEnded() {
			ended = append(ended, vm)
			ctl.cfg.Journal.Event(now, "vmEnded", slog.String("vm", vm.ID), slog.String("pool", pol.Name), slog.Int("tasks", vm.Tasks),
				slog.Int64("revision", vm.Revision), slog.Duration("missing", now.Sub(mvm.since)), slog.Duration("listed", now.Sub(ctl.listedAt)))
		}
	}
	return evacuating, ended
}

// Stamp returns the fencing token of the controller's term and the time on its clock. An owner that has
// applied the answer to a report names the stamp that was taken after it in its next report.
func (ctl *Controller) Stamp() (term int64, at time.Duration) {
	return ctl.clm.FencingToken(), ctl.cfg.SinceBoot()
}

// isUrgent reports whether the report calls for a round at once: the pool needs at least
// a VM more than in its last report, or a VM that is to be ordered away is evacuated.
func (ctl *Controller) isUrgent(pol balance.Pool) bool {
	if len(pol.VMs) > 0 && pol.Demand-ctl.reports[pol.Name].pool.Demand >= pol.VMs[0].MilliCores {
		return true
	}
	awaited := map[string]bool{}
	for _, opr := range ctl.operations {
		if !opr.isOrdered && !opr.isInFlight {
			awaited[opr.vm] = true
		}
	}
	for _, vm := range pol.VMs {
		if awaited[vm.ID] && vm.IsEvacuating && vm.Tasks == 0 {
			return true
		}
	}
	return false
}

// requestRound makes the next round of decisions due at once.
func (ctl *Controller) requestRound() {
	select {
	case ctl.roundRequested <- struct{}{}:
	default:
	}
}

// RequestWave adds a maintenance wave that the operator requests. A repeated request is
// ignored; one that differs replaces the earlier one.
func (ctl *Controller) RequestWave(now time.Time, wav maintenance.Wave) {
	ctl.mu.Lock()
	defer ctl.unlock()
	if old := ctl.waves[wav.Number]; old != nil && old.isRequested && old.request.Equal(wav) {
		return
	}
	ctl.addWave(now, wav)
}

// step runs one round of decisions.
func (ctl *Controller) step(now time.Time) {
	ctl.refreshMachines(now)
	var ready []*operation
	ctl.locked(func() {
		sinceBoot := ctl.cfg.SinceBoot() // the list may have taken long
		ctl.expireOperations(now, sinceBoot)
		ctl.planWaves(now)
		ctl.planMoves(now)
		ready = ctl.readyOperations(now, sinceBoot)
	})
	if len(ready) > 0 {
		ctl.sendOrders(now, ready)
	}
	ctl.clearRecentOrders(now)
	ctl.reportWaves(now)
}

func (ctl *Controller) isStandby(pool string) bool {
	tab := ctl.cfg.Table()
	if tab == nil {
		return false
	}
	for _, pol := range tab.Pools() {
		if pol.Name == pool {
			return pol.IsStandby
		}
	}
	return false
}
