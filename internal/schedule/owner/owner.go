// Package owner runs a cell for one term: it claims the pool, restores what is
// stored, carries the cell's orders to the VMs and stores what they report.
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
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/cell"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/ledger"
	"daisywheel/internal/schedule/refusal"
)

// Times of an owner.
const (
	// storeTimeout bounds one call to the store: its usual 4 ms, 200 times over.
	storeTimeout = 900 * time.Millisecond
	// storeRetry is the pause after a call to the store that failed.
	storeRetryDelay = 100 * time.Millisecond
	// orderTimeout bounds one order to a VM: its usual 2 ms, 250 times over. Until
	// then an order that was lost keeps its task from starting elsewhere.
	orderTimeout = 500 * time.Millisecond
	// tick is how often the passage of time is taken in: a tenth of a second is
	// well below the 250 ms by which a due task may be early or late.
	tickInterval = 100 * time.Millisecond
	// stuckAfter is how long the store may take before new submissions are
	// refused at once: longer than a usual append, shorter than callers wait.
	stallLimit = 400 * time.Millisecond
)

// Config holds what an Owner needs.
type Config struct {
	Service    string
	Partition  int // of the topic of jobs
	Address    string
	LeaseMax   time.Duration
	StatusKept time.Duration
	Archive    archive.Client
	Agent      agent.Client
	Journal    *journal.Journal
	Metrics    *metrics.Set
	Table      *queue.Table
}

// Owner is the owner of a pool for one term. It is safe for concurrent use.
type Owner struct {
	cfg     Config
	fencingToken   int64
	mu      sync.Mutex
	cel     *cell.Cell
	polled  map[string]bool // VMs that a duty looks at
	pending map[string]*submission
	queued  []*submission // not yet part of an append
	refusals *refusal.Refusals
	waiters []chan struct{}
	// appendTime and orderTime are histograms of calls, in seconds.
	appendTime *metrics.Histogram
	orderTime  *metrics.Histogram
	stalledSince      time.Time // when the append in flight first failed; zero while all is well
	planRequested       chan struct{}
	flushRequested      chan struct{}
	claimCheckRequested     chan struct{}
	quit       chan struct{}
	lost       chan struct{}
	closeOnce  sync.Once
	lostOnce   sync.Once
	loops      sync.WaitGroup
	done       chan struct{}
}

// submission is a job that waits to be stored.
type submission struct {
	job    ledger.Job
	err    error
	stored chan struct{} // closed when the outcome is known
}

// Open claims the pool and restores its jobs. It fails when the store cannot be
// reached or another owner claims the pool meanwhile.
func Open(ctx context.Context, now time.Time, cfg Config) (*Owner, error) {
	clm, err := claim.Take(ctx, cfg.Archive, cfg.Service, cfg.Address)
	if err != nil {
		return nil, err
	}
	own := &Owner{
		cfg: cfg, fencingToken: clm.Fence(), polled: map[string]bool{}, pending: map[string]*submission{}, refusals: refusal.New(),
		planRequested: make(chan struct{}, 1), flushRequested: make(chan struct{}, 1), claimCheckRequested: make(chan struct{}, 1),
		quit: make(chan struct{}), lost: make(chan struct{}), done: make(chan struct{}),
	}
	own.appendTime = cfg.Metrics.GetOrCreateHistogram(`daisywheel_append_seconds{pool="` + cfg.Service + `"}`)
	own.orderTime = cfg.Metrics.GetOrCreateHistogram(`daisywheel_order_seconds{pool="` + cfg.Service + `"}`)
	own.cel = cell.New(cell.Config{
		Name: cfg.Service, Fence: clm.Fence(), RunBase: clm.RunBase(), LeaseMax: cfg.LeaseMax, StatusKept: cfg.StatusKept,
		IsFirst: clm.Term() == 1, Event: own.event,
	})
	own.cel.SetTable(cfg.Table)
	if err := own.restore(ctx, now); err != nil {
		return nil, err
	}
	own.event(now, "ownerStarted", slog.Int64("fence", clm.Fence()), slog.Int("term", clm.Term()))
	own.loops.Go(own.planLoop)
	own.loops.Go(own.storeLoop)
	own.loops.Go(own.tickLoop)
	own.loops.Go(own.claimLoop)
	go func() {
		own.loops.Wait()
		close(own.done)
	}()
	return own, nil
}

// event writes a line and counts it, so that what is left out of the log under
// load is seen in the metrics.
func (own *Owner) event(now time.Time, kind string, attrs ...slog.Attr) {
	own.cfg.Metrics.GetOrCreateCounter(`daisywheel_events_total{pool="` + own.cfg.Service + `",event="` + kind + `"}`).Inc()
	own.cfg.Journal.Event(now, kind, append(attrs, slog.String("pool", own.cfg.Service))...)
}

// Key prefixes of the records of one pool.
const (
	jobPrefix      = "j/"
	progressPrefix = "p/"
	hostPrefix     = "v/"
	jobsTopic      = "jobs"
)

func jobKey(service, id string) string      { return service + "/" + jobPrefix + id }
func hostKey(service, id string) string     { return service + "/" + hostPrefix + id }
func progressKey(service, id string) string { return service + "/" + progressPrefix + id }

// restore fences earlier owners' appends and then reads the jobs.
func (own *Owner) restore(ctx context.Context, now time.Time) error {
	if err := own.fencePreviousOwners(ctx); err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, 4*storeTimeout)
	defer cancel()
	recs, _, err := own.cfg.Archive.Newest(callCtx, jobsTopic, own.cfg.Partition)
	if err != nil {
		return errors.Wrap(err, "jobs")
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	jobs := map[string]*ledger.Job{}
	progress := map[string]ledger.Progress{}
	for _, rec := range recs {
		rest, isOwn := strings.CutPrefix(rec.Key, own.cfg.Service+"/")
		if !isOwn || len(rec.Value) == 0 {
			continue
		}
		if id, isHost := strings.CutPrefix(rest, hostPrefix); isHost {
			err = own.restoreHost(now, id, rec.Value)
		} else {
			err = readRecord(rest, rec.Value, jobs, progress)
		}
		if err != nil {
			own.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", err.Error()))
		}
	}
	for id, jb := range jobs {
		own.cel.Restore(now, id, jb, progress[id])
		delete(progress, id)
	}
	for id, prg := range progress {
		if prg.State.IsEnded() {
			own.cel.Restore(now, id, nil, prg)
		}
	}
	own.event(now, "jobsRestored", slog.Int("open", len(jobs)), slog.Int("ended", len(progress)))
	return nil
}

func (own *Owner) restoreHost(now time.Time, id string, value []byte) error {
	hst, err := ledger.DecodeHost(id, own.cfg.Service, value)
	if err != nil {
		return err
	}
	own.cel.RestoreHost(now, hst)
	own.startPolling(id)
	return nil
}

// holdVM starts the duty that looks at a VM.
func (own *Owner) startPolling(id string) {
	if !own.polled[id] && !own.isEnding() {
		own.polled[id] = true
		own.loops.Go(func() { own.pollLoop(id) })
	}
}

func readRecord(rest string, value []byte, jobs map[string]*ledger.Job, progress map[string]ledger.Progress) error {
	if id, ok := strings.CutPrefix(rest, jobPrefix); ok {
		jb, err := ledger.DecodeJob(value)
		if err == nil {
			jobs[id] = &jb
		}
		return err
	}
	if id, ok := strings.CutPrefix(rest, progressPrefix); ok {
		prg, err := ledger.DecodeProgress(value)
		if err == nil {
			progress[id] = prg
		}
		return err
	}
	return errors.New("unknown kind of record")
}

func (own *Owner) fencePreviousOwners(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := own.cfg.Archive.Append(callCtx, archive.Append{
			Topic: jobsTopic, Partition: own.cfg.Partition, At: archive.Anywhere,
			Producer: own.cfg.Service, Epoch: own.fencingToken,
		})
		cancel()
		if err == nil || errors.Is(err, archive.ErrFenced) || attempt == 3 {
			return errors.Wrap(err, "fencing earlier owners")
		}
		if !sleep(ctx.Done(), storeRetryDelay) {
			return errors.Wrap(err, "fencing earlier owners")
		}
	}
}

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

// Fence returns the fencing token of the term.
func (own *Owner) Fence() int64 { return own.fencingToken }

// Lost returns a channel that is closed when another owner has taken over.
func (own *Owner) Lost() <-chan struct{} { return own.lost }

// Done returns a channel that is closed when all duties have ended.
func (own *Owner) Done() <-chan struct{} { return own.done }

// Close ends the term. What runs on the VMs runs on.
func (own *Owner) Close() {
	own.closeOnce.Do(func() { close(own.quit) })
	<-own.done
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, sub := range own.queued {
		own.resolve(sub, fault.New(code.NotReady, "the pool changes its owner"))
	}
	own.queued = nil
	own.event(time.Now(), "ownerStopped", slog.Int64("fence", own.fencingToken))
}

func (own *Owner) loseOwnership(now time.Time, reason string) {
	own.lostOnce.Do(func() {
		own.event(now, "ownerLost", slog.Int64("fence", own.fencingToken), slog.String("reason", reason))
		close(own.lost)
		own.closeOnce.Do(func() { close(own.quit) })
	})
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

// SetTable puts a configuration in force.
func (own *Owner) SetTable(tab *queue.Table) {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.cel.SetTable(tab)
	own.requestPlan()
}

// SetHosts takes in the VMs that the platform lists for the pool.
func (own *Owner) SetHosts(now time.Time, hosts []host.Host) {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.cel.SetHosts(now, hosts)
	for _, hst := range hosts {
		own.startPolling(hst.ID)
	}
	if own.cel.HasChanges() {
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

// Pool returns what the balance of the fleet needs to know of the pool.
func (own *Owner) Pool(now time.Time) balance.Pool {
	own.mu.Lock()
	defer own.mu.Unlock()
	pol := own.cel.Pool(now)
	pol.Wanted += own.refusals.Returning(now)
	return pol
}

// SetLeaving says which VMs are to be emptied.
func (own *Owner) SetLeaving(now time.Time, vms map[string]bool) {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.cel.SetLeaving(now, vms)
	own.requestPlan()
}

// SetDue says which VMs a wave of maintenance will come to.
func (own *Owner) SetDue(vms map[string]bool) {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.cel.SetDue(vms)
}

// SetEnded takes in VMs whose life has ended, as the platform's list of machines
// says.
func (own *Owner) SetEnded(now time.Time, vms []string) {
	own.mu.Lock()
	defer own.mu.Unlock()
	for _, id := range vms {
		own.cel.Replaced(now, id)
	}
	own.requestClaimCheckIfUnconfirmed()
	if len(vms) > 0 {
		own.requestPlan()
	}
}
