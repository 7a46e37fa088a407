// Package gateway forwards callers' requests from any entry to the owner of the
// pool, in this process or over the peer link. The state of a job can also be read
// from the state log. After the configuration has sent a queue to another pool, its jobs
// stay with the pool that has accepted them, which is asked too.
package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/peer/rpc"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/statelog"
)

// Timeouts and intervals of a request.
const (
	// findOwnerTimeout is how long a request searches for an owner. A membership
	// expires after 2 s, but most changes of owner are handovers that take less than
	// half of that.
	findOwnerTimeout = 900 * time.Millisecond
	// cutOffTimeout bounds a connection or a read of the log by an entry whose membership
	// is not confirmed: 50 times the usual 4 ms.
	cutOffTimeout = 200 * time.Millisecond
	// retryDelay is the delay before the owner is looked up again.
	retryDelay = 60 * time.Millisecond
	// minLookupInterval limits how often a pool's owner is looked up: a hundred
	// requests that wait while the state log is down cause ten lookups a second.
	minLookupInterval = 100 * time.Millisecond
	// refusalLookupInterval is the same while the owner cannot reach the log. Usually no
	// entry can then, and a change of owner takes longer than that.
	refusalLookupInterval = time.Second
	// callTimeout bounds a call to an owner: twice the time of an append to a state
	// log that is 60 times slower than usual.
	callTimeout = 900 * time.Millisecond
	// readVersionTimeout bounds the reading of a configuration that another entry asks for; its call takes
	// callTimeout at most.
	readVersionTimeout = 700 * time.Millisecond
	// reachTimeout bounds the search for an owner that has to be asked: a call and a lookup of the next
	// owner.
	reachTimeout = callTimeout + findOwnerTimeout/2
	// repeatTime is how long after a change of a queue's pool callers may repeat submissions
	// that the former one has accepted.
	repeatTime = time.Minute
	// maxIndexAge is how old the index of pools may be for a count of waiting jobs, which may be 2 s old.
	maxIndexAge = 1900 * time.Millisecond
	// lagLimit is how long after a change of a queue's pool the owner of the former one may go by an
	// earlier configuration, if it can't be asked: longer than it takes to replace an owner, and than a
	// connected entry takes to read a configuration.
	lagLimit = 5 * time.Second
)

// Names of the RPC methods between entries.
const (
	methodSubmit = "job.submit" // of earlier versions, whose owners do not look for the job in other pools
	methodAccept = "job.accept"
	methodState  = "job.state"
	methodCancel = "job.cancel"
	methodQueued = "queue.waiting"
	methodAdopt  = "job.adopt"
)

// Config holds what a Gateway needs.
type Config struct {
	Address      string // of this entry's peer link
	Partitions   int
	PeerEndpoint *rpc.Endpoint
	StateLog     statelog.Client
	PoolIndex    *poolindex.Index
	Journal      *journal.Journal
	// LocalOwner returns the pool's owner if it runs in this process, or nil.
	LocalOwner func(pool string) *owner.Owner
	// IsConfirmed reports whether this entry's membership is confirmed. If not, it may be
	// cut off from the log and from other entries.
	IsConfirmed func() bool
	// CatchUp returns once this entry has applied all configurations that were stored when it was
	// called. Nil is for entries whose configuration does not change.
	CatchUp func(ctx context.Context, now time.Time) error
}

// Gateway routes requests to the owners of pools. It is safe for concurrent use.
type Gateway struct {
	cfg            Config
	mu             sync.Mutex
	ownerAddresses map[string]string
	lookedUpAt     map[string]time.Time  // by pool: when the owner was last looked up
	isLogReachable bool                  // the last lookup succeeded
	table          *queue.Table          // in force; nil before the first
	assignments    map[string]assignment // by address of the queue
	// leftAt has, by address of the queue, the pools that lately had it, and when this entry learned
	// that they have it no longer.
	leftAt  map[string]map[string]time.Time
	ending  sync.Mutex           // held while the term of an owner is ended
	endedAt map[string]time.Time // by pool: when this entry last began to end its owner's term
}

// assignment is the pool of a queue since a version of the configuration, and since when this entry
// knows of it.
type assignment struct {
	pool    string
	version int64
	since   time.Time
}

// New returns a Gateway and registers its RPC handlers on the peer endpoint.
func New(cfg Config) *Gateway {
	gtw := &Gateway{cfg: cfg, endedAt: map[string]time.Time{}, leftAt: map[string]map[string]time.Time{}, ownerAddresses: map[string]string{}, lookedUpAt: map[string]time.Time{}, isLogReachable: true}
	cfg.PeerEndpoint.Handle(methodSubmit, gtw.serveSubmit)
	cfg.PeerEndpoint.Handle(methodAccept, gtw.serveSubmit)
	cfg.PeerEndpoint.Handle(methodState, gtw.serveState)
	cfg.PeerEndpoint.Handle(methodCancel, gtw.serveCancel)
	cfg.PeerEndpoint.Handle(methodQueued, gtw.serveQueued)
	cfg.PeerEndpoint.Handle(methodAdopt, gtw.serveAdopt)
	return gtw
}

// SetTable applies a new configuration of queues, before requests are routed by it. The owners of this process
// must have it by then.
func (gtw *Gateway) SetTable(now time.Time, tab *queue.Table) {
	gtw.mu.Lock()
	defer gtw.mu.Unlock()
	next := map[string]assignment{}
	for _, que := range tab.Queues() {
		asg := gtw.assignments[que.Address()]
		if asg.pool != que.Pool || asg.version != que.Since {
			asg = assignment{pool: que.Pool, version: que.Since, since: now}
		}
		next[que.Address()] = asg
	}
	for address, asg := range gtw.assignments {
		if next[address].pool != asg.pool {
			gtw.noteFormerPool(now, address, asg.pool)
		}
	}
	gtw.table, gtw.assignments = tab, next
}

// request holds the parameters of all methods.
type request struct {
	Pool    string `json:"service"`
	Queue   string `json:"queue,omitempty"`
	Address string `json:"address,omitempty"` // of the queue
	Version int64  `json:"version,omitempty"` // of the configuration by which the sender routes
	// Organisation is that of the caller.
	Organisation string          `json:"organisation,omitempty"`
	ID           string          `json:"id,omitempty"`
	Job          json.RawMessage `json:"job,omitempty"`
	// Handover is the record of a job that another pool hands over.
	Handover json.RawMessage `json:"handover,omitempty"`
	// MinVersion is the version of the configuration that the owner must have read to
	// answer. Then it no longer accepts jobs that are routed by earlier ones.
	MinVersion int64 `json:"minVersion,omitempty"`
	// Reroutes is set if the sender knows the code StaleRoute.
	Reroutes bool `json:"reroutes,omitempty"`
	// mustReachOwner is set by the sender if the answer of an owner that can't be reached must not be
	// taken from the log.
	mustReachOwner bool
}

// newRequest returns a request about the queue to the pool, which may be a former one of
// the queue.
func newRequest(pool string, que queue.Queue, id string) request {
	return request{Pool: pool, Queue: que.Name, Address: que.Address(), Version: que.Version, Organisation: que.Organisation, ID: id, Reroutes: true}
}

func (req *request) queue() queue.Ref {
	return queue.Ref{Name: req.Queue, Address: req.Address, Version: req.Version, Organisation: req.Organisation}
}

// reply is the result of all methods.
type reply struct {
	IsFound bool            `json:"isFound"`
	State   jobrecord.State `json:"state"`
	Count   int             `json:"count"`
}

// Submit stores a job with the owner of the queue's pool, unless a former pool of the queue
// has it. After a fault with code OutcomeUnknown the job may be stored; after any other error
// it is not.
func (gtw *Gateway) Submit(ctx context.Context, now time.Time, que queue.Queue, pln *plan.Plan) error {
	job, err := jobrecord.EncodeJob(jobrecord.Job{Plan: pln, Queue: que.Name, Address: que.Address(), Organisation: que.Organisation, FirstAttempt: now})
	if err != nil {
		return fault.Wrap(err, code.BadShape, "job cannot be stored")
	}
	_, err = gtw.byRoute(ctx, now, que, pln.ID, func(que queue.Queue) (reply, error) {
		req := newRequest(que.Pool, que, "")
		req.Job = job
		return gtw.submit(ctx, now, que, pln.ID, req, func(own *owner.Owner) (reply, error) {
			return reply{}, own.Submit(ctx, now, pln, que.Ref())
		})
	})
	return err
}

// HandOver passes a job to the owner of another pool, and returns once it is stored there.
func (gtw *Gateway) HandOver(ctx context.Context, hnd jobrecord.Handover) error {
	if hnd.Previous != "" {
		part := group.PartitionOf(hnd.Previous, gtw.cfg.Partitions)
		_, found, err := owner.StoredHandover(ctx, gtw.cfg.StateLog, hnd.Previous, part, hnd.Job.Plan.ID, func(queue.Ref) bool { return true })
		if err != nil {
			return err
		}
		if found {
			return fault.New(code.NotReady, "the pool %s has not ended its handover of job %s", hnd.Previous, hnd.Job.Plan.ID)
		}
	}
	data, err := jobrecord.EncodeHandover(hnd)
	if err != nil {
		return err
	}
	req := request{Pool: hnd.To, ID: hnd.Job.Plan.ID, Handover: data}
	_, err = gtw.call(ctx, methodAdopt, req, func(own *owner.Owner) (reply, error) {
		return reply{}, own.Adopt(ctx, time.Now(), hnd)
	})
	return err
}

func (gtw *Gateway) serveAdopt(ctx context.Context, params json.RawMessage) (any, error) {
	req, own, err := gtw.decodeAndFindOwner(params)
	if err != nil {
		return nil, err
	}
	hnd, err := jobrecord.DecodeHandover(req.Handover)
	if err != nil {
		return nil, fault.Wrap(err, code.BadShape, "peer's handover")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return reply{}, own.Adopt(ctx, time.Now(), hnd)
}

// State returns the state of a job. If the owner does not know the job or does not
// answer, the state log is read, so that a job is reported as missing only if it is
// not stored.
func (gtw *Gateway) State(ctx context.Context, que queue.Queue, id string) (ste jobrecord.State, found bool, err error) {
	rep, err := gtw.byRoute(ctx, time.Now(), que, id, func(que queue.Queue) (reply, error) {
		ste, found, err := gtw.stateByRoute(ctx, que, id)
		return reply{IsFound: found, State: ste}, err
	})
	return rep.State, rep.IsFound, err
}

// stateByRoute is State by one route of the queue.
func (gtw *Gateway) stateByRoute(ctx context.Context, que queue.Queue, id string) (ste jobrecord.State, found bool, err error) {
	ste, found, err = gtw.stateIn(ctx, newRequest(que.Pool, que, id))
	if found || err != nil {
		return ste, found, err
	}
	now := time.Now()
	pools, unread := gtw.formerPools(ctx, now, que)
	for _, pool := range pools {
		ste, found, err = gtw.stateIn(ctx, newRequest(pool, que, id))
		if found {
			gtw.logFormerPool(now, que, pool, id)
		}
		if found || err != nil {
			return ste, found, err
		}
	}
	if len(pools) > 0 { // it may have been handed over meanwhile
		if ste, found, err = gtw.stateIn(ctx, newRequest(que.Pool, que, id)); found || err != nil {
			return ste, found, err
		}
	}
	return 0, false, unread
}

// isOfQueue returns a function that reports whether a job that was submitted to a queue is to be
// shown in the present one: it is the same, or the configuration has it no longer, as it may have
// a new name.
func (gtw *Gateway) isOfQueue(present queue.Ref) func(ref queue.Ref) bool {
	gtw.mu.Lock()
	tab := gtw.table
	gtw.mu.Unlock()
	return func(ref queue.Ref) bool {
		if !present.MayShow(ref) {
			return false
		}
		if present.IsSame(ref) || tab == nil {
			return true
		}
		_, isConfigured := tab.ByName(ref.Name)
		return !isConfigured
	}
}

// stateIn returns the state of a job in one pool.
func (gtw *Gateway) stateIn(ctx context.Context, req request) (ste jobrecord.State, found bool, err error) {
	callCtx := ctx
	if req.mustReachOwner {
		// The caller is better served by a refusal than by a wait for an owner that stays silent.
		var stop context.CancelFunc
		callCtx, stop = context.WithTimeout(ctx, reachTimeout)
		defer stop()
	}
	rep, err := gtw.call(callCtx, methodState, req, func(own *owner.Owner) (reply, error) { return gtw.stateOf(callCtx, own, req) })
	if err == nil && rep.IsFound {
		return rep.State, true, nil
	}
	switch fault.CodeOf(err) {
	case code.UnknownJob:
		return 0, false, nil // another queue has it
	case code.StaleRoute:
		return 0, false, err
	}
	if req.mustReachOwner && (errors.Is(err, errUnreachable) || fault.CodeOf(err) == code.OutcomeUnknown) {
		return 0, false, err
	}
	part := group.PartitionOf(req.Pool, gtw.cfg.Partitions)
	ctx, cancel := gtw.limitIfCutOff(ctx)
	defer cancel()
	isOfQueue := gtw.isOfQueue(req.queue())
	ste, found, lookupErr := owner.StoredState(ctx, gtw.cfg.StateLog, req.Pool, part, req.ID, isOfQueue)
	if err != nil && lookupErr == nil && !found {
		ste, found, lookupErr = owner.StoredHandover(ctx, gtw.cfg.StateLog, req.Pool, part, req.ID, isOfQueue)
	}
	if lookupErr != nil {
		return 0, false, fault.Wrap(lookupErr, code.LogUnavailable, "state of job %s", req.ID)
	}
	return ste, found, nil
}

// Cancel cancels a job. It reports false when there is no such job.
func (gtw *Gateway) Cancel(ctx context.Context, now time.Time, que queue.Queue, id string) (found bool, err error) {
	rep, err := gtw.byRoute(ctx, now, que, id, func(que queue.Queue) (reply, error) {
		found, err := gtw.cancelByRoute(ctx, now, que, id)
		return reply{IsFound: found}, err
	})
	return rep.IsFound, err
}

// cancelByRoute is Cancel by one route of the queue.
func (gtw *Gateway) cancelByRoute(ctx context.Context, now time.Time, que queue.Queue, id string) (found bool, err error) {
	found, err = gtw.cancelIn(ctx, now, newRequest(que.Pool, que, id))
	if found || err != nil {
		return found, err
	}
	pools, unread := gtw.formerPools(ctx, now, que)
	for _, pool := range pools {
		found, err = gtw.cancelIn(ctx, now, newRequest(pool, que, id))
		if found {
			gtw.logFormerPool(now, que, pool, id)
		}
		if found || err != nil {
			return found, err
		}
	}
	if len(pools) > 0 { // it may have been handed over meanwhile
		if found, err = gtw.cancelIn(ctx, now, newRequest(que.Pool, que, id)); found || err != nil {
			return found, err
		}
	}
	return false, unread
}

// cancelIn cancels a job in one pool.
func (gtw *Gateway) cancelIn(ctx context.Context, now time.Time, req request) (found bool, err error) {
	rep, err := gtw.call(ctx, methodCancel, req, func(own *owner.Owner) (reply, error) {
		found, err := own.Cancel(ctx, now, req.queue(), req.ID)
		return reply{IsFound: found}, err
	})
	if fault.CodeOf(err) == code.UnknownJob {
		return false, nil // another queue has it
	}
	if err != nil || rep.IsFound {
		return rep.IsFound, err
	}
	part := group.PartitionOf(req.Pool, gtw.cfg.Partitions)
	_, found, err = owner.StoredState(ctx, gtw.cfg.StateLog, req.Pool, part, req.ID, gtw.isOfQueue(req.queue()))
	if err != nil {
		return false, fault.Wrap(err, code.LogUnavailable, "state of job %s", req.ID)
	}
	if found {
		return true, fault.New(code.NotReady, "the owner of the pool does not know job %s yet", req.ID)
	}
	return false, nil
}

// Queued returns how many jobs of the queue have not started.
func (gtw *Gateway) Queued(ctx context.Context, que queue.Queue) (int, error) {
	pools, err := gtw.allPools(ctx, que)
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, pool := range pools {
		req := newRequest(pool, que, "")
		rep, err := gtw.call(ctx, methodQueued, req, func(own *owner.Owner) (reply, error) {
			return countQueued(ctx, own, req.queue())
		})
		if err != nil {
			return 0, err
		}
		sum += rep.Count
	}
	return sum, nil
}

// call sends a request to the owner, local or remote. If no owner is found or it
// does not answer, call looks up the owner again and repeats the request; all
// methods are idempotent, as jobs have ids. After an unknown outcome it retries
// until it succeeds or ctx ends. It returns the unknown outcome in the latter case and
// after a refusal, as the first request may still reach the owner.
func (gtw *Gateway) call(ctx context.Context, method string, req request, local func(*owner.Owner) (reply, error)) (reply, error) {
	started := time.Now()
	var unknownErr error
	for isFirst := true; ; isFirst = false {
		address := gtw.ownerAddress(req.Pool)
		rep, err := gtw.callOnce(ctx, method, req, local)
		isUnknown := fault.CodeOf(err) == code.OutcomeUnknown
		if err == nil {
			return rep, nil
		}
		if isUnknown {
			unknownErr = err
		}
		if !isNotOwner(err) && !isUnknown {
			if unknownErr != nil {
				return reply{}, unknownErr
			}
			if fault.CodeOf(err) == code.LogUnavailable && gtw.findsNextOwner(ctx, req.Pool, address) {
				continue
			}
			return rep, err
		}
		isTimedOut := !isFirst && time.Since(started) > findOwnerTimeout && unknownErr == nil
		isCutOff := isNotOwner(err) && !gtw.cfg.IsConfirmed() // without the log no other owner can be found
		if isTimedOut || isCutOff || ctx.Err() != nil {
			if unknownErr != nil {
				err = unknownErr
			}
			return reply{}, err
		}
		if !isFirst {
			sleep(ctx, retryDelay)
		}
		gtw.refreshOwner(ctx, req.Pool)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// errUnreachable marks the error of a request whose owner is known but can't be connected to, and so may
// still be the owner.
var errUnreachable = errors.New("the owner can't be reached")

// isNotOwner reports whether the called entry is certainly not the owner.
func isNotOwner(err error) bool { return fault.CodeOf(err) == code.NotReady }

func (gtw *Gateway) callOnce(ctx context.Context, method string, req request, local func(*owner.Owner) (reply, error)) (reply, error) {
	if own := gtw.cfg.LocalOwner(req.Pool); own != nil {
		return local(own)
	}
	address := gtw.ownerAddress(req.Pool)
	if address == "" || address == gtw.cfg.Address {
		return reply{}, fault.New(code.NotReady, "the pool %s has no owner that is known here", req.Pool)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connectCtx, stop := gtw.limitIfCutOff(callCtx)
	err := gtw.cfg.PeerEndpoint.Connect(connectCtx, address)
	stop()
	if err != nil {
		return reply{}, errors.Mark(fault.Wrap(err, code.NotReady, "owner of the pool %s", req.Pool), errUnreachable)
	}
	var rep reply
	err = gtw.cfg.PeerEndpoint.Call(callCtx, address, method, req, &rep)
	if err != nil && fault.CodeOf(err) == code.PlatformError {
		// The connection failed or the call timed out: it may have been received.
		return rep, fault.Wrap(err, code.OutcomeUnknown, "owner of the pool %s", req.Pool)
	}
	return rep, err
}

// ownerAddress returns the address of the pool's owner as of the last lookup, or "".
func (gtw *Gateway) ownerAddress(pool string) string {
	gtw.mu.Lock()
	defer gtw.mu.Unlock()
	return gtw.ownerAddresses[pool]
}

// OwnerAddresses returns the addresses of pools' owners that are known here.
func (gtw *Gateway) OwnerAddresses() []string {
	gtw.mu.Lock()
	defer gtw.mu.Unlock()
	return slices.Collect(maps.Values(gtw.ownerAddresses))
}

// findsNextOwner looks up the pool's owner after the one at the address could not reach
// the log, and reports whether there is another.
func (gtw *Gateway) findsNextOwner(ctx context.Context, pool, address string) bool {
	if gtw.cfg.LocalOwner(pool) != nil || !gtw.cfg.IsConfirmed() {
		return false
	}
	gtw.mu.Lock()
	isDue := time.Since(gtw.lookedUpAt[pool]) >= refusalLookupInterval
	gtw.mu.Unlock()
	if isDue {
		ctx, cancel := context.WithTimeout(ctx, cutOffTimeout)
		defer cancel()
		gtw.refreshOwner(ctx, pool)
	}
	return gtw.ownerAddress(pool) != address
}

// limitIfCutOff limits ctx to cutOffTimeout if this entry may be cut off. Its callers are
// then better served by another entry.
func (gtw *Gateway) limitIfCutOff(ctx context.Context) (context.Context, context.CancelFunc) {
	if gtw.cfg.IsConfirmed() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, cutOffTimeout)
}

// refreshOwner looks up the pool's owner, once for all requests that wait for it.
func (gtw *Gateway) refreshOwner(ctx context.Context, pool string) {
	now := time.Now()
	gtw.mu.Lock()
	isRecent := now.Sub(gtw.lookedUpAt[pool]) < minLookupInterval
	if !isRecent {
		gtw.lookedUpAt[pool] = now
	}
	gtw.mu.Unlock()
	if isRecent {
		return
	}
	address, err := claim.FindOwner(ctx, gtw.cfg.StateLog, claim.Pool(pool))
	gtw.mu.Lock()
	defer gtw.mu.Unlock()
	if gtw.isLogReachable != (err == nil) && ctx.Err() == nil {
		gtw.isLogReachable = err == nil
		gtw.logLookup(pool, err)
	}
	if err == nil && gtw.ownerAddresses[pool] != address {
		gtw.ownerAddresses[pool] = address
		gtw.cfg.Journal.Event(time.Now(), "ownerFound", slog.String("pool", pool), slog.String("address", address))
	}
}

func (gtw *Gateway) logLookup(pool string, err error) {
	if err == nil {
		gtw.cfg.Journal.Event(time.Now(), "claimsRegained", slog.String("pool", pool))
		return
	}
	gtw.cfg.Journal.Warn(time.Now(), "claimsUnread", slog.String("pool", pool), slog.String("error", err.Error()))
}

// decodeAndFindOwner decodes a peer's request and returns the local owner of its pool.
func (gtw *Gateway) decodeAndFindOwner(params json.RawMessage) (request, *owner.Owner, error) {
	var req request
	if err := json.Unmarshal(params, &req); err != nil {
		return req, nil, fault.Wrap(err, code.BadShape, "peer's question")
	}
	own := gtw.cfg.LocalOwner(req.Pool)
	if own == nil {
		return req, nil, fault.New(code.NotReady, "this entry does not own the pool %s", req.Pool)
	}
	return req, own, nil
}

func (gtw *Gateway) serveSubmit(ctx context.Context, params json.RawMessage) (any, error) {
	req, own, err := gtw.decodeAndFindOwner(params)
	if err != nil {
		return nil, err
	}
	job, err := jobrecord.DecodeJob(req.Job)
	if err != nil {
		return nil, fault.Wrap(err, code.BadShape, "peer's job")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return reply{}, req.refusal(own.Submit(ctx, time.Now(), job.Plan, req.queue()))
}

// refusal returns the error as the sender knows it: one of an earlier version of the program repeats the
// request.
func (req *request) refusal(err error) error {
	if fault.CodeOf(err) == code.StaleRoute && !req.Reroutes {
		return fault.Wrap(err, code.NotReady, "the sender's route")
	}
	return err
}

func (gtw *Gateway) serveState(ctx context.Context, params json.RawMessage) (any, error) {
	var req request
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, fault.Wrap(err, code.BadShape, "peer's question")
	}
	// Also an entry that does not own the pool may be about to.
	if err := gtw.ReadVersion(ctx, req.MinVersion); err != nil {
		return nil, req.refusal(err)
	}
	_, own, err := gtw.decodeAndFindOwner(params)
	if err != nil {
		return nil, err
	}
	rep, err := gtw.stateOf(ctx, own, req)
	return rep, req.refusal(err)
}

// stateOf returns the state of a job in the owner's pool. The owner answers by the version of the
// configuration that the request asks for, or a later one.
func (gtw *Gateway) stateOf(ctx context.Context, own *owner.Owner, req request) (reply, error) {
	if req.MinVersion > 0 {
		if err := gtw.ReadVersion(ctx, req.MinVersion); err != nil {
			return reply{}, err
		}
		if err := own.LeaveRoute(ctx, time.Now(), req.Address, req.MinVersion); err != nil {
			return reply{}, err
		}
	}
	ste, ok, err := own.State(req.queue(), req.ID)
	return reply{IsFound: ok, State: ste}, err
}

func (gtw *Gateway) serveCancel(ctx context.Context, params json.RawMessage) (any, error) {
	req, own, err := gtw.decodeAndFindOwner(params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := own.Cancel(ctx, time.Now(), req.queue(), req.ID)
	return reply{IsFound: found}, req.refusal(err)
}

func (gtw *Gateway) serveQueued(ctx context.Context, params json.RawMessage) (any, error) {
	req, own, err := gtw.decodeAndFindOwner(params)
	if err != nil {
		return nil, err
	}
	return countQueued(ctx, own, req.queue())
}

func countQueued(ctx context.Context, own *owner.Owner, ref queue.Ref) (reply, error) {
	count, err := own.CountQueued(ctx, time.Now(), ref)
	return reply{Count: count}, err
}
