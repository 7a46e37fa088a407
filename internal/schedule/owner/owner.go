// Package owner runs the scheduler of a pool for one term: it claims the pool,
// restores the stored state, sends the scheduler's orders to the VMs and stores what
// they report.
package owner

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/event/metric"
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/kernel/boottime"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/poolscheduler"
	"daisywheel/internal/schedule/recordkey"
	"daisywheel/internal/schedule/refusal"
	"daisywheel/internal/schedule/runtimestore"
	"daisywheel/internal/schedule/statelog"
)

// Timeouts and intervals of an owner.
const (
	// logTimeout bounds one call to the state log: 200 times the usual 4 ms.
	logTimeout = 900 * time.Millisecond
	// logRetryDelay is the delay after a failed call to the state log.
	logRetryDelay = 100 * time.Millisecond
	// orderTimeout bounds one order to a VM: 250 times the usual 2 ms. A lost order
	// keeps its task from starting elsewhere for as long.
	orderTimeout = 500 * time.Millisecond
	// tickInterval is how often time-driven changes are handled: well below the
	// 250 ms by which a scheduled task may start early or late.
	tickInterval = 100 * time.Millisecond
	// stallLimit is how long an append may stall before new submissions are refused
	// at once: longer than a usual append, shorter than callers wait.
	stallLimit = 400 * time.Millisecond
)

// Config holds what an Owner needs.
type Config struct {
	Pool            string
	Partition       int // partition of the jobs topic
	Address         string
	MaxLease        time.Duration // of the leases that the owner asks for
	LongestLease    time.Duration // that VMs grant
	StatusRetention time.Duration
	MaxRecord       int // longest record that the state log accepts, in bytes
	// MaxOpenTasks is the number of tasks of open jobs for whose state the memory of an entry suffices, over all pools; 0 for no
	// limit.
	MaxOpenTasks int
	StateLog     statelog.Client
	PoolIndex    *poolindex.Index
	Agent        agent.Client
	Journal      *journal.Journal
	Metrics      *metrics.Set
	Table        *queue.Table
	// HandOver passes a job to the owner of another pool, and returns once it is stored there. If it
	// is nil, jobs stay in the pool.
	HandOver func(ctx context.Context, hnd jobrecord.Handover) error
	// CloseRoute returns once no owner of the other pool accepts jobs of the queue by a route from before the version
	// of the configuration. IsInPool reports whether another pool, whose route is closed, has the job stored.
	// UnregisteredPools returns pools that may have had the queue at the address without registering that. If they
	// are nil, other pools are left out of account.
	CloseRoute        func(ctx context.Context, pool string, que queue.Ref, version int64) error
	IsInPool          func(ctx context.Context, pool string, que queue.Ref, id string) (bool, error)
	UnregisteredPools func(ctx context.Context, address string) []string
	// ReadVersion returns once the owner has got the version of the configuration, or a later one. If it is nil, the
	// configuration does not change.
	ReadVersion func(ctx context.Context, version int64) error
	// Runtimes stores the run times that the owner learns; if it is nil, they are not stored.
	Runtimes *runtimestore.Store
	// RequestReport asks for a report on the pool before its regular time.
	RequestReport func()
	// RequestQuotaReport asks for a quota report before its regular time; nil where no organisation has a limit.
	RequestQuotaReport func()
	// SinceBoot is a clock that also counts the time for which the machine was suspended; nil
	// stands for boottime.Now.
	SinceBoot func() time.Duration
	// Now is the time of day of the entry; nil stands for time.Now.
	Now func() time.Time
}

// Owner is the owner of a pool for one term. It is safe for concurrent use.
type Owner struct {
	cfg          Config
	fencingToken int64
	mu           sync.Mutex
	sch          *poolscheduler.Scheduler
	table        *queue.Table
	polled       map[string]bool // VMs that have a poll loop
	pending      map[string]*submission
	queued       []*submission        // not yet in a batch
	handovers    map[string]*handover // by job
	hasVMList    bool                 // the list of the pool's VMs has been read in this term
	refusals     *refusal.Refusals
	routes       map[string]*route // by address of the queue
	// reportedOrganisations are those of the last quota report.
	reportedOrganisations map[string]bool
	waiters               []chan struct{} // each is closed when the next batch is stored
	// appendTime and orderTime are histograms of call durations in seconds.
	appendTime   *metrics.Histogram
	orderTime    *metrics.Histogram
	stalledSince time.Time // when the first failed attempt of the current append was sent; zero if none failed
	// isRetrying is set after a failed append while records are left for another. Without
	// any, only a new submission can show that the log is back.
	isRetrying          bool
	areQueuesRecorded   bool // the queues that the pool had jobs of when the term began
	planRequested       chan struct{}
	flushRequested      chan struct{}
	routesRequested     chan struct{}
	claimCheckRequested chan struct{}
	confirmed           confirmation
	quit                chan struct{}
	lost                chan struct{}
	crashed             chan struct{}
	closeOnce           sync.Once
	lostOnce            sync.Once
	crashOnce           sync.Once
	loops               sync.WaitGroup
	done                chan struct{}
}

// submission is a job waiting to be stored.
type submission struct {
	job      jobrecord.Job
	progress *jobrecord.Progress // of a job that another pool hands over; else nil
	err      error
	resolved chan struct{} // closed when the outcome is known
}

// Open claims the pool and restores its jobs. It fails if the state log is
// unreachable or another owner claims the pool meanwhile.
func Open(ctx context.Context, now time.Time, cfg Config) (*Owner, error) {
	if cfg.SinceBoot == nil {
		cfg.SinceBoot = boottime.Now
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	cnf := newConfirmation(now, cfg.SinceBoot())
	clm, err := claim.Acquire(ctx, cfg.StateLog, claim.Pool(cfg.Pool), cfg.Address)
	if err != nil {
		return nil, err
	}
	own := &Owner{
		cfg: cfg, fencingToken: clm.FencingToken(), table: cfg.Table, polled: map[string]bool{}, pending: map[string]*submission{}, handovers: map[string]*handover{}, refusals: refusal.New(), routes: map[string]*route{},
		planRequested: make(chan struct{}, 1), routesRequested: make(chan struct{}, 1), flushRequested: make(chan struct{}, 1), claimCheckRequested: make(chan struct{}, 1), confirmed: cnf,
		quit: make(chan struct{}), lost: make(chan struct{}), crashed: make(chan struct{}), done: make(chan struct{}),
	}
	own.appendTime = cfg.Metrics.GetOrCreateHistogram(metric.Name("daisywheel_append_seconds").With("pool", cfg.Pool).String())
	own.orderTime = cfg.Metrics.GetOrCreateHistogram(metric.Name("daisywheel_order_seconds").With("pool", cfg.Pool).String())
	own.sch = poolscheduler.New(poolscheduler.Config{
		Name: cfg.Pool, FencingToken: clm.FencingToken(), RunNumberBase: clm.RunNumberBase(), MaxLease: cfg.MaxLease, LongestLease: cfg.LongestLease, StatusRetention: cfg.StatusRetention,
		IsFirstTerm: clm.Term() == 1, Event: own.event,
	})
	own.sch.SetTable(cfg.Table)
	if err := own.restore(ctx, now); err != nil {
		return nil, err
	}
	if len(own.sch.QueueAddresses()) > 0 {
		own.requestFlush() // their addresses are to be recorded
	}
	own.locked(own.openRoutesOfJobs)
	own.event(now, "ownerStarted", slog.Int64("fence", clm.FencingToken()), slog.Int("term", clm.Term()))
	own.run(own.planLoop)
	own.run(own.appendLoop)
	own.run(own.routeLoop)
	own.run(own.tickLoop)
	own.run(own.claimLoop)
	if cfg.Runtimes != nil {
		own.run(own.runtimesLoop)
	}
	if cfg.HandOver != nil {
		own.run(own.handoverLoop)
	}
	go func() {
		own.loops.Wait()
		close(own.done)
	}()
	return own, nil
}

// event writes a log line and counts it, so that the metrics include lines that are
// dropped under load.
func (own *Owner) event(now time.Time, kind string, attrs ...slog.Attr) {
	own.cfg.Metrics.GetOrCreateCounter(metric.Name("daisywheel_events_total").With("pool", own.cfg.Pool).With("event", kind).String()).Inc()
	own.cfg.Journal.Event(now, kind, append(attrs, slog.String("pool", own.cfg.Pool))...)
}

// jobsTopic is the topic of the pools' records.
const jobsTopic = "jobs"

func jobKey(pool, id string) string {
	return recordkey.Key{Pool: pool, Kind: recordkey.Job, ID: id}.String()
}

// apartKey is the key of a submission that is set apart, see poolscheduler.JobUpdate.
func apartKey(pool, id string) string {
	return recordkey.Key{Pool: pool, Kind: recordkey.Apart, ID: id}.String()
}

func handoverKey(pool, id string) string {
	return recordkey.Key{Pool: pool, Kind: recordkey.Handover, ID: id}.String()
}

func vmKey(pool, id string) string {
	return recordkey.Key{Pool: pool, Kind: recordkey.VM, ID: id}.String()
}

func progressKey(pool, id string) string {
	return recordkey.Key{Pool: pool, Kind: recordkey.Progress, ID: id}.String()
}

// parseKey returns the key of a record if it is one of the pool. A record of a kind that this version does not know has the
// ID that the known kinds have.
func parseKey(text, pool string) (key recordkey.Key, isOwn bool) {
	if key, ok := recordkey.Parse(text); ok {
		return key, key.Pool == pool
	}
	rest, isOwn := strings.CutPrefix(text, pool+"/")
	kind, id, _ := strings.Cut(rest, "/")
	return recordkey.Key{Pool: pool, Kind: recordkey.Kind(kind), ID: id}, isOwn
}

// restore fences the appends of previous owners, then reads the pool's records and
// passes them to the pool scheduler.
func (own *Owner) restore(ctx context.Context, now time.Time) error {
	if err := own.fencePreviousOwners(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, 4*logTimeout)
	defer cancel()
	recs, _, err := own.cfg.StateLog.Newest(callCtx, jobsTopic, own.cfg.Partition)
	if err != nil {
		return errors.Wrap(err, "read jobs")
	}
	own.mu.Lock()
	defer own.unlock()
	jobs := map[string]*jobrecord.Job{}
	progress := map[string]jobrecord.Progress{}
	unreadable := 0
	for _, rec := range recs {
		key, isOwn := parseKey(rec.Key, own.cfg.Pool)
		if !isOwn || len(rec.Value) == 0 {
			continue
		}
		switch key.Kind {
		case recordkey.VM:
			err = own.restoreVM(now, key.ID, rec.Value)
		case recordkey.Handover:
			err = own.restoreHandover(key.ID, rec.Value)
		default:
			err = readRecord(key, rec.Value, jobs, progress)
		}
		if err != nil && key.Kind != recordkey.VM {
			own.sch.RestoreUnreadableJob(key.ID)
		}
		if err != nil {
			unreadable++
			own.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", err.Error()))
		}
	}
	for id, hnd := range own.handovers { // what else is stored of it was to be removed
		_, hasProgress := progress[id]
		hnd.isStored = jobs[id] == nil && !hasProgress
		delete(jobs, id)
		delete(progress, id)
	}
	for id, jb := range jobs {
		own.sch.RestoreJob(now, id, jb, progress[id])
		delete(progress, id)
	}
	for id, prg := range progress {
		if !prg.State.IsEnded() && !own.sch.IsUnreadable(id) {
			unreadable++
			own.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", progressKey(own.cfg.Pool, id)), slog.String("error", "no submission"))
		}
		own.sch.RestoreJob(now, id, nil, prg)
	}
	own.event(now, "jobsRestored", slog.Int("open", len(jobs)), slog.Int("ended", len(progress)), slog.Int("unreadable", unreadable))
	return nil
}

// restoreVM restores a VM. Of one whose record can't be read only the id is known, until it is
// listed.
func (own *Owner) restoreVM(now time.Time, id string, value []byte) error {
	hst, err := jobrecord.DecodeHost(id, own.cfg.Pool, value)
	if err != nil {
		hst = host.Host{ID: id, Pool: own.cfg.Pool}
	}
	own.sch.RestoreVM(now, hst)
	own.startPolling(id)
	return err
}

// startPolling starts the poll loop of a VM unless it is running. The caller holds
// the lock.
func (own *Owner) startPolling(id string) {
	if !own.polled[id] && !own.isEnding() {
		own.polled[id] = true
		own.run(func() { own.pollLoop(id) })
	}
}

func readRecord(key recordkey.Key, value []byte, jobs map[string]*jobrecord.Job, progress map[string]jobrecord.Progress) error {
	switch key.Kind {
	case recordkey.Job, recordkey.Apart:
		jb, err := jobrecord.DecodeJob(value)
		if err == nil {
			jobs[key.ID] = &jb
		}
		return err
	case recordkey.Progress:
		prg, err := jobrecord.DecodeProgress(value)
		if err == nil {
			progress[key.ID] = prg
		}
		return err
	}
	return errors.New("unknown record type")
}

// fencePreviousOwners makes the state log reject appends of previous owners.
func (own *Owner) fencePreviousOwners(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		err := Fence(ctx, own.cfg.StateLog, own.cfg.Pool, own.cfg.Partition, own.fencingToken)
		if err == nil || errors.Is(err, statelog.ErrFenced) || attempt == 3 {
			return err
		}
		if !sleep(ctx.Done(), logRetryDelay) {
			return err
		}
	}
}

// Fence makes the state log reject appends of the pool's owners whose fencing tokens are lower, by an empty append
// with the token as its epoch. It fails with ErrFenced if a higher one was used.
func Fence(ctx context.Context, log statelog.Client, pool string, partition int, token int64) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, err := log.Append(ctx, statelog.AppendRequest{
		Topic: jobsTopic, Partition: partition, ExpectedEnd: statelog.AnyOffset, Producer: pool, Epoch: token,
	})
	return errors.Wrap(err, "fence previous owners")
}

// sleep reports true after the wait, or false as soon as quit is closed.
func sleep(quit <-chan struct{}, wait time.Duration) bool {
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	select {
	case <-quit:
		return false
	case <-tmr.C:
		return true
	}
}

// Pool returns the name of the pool.
func (own *Owner) Pool() string { return own.cfg.Pool }

// FencingToken returns the fencing token of this term.
func (own *Owner) FencingToken() int64 { return own.fencingToken }

// OwnershipLost returns a channel that is closed when another owner has taken over.
func (own *Owner) OwnershipLost() <-chan struct{} { return own.lost }

// Done returns a channel that is closed when all background loops have ended.
func (own *Owner) Done() <-chan struct{} { return own.done }

// Close ends the term and waits for the background loops. Tasks on the VMs keep
// running.
func (own *Owner) Close() {
	own.closeOnce.Do(func() { close(own.quit) })
	<-own.done
	own.mu.Lock()
	defer own.unlock()
	for _, sub := range own.queued {
		own.resolve(sub, fault.New(code.NotReady, "the pool changes its owner"))
	}
	own.queued = nil
	own.event(own.cfg.Now(), "ownerStopped", slog.Int64("fence", own.fencingToken))
}

func (own *Owner) loseOwnership(now time.Time, reason string) {
	own.lostOnce.Do(func() {
		own.event(now, "ownerLost", slog.Int64("fence", own.fencingToken), slog.String("reason", reason))
		own.endTerm()
	})
}

func (own *Owner) endTerm() {
	close(own.lost)
	own.closeOnce.Do(func() { close(own.quit) })
}

// isEnding reports whether the term is over.
func (own *Owner) isEnding() bool {
	select {
	case <-own.quit:
		return true
	default:
		return false
	}
}

// SetTable applies a new configuration of queues.
func (own *Owner) SetTable(tab *queue.Table) {
	own.mu.Lock()
	defer own.unlock()
	own.table = tab
	own.sch.SetTable(tab)
	own.dropRoutes()
	own.requestPlan()
}

// ConfigVersion returns the version of the configuration in force, 0 without one.
func (own *Owner) ConfigVersion() int64 {
	own.mu.Lock()
	defer own.unlock()
	return own.configVersion()
}

// configVersion is ConfigVersion for callers with the lock.
func (own *Owner) configVersion() int64 {
	if own.table == nil {
		return 0
	}
	return own.table.Version()
}

// SetListedVMs updates the VMs that the platform lists for the pool.
func (own *Owner) SetListedVMs(now time.Time, hosts []host.Host) {
	own.mu.Lock()
	defer own.unlock()
	own.hasVMList = true
	own.sch.SetListedVMs(now, hosts)
	for _, hst := range hosts {
		own.startPolling(hst.ID)
	}
	if own.sch.HasChanges() {
		own.requestFlush()
	}
	own.requestPlan()
}

func (own *Owner) requestPlan() {
	select {
	case own.planRequested <- struct{}{}:
	default:
	}
}

// BalanceInput returns the pool's state for balancing the fleet. Its demand includes
// refused jobs whose callers are expected to retry soon.
func (own *Owner) BalanceInput(now time.Time) balance.Pool {
	own.mu.Lock()
	defer own.unlock()
	pol := own.sch.BalanceInput(now)
	pol.Demand += own.refusals.ReturningDemand(now)
	return pol
}

// SetEvacuating sets which VMs are to be evacuated.
func (own *Owner) SetEvacuating(now time.Time, vms map[string]bool) {
	own.mu.Lock()
	defer own.unlock()
	own.sch.SetEvacuating(now, vms)
	own.requestPlan()
}

// SetYielding sets the VMs that are to be evacuated for work of another pool that can end in time.
func (own *Owner) SetYielding(vms map[string]bool) {
	own.mu.Lock()
	defer own.unlock()
	own.sch.SetYielding(vms)
	own.requestPlan()
}

// SetMaintenanceDue sets which VMs a maintenance wave is going to reach.
func (own *Owner) SetMaintenanceDue(vms map[string]bool) {
	own.mu.Lock()
	defer own.unlock()
	own.sch.SetMaintenanceDue(vms)
}

// SetTerminated marks VMs whose incarnation has ended according to lists of machines that were
// asked for after a report with these revisions of the VMs.
func (own *Owner) SetTerminated(now time.Time, vms []balance.VM) {
	own.mu.Lock()
	defer own.unlock()
	for _, vm := range vms {
		own.sch.EndIncarnation(now, vm.ID, vm.Revision)
	}
	own.requestClaimCheckIfUnconfirmed()
	if len(vms) > 0 {
		own.requestPlan()
	}
}
