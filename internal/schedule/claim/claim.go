// Package claim decides who owns a pool, or the fleet as a whole, for a term.
// Claims are records of one topic; the offset of a claim is its fencing token.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/archive"
)

const (
	topic = "cells"
	// attempts is how often a claim is tried while others append to the topic.
	maxAttempts = 20
	// timeout bounds one attempt: two calls of 4 ms, 200 times over.
	attemptTimeout = 1800 * time.Millisecond
	// runsPerTerm leaves room between the run numbers of one term and the next:
	// more than a task can be started in a term.
	runsPerTerm = 1000
)

// form is the record of a claim.
type claimJSON struct {
	Address string `json:"address"`
	Term    int    `json:"term"`
}

// Claim is a claim that has been made.
type Claim struct {
	token int64
	term  int
}

// Fence returns the fencing token. Those of later claims are higher, whatever
// they claim.
func (clm Claim) Fence() int64 { return clm.token }

// Term returns how many claims have been made of the same, 1 for the first.
func (clm Claim) Term() int { return clm.term }

// RunBase returns the number above which the runs of the term are numbered.
func (clm Claim) RunBase() int { return (clm.term - 1) * runsPerTerm }

// Take appends a claim on the condition that no other has been made since the
// last one was read, so that terms and tokens rise.
func Take(ctx context.Context, arc archive.Client, name, address string) (Claim, error) {
	var err error
	for range maxAttempts {
		var clm Claim
		clm, err = takeOnce(ctx, arc, name, address)
		if err == nil {
			return clm, nil
		}
		if !errors.Is(err, archive.ErrMoved) {
			break
		}
	}
	return Claim{}, errors.Wrapf(err, "claim of %s", name)
}

func takeOnce(ctx context.Context, arc archive.Client, name, address string) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	recs, end, err := arc.Newest(ctx, topic, 0)
	if err != nil {
		return Claim{}, err
	}
	last := claimJSON{}
	for _, rec := range recs {
		if rec.Key != name {
			continue
		}
		if err := json.Unmarshal(rec.Value, &last); err != nil {
			return Claim{}, errors.Wrap(err, "last claim")
		}
	}
	next := claimJSON{Address: address, Term: last.Term + 1}
	data, err := json.Marshal(next)
	if err != nil {
		return Claim{}, errors.Wrap(err, "claim")
	}
	offset, err := arc.Append(ctx, archive.Append{
		Topic: topic, At: end, Records: []archive.Record{{Key: name, Value: data}},
	})
	// Tokens start at 1, since a VM takes a missing token for 0.
	return Claim{token: offset + 1, term: next.Term}, err
}

// Find returns the address of the newest owner, empty when there is none.
func Find(ctx context.Context, arc archive.Client, name string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout/2)
	defer cancel()
	rec, ok, err := arc.Lookup(ctx, topic, 0, name)
	if err != nil || !ok {
		return "", err
	}
	var next claimJSON
	if err := json.Unmarshal(rec.Value, &next); err != nil {
		return "", errors.Wrapf(err, "claim of %s", name)
	}
	return next.Address, nil
}

// Holds reports whether the claim with the token is still the newest of the name.
func Holds(ctx context.Context, arc archive.Client, name string, token int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout/2)
	defer cancel()
	rec, ok, err := arc.Lookup(ctx, topic, 0, name)
	if err != nil {
		return false, err
	}
	return ok && rec.Offset+1 == token, nil
}
