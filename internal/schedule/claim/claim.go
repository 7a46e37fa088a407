// Package claim elects the owner of a pool, or of the fleet as a whole, for a term.
// Claims are records of one topic of the log; the fencing token of a claim is derived
// from its offset.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/statelog"
)

const (
	topic = "cells"
	// maxAttempts bounds how often a claim is tried while others append to the topic.
	maxAttempts = 20
	// attemptTimeout bounds one attempt. Its two calls usually take 4 ms each; the
	// timeout is about 200 times that.
	attemptTimeout = 1800 * time.Millisecond
	// runsPerTerm is the range of run numbers reserved for each term: more than the
	// number of times that a task can be started in one.
	runsPerTerm = 1000
)

// claimJSON is the stored form of a claim.
type claimJSON struct {
	Address string `json:"address"`
	Term    int    `json:"term"`
	// RegistersRoutes is set by owners that register routes before they accept jobs (poolindex.Index.Register).
	RegistersRoutes bool `json:"registersRoutes,omitempty"`
	// KeyFormat is 1 if the key is that of Name.key. Earlier versions of the program leave it out; their keys are those of
	// Name.formerKey.
	KeyFormat int `json:"keyFormat,omitempty"`
	// Token is the fencing token if the claim was stored again at a later offset, see encode; noToken if nobody acts by it.
	Token int64 `json:"token,omitempty"`
	// EarlierToken is the fencing token of the last claim under the key that an earlier version of the program has stored. Its
	// name may be another one with that former key, whose terms before it stay ended.
	EarlierToken int64 `json:"earlierToken,omitempty"`
}

// Claim is a claim that was stored successfully.
type Claim struct {
	token int64
	term  int
}

// FencingToken returns the fencing token. A later claim has a higher token, whichever name
// it is for.
func (clm Claim) FencingToken() int64 { return clm.token }

// Term returns the number of the term, 1 for the first claim of the name. It is higher than that of each earlier claim of
// the name.
func (clm Claim) Term() int { return clm.term }

// RunNumberBase returns the number after which the run numbers of this term start.
func (clm Claim) RunNumberBase() int { return (clm.term - 1) * runsPerTerm }

// Acquire stores a claim of name for the owner at address. The append is conditional on
// the topic not having changed since the last claim was read, so terms and tokens
// only increase.
func Acquire(ctx context.Context, log statelog.Client, name Name, address string) (Claim, error) {
	return acquire(ctx, log, name, func(claimJSON) claimJSON {
		return claimJSON{Address: address, RegistersRoutes: true}
	})
}

// Supersede stores a claim of name that ends the present term, for an owner that can't be asked. It has the content
// of the last claim, but nobody acts by it; the next owner claims again.
func Supersede(ctx context.Context, log statelog.Client, name Name) (Claim, error) {
	return acquire(ctx, log, name, func(last claimJSON) claimJSON { return last })
}

// acquire stores a claim of the next term, with what the function returns for the last claim.
func acquire(ctx context.Context, log statelog.Client, name Name, follow func(last claimJSON) claimJSON) (Claim, error) {
	var err error
	for range maxAttempts {
		var clm Claim
		clm, err = acquireOnce(ctx, log, name, follow)
		if err == nil {
			return clm, nil
		}
		if !errors.Is(err, statelog.ErrOffsetConflict) {
			break
		}
	}
	return Claim{}, errors.Wrapf(err, "claim %s", name)
}

func acquireOnce(ctx context.Context, log statelog.Client, name Name, follow func(last claimJSON) claimJSON) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	recs, end, err := log.Newest(ctx, topic, 0)
	if err != nil {
		return Claim{}, err
	}
	var present, former stored
	for _, rec := range recs {
		switch rec.Key {
		case name.key():
			present, err = decode(rec)
		case name.formerKey():
			former, err = decode(rec)
		}
		if err != nil {
			return Claim{}, err
		}
	}
	next := follow(newestOf(present, former).claimJSON)
	next.Term, next.KeyFormat, next.Token, next.EarlierToken = max(present.Term, former.Term)+1, keyFormat, 0, present.earlierToken()
	recs, err = encode(name, next, former)
	if err != nil {
		return Claim{}, err
	}
	offset, err := log.Append(ctx, statelog.AppendRequest{Topic: topic, ExpectedEnd: end, Records: recs})
	return Claim{token: tokenOf(offset), term: next.Term}, err
}

// encode returns the record of a claim, and one under the former key if that is another one. The latter has the same term,
// so that no owner of an earlier version gets the same run numbers. If the claim there is of an earlier version, it may be of
// the same name, and its owner finds that its term has ended. If not, it is of another name, and stays in force.
func encode(name Name, next claimJSON, former stored) ([]statelog.Record, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	recs := []statelog.Record{{Key: name.key(), Value: data}}
	if name.formerKey() == name.key() {
		return recs, nil
	}
	again := former.claimJSON
	again.Term, again.KeyFormat, again.Token, again.EarlierToken = next.Term, keyFormat, former.token, former.earlierToken()
	if former.token == 0 || former.isOfEarlierVersion() {
		again.Token = noToken
	}
	data, err = json.Marshal(again)
	return append(recs, statelog.Record{Key: name.formerKey(), Value: data}), errors.Wrap(err, "encode former claim")
}

// noToken is the token of a record by which nobody acts.
const noToken = -1

// tokenOf returns the fencing token of the claim at the offset. Tokens start at 1 because a VM reads a missing token as 0.
func tokenOf(offset int64) int64 { return offset + 1 }

// stored is a claim as it is in the log; its token is 0 if there is none.
type stored struct {
	claimJSON
	token int64
}

func decode(rec statelog.Record) (stored, error) {
	var sto stored
	if err := json.Unmarshal(rec.Value, &sto.claimJSON); err != nil {
		return stored{}, errors.Wrapf(err, "decode claim %q", rec.Key)
	}
	switch sto.Token {
	case 0:
		sto.token = tokenOf(rec.Offset)
	case noToken:
	default:
		sto.token = sto.Token
	}
	return sto, nil
}

// isOfEarlierVersion reports whether there is a claim, stored by a version of the program that knows former keys only.
func (sto stored) isOfEarlierVersion() bool { return sto.token > 0 && sto.KeyFormat == 0 }

// earlierToken returns the fencing token of the last claim under the key that an earlier version has stored, 0 if there is none.
func (sto stored) earlierToken() int64 {
	if sto.isOfEarlierVersion() {
		return sto.token
	}
	return sto.EarlierToken
}

// newestOf returns the newest claim of a name, given those under its key and its former key. Under the former key, only
// a claim of an earlier version of the program can be of that name. If another claim has followed there, nobody acts by it.
func newestOf(present, former stored) stored {
	switch {
	case former.earlierToken() <= present.token:
		return present
	case former.isOfEarlierVersion():
		return former
	}
	return stored{token: former.earlierToken()}
}

// FindOwner returns the address in the newest claim of name, or "" when there is none.
func FindOwner(ctx context.Context, log statelog.Client, name Name) (string, error) {
	newest, err := lookup(ctx, log, name)
	return newest.Address, err
}

// Newest returns the fencing token of the newest claim of name, 0 when there is none, and whether its owner registers
// routes. One of an earlier version of the program does not.
func Newest(ctx context.Context, log statelog.Client, name Name) (token int64, registersRoutes bool, err error) {
	newest, err := lookup(ctx, log, name)
	return newest.token, newest.RegistersRoutes, err
}

// lookup returns the newest claim of name, one with the token 0 when there is none.
func lookup(ctx context.Context, log statelog.Client, name Name) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout/2)
	defer cancel()
	present, err := lookupKey(ctx, log, name.key())
	if err != nil || name.formerKey() == name.key() {
		return present, err
	}
	former, err := lookupKey(ctx, log, name.formerKey())
	return newestOf(present, former), err
}

func lookupKey(ctx context.Context, log statelog.Client, key string) (stored, error) {
	rec, ok, err := log.Lookup(ctx, topic, 0, key)
	if err != nil || !ok {
		return stored{}, err
	}
	return decode(rec)
}

// PoolTokens returns the fencing tokens of the newest claims of pools, by pool.
func PoolTokens(ctx context.Context, log statelog.Client) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout/2)
	defer cancel()
	recs, _, err := log.Newest(ctx, topic, 0)
	if err != nil {
		return nil, err
	}
	tokens := make(map[string]int64, len(recs))
	for _, rec := range recs {
		sto, err := decode(rec)
		if err != nil { // whoever owns the pool, its reports are to be awaited
			sto.token = tokenOf(rec.Offset)
		}
		name := parseKey(rec.Key)
		if name != Fleet() && sto.isOfEarlierVersion() {
			name = Pool(rec.Key)
		}
		if name != Fleet() && sto.token > 0 {
			tokens[name.pool] = max(tokens[name.pool], sto.token)
		}
	}
	return tokens, nil
}

// IsNewest reports whether the claim with this fencing token is still the newest of name.
func IsNewest(ctx context.Context, log statelog.Client, name Name, token int64) (bool, error) {
	newest, err := lookup(ctx, log, name)
	return err == nil && newest.token == token, err
}
