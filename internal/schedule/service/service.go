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
	wishWait = 1200 * time.Millisecond
	// wishSlack is added to the wait before the read counts as unanswered.
	wishSlack = 600 * time.Millisecond
	// wishRetry is the pause after a read that failed. A configuration has to be
	// in force within 2 s of its acknowledgement.
	wishRetry = 150 * time.Millisecond
	// hostsEach is the pause between looks at the announcements of VMs: a small part
	// of the 1.5 s that a move takes, and of the 2 s within which a VM that drains
	// gets no more work.
	hostsEach    = 250 * time.Millisecond
	hostsTimeout = 900 * time.Millisecond
	// hostsFresh is how old the announcements may be that a new owner begins with: a
	// VM that drains meanwhile must not get new work for long.
	hostsFresh = 2 * hostsEach
	// startDelay lets the members that start together find each other before
	// pools are claimed: machines start within 0.3 s, and then one join.
	startDelay = 700 * time.Millisecond
	// reopenAfter is the pause before a pool that was lost or not opened is
	// claimed again.
	reopenAfter = 400 * time.Millisecond
	openTimeout = 5 * time.Second
	// firstJoin is how long after the start of an entry the first join is sent, if
	// none before it has failed.
	firstJoin = 200 * time.Millisecond
	// rejoinDelay is how long an entry that comes back from an outage leaves pools
	// to their owners: five joins, or two that take as long as they may.
	rejoinDelay = 1200 * time.Millisecond
	// leaseLength is how long tasks outlive the last word of an owner: longer than
	// a change of owner takes (a membership of 1 s, a claim and a look), and not
	// much longer, as the tasks of a dead VM wait as long.
	leaseLength = 5 * time.Second
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
	cfg      Config
	link     *link.Link
	gateway  *gateway.Gateway
	table    atomic.Pointer[queue.Table]
	started  time.Time
	mu       sync.Mutex
	parts    []int
	hosts    map[string]host.Host
	hostsAt  time.Time // when the announcements were last read
	owners   map[string]*owner.Owner
	opening  map[string]bool
	failedAt map[string]time.Time
	joinedAt time.Time
	// hasJoined tells that joinedAt is that of a membership, not of the start.
	hasJoined bool
	// regainedAt is when the membership was last confirmed after a gap.
	regainedAt time.Time
	steward    *steward.Steward
	waves      map[int64]upkeep.Wave
	leaving    map[string]leave // by pool
	fleetAt    string           // address of the steward
	duties     []*part.Part
	stopping   atomic.Bool
}

// Start starts the duties. Ready tells when callers can be served.
func Start(now time.Time, cfg Config) (*Service, error) {
	svc := &Service{
		cfg: cfg, link: link.New(link.Config{}), started: now, hosts: map[string]host.Host{},
		owners: map[string]*owner.Owner{}, opening: map[string]bool{}, failedAt: map[string]time.Time{}, joinedAt: now,
		waves: map[int64]upkeep.Wave{}, leaving: map[string]leave{},
	}
	svc.link.Handle(methodReport, svc.serveReport)
	svc.link.Handle(methodStanding, svc.serveStanding)
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
		Archive: cfg.Archive, Journal: cfg.Journal, Changed: svc.dealt,
	})
	svc.duties = []*part.Part{
		part.Start("wishes", svc.followWishes),
		part.Start("group", grp.Run),
		part.Start("hosts", svc.followHosts),
		part.Every("reconcile", tick, svc.reconcile),
		part.Every("report", reportEach, svc.report),
	}
	return svc, nil
}

// tick is how often the owned pools are compared with the dealt ones.
const tick = 100 * time.Millisecond

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
	return now.Sub(svc.joinedAt) < unreadyAfter
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
	part.StopAll(svc.duties[1:]...)
	svc.mu.Lock()
	owners, stw := svc.owners, svc.steward
	svc.owners, svc.steward = map[string]*owner.Owner{}, nil
	svc.mu.Unlock()
	// Each may wait for calls of seconds, and the time until SIGKILL is short.
	var grp sync.WaitGroup
	if stw != nil {
		grp.Go(stw.Close)
	}
	for _, own := range owners {
		grp.Go(own.Close)
	}
	grp.Wait()
}

// Stop ends the duties that are left.
func (svc *Service) Stop() {
	svc.duties[0].Stop()
	svc.link.Close()
}

// dealt takes in the partitions of this entry, as of when it asked for them.
func (svc *Service) dealt(sent time.Time, parts []int) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	gap := sent.Sub(svc.joinedAt)
	if gap > aliveWithin || !svc.hasJoined && gap > firstJoin {
		svc.regainedAt = sent
	}
	svc.parts, svc.joinedAt, svc.hasJoined = parts, sent, true
}

// followWishes reads the operator's records until quit is closed.
func (svc *Service) followWishes(quit <-chan struct{}) {
	cursor := int64(directory.Start)
	isWell := true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-quit
		cancel()
	}()
	for ctx.Err() == nil {
		callCtx, stop := context.WithTimeout(ctx, wishWait+wishSlack)
		page, err := svc.cfg.Directory.Wishes(callCtx, cursor, wishWait)
		stop()
		now := time.Now()
		if isWell != (err == nil) && ctx.Err() == nil {
			isWell = err == nil
			svc.logWishes(now, err)
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(wishRetry):
			}
			continue
		}
		cursor = page.Next
		for _, wsh := range page.Wishes {
			svc.takeWish(now, wsh)
		}
	}
}

func (svc *Service) logWishes(now time.Time, err error) {
	if err == nil {
		svc.cfg.Journal.Event(now, "operatorRegained")
		return
	}
	svc.cfg.Journal.Warn(now, "operatorUnread", slog.String("error", err.Error()))
}

func (svc *Service) takeWish(now time.Time, wsh directory.Wish) {
	switch {
	case wsh.Err != nil:
		svc.cfg.Journal.Warn(now, "wishUnreadable", slog.String("error", wsh.Err.Error()))
	case wsh.Wave != nil:
		svc.mu.Lock()
		defer svc.mu.Unlock()
		svc.waves[wsh.Wave.Number] = *wsh.Wave
		if svc.steward != nil {
			svc.steward.Request(now, *wsh.Wave)
		}
	case wsh.Table != nil:
		old := svc.table.Load()
		if old != nil && old.Version() >= wsh.Table.Version() {
			return
		}
		svc.table.Store(wsh.Table)
		svc.cfg.Journal.Event(now, "configInForce", slog.Int64("version", wsh.Table.Version()))
		svc.mu.Lock()
		defer svc.mu.Unlock()
		for _, own := range svc.owners {
			own.SetTable(wsh.Table)
		}
	}
}

// followHosts reads the announcements of VMs while this entry owns a pool.
func (svc *Service) followHosts(quit <-chan struct{}) {
	tck := time.NewTicker(hostsEach)
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
		ctx, cancel := context.WithTimeout(context.Background(), hostsTimeout)
		page, err := svc.cfg.Directory.Hosts(ctx, cursor)
		cancel()
		now := time.Now()
		if isWell != (err == nil) {
			isWell = err == nil
			svc.logHosts(now, err)
		}
		if err != nil {
			continue
		}
		cursor = page.Next
		svc.takeHosts(now, page)
	}
}

func (svc *Service) isOwning() bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return len(svc.owners) > 0
}

func (svc *Service) logHosts(now time.Time, err error) {
	if err == nil {
		svc.cfg.Journal.Event(now, "vmListRegained")
		return
	}
	svc.cfg.Journal.Warn(now, "vmListUnread", slog.String("error", err.Error()))
}

func (svc *Service) takeHosts(now time.Time, page directory.Hosts) {
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
	svc.hostsAt = now
	svc.tellHosts(now)
	svc.mu.Unlock()
}

// tellHosts gives each owner the VMs of its pool. The caller holds the lock.
func (svc *Service) tellHosts(now time.Time) {
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
	isStale := now.Sub(svc.joinedAt) >= cell.OwnerReach
	dealt := map[int]bool{}
	for _, num := range svc.parts {
		dealt[num] = !isStale && mayClaim
	}
	for pool, own := range svc.owners {
		if isStale || isClosed(own.Lost()) {
			delete(svc.owners, pool)
			svc.failedAt[pool] = now
			go own.Close()
		}
	}
	svc.reconcileSteward(now, dealt)
	for i, pool := range tab.Services() {
		isTried := now.Sub(svc.failedAt[pool.Name]) < reopenAfter
		if pool.IsStandby || !dealt[svc.seatOf(i)] || svc.owners[pool.Name] != nil || svc.opening[pool.Name] || isTried {
			continue
		}
		svc.opening[pool.Name] = true
		go svc.open(pool.Name, tab)
	}
}

// isConfirmed reports whether the membership of this entry is confirmed: one that is
// not may not take anything, as all may have lost the store. The caller holds the lock.
func (svc *Service) isConfirmed(now time.Time) bool { return now.Sub(svc.joinedAt) < aliveWithin }

// hasOutage reports whether the membership was confirmed again just now, so that
// owners which answer may be about to be confirmed too. The caller holds the lock.
func (svc *Service) hasOutage(now time.Time) bool { return now.Sub(svc.regainedAt) < rejoinDelay }

// stewardSeat is the partition of the group whose holder should be the steward.
const stewardSeat = 0

// seatOf returns the partition of the group whose holder should own the pool with
// that place in the configuration. The log deals partitions in turn, so that
// neighbours fall to different entries.
func (svc *Service) seatOf(place int) int { return (stewardSeat + 1 + place) % svc.cfg.Partitions }

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func (svc *Service) open(pool string, tab *queue.Table) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if !svc.mayOwn(ctx, pool) {
		svc.passOver(pool)
		return
	}
	own, err := owner.Open(ctx, time.Now(), owner.Config{
		Service: pool, Partition: group.PartitionOf(pool, svc.cfg.Partitions), Address: svc.cfg.PeerAddress, LeaseMax: min(svc.cfg.LeaseMax, leaseLength),
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
	if now.Sub(svc.hostsAt) < hostsFresh {
		svc.tellHosts(now)
	}
}
