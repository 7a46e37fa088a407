package server

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"daisywheel/internal/kernel/node"
	"daisywheel/internal/request/attempt"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/state/fleet"
)

// Limits of stored keys and of the calls between entries.
const (
	keyLifetime    = 10 * time.Minute
	maxKeys        = 50000
	peerTimeout    = time.Second
	maxStoredReply = 32 << 10 // bytes; with a longer reply the key's state becomes unknown
	claimMethod    = "key.claim"
	settleMethod   = "key.settle"
	maxKeyLen      = 255
	sweepInterval  = time.Second
)

// States of a request with an idempotency key.
const (
	stateRunning = "running"
	stateDone    = "done"    // the reply is stored
	stateNotRun  = "notRun"  // the request has not run; the key is free again
	stateUnknown = "unknown" // the outcome is unknown, or the reply was not stored
	stateUnready = "unready" // the owner has not imported its keys yet
)

// claim is the right to run a request with an idempotency key, or the stored reply
// of the first request with that key.
type claim struct {
	keyID       string
	fingerprint uint64
	claimID     string   // identifies this claim among all claims of the key
	peerOwners  []string // peer addresses of the other owners
	isOwner     bool     // whether this entry is an owner
	reply       *attempt.Reply
}

// keyStore stores idempotency keys and the state of their requests. Each key has
// two owners, the first two registered entries by rendezvous hashing. A claim must
// be granted by both, so that the loss of one entry loses no key. When the set of
// entries changes, new owners import their keys from the others (see handover.go).
type keyStore struct {
	nod       *node.Node
	mu        sync.Mutex
	keys      map[string]*storedKey
	lastSweep time.Time
	isSynced  bool // set once the keys of the other entries have been imported
}

type storedKey struct {
	fingerprint uint64
	state       string
	claimID     string // the claim under which the request runs
	updatedAt   time.Time
	reply       *replyJSON
}

type replyJSON struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

type claimJSON struct {
	ID          string     `json:"id"`
	Fingerprint uint64     `json:"print"`
	ClaimID     string     `json:"holder"`
	State       string     `json:"state,omitempty"`
	Reply       *replyJSON `json:"reply,omitempty"`
}

type claimResponseJSON struct {
	IsGranted  bool       `json:"isGranted"`
	State      string     `json:"state"`
	IsConflict bool       `json:"isOther"` // the key was used for a different request
	Reply      *replyJSON `json:"reply,omitempty"`
}

func newKeyStore(nod *node.Node) *keyStore {
	kst := &keyStore{nod: nod, keys: map[string]*storedKey{}}
	nod.PeerEndpoint().Handle(claimMethod, kst.serveClaim)
	nod.PeerEndpoint().Handle(settleMethod, kst.serveSettle)
	nod.PeerEndpoint().Handle(exportMethod, kst.serveExport)
	return kst
}

// fingerprint returns a hash of the request by which reuse of its key for a
// different request is detected.
func fingerprint(req *http.Request, body []byte) uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(req.Method + " " + req.URL.RequestURI() + "\n")
	_, _ = sum.Write(body)
	return sum.Sum64()
}

// owners returns the peer addresses of the key's owners other than this entry, and
// whether this entry is an owner.
func (kst *keyStore) owners(id string) (addresses []string, isOwner bool) {
	own := kst.nod.Settings().Name
	kst.nod.Replica().View(func(flt *fleet.Fleet) {
		names := flt.Entries()
		for _, name := range names {
			if fleet.Rank(name, "key/"+id, names) > 1 {
				continue
			}
			if name == own {
				isOwner = true
				continue
			}
			info, _ := flt.Entry(name)
			addresses = append(addresses, info.Address)
		}
	})
	return addresses, isOwner
}

// claim requests the key from both owners. It returns a claim that allows the
// request to run, a claim with the reply of the first request, or a fault; after a
// fault this request has not run.
func (kst *keyStore) claim(ctx context.Context, service, key string, hash uint64) (*claim, error) {
	if len(key) > maxKeyLen {
		return nil, fault.New(code.BadRequest, "%s has more than %d bytes", keyHeader, maxKeyLen)
	}
	clm := &claim{keyID: service + "/" + key, fingerprint: hash, claimID: uuid.NewString()}
	clm.peerOwners, clm.isOwner = kst.owners(clm.keyID)
	in := claimJSON{ID: clm.keyID, Fingerprint: hash, ClaimID: clm.claimID}
	responses := make([]claimResponseJSON, 0, len(clm.peerOwners)+1)
	if clm.isOwner {
		responses = append(responses, kst.grant(kst.nod.Now(), in))
	}
	for _, address := range clm.peerOwners {
		var out claimResponseJSON
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := kst.nod.PeerEndpoint().Call(callCtx, address, claimMethod, in, &out)
		cancel()
		if err != nil {
			kst.abandon(clm)
			return nil, fault.New(code.KeyUnavailable, "the entry at %s does not answer", address)
		}
		responses = append(responses, out)
	}
	return kst.evaluate(clm, responses)
}

// abandon releases the key at the owners that granted the claim, whose request has
// not run.
func (kst *keyStore) abandon(clm *claim) {
	kst.settle(clm, nil, fault.New(code.KeyUnavailable, "claim abandoned"))
}

// evaluate combines the owners' responses to a claim.
func (kst *keyStore) evaluate(clm *claim, responses []claimResponseJSON) (*claim, error) {
	var refused *claimResponseJSON
	for idx := range responses {
		rsp := &responses[idx]
		if rsp.IsConflict {
			return nil, fault.New(code.KeyConflict, "the key stands for another request")
		}
		if rsp.Reply != nil {
			clm.reply = decodeReply(rsp.Reply)
			return clm, nil
		}
		if !rsp.IsGranted {
			refused = rsp
		}
	}
	if refused == nil {
		return clm, nil
	}
	kst.abandon(clm)
	if refused.State == stateUnready {
		return nil, fault.New(code.KeyUnavailable, "an entry that has just started does not know its keys yet")
	}
	if refused.State == stateUnknown {
		return nil, fault.New(code.KeyOutcomeUnknown, "the outcome of the first request is not known")
	}
	return nil, fault.New(code.KeyRunning, "the first request is running")
}

// grant decides on a claim as one of the key's owners. It refuses new keys while
// the store is full or has not imported its keys.
func (kst *keyStore) grant(now time.Time, in claimJSON) claimResponseJSON {
	kst.mu.Lock()
	defer kst.mu.Unlock()
	kst.removeExpired(now)
	old, ok := kst.keys[in.ID]
	if !ok && !kst.isSynced {
		return claimResponseJSON{State: stateUnready}
	}
	if !ok {
		if len(kst.keys) >= maxKeys {
			return claimResponseJSON{State: stateRunning}
		}
		kst.keys[in.ID] = &storedKey{fingerprint: in.Fingerprint, state: stateRunning, claimID: in.ClaimID, updatedAt: now}
		return claimResponseJSON{IsGranted: true, State: stateRunning}
	}
	if old.fingerprint != in.Fingerprint {
		return claimResponseJSON{IsConflict: true}
	}
	return claimResponseJSON{State: old.state, Reply: old.reply}
}

// removeExpired removes keys older than keyLifetime, at most once per sweepInterval.
func (kst *keyStore) removeExpired(now time.Time) {
	if now.Sub(kst.lastSweep) < sweepInterval {
		return
	}
	kst.lastSweep = now
	for id, stk := range kst.keys {
		if now.Sub(stk.updatedAt) > keyLifetime {
			delete(kst.keys, id)
		}
	}
}

// settle reports the outcome of the claim to the owners. An owner that cannot be
// reached keeps the key as running, so that a repeated request does not run.
func (kst *keyStore) settle(clm *claim, rpy *attempt.Reply, err error) {
	in := claimJSON{ID: clm.keyID, Fingerprint: clm.fingerprint, ClaimID: clm.claimID, State: claimState(rpy, err)}
	if in.State == stateDone {
		in.Reply = encodeReply(rpy)
	}
	if clm.isOwner {
		kst.complete(kst.nod.Now(), in)
	}
	for _, address := range kst.ownersToNotify(clm) {
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		var out claimResponseJSON
		if cause := kst.nod.PeerEndpoint().Call(ctx, address, settleMethod, in, &out); cause != nil {
			kst.nod.Journal().Warn(kst.nod.Now(), "keyNotSettled")
		}
		cancel()
	}
}

// ownersToNotify returns the peer addresses of the owners at the time of the claim
// and of those that have become owners since.
func (kst *keyStore) ownersToNotify(clm *claim) []string {
	addresses := slices.Clone(clm.peerOwners)
	current, _ := kst.owners(clm.keyID)
	for _, address := range current {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func claimState(rpy *attempt.Reply, err error) string {
	switch {
	case err != nil && outcomeOf(fault.CodeOf(err)) == attempt.NotRun:
		return stateNotRun
	case err != nil:
		return stateUnknown
	case rpy.Rest != nil || len(rpy.Prefix) > maxStoredReply:
		return stateUnknown
	}
	return stateDone
}

// complete stores the outcome of a claim. Only the claim that runs the request can
// complete it. A key that is unknown here, as at a new owner, is added unless its
// request has not run.
func (kst *keyStore) complete(now time.Time, in claimJSON) {
	kst.mu.Lock()
	defer kst.mu.Unlock()
	old, ok := kst.keys[in.ID]
	if !ok && in.State != stateNotRun {
		kst.keys[in.ID] = &storedKey{fingerprint: in.Fingerprint, state: in.State, claimID: in.ClaimID, updatedAt: now, reply: in.Reply}
	}
	if !ok || old.claimID != in.ClaimID || old.state != stateRunning {
		return
	}
	if in.State == stateNotRun {
		delete(kst.keys, in.ID)
		return
	}
	old.state = in.State
	old.reply = in.Reply
	old.updatedAt = now
}

func (kst *keyStore) serveClaim(_ context.Context, params json.RawMessage) (any, error) {
	var in claimJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "key.claim")
	}
	return kst.grant(kst.nod.Now(), in), nil
}

func (kst *keyStore) serveSettle(_ context.Context, params json.RawMessage) (any, error) {
	var in claimJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "key.settle")
	}
	kst.complete(kst.nod.Now(), in)
	return claimResponseJSON{State: in.State}, nil
}

func encodeReply(rpy *attempt.Reply) *replyJSON {
	return &replyJSON{Status: rpy.Status, Header: rpy.Header, Body: rpy.Prefix}
}

func decodeReply(rpj *replyJSON) *attempt.Reply {
	return &attempt.Reply{Status: rpj.Status, Header: rpj.Header, Prefix: rpj.Body, Length: int64(len(rpj.Body))}
}
