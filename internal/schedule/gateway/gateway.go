// Package gateway takes callers' requests at any entry to the owner of the pool:
// in this process, over the peer link or, for states, by what the store holds.
package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/peer/link"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/ledger"
	"daisywheel/internal/schedule/owner"
)

// Times of a request.
const (
	// patience is how long a request looks for an owner: a membership lapses after
	// 2 s, but most changes of owner are handed over in less than half of it.
	findOwnerTimeout = 900 * time.Millisecond
	// retryPause is the pause before an owner is looked for again.
	retryDelay = 60 * time.Millisecond
	// findPause is the least time between two looks for the owner of a pool. A
	// hundred requests that wait while the store is down make ten looks a second.
	minLookupInterval = 100 * time.Millisecond
	// askTimeout bounds the wait for the answer of an owner: an append by a store
	// that is 60 times as slow as usual, twice over.
	callTimeout = 900 * time.Millisecond
)

// Names of the methods between entries.
const (
	methodSubmit = "job.submit"
	methodState  = "job.state"
	methodCancel = "job.cancel"
	methodQueued = "queue.waiting"
)

// Config holds what a Gateway needs.
type Config struct {
	Address    string // of this entry's peer link
	Partitions int
	Link       *link.Link
	Archive    archive.Client
	Journal    *journal.Journal
	// Local returns the owner of the pool in this process, or nil.
	Local func(service string) *owner.Owner
}

// Gateway is the way to the owners. It is safe for concurrent use.
type Gateway struct {
	cfg    Config
	mu     sync.Mutex
	ownerAddresses map[string]string
	lookedUpAt map[string]time.Time // when each pool's owner was last looked for
	isLookupOK bool                 // the last look was answered
}

// New returns a Gateway and registers its methods on the link.
func New(cfg Config) *Gateway {
	gtw := &Gateway{cfg: cfg, ownerAddresses: map[string]string{}, lookedUpAt: map[string]time.Time{}, isLookupOK: true}
	cfg.Link.Handle(methodSubmit, gtw.serveSubmit)
	cfg.Link.Handle(methodState, gtw.serveState)
	cfg.Link.Handle(methodCancel, gtw.serveCancel)
	cfg.Link.Handle(methodQueued, gtw.serveQueued)
	return gtw
}

// ask is the question of one entry to another.
type request struct {
	Service string          `json:"service"`
	Queue   string          `json:"queue,omitempty"`
	ID      string          `json:"id,omitempty"`
	Job     json.RawMessage `json:"job,omitempty"`
}

// reply is the answer.
type reply struct {
	IsFound bool         `json:"isFound"`
	State   ledger.State `json:"state"`
	Count   int          `json:"count"`
}

// Submit stores a job with the owner of the queue's pool. A fault with the code
// OutcomeUnknown means that it may be stored; any other that it is not.
func (gtw *Gateway) Submit(ctx context.Context, now time.Time, que queue.Queue, pln *plan.Plan) error {
	job, err := ledger.EncodeJob(ledger.Job{Plan: pln, Queue: que.Name, Accepted: now})
	if err != nil {
		return fault.Wrap(err, code.BadShape, "job cannot be stored")
	}
	_, err = gtw.call(ctx, methodSubmit, request{Service: que.Service, Queue: que.Name, Job: job}, func(own *owner.Owner) (reply, error) {
		return reply{}, own.Submit(ctx, now, pln, que.Name)
	})
	return err
}

// State returns the state of a job. A job that the owner does not know is looked
// up in the store, so that its absence is proved.
func (gtw *Gateway) State(ctx context.Context, que queue.Queue, id string) (ste ledger.State, found bool, err error) {
	rep, err := gtw.call(ctx, methodState, request{Service: que.Service, ID: id}, func(own *owner.Owner) (reply, error) {
		ste, ok, err := own.State(id)
		return reply{IsFound: ok, State: ste}, err
	})
	if err == nil && rep.IsFound {
		return rep.State, true, nil
	}
	part := group.PartitionOf(que.Service, gtw.cfg.Partitions)
	ste, found, lookErr := owner.Lookup(ctx, gtw.cfg.Archive, que.Service, part, id)
	if lookErr != nil {
		return 0, false, fault.Wrap(lookErr, code.LogUnavailable, "state of job %s", id)
	}
	return ste, found, nil
}

// Cancel ends a job.
func (gtw *Gateway) Cancel(ctx context.Context, now time.Time, que queue.Queue, id string) (found bool, err error) {
	rep, err := gtw.call(ctx, methodCancel, request{Service: que.Service, ID: id}, func(own *owner.Owner) (reply, error) {
		found, err := own.Cancel(ctx, now, id)
		return reply{IsFound: found}, err
	})
	if err != nil || rep.IsFound {
		return rep.IsFound, err
	}
	part := group.PartitionOf(que.Service, gtw.cfg.Partitions)
	_, found, err = owner.Lookup(ctx, gtw.cfg.Archive, que.Service, part, id)
	if err != nil {
		return false, fault.Wrap(err, code.LogUnavailable, "state of job %s", id)
	}
	if found {
		return true, fault.New(code.NotReady, "the owner of the pool does not know job %s yet", id)
	}
	return false, nil
}

// Queued returns how many jobs of the queue have not begun.
func (gtw *Gateway) Queued(ctx context.Context, que queue.Queue) (int, error) {
	rep, err := gtw.call(ctx, methodQueued, request{Service: que.Service, Queue: que.Name}, func(own *owner.Owner) (reply, error) {
		return reply{Count: own.Queued(que.Name)}, nil
	})
	return rep.Count, err
}

// call asks the owner, wherever it is. While none is found, or one does not
// answer, it looks for it anew: each question does the same when it is repeated,
// as jobs have ids. An unknown outcome stays so unless a repeat is answered.
func (gtw *Gateway) call(ctx context.Context, method string, ask request, local func(*owner.Owner) (reply, error)) (reply, error) {
	began := time.Now()
	var unknown error
	for isFirst := true; ; isFirst = false {
		rep, err := gtw.callOnce(ctx, method, ask, local)
		isUnknown := fault.CodeOf(err) == code.OutcomeUnknown
		if err == nil || !isNotOwner(err) && !isUnknown {
			return rep, err
		}
		if isUnknown {
			unknown = err
		}
		isOver := !isFirst && time.Since(began) > findOwnerTimeout && unknown == nil
		if isOver || ctx.Err() != nil {
			if unknown != nil {
				err = unknown
			}
			return reply{}, err
		}
		if !isFirst {
			sleep(ctx, retryDelay)
		}
		gtw.refreshOwner(ctx, ask.Service)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// isElsewhere reports whether the asked entry is certainly not the owner.
func isNotOwner(err error) bool { return fault.CodeOf(err) == code.NotReady }

func (gtw *Gateway) callOnce(ctx context.Context, method string, ask request, local func(*owner.Owner) (reply, error)) (reply, error) {
	if own := gtw.cfg.Local(ask.Service); own != nil {
		return local(own)
	}
	gtw.mu.Lock()
	address := gtw.ownerAddresses[ask.Service]
	gtw.mu.Unlock()
	if address == "" || address == gtw.cfg.Address {
		return reply{}, fault.New(code.NotReady, "the pool %s has no owner that is known here", ask.Service)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := gtw.cfg.Link.Connect(callCtx, address); err != nil {
		return reply{}, fault.Wrap(err, code.NotReady, "owner of the pool %s", ask.Service)
	}
	var rep reply
	err := gtw.cfg.Link.Call(callCtx, address, method, ask, &rep)
	if err != nil && fault.CodeOf(err) == code.PlatformError {
		// The connection failed or the time ran out: the call may have arrived.
		return rep, fault.Wrap(err, code.OutcomeUnknown, "owner of the pool %s", ask.Service)
	}
	return rep, err
}

// find looks up who owns the pool, for all requests that wait for it together.
func (gtw *Gateway) refreshOwner(ctx context.Context, service string) {
	now := time.Now()
	gtw.mu.Lock()
	isFresh := now.Sub(gtw.lookedUpAt[service]) < minLookupInterval
	if !isFresh {
		gtw.lookedUpAt[service] = now
	}
	gtw.mu.Unlock()
	if isFresh {
		return
	}
	address, err := claim.Find(ctx, gtw.cfg.Archive, service)
	gtw.mu.Lock()
	defer gtw.mu.Unlock()
	if gtw.isLookupOK != (err == nil) && ctx.Err() == nil {
		gtw.isLookupOK = err == nil
		gtw.logLookup(service, err)
	}
	if err == nil && gtw.ownerAddresses[service] != address {
		gtw.ownerAddresses[service] = address
		gtw.cfg.Journal.Event(time.Now(), "ownerFound", slog.String("pool", service), slog.String("address", address))
	}
}

func (gtw *Gateway) logLookup(service string, err error) {
	if err == nil {
		gtw.cfg.Journal.Event(time.Now(), "claimsRegained", slog.String("pool", service))
		return
	}
	gtw.cfg.Journal.Warn(time.Now(), "claimsUnread", slog.String("pool", service), slog.String("error", err.Error()))
}

// local returns the owner that a peer asked for.
func (gtw *Gateway) decodeForLocal(params json.RawMessage) (request, *owner.Owner, error) {
	var in request
	if err := json.Unmarshal(params, &in); err != nil {
		return in, nil, fault.Wrap(err, code.BadShape, "peer's question")
	}
	own := gtw.cfg.Local(in.Service)
	if own == nil {
		return in, nil, fault.New(code.NotReady, "this entry does not own the pool %s", in.Service)
	}
	return in, own, nil
}

func (gtw *Gateway) serveSubmit(ctx context.Context, params json.RawMessage) (any, error) {
	in, own, err := gtw.decodeForLocal(params)
	if err != nil {
		return nil, err
	}
	job, err := ledger.DecodeJob(in.Job)
	if err != nil {
		return nil, fault.Wrap(err, code.BadShape, "peer's job")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return reply{}, own.Submit(ctx, time.Now(), job.Plan, in.Queue)
}

func (gtw *Gateway) serveState(_ context.Context, params json.RawMessage) (any, error) {
	in, own, err := gtw.decodeForLocal(params)
	if err != nil {
		return nil, err
	}
	ste, ok, err := own.State(in.ID)
	return reply{IsFound: ok, State: ste}, err
}

func (gtw *Gateway) serveCancel(ctx context.Context, params json.RawMessage) (any, error) {
	in, own, err := gtw.decodeForLocal(params)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := own.Cancel(ctx, time.Now(), in.ID)
	return reply{IsFound: found}, err
}

func (gtw *Gateway) serveQueued(_ context.Context, params json.RawMessage) (any, error) {
	in, own, err := gtw.decodeForLocal(params)
	if err != nil {
		return nil, err
	}
	return reply{Count: own.Queued(in.Queue)}, nil
}
