// Package node holds what the duties of one entry process share: the settings, the
// replica of the applied state, the dispatcher and the clients of the platform.
package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/platform/logservice"
	"daisywheel/internal/platform/vmagent"
	"daisywheel/internal/platform/vmlist"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/request/attempt"
	"daisywheel/internal/request/dispatcher"
	"daisywheel/internal/request/router"
	"daisywheel/internal/settings/entry"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/proposer"
	"daisywheel/internal/state/record"
	"daisywheel/internal/state/replica"
)

// SlotsPerVM is the limit of concurrent requests per backend server, shared by the
// entries that send to it.
const (
	SlotsPerVM = 8
)

// Stream names in the log service.
const (
	FleetStream      = "fleet"
	CheckpointStream = "checkpoint"
)

// Timeouts, and delays before a pool borrows and lends slots.
const (
	platformTimeout = 5 * time.Second
	refreshTimeout  = 2 * time.Second
	borrowDelay     = 20 * time.Millisecond
	lendDelay       = 200 * time.Millisecond
)

// Config holds the settings, clients and function fields of a Node. Those that are
// nil get defaults.
type Config struct {
	Settings entry.Entry
	Journal  *journal.Journal
	Now      func() time.Time
	Log      *logservice.Client
	VMList   *vmlist.Client
	Worker   *vmagent.Client
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Append   func(ctx context.Context, data [][]byte) (int64, error)
	Seed     uint64
}

// Node holds what the duties of one entry process share. It is safe for concurrent
// use.
type Node struct {
	cfg          Config
	settings     entry.Config
	incarnation  int64
	replica      *replica.Replica
	proposer     *proposer.Proposer
	dispatcher   *dispatcher.Dispatcher
	sender       *attempt.Sender
	peerEndpoint *rpc.Endpoint
	metrics      *metrics.Set
	httpClient   *http.Client
	stopping     atomic.Bool

	mu          sync.Mutex
	departing   map[string]bool // VMs that are departing or gone in the platform's list
	appendRelay func(ctx context.Context, data [][]byte) (int64, error)
}

// New returns a Node that runs no duty yet. Its incarnation is the start time in Unix
// nanoseconds, so a later start of the same entry has a greater one.
func New(now time.Time, cfg Config) *Node {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	nod := &Node{cfg: cfg, settings: cfg.Settings.Config(), incarnation: now.UnixNano(), departing: map[string]bool{}}
	nod.metrics = metrics.NewSet()
	nod.httpClient = nod.newHTTPClient()
	nod.setDefaults()
	nod.replica = replica.New(replica.Config{OnChange: nod.onChange, OnDecodeError: nod.onDecodeError})
	nod.proposer = proposer.New(proposer.Config{Append: nod.append, Replica: nod.replica})
	nod.dispatcher = dispatcher.New(dispatcher.Config{
		Now: cfg.Now, OnPause: nod.onPause,
		Router: router.Config{
			Seed: cfg.Seed, BorrowDelay: borrowDelay, LendDelay: lendDelay, IsLendingEnabled: nod.settings.IsLendingEnabled,
		},
	})
	nod.sender = attempt.New(attempt.Config{Dial: cfg.Dial})
	nod.peerEndpoint = rpc.New(rpc.Config{Dial: cfg.Dial})
	return nod
}

func (nod *Node) newHTTPClient() *http.Client {
	tpt := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second, DialContext: nod.cfg.Dial}
	return &http.Client{Transport: &sourceTransport{name: nod.settings.Name, next: tpt}, Timeout: platformTimeout}
}

// sourceTransport adds a header with this entry's name to requests to the platform.
type sourceTransport struct {
	name string
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (stp *sourceTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	clone := req.Clone(req.Context())
	clone.Header.Set("Daisywheel-Source", stp.name)
	return stp.next.RoundTrip(clone)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (stp *sourceTransport) CloseIdleConnections() { stp.next.CloseIdleConnections() }

// setDefaults creates the clients and the journal that the Config leaves nil.
func (nod *Node) setDefaults() {
	if nod.cfg.Log == nil {
		nod.cfg.Log = logservice.New(logservice.Config{BaseURL: nod.settings.LogService, HTTP: nod.httpClient})
	}
	if nod.cfg.VMList == nil {
		nod.cfg.VMList = vmlist.New(vmlist.Config{BaseURL: nod.settings.VMList, HTTP: nod.httpClient})
	}
	if nod.cfg.Worker == nil {
		nod.cfg.Worker = vmagent.New(vmagent.Config{HTTP: nod.httpClient})
	}
	if nod.cfg.Journal == nil {
		nod.cfg.Journal = journal.New(journal.Config{Process: nod.settings.Name, Zone: nod.settings.Zone})
	}
}

// append appends to the fleet stream, through a peer if the log service fails.
func (nod *Node) append(ctx context.Context, data [][]byte) (int64, error) {
	if nod.cfg.Append != nil {
		return nod.cfg.Append(ctx, data)
	}
	first, err := nod.cfg.Log.Append(ctx, FleetStream, data)
	if err == nil {
		return first, nil
	}
	nod.mu.Lock()
	relay := nod.appendRelay
	nod.mu.Unlock()
	if relay == nil {
		return 0, err
	}
	return relay(ctx, data)
}

// SetAppendRelay sets the function that appends records when the log service fails.
// A record that is appended twice is applied once, because of its change id.
func (nod *Node) SetAppendRelay(relay func(ctx context.Context, data [][]byte) (int64, error)) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	nod.appendRelay = relay
}

// onPause refreshes the state of a process that was paused before it dispatches
// again. If the platform does not answer, the entry goes on without a refresh, so
// that its zone keeps serving.
func (nod *Node) onPause() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	err := nod.Refresh(ctx)
	nod.Journal().Warn(nod.Now(), "processPaused", slog.Bool("refreshed", err == nil))
}

func (nod *Node) onDecodeError(offset int64, err error) {
	nod.Journal().Warn(nod.Now(), "recordUnreadable", slog.Int64("offset", offset), slog.String("error", err.Error()))
}

// onChange updates the dispatcher with the applied records. It runs before any duty
// can read, and thus confirm, them.
func (nod *Node) onChange(flt *fleet.Fleet, tch replica.Touched) {
	vms := tch.VMs
	for _, zone := range tch.Zones {
		if zone == nod.settings.Zone {
			vms = flt.VMsIn(zone)
		}
	}
	nod.dispatcher.Update(func(rtr *router.Router) {
		for _, pool := range tch.Pools {
			rw, rev, _ := flt.Row(pool)
			if rev == 0 || rw.Pool() == "" {
				rtr.RemoveRow(pool)
				continue
			}
			rtr.SetRow(rw)
		}
		for _, vm := range vms {
			nod.updateVM(flt, rtr, vm)
		}
	})
}

// updateVM sets the VM's pool, share of slots and whether it gets new work in the
// router, or removes a VM that is gone.
func (nod *Node) updateVM(flt *fleet.Fleet, rtr *router.Router, vm string) {
	mbr, ok := flt.Member(vm)
	if !ok || mbr.Zone() != nod.settings.Zone {
		return
	}
	if mbr.Status() == member.Gone {
		rtr.RemoveVM(vm)
		return
	}
	info, isRegistered := flt.Entry(nod.settings.Name)
	isCurrent := isRegistered && info.Incarnation == nod.incarnation
	nod.mu.Lock()
	isDeparting := nod.departing[vm]
	nod.mu.Unlock()
	isOpen := isCurrent && !isDeparting && mbr.IsAvailable()
	rtr.SetVM(vm, mbr.Pool(), flt.Share(nod.settings.Name, vm, SlotsPerVM), isOpen)
}

// SetDeparting sets the VMs that are departing or gone in the platform's list. From
// this call on they get no new work.
func (nod *Node) SetDeparting(departing map[string]bool) {
	nod.mu.Lock()
	changed := map[string]bool{}
	for vm := range departing {
		if !nod.departing[vm] {
			changed[vm] = true
		}
	}
	for vm := range nod.departing {
		if !departing[vm] {
			changed[vm] = true
		}
	}
	nod.departing = departing
	nod.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	nod.replica.View(func(flt *fleet.Fleet) {
		nod.dispatcher.Update(func(rtr *router.Router) {
			for vm := range changed {
				nod.updateVM(flt, rtr, vm)
			}
		})
	})
}

// NewRecord returns a record with the present time for display, and with a new
// change id and this entry as author unless cfg has them.
func (nod *Node) NewRecord(now time.Time, cfg record.Config) record.Record {
	if cfg.ChangeID == "" {
		cfg.ChangeID = uuid.NewString()
	}
	if cfg.Author == "" {
		cfg.Author = nod.settings.Name
	}
	cfg.AtMs = now.UnixMilli()
	return record.New(cfg)
}

// IsResponsible reports whether this entry ranks first for the key, by rendezvous
// hashing, among the registered entries of its zone. Two entries may both rank first
// for a moment; applying the second one's records as well does no harm.
func (nod *Node) IsResponsible(flt *fleet.Fleet, key string) bool {
	return fleet.Rank(nod.settings.Name, key, flt.EntriesIn(nod.settings.Zone)) == 0
}

// IsRegistered reports whether this incarnation of the entry is registered in flt.
func (nod *Node) IsRegistered(flt *fleet.Fleet) bool {
	info, ok := flt.Entry(nod.settings.Name)
	return ok && info.Incarnation == nod.incarnation
}

// IsReady reports whether the entry is registered and not stopping.
func (nod *Node) IsReady() bool {
	if nod.stopping.Load() {
		return false
	}
	ready := false
	nod.replica.View(func(flt *fleet.Fleet) { ready = nod.IsRegistered(flt) })
	return ready
}

// SetStopping makes the entry report that it is not ready.
func (nod *Node) SetStopping() { nod.stopping.Store(true) }

// IsStopping reports whether a graceful stop has begun.
func (nod *Node) IsStopping() bool { return nod.stopping.Load() }

// Now returns the present time.
func (nod *Node) Now() time.Time { return nod.cfg.Now() }

// Settings returns the settings.
func (nod *Node) Settings() entry.Config { return nod.settings }

// Incarnation returns the incarnation of the entry, its start time in Unix
// nanoseconds.
func (nod *Node) Incarnation() int64 { return nod.incarnation }

// Journal returns the event log.
func (nod *Node) Journal() *journal.Journal { return nod.cfg.Journal }

// Replica returns the replica of the applied state.
func (nod *Node) Replica() *replica.Replica { return nod.replica }

// Proposer returns the proposer, which appends records.
func (nod *Node) Proposer() *proposer.Proposer { return nod.proposer }

// Dispatcher returns the request dispatcher.
func (nod *Node) Dispatcher() *dispatcher.Dispatcher { return nod.dispatcher }

// Sender returns the sender of request attempts.
func (nod *Node) Sender() *attempt.Sender { return nod.sender }

// PeerEndpoint returns the RPC endpoint for calls between entries.
func (nod *Node) PeerEndpoint() *rpc.Endpoint { return nod.peerEndpoint }

// Log returns the client of the log service.
func (nod *Node) Log() *logservice.Client { return nod.cfg.Log }

// VMList returns the client of the VM list.
func (nod *Node) VMList() *vmlist.Client { return nod.cfg.VMList }

// Worker returns the client of the VMs' agents.
func (nod *Node) Worker() *vmagent.Client { return nod.cfg.Worker }

// Metrics returns the metrics of this process.
func (nod *Node) Metrics() *metrics.Set { return nod.metrics }

// Close ends the connections to peers and to the platform.
func (nod *Node) Close() {
	nod.peerEndpoint.Close()
	nod.sender.Close()
	nod.httpClient.CloseIdleConnections()
}
