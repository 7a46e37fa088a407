// Package service runs the job scheduler of one entry. It joins the group of
// entries that own pools, follows the operator's records and the VMs that the
// platform announces, and owns the pools whose partitions are assigned to the entry.
package service

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/caller/admission"
	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/maintenance"
	"daisywheel/internal/fleet/operatorfeed"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/fleetcontroller"
	"daisywheel/internal/schedule/gateway"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/poolscheduler"
	"daisywheel/internal/schedule/runtimestore"
	"daisywheel/internal/schedule/statelog"
)

// Intervals and timeouts of the background loops.
const (
	// vmListInterval is the pause between reads of the VM announcements: short against
	// the 1.5 s that a move takes, and against the 2 s after which a draining VM must
	// get no more work.
	vmListInterval = 250 * time.Millisecond
	vmListTimeout  = 900 * time.Millisecond
	// vmListMaxAge is how old the announcements may be that a new owner starts with. It
	// bounds how long a VM that has begun to drain meanwhile still gets new work.
	vmListMaxAge = 2 * vmListInterval
	// startDelay lets entries that start together join the group before any of them
	// claims pools: their machines start within 0.3 s, and one join follows.
	startDelay = 700 * time.Millisecond
	// reopenDelay is the pause before a pool that was lost or could not be opened is
	// claimed again.
	reopenDelay = 400 * time.Millisecond
	// crashDelay is that pause after a panic, which is likely to come again: each claim costs records of the log, and the
	// restored pool the time of the others.
	crashDelay  = 5 * time.Second
	openTimeout = 5 * time.Second
	// firstJoinDelay bounds the time from the start of an entry to its first join. If
	// the first successful join was sent later, earlier ones have failed.
	firstJoinDelay = 200 * time.Millisecond
	// takeoverDelay is how long an entry that recovers from an outage leaves pools to
	// their present owners: five joins, or two that take their full timeout.
	takeoverDelay = 1200 * time.Millisecond
	// leaseDuration is how long tasks may run on after the owner's last poll. It exceeds
	// the duration of a change of owner (a membership TTL of 1 s, a claim and a poll),
	// but not by much, as the tasks of a dead VM are restarted only after it.
	leaseDuration = 5 * time.Second
)

// openTasksShare is the divisor of the memory that the state of tasks of open jobs may take. Callers take a quarter at most
// (package budget); the rest is left for garbage, connections to VMs, and jobs that have ended.
const openTasksShare = 2

// Config holds what a Service needs.
type Config struct {
	Name            string
	PeerAddress     string
	Partitions      int
	MilliCores      int // CPU that the entry may use
	MaxLease        time.Duration
	OrderLease      time.Duration
	MaxKeyAge       time.Duration // how long an API key may be used after its revocation, see admission.GateConfig
	MinTTL          time.Duration // shortest membership TTL that the log accepts
	OrderRate       float64       // orders for machines per second, of the whole fleet
	StatusRetention time.Duration
	MaxRecord       int   // longest record that the log accepts, in bytes
	MemoryBytes     int64 // memory limit of the process, 0 when none is given
	StateLog        statelog.Client
	Directory       directory.Client
	Agent           agent.Client
	Journal         *journal.Journal
	Metrics         *metrics.Set
}

// Service is the scheduler of one entry.
type Service struct {
	cfg          Config
	link         *rpc.Endpoint
	gateway      *gateway.Gateway
	gate         *admission.Gate
	feed         *operatorfeed.Feed
	poolIndex    *poolindex.Index
	table        atomic.Pointer[queue.Table]
	started      time.Time
	mu           sync.Mutex
	partitions   []int
	hosts        map[string]host.Host
	vmListReadAt time.Time // when the last page was requested; none was left after it
	// poolsChangedAt is when this entry learned of the last change of the active pools.
	poolsChangedAt time.Time
	owners         map[string]*owner.Owner
	opening        map[claim.Name]bool
	retryAt        map[claim.Name]time.Time // when it may be opened again after it was lost, deferred or not opened
	// confirmedAt is when the last successful join was sent, or the time of the start
	// while hasJoined is false.
	confirmedAt time.Time
	hasJoined   bool
	// recoveredAt is when the membership was last confirmed after a gap.
	recoveredAt       time.Time
	controller        *fleetcontroller.Controller
	waves             map[int64]maintenance.Wave
	evacuations       map[string]evacuation // by pool
	controllerAddress string                // "" while unknown
	controllerTerm    int64                 // highest term of a fleet controller that has answered a report
	reportRequested   chan struct{}
	quotaRequested    chan struct{}
	quotaRound        int // of the loop that sends quota reports
	// quotaTerm is the highest term of a fleet controller that has replied to a quota report, and quotaTerms those
	// of the last replies that were applied, by owner.
	quotaTerm    int64
	quotaTerms   map[*owner.Owner]int64
	relayedReads *metrics.Counter // reads of operator records through other entries
	relayRound   atomic.Int32
	loops        []*loop.Loop
	stopping     atomic.Bool
}

// Start starts the background loops. IsReady reports when callers can be served.
func Start(now time.Time, cfg Config) (*Service, error) {
	svc := &Service{
		cfg: cfg, started: now, hosts: map[string]host.Host{},
		owners: map[string]*owner.Owner{}, opening: map[claim.Name]bool{}, retryAt: map[claim.Name]time.Time{}, confirmedAt: now,
		waves: map[int64]maintenance.Wave{}, evacuations: map[string]evacuation{}, reportRequested: make(chan struct{}, 1),
		quotaRequested: make(chan struct{}, 1), quotaTerms: map[*owner.Owner]int64{},
	}
	svc.link = rpc.New(rpc.Config{OnCrash: svc.logCrash})
	svc.feed = operatorfeed.New(operatorfeed.Config{Journal: cfg.Journal, Read: svc.readOperatorRecords, Apply: svc.applyOperatorRecord})
	svc.poolIndex = poolindex.New(poolindex.Config{StateLog: cfg.StateLog, Journal: cfg.Journal})
	svc.link.Handle(methodReport, svc.serveReport)
	svc.link.Handle(methodOwnership, svc.serveOwnership)
	svc.link.Handle(methodQuota, svc.serveQuota)
	svc.link.Handle(methodReadOperator, svc.serveReadOperator)
	svc.relayedReads = cfg.Metrics.GetOrCreateCounter("daisywheel_relayed_reads_total")
	svc.gateway = gateway.New(gateway.Config{
		Address: cfg.PeerAddress, Partitions: cfg.Partitions, PeerEndpoint: svc.link, StateLog: cfg.StateLog, PoolIndex: svc.poolIndex,
		Journal: cfg.Journal, LocalOwner: svc.Owner, IsConfirmed: svc.isMembershipConfirmed, CatchUp: svc.feed.CatchUp,
	})
	svc.gate = admission.NewGate(admission.GateConfig{
		Table: svc.Table, Age: svc.feed.Age, CatchUp: svc.feed.CatchUp, MaxKeyAge: cfg.MaxKeyAge, Metrics: cfg.Metrics,
	})
	if err := svc.link.Listen(cfg.PeerAddress); err != nil {
		return nil, err
	}
	mbr := group.New(group.Config{
		// Each start joins as a new member, as it has none of the previous one's state.
		Name:  cfg.PeerAddress + "/" + strconv.FormatInt(now.UnixNano(), 36),
		Grade: group.GradeOf(cfg.MilliCores), Partitions: cfg.Partitions, MinTTL: cfg.MinTTL,
		StateLog: cfg.StateLog, Journal: cfg.Journal, OnChange: svc.setPartitions,
	})
	svc.loops = []*loop.Loop{
		svc.start("wishes", svc.feed.Run),
		svc.start("group", mbr.Run),
		svc.start("hosts", svc.followVMList),
		loop.Every("reconcile", reconcileInterval, svc.guarded("reconcile", svc.reconcile)),
		loop.EveryOrWoken("report", reportInterval, minReportPause, svc.reportRequested, svc.report),
		loop.EveryOrWoken("quotas", quotaInterval, minReportPause, svc.quotaRequested, svc.reportQuotas),
		loop.Every("formerPools", formerPoolsInterval, svc.guarded("formerPools", svc.refreshFormerPools)),
	}
	return svc, nil
}

// reconcileInterval is how often the owned pools are compared with the assigned ones.
const reconcileInterval = 100 * time.Millisecond

// Gateway returns the gateway that forwards callers' requests to the pools' owners.
func (svc *Service) Gateway() *gateway.Gateway { return svc.gateway }

// Gate returns the gate that finds the queues of callers' requests and checks their keys.
func (svc *Service) Gate() *admission.Gate { return svc.gate }

// Table returns the configuration in force, or nil before the first one was read.
func (svc *Service) Table() *queue.Table { return svc.table.Load() }

// IsReady reports whether callers can be served here. An entry that may be cut off
// from the log is not ready, as other entries may still reach it.
func (svc *Service) IsReady(now time.Time) bool {
	if svc.stopping.Load() || svc.table.Load() == nil {
		return false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return now.Sub(svc.confirmedAt) < unreadyAfter
}

// unreadyAfter is how long the membership may be unconfirmed before the entry tells
// the load balancer that it is not ready: four joins. In a zone that is cut off, callers are
// lost until the load balancer sends them to other zones, which takes two more checks.
const unreadyAfter = time.Second

// Owner returns the owner of the pool if it runs in this process, or nil.
func (svc *Service) Owner(pool string) *owner.Owner {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.owners[pool]
}

// SetStopping makes the entry not ready.
func (svc *Service) SetStopping() { svc.stopping.Store(true) }

// Resign gives up the pools, so that other entries claim them. Requests that arrive
// here are still forwarded to the new owners.
func (svc *Service) Resign() {
	loop.StopAll(svc.loops[1:]...)
	svc.mu.Lock()
	owners, ctl := svc.owners, svc.controller
	svc.owners, svc.controller = map[string]*owner.Owner{}, nil
	svc.mu.Unlock()
	// They are closed in parallel, as each may wait seconds for its calls and the time
	// until SIGKILL is short.
	var grp sync.WaitGroup
	if ctl != nil {
		grp.Go(func() { svc.guard("closeController", ctl.Close) })
	}
	for _, own := range owners {
		grp.Go(func() { svc.guard("closeOwner", own.Close) })
	}
	grp.Wait()
}

// Stop stops the remaining background loop and closes the link to the other entries.
func (svc *Service) Stop() {
	svc.loops[0].Stop()
	svc.link.Close()
}

// setPartitions sets the partitions that a join sent at that time has assigned to
// this entry.
func (svc *Service) setPartitions(sent time.Time, parts []int) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	gap := sent.Sub(svc.confirmedAt)
	if gap > confirmationTTL || !svc.hasJoined && gap > firstJoinDelay {
		svc.recoveredAt = sent
	}
	svc.partitions, svc.confirmedAt, svc.hasJoined = parts, sent, true
}

// applyOperatorRecord applies an operator record. A table that is not the next one after the last is
// applied as one of which the earlier routes are not known.
func (svc *Service) applyOperatorRecord(now time.Time, rec directory.OperatorRecord, isNext bool) {
	switch {
	case rec.Err != nil:
		svc.cfg.Journal.Warn(now, "wishUnreadable", slog.String("error", rec.Err.Error()))
	case rec.Wave != nil:
		svc.mu.Lock()
		defer svc.mu.Unlock()
		svc.waves[rec.Wave.Number] = *rec.Wave
		if svc.controller != nil {
			svc.controller.RequestWave(now, *rec.Wave)
		}
	case rec.Table != nil:
		old := svc.table.Load()
		if old != nil && old.Version() >= rec.Table.Version() {
			return
		}
		tab := rec.Table
		if isNext {
			tab = tab.After(old)
		}
		svc.mu.Lock()
		defer svc.mu.Unlock()
		for _, own := range svc.owners {
			svc.guard("setTable", func() { own.SetTable(tab) })
		}
		svc.gateway.SetTable(now, tab)
		svc.table.Store(tab)
		svc.cfg.Journal.Event(now, "configInForce", slog.Int64("version", tab.Version()), slog.Bool("isNext", isNext), slog.Int("unusable", len(tab.Unusable())))
		for _, reason := range tab.Unusable()[:min(len(tab.Unusable()), maxUnusableLogged)] {
			svc.cfg.Journal.Warn(now, "nameUnusable", slog.Int64("version", tab.Version()), slog.String("error", reason.Error()))
		}
		if old == nil || !slices.Equal(old.Pools(), tab.Pools()) {
			svc.poolsChangedAt = now
		}
	}
}

// maxUnusableLogged bounds the lines on names of one configuration.
const maxUnusableLogged = 20

// followVMList reads the VM announcements while this entry owns a pool, until quit
// is closed.
func (svc *Service) followVMList(quit <-chan struct{}) {
	tck := time.NewTicker(vmListInterval)
	defer tck.Stop()
	cursor := int64(directory.StartCursor)
	isAnswering := true
	for {
		select {
		case <-quit:
			return
		case <-tck.C:
		}
		for hasMore := svc.isOwning(); hasMore; {
			sent := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
			page, err := svc.cfg.Directory.Hosts(ctx, cursor)
			cancel()
			if isAnswering != (err == nil) {
				isAnswering = err == nil
				svc.logVMListRead(time.Now(), err)
			}
			if err != nil {
				break
			}
			cursor, hasMore = page.Next, page.HasMore && !isClosed(quit)
			svc.applyVMList(time.Now(), sent, page)
		}
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

// applyVMList applies a page that was requested at sent. Owners get the list once no announcement is left: a
// page from before shows VMs as they were.
func (svc *Service) applyVMList(now, sent time.Time, page directory.HostPage) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if page.IsSnapshot {
		clear(svc.hosts)
	}
	for _, chg := range page.Changes {
		switch {
		case chg.Err != nil: // it names no VM to use, whatever was announced under the id before
			svc.cfg.Journal.Warn(now, "announcementUnusable", slog.String("vm", chg.ID), slog.String("error", chg.Err.Error()))
			delete(svc.hosts, chg.ID)
		case chg.IsGone:
			delete(svc.hosts, chg.ID)
		default:
			svc.hosts[chg.ID] = chg.Host
		}
	}
	if page.HasMore {
		return
	}
	svc.vmListReadAt = sent
	svc.updateOwners(now)
}

// updateOwners passes each owner the VMs of its pool. The caller holds the lock.
func (svc *Service) updateOwners(now time.Time) {
	byPool := map[string][]host.Host{}
	for _, hst := range svc.hosts {
		byPool[hst.Pool] = append(byPool[hst.Pool], hst)
	}
	for pool, own := range svc.owners {
		svc.guard("setListedVMs", func() { own.SetListedVMs(now, byPool[pool]) })
	}
}

// reconcile opens the pools that are assigned to this entry and have no live owner,
// and closes those that are lost. A new assignment alone moves no pool, as a change
// of owner costs the pool's callers a second or two.
func (svc *Service) reconcile(now time.Time) {
	tab := svc.table.Load()
	if tab == nil || now.Sub(svc.started) < startDelay {
		return
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	mayClaim := svc.isConfirmed(now)
	isExpired := now.Sub(svc.confirmedAt) >= poolscheduler.OwnerGracePeriod
	assigned := map[int]bool{}
	for _, num := range svc.partitions {
		assigned[num] = !isExpired && mayClaim
	}
	for pool, own := range svc.owners {
		if isExpired || isClosed(own.OwnershipLost()) {
			delete(svc.owners, pool)
			svc.retryAt[claim.Pool(pool)] = now.Add(reopenDelay)
			if isClosed(own.Crashed()) {
				svc.retryAt[claim.Pool(pool)] = now.Add(crashDelay)
			}
			go svc.guard("closeOwner", own.Close)
		}
	}
	svc.reconcileController(now, assigned)
	for i, pool := range tab.Pools() {
		if !pool.IsStandby && assigned[svc.assignedPartition(i)] {
			svc.startOpening(now, pool.Name, tab)
		}
	}
	for _, pool := range svc.formerPools(tab) {
		if assigned[group.PartitionOf(pool, svc.cfg.Partitions)] {
			svc.startOpening(now, pool, tab)
		}
	}
}

// startOpening opens the pool in the background unless it is open, is being opened or could not be
// opened a short time ago. The caller holds the lock.
func (svc *Service) startOpening(now time.Time, pool string, tab *queue.Table) {
	name := claim.Pool(pool)
	if svc.owners[pool] != nil || svc.opening[name] || now.Before(svc.retryAt[name]) {
		return
	}
	svc.opening[name] = true
	go func() {
		if !svc.guard("openPool", func() { svc.openPool(pool, tab) }) {
			svc.deferClaim(name, crashDelay)
		}
	}()
}

// isConfirmed reports whether the membership of this entry is confirmed. An entry
// without a confirmed membership must not take over anything, as all entries may have
// lost the log. The caller holds the lock.
func (svc *Service) isConfirmed(now time.Time) bool {
	return now.Sub(svc.confirmedAt) < confirmationTTL
}

// isMembershipConfirmed is isConfirmed for callers without the lock.
func (svc *Service) isMembershipConfirmed() bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.isConfirmed(time.Now())
}

// isRecovering reports whether the membership was confirmed again within
// takeoverDelay after a gap. Owners that answer may then be about to be confirmed
// too. The caller holds the lock.
func (svc *Service) isRecovering(now time.Time) bool { return now.Sub(svc.recoveredAt) < takeoverDelay }

// controllerPartition is the partition of the group whose member should run the
// fleet controller.
const controllerPartition = 0

// assignedPartition returns the partition of the group whose member should own the
// pool at that index in the configuration. The log assigns partitions round robin, so
// neighbouring ones belong to different entries.
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
	name := claim.Pool(pool)
	if !svc.shouldClaim(ctx, name) {
		svc.deferClaim(name, reopenDelay)
		return
	}
	own, err := owner.Open(ctx, time.Now(), owner.Config{
		Pool: pool, Partition: group.PartitionOf(pool, svc.cfg.Partitions), Address: svc.cfg.PeerAddress, MaxLease: min(svc.cfg.MaxLease, leaseDuration), LongestLease: svc.cfg.MaxLease,
		StatusRetention: svc.cfg.StatusRetention, MaxRecord: svc.cfg.MaxRecord, MaxOpenTasks: int(svc.cfg.MemoryBytes / openTasksShare / poolscheduler.TaskBytes), StateLog: svc.cfg.StateLog, PoolIndex: svc.poolIndex, Runtimes: runtimestore.New(runtimestore.Config{StateLog: svc.cfg.StateLog, Journal: svc.cfg.Journal}), Agent: svc.cfg.Agent, Journal: svc.cfg.Journal,
		Metrics: svc.cfg.Metrics, Table: tab, RequestReport: svc.requestReport, RequestQuotaReport: svc.requestQuotaReport, HandOver: svc.gateway.HandOver,
		CloseRoute: svc.gateway.CloseRoute, IsInPool: svc.gateway.IsInPool, UnregisteredPools: svc.gateway.UnregisteredPools, ReadVersion: svc.gateway.ReadVersion,
	})
	if err == nil {
		// From here on another pool may have taken over queues by a configuration that is stored but not
		// read here, as its owner could not ask this one before. What fails is logged.
		svc.guard("catchUp", func() { _ = svc.feed.CatchUp(ctx, time.Now()) })
	}
	now := time.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, name)
	if err != nil {
		svc.retryAt[name] = now.Add(reopenDelay)
		svc.cfg.Journal.Warn(now, "ownerNotOpened", slog.String("pool", pool), slog.String("error", err.Error()))
		return
	}
	if svc.stopping.Load() {
		go svc.guard("closeOwner", own.Close)
		return
	}
	svc.owners[pool] = own
	own.SetTable(svc.table.Load())
	if now.Sub(svc.vmListReadAt) < vmListMaxAge {
		svc.updateOwners(now)
	}
}
