package door

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

// Times and bounds of remembered keys.
const (
	keyLifetime    = 10 * time.Minute
	maxKeys        = 50000
	peerTimeout    = time.Second
	maxStoredReply = 32 << 10
	claimMethod    = "key.claim"
	settleMethod   = "key.settle"
	maxKeyLen      = 255
	sweepInterval  = time.Second
)

// Work states of a keyed request.
const (
	stateRunning = "running"
	stateDone    = "done"    // the reply is kept
	stateNotRun  = "notRun"  // the key is free again
	stateUnknown = "unknown" // the outcome is not known
	stateUnready = "unready" // the owner has not taken its keys over yet
)

// claim is this entry's right to run a keyed request, or the first run's reply.
type claim struct {
	keyID       string
	fingerprint uint64
	claimID     string   // names this claim among all claims of the key
	peerOwners  []string // peer addresses of the entries that remember the key
	isOwner     bool     // this entry is one of the owners
	reply       *attempt.Reply
}

// keyring remembers keyed requests. Two entries remember each key: the first two
// by rendezvous hashing among all registered entries. A claim needs both, so the
// loss of one entry loses no key. When entries come or go, the new owners of a
// key take it over from the others (see handover.go).
type keyStore struct {
	nod       *node.Node
	mu        sync.Mutex
	keys      map[string]*keyEntry
	lastSweep time.Time
	isSynced  bool // the keys of the entries that were there before have been taken over
}

type keyEntry struct {
	fingerprint uint64
	state       string
	claimID     string // the claim that runs the request
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
	IsConflict bool       `json:"isOther"` // the key was used for another request
	Reply      *replyJSON `json:"reply,omitempty"`
}

func newKeyStore(nod *node.Node) *keyStore {
	kst := &keyStore{nod: nod, keys: map[string]*keyEntry{}}
	nod.Link().Handle(claimMethod, kst.serveClaim)
	nod.Link().Handle(settleMethod, kst.serveSettle)
	nod.Link().Handle(exportMethod, kst.serveExport)
	return kst
}

// fingerprint identifies the request that a key stands for.
func fingerprint(req *http.Request, body []byte) uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(req.Method + " " + req.URL.RequestURI() + "\n")
	_, _ = sum.Write(body)
	return sum.Sum64()
}

// owners returns the peer addresses of the two entries that remember the key.
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
			facts, _ := flt.Entry(name)
			addresses = append(addresses, facts.Address)
		}
	})
	return addresses, isOwner
}

// claim asks both owners for the key. It returns a claim that may run, a claim
// with the first run's reply, or a fault; on a fault this request has not run.
func (kst *keyStore) claim(ctx context.Context, service, key string, hash uint64) (*claim, error) {
	if len(key) > maxKeyLen {
		return nil, fault.New(code.BadRequest, "%s has more than %d bytes", keyHeader, maxKeyLen)
	}
	clm := &claim{keyID: service + "/" + key, fingerprint: hash, claimID: uuid.NewString()}
	clm.peerOwners, clm.isOwner = kst.owners(clm.keyID)
	in := claimJSON{ID: clm.keyID, Fingerprint: hash, ClaimID: clm.claimID}
	answers := make([]claimResponseJSON, 0, len(clm.peerOwners)+1)
	if clm.isOwner {
		answers = append(answers, kst.grant(kst.nod.Now(), in))
	}
	for _, address := range clm.peerOwners {
		var out claimResponseJSON
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := kst.nod.Link().Call(callCtx, address, claimMethod, in, &out)
		cancel()
		if err != nil {
			kst.abandon(clm)
			return nil, fault.New(code.KeyUnavailable, "the entry at %s does not answer", address)
		}
		answers = append(answers, out)
	}
	return kst.evaluate(clm, answers)
}

// abandon gives back what the claim was granted; its request has not run.
func (kst *keyStore) abandon(clm *claim) {
	kst.settle(clm, nil, fault.New(code.KeyUnavailable, "claim abandoned"))
}

func (kst *keyStore) evaluate(clm *claim, answers []claimResponseJSON) (*claim, error) {
	var refused *claimResponseJSON
	for idx := range answers {
		ans := &answers[idx]
		if ans.IsConflict {
			return nil, fault.New(code.KeyConflict, "the key stands for another request")
		}
		if ans.Reply != nil {
			clm.reply = decodeReply(ans.Reply)
			return clm, nil
		}
		if !ans.IsGranted {
			refused = ans
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

// take decides on a claim at one owner.
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
		kst.keys[in.ID] = &keyEntry{fingerprint: in.Fingerprint, state: stateRunning, claimID: in.ClaimID, updatedAt: now}
		return claimResponseJSON{IsGranted: true, State: stateRunning}
	}
	if old.fingerprint != in.Fingerprint {
		return claimResponseJSON{IsConflict: true}
	}
	return claimResponseJSON{State: old.state, Reply: old.reply}
}

func (kst *keyStore) removeExpired(now time.Time) {
	if now.Sub(kst.lastSweep) < sweepInterval {
		return
	}
	kst.lastSweep = now
	for id, ent := range kst.keys {
		if now.Sub(ent.updatedAt) > keyLifetime {
			delete(kst.keys, id)
		}
	}
}

// settle tells both owners how the claim ended. An owner that cannot be told
// keeps the key as running, and a repeat is then never run.
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
		if cause := kst.nod.Link().Call(ctx, address, settleMethod, in, &out); cause != nil {
			kst.nod.Journal().Warn(kst.nod.Now(), "keyNotSettled")
		}
		cancel()
	}
}

// informed returns the owners that the claim asked and those that have become
// owners since.
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

// put stores the end of a claim. Only its holder can end it.
func (kst *keyStore) complete(now time.Time, in claimJSON) {
	kst.mu.Lock()
	defer kst.mu.Unlock()
	old, ok := kst.keys[in.ID]
	if !ok && in.State != stateNotRun {
		kst.keys[in.ID] = &keyEntry{fingerprint: in.Fingerprint, state: in.State, claimID: in.ClaimID, updatedAt: now, reply: in.Reply}
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
