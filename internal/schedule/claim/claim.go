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
}

// Claim is a claim that was stored successfully.
type Claim struct {
	token int64
	term  int
}

// FencingToken returns the fencing token. A later claim has a higher token, whichever name
// it is for.
func (clm Claim) FencingToken() int64 { return clm.token }

// Term returns the number of claims of this name so far, 1 for the first.
func (clm Claim) Term() int { return clm.term }

// RunNumberBase returns the number after which the run numbers of this term start.
func (clm Claim) RunNumberBase() int { return (clm.term - 1) * runsPerTerm }

// Acquire stores a claim of name for the owner at address. The append is conditional on
// the topic not having changed since the last claim was read, so terms and tokens
// only increase.
func Acquire(ctx context.Context, log statelog.Client, name, address string) (Claim, error) {
	return acquire(ctx, log, name, func(claimJSON) claimJSON { return claimJSON{Address: address, RegistersRoutes: true} })
}

// Supersede stores a claim of name that ends the present term, for an owner that can't be asked. It has the content
// of the last claim, but nobody acts by it; the next owner claims again.
func Supersede(ctx context.Context, log statelog.Client, name string) (Claim, error) {
	return acquire(ctx, log, name, func(last claimJSON) claimJSON { return last })
}

// acquire stores a claim of the next term, with what the function returns for the last claim.
func acquire(ctx context.Context, log statelog.Client, name string, follow func(last claimJSON) claimJSON) (Claim, error) {
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

func acquireOnce(ctx context.Context, log statelog.Client, name string, follow func(last claimJSON) claimJSON) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	recs, end, err := log.Newest(ctx, topic, 0)
	if err != nil {
		return Claim{}, err
	}
	last := claimJSON{}
	for _, rec := range recs {
		if rec.Key != name {
			continue
		}
		if err := json.Unmarshal(rec.Value, &last); err != nil {
			return Claim{}, errors.Wrap(err, "decode last claim")
		}
	}
	next := follow(last)
	next.Term = last.Term + 1
	data, err := json.Marshal(next)
	if err != nil {
		return Claim{}, errors.Wrap(err, "encode claim")
	}
	offset, err := log.Append(ctx, statelog.AppendRequest{
		Topic: topic, ExpectedEnd: end, Records: []statelog.Record{{Key: name, Value: data}},
	})
	// Tokens start at 1 because a VM reads a missing token as 0.
	return Claim{token: offset + 1, term: next.Term}, err
}

// FindOwner returns the address in the newest claim of name, or "" when there is none.
func FindOwner(ctx context.Context, log statelog.Client, name string) (string, error) {
	newest, _, err := lookup(ctx, log, name)
	return newest.Address, err
}

// Newest returns the fencing token of the newest claim of name, 0 when there is none, and whether its owner registers
// routes. One of an earlier version of the program does not.
func Newest(ctx context.Context, log statelog.Client, name string) (token int64, registersRoutes bool, err error) {
	newest, token, err := lookup(ctx, log, name)
	return token, newest.RegistersRoutes, err
}

// lookup returns the newest claim of name and its fencing token, an empty claim and 0 when there is none.
func lookup(ctx context.Context, log statelog.Client, name string) (newest claimJSON, token int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout/2)
	defer cancel()
	rec, ok, err := log.Lookup(ctx, topic, 0, name)
	if err != nil || !ok {
		return claimJSON{}, 0, err
	}
	err = json.Unmarshal(rec.Value, &newest)
	return newest, rec.Offset + 1, errors.Wrapf(err, "decode claim of %s", name)
}

// Tokens returns the fencing tokens of the newest claims by name.
func Tokens(ctx context.Context, log statelog.Client) (map[string]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout/2)
	defer cancel()
	recs, _, err := log.Newest(ctx, topic, 0)
	if err != nil {
		return nil, err
	}
	tokens := make(map[string]int64, len(recs))
	for _, rec := range recs {
		tokens[rec.Key] = rec.Offset + 1
	}
	return tokens, nil
}

// IsNewest reports whether the claim with this fencing token is still the newest of name.
func IsNewest(ctx context.Context, log statelog.Client, name string, token int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout/2)
	defer cancel()
	rec, ok, err := log.Lookup(ctx, topic, 0, name)
	if err != nil {
		return false, err
	}
	return ok && rec.Offset+1 == token, nil
}
