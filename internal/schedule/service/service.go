// Package service runs the job scheduler of one entry: it takes part in the
// group of owners, follows the operator's wishes and the VMs, and owns the pools
// that fall to it.
package service

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/upkeep"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/peer/link"
	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/cell"
	"daisywheel/internal/schedule/gateway"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/steward"
)

// Times of the duties.
const (
	// wishWait is how long a read waits for a record of the operator. A read that
	// went unanswered must have ended, and the next one be answered, within the 3 s
	// in which an entry that was cut off has to be up to date.
	operatorReadWait = 1200 * time.Millisecond
	// wishSlack is added to the wait before the read counts as unanswered.
	operatorReadSlack = 600 * time.Millisecond
	// wishRetry is the pause after a read that failed. A configuration has to be
	// in force within 2 s of its acknowledgement.
	operatorReadRetry = 150 * time.Millisecond
	// hostsEach is the pause between looks at the announcements of VMs: a small part
	// of the 1.5 s that a move takes, and of the 2 s within which a VM that drains
	// gets no more work.
	vmListInterval = 250 * time.Millisecond
	vmListTimeout  = 900 * time.Millisecond
	// hostsFresh is how old the announcements may be that a new owner begins with: a
	// VM that drains meanwhile must not get new work for long.
	vmListMaxAge = 2 * vmListInterval
	// startDelay lets the members that start together find each other before
	// pools are claimed: machines start within 0.3 s, and then one join.
	startDelay = 700 * time.Millisecond
	// reopenAfter is the pause before a pool that was lost or not opened is
	// claimed again.
	reopenDelay = 400 * time.Millisecond
	openTimeout = 5 * time.Second
	// firstJoin is how long after the start of an entry the first join is sent, if
	// none before it has failed.
	firstJoinDelay = 200 * time.Millisecond
	// rejoinDelay is how long an entry that comes back from an outage leaves pools
	// to their owners: five joins, or two that take as long as they may.
	takeoverDelay = 1200 * time.Millisecond
	// leaseLength is how long tasks outlive the last word of an owner: longer than
	// a change of owner takes (a membership of 1 s, a claim and a look), and not
	// much longer, as the tasks of a dead VM wait as long.
	leaseDuration = 5 * time.Second
)

// Config holds what a Service needs.
type Config struct {
	Name        string
	PeerAddress string
	Partitions  int
	MilliCores  int // of the processor that the entry may use
	LeaseMax    time.Duration
	OrderLease  time.Duration
	LeastTTL    time.Duration // of a membership, as the log takes it
	OrderRate   float64       // orders for machines a second, of the whole fleet
	StatusKept  time.Duration
	Archive     archive.Client
	Directory   directory.Client
	Agent       agent.Client
	Journal     *journal.Journal
	Metrics     *metrics.Set
}

// Service is the scheduler of one entry.
type Service struct {
	cfg          Config
	link         *link.Link
	gateway      *gateway.Gateway
	table        atomic.Pointer[queue.Table]
	started      time.Time
	mu           sync.Mutex
	partitions   []int
	hosts        map[string]host.Host
	vmListReadAt time.Time // when the announcements were last read
	owners       map[string]*owner.Owner
	opening      map[string]bool
	failedAt     map[string]time.Time
	confirmedAt  time.Time
	// hasJoined tells that joinedAt is that of a membership, not of the start.
	hasJoined bool
	// regainedAt is when the membership was last confirmed after a gap.
	recoveredAt       time.Time
	controller        *steward.Steward
	waves             map[int64]upkeep.Wave
	evacuations       map[string]evacuation // by pool
	controllerAddress string                // address of the steward
	loops             []*part.Part
	stopping          atomic.Bool
}

// Start starts the duties. Ready tells when callers can be served.
func Start(now time.Time, cfg Config) (*Service, error) {
	svc := &Service{
		cfg: cfg, link: link.New(link.Config{}), started: now, hosts: map[string]host.Host{},
		owners: map[string]*owner.Owner{}, opening: map[string]bool{}, failedAt: map[string]time.Time{}, confirmedAt: now,
		waves: map[int64]upkeep.Wave{}, evacuations: map[string]evacuation{},
	}
	svc.link.Handle(methodReport, svc.serveReport)
	svc.link.Handle(methodOwnership, svc.serveOwnership)
	svc.gateway = gateway.New(gateway.Config{
		Address: cfg.PeerAddress, Partitions: cfg.Partitions, Link: svc.link, Archive: cfg.Archive,
		Journal: cfg.Journal, Local: svc.Owner,
	})
	if err := svc.link.Listen(cfg.PeerAddress); err != nil {
		return nil, err
	}
	grp := group.New(group.Config{
		// Each start is a member of its own, as it knows nothing of the one before.
		Name:  cfg.PeerAddress + "/" + strconv.FormatInt(now.UnixNano(), 36),
		Grade: group.GradeOf(cfg.MilliCores), Partitions: cfg.Partitions, LeastTTL: cfg.LeastTTL,
		Archive: cfg.Archive, Journal: cfg.Journal, Changed: svc.setPartitions,
	})
	svc.loops = []*part.Part{
		part.Start("wishes", svc.followOperator),
		part.Start("group", grp.Run),
		part.Start("hosts", svc.followVMList),
		part.Every("reconcile", reconcileInterval, svc.reconcile),
		part.Every("report", reportInterval, svc.report),
	}
	return svc, nil
}

// tick is how often the owned pools are compared with the dealt ones.
const reconcileInterval = 100 * time.Millisecond

// Gateway returns the way for callers' requests.
func (svc *Service) Gateway() *gateway.Gateway { return svc.gateway }

// Table returns the configuration in force, or nil before the first.
func (svc *Service) Table() *queue.Table { return svc.table.Load() }

// IsReady reports whether callers can be served here: not while this entry may
// be cut off from the store, as others are not.
func (svc *Service) IsReady(now time.Time) bool {
	if svc.stopping.Load() || svc.table.Load() == nil {
		return false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return now.Sub(svc.confirmedAt) < unreadyAfter
}

// unreadyAfter is how long the membership may be unconfirmed before the balancer
// is told to go elsewhere: five joins.
const unreadyAfter = 2 * time.Second

// Owner returns the owner of the pool if it is in this process.
func (svc *Service) Owner(pool string) *owner.Owner {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.owners[pool]
}

// SetStopping makes the entry not ready.
func (svc *Service) SetStopping() { svc.stopping.Store(true) }

// Resign gives the pools to other entries. Requests go on to be served by them.
func (svc *Service) Resign() {
	part.StopAll(svc.loops[1:]...)
	svc.mu.Lock()
	owners, ctl := svc.owners, svc.controller
	svc.owners, svc.controller = map[string]*owner.Owner{}, nil
	svc.mu.Unlock()
	// Each may wait for calls of seconds, and the time until SIGKILL is short.
	var grp sync.WaitGroup
	if ctl != nil {
		grp.Go(ctl.Close)
	}
	for _, own := range owners {
		grp.Go(own.Close)
	}
	grp.Wait()
}

// Stop ends the duties that are left.
func (svc *Service) Stop() {
	svc.loops[0].Stop()
	svc.link.Close()
}

// dealt takes in the partitions of this entry, as of when it asked for them.
func (svc *Service) setPartitions(sent time.Time, parts []int) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	gap := sent.Sub(svc.confirmedAt)
	if gap > confirmationTTL || !svc.hasJoined && gap > firstJoinDelay {
		svc.recoveredAt = sent
	}
	svc.partitions, svc.confirmedAt, svc.hasJoined = parts, sent, true
}

// followWishes reads the operator's records until quit is closed.
func (svc *Service) followOperator(quit <-chan struct{}) {
	cursor := int64(directory.Start)
	isWell := true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-quit
		cancel()
	}()
	for ctx.Err() == nil {
		callCtx, stop := context.WithTimeout(ctx, operatorReadWait+operatorReadSlack)
		page, err := svc.cfg.Directory.Wishes(callCtx, cursor, operatorReadWait)
		stop()
		now := time.Now()
		if isWell != (err == nil) && ctx.Err() == nil {
			isWell = err == nil
			svc.logOperatorRead(now, err)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(operatorReadRetry):
			}
			continue
		}
		cursor = page.Next
		for _, rec := range page.Wishes {
			svc.applyOperatorRecord(now, rec)
		}
	}
}

func (svc *Service) logOperatorRead(now time.Time, err error) {
	if err == nil {
		svc.cfg.Journal.Event(now, "operatorRegained")
		return
	}
	svc.cfg.Journal.Warn(now, "operatorUnread", slog.String("error", err.Error()))
}

func (svc *Service) applyOperatorRecord(now time.Time, rec directory.Wish) {
	switch {
	case rec.Err != nil:
		svc.cfg.Journal.Warn(now, "wishUnreadable", slog.String("error", rec.Err.Error()))
	case rec.Wave != nil:
		svc.mu.Lock()
		defer svc.mu.Unlock()
		svc.waves[rec.Wave.Number] = *rec.Wave
		if svc.controller != nil {
			svc.controller.Request(now, *rec.Wave)
		}
	case rec.Table != nil:
		old := svc.table.Load()
		if old != nil && old.Version() >= rec.Table.Version() {
			return
		}
		svc.table.Store(rec.Table)
		svc.cfg.Journal.Event(now, "configInForce", slog.Int64("version", rec.Table.Version()))
		svc.mu.Lock()
		defer svc.mu.Unlock()
		for _, own := range svc.owners {
			own.SetTable(rec.Table)
		}
	}
}

// followHosts reads the announcements of VMs while this entry owns a pool.
func (svc *Service) followVMList(quit <-chan struct{}) {
	tck := time.NewTicker(vmListInterval)
	defer tck.Stop()
	cursor := int64(directory.Start)
	isWell := true
	for {
		select {
		case <-quit:
			return
		case <-tck.C:
		}
		if !svc.isOwning() {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
		page, err := svc.cfg.Directory.Hosts(ctx, cursor)
		cancel()
		now := time.Now()
		if isWell != (err == nil) {
			isWell = err == nil
			svc.logVMListRead(now, err)
		}
		if err != nil {
			continue
		}
		cursor = page.Next
		svc.applyVMList(now, page)
	}
}

func (svc *Service) isOwning() bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return len(svc.owners) > 0
}

func (svc *Service) logVMListRead(now time.Time, err error) {
	if err == nil {
		svc.cfg.Journal.Event(now, "vmListRegained")
		return
	}
	svc.cfg.Journal.Warn(now, "vmListUnread", slog.String("error", err.Error()))
}

func (svc *Service) applyVMList(now time.Time, page directory.Hosts) {
	svc.mu.Lock()
	if page.IsWhole {
		clear(svc.hosts)
	}
	for _, chg := range page.Changes {
		switch {
		case chg.Err != nil:
			svc.cfg.Journal.Warn(now, "announcementUnusable", slog.String("vm", chg.ID), slog.String("error", chg.Err.Error()))
		case chg.IsGone:
			delete(svc.hosts, chg.ID)
		default:
			svc.hosts[chg.ID] = chg.Host
		}
	}
	svc.vmListReadAt = now
	svc.updateOwners(now)
	svc.mu.Unlock()
}

// tellHosts gives each owner the VMs of its pool. The caller holds the lock.
func (svc *Service) updateOwners(now time.Time) {
	byPool := map[string][]host.Host{}
	for _, hst := range svc.hosts {
		byPool[hst.Service] = append(byPool[hst.Service], hst)
	}
	for pool, own := range svc.owners {
		own.SetHosts(now, byPool[pool])
	}
}

// reconcile opens the pools that are dealt to this entry and have no live owner,
// and closes those that are lost. Dealing anew alone moves no pool: each change of
// owner costs its callers a second or two.
func (svc *Service) reconcile(now time.Time) {
	tab := svc.table.Load()
	if tab == nil || now.Sub(svc.started) < startDelay {
		return
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	mayClaim := svc.isConfirmed(now)
	isExpired := now.Sub(svc.confirmedAt) >= cell.OwnerReach
	assigned := map[int]bool{}
	for _, num := range svc.partitions {
		assigned[num] = !isExpired && mayClaim
	}
	for pool, own := range svc.owners {
		if isExpired || isClosed(own.Lost()) {
			delete(svc.owners, pool)
			svc.failedAt[pool] = now
			go own.Close()
		}
	}
	svc.reconcileController(now, assigned)
	for i, pool := range tab.Services() {
		isBackingOff := now.Sub(svc.failedAt[pool.Name]) < reopenDelay
		if pool.IsStandby || !assigned[svc.assignedPartition(i)] || svc.owners[pool.Name] != nil || svc.opening[pool.Name] || isBackingOff {
			continue
		}
		svc.opening[pool.Name] = true
		go svc.openPool(pool.Name, tab)
	}
}

// isConfirmed reports whether the membership of this entry is confirmed: one that is
// not may not take anything, as all may have lost the store. The caller holds the lock.
func (svc *Service) isConfirmed(now time.Time) bool {
	return now.Sub(svc.confirmedAt) < confirmationTTL
}

// hasOutage reports whether the membership was confirmed again just now, so that
// owners which answer may be about to be confirmed too. The caller holds the lock.
func (svc *Service) isRecovering(now time.Time) bool { return now.Sub(svc.recoveredAt) < takeoverDelay }

// stewardSeat is the partition of the group whose holder should be the steward.
const controllerPartition = 0

// seatOf returns the partition of the group whose holder should own the pool with
// that place in the configuration. The log deals partitions in turn, so that
// neighbours fall to different entries.
func (svc *Service) assignedPartition(index int) int {
	return (controllerPartition + 1 + index) % svc.cfg.Partitions
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func (svc *Service) openPool(pool string, tab *queue.Table) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if !svc.shouldClaim(ctx, pool) {
		svc.deferClaim(pool)
		return
	}
	own, err := owner.Open(ctx, time.Now(), owner.Config{
		Service: pool, Partition: group.PartitionOf(pool, svc.cfg.Partitions), Address: svc.cfg.PeerAddress, LeaseMax: min(svc.cfg.LeaseMax, leaseDuration),
		StatusKept: svc.cfg.StatusKept, Archive: svc.cfg.Archive, Agent: svc.cfg.Agent, Journal: svc.cfg.Journal,
		Metrics: svc.cfg.Metrics, Table: tab,
	})
	now := time.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, pool)
	if err != nil {
		svc.failedAt[pool] = now
		svc.cfg.Journal.Warn(now, "ownerNotOpened", slog.String("pool", pool), slog.String("error", err.Error()))
		return
	}
	if svc.stopping.Load() {
		go own.Close()
		return
	}
	svc.owners[pool] = own
	own.SetTable(svc.table.Load())
	if now.Sub(svc.vmListReadAt) < vmListMaxAge {
		svc.updateOwners(now)
	}
}
