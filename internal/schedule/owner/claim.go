package owner

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/archive"
	"daisywheel/internal/schedule/ledger"
)

// CellsTopic holds the newest claim of each pool. The offset of a claim is its
// fencing token.
const CellsTopic = "cells"

// runsPerTerm leaves room between the run numbers of one term and the next: more
// than a task can be started in a term.
const runsPerTerm = 1000

// claims is how often a claim is tried while others append to the topic.
const claims = 20

// claimForm is the record of a claim.
type claimForm struct {
	Address string `json:"address"`
	Term    int    `json:"term"`
}

type claimed struct {
	fence int64
	term  int
}

func (clm claimed) runBase() int { return (clm.term - 1) * runsPerTerm }

// claim appends a claim on the condition that no other has been made since the
// last one was read, so that terms and tokens rise.
func claim(ctx context.Context, cfg Config) (claimed, error) {
	var err error
	for range claims {
		var clm claimed
		clm, err = claimOnce(ctx, cfg)
		if err == nil {
			return clm, nil
		}
		if !errors.Is(err, archive.ErrMoved) {
			break
		}
	}
	return claimed{}, errors.Wrapf(err, "claim of pool %s", cfg.Service)
}

func claimOnce(ctx context.Context, cfg Config) (claimed, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	recs, end, err := cfg.Archive.Newest(ctx, CellsTopic, 0)
	if err != nil {
		return claimed{}, err
	}
	last := claimForm{}
	for _, rec := range recs {
		if rec.Key != cfg.Service {
			continue
		}
		if err := json.Unmarshal(rec.Value, &last); err != nil {
			return claimed{}, errors.Wrap(err, "last claim")
		}
	}
	frm := claimForm{Address: cfg.Address, Term: last.Term + 1}
	data, err := json.Marshal(frm)
	if err != nil {
		return claimed{}, errors.Wrap(err, "claim")
	}
	offset, err := cfg.Archive.Append(ctx, archive.Append{
		Topic: CellsTopic, At: end, Records: []archive.Record{{Key: cfg.Service, Value: data}},
	})
	// Tokens start at 1, since a VM takes a missing token for 0.
	return claimed{fence: offset + 1, term: frm.Term}, err
}

// Find returns the address of the newest owner of a pool, empty when there is none.
func Find(ctx context.Context, arc archive.Client, service string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, ok, err := arc.Lookup(ctx, CellsTopic, 0, service)
	if err != nil || !ok {
		return "", err
	}
	var frm claimForm
	if err := json.Unmarshal(rec.Value, &frm); err != nil {
		return "", errors.Wrapf(err, "claim of pool %s", service)
	}
	return frm.Address, nil
}

// Lookup returns the state that the store holds of a job, for when its owner
// cannot be asked.
func Lookup(ctx context.Context, arc archive.Client, service string, partition int, id string) (ste ledger.State, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, ok, err := arc.Lookup(ctx, jobsTopic, partition, progressKey(service, id))
	if err != nil {
		return 0, false, err
	}
	if ok && len(rec.Value) > 0 {
		prg, err := ledger.DecodeProgress(rec.Value)
		return prg.State, err == nil, err
	}
	rec, ok, err = arc.Lookup(ctx, jobsTopic, partition, jobKey(service, id))
	return ledger.Queued, ok && len(rec.Value) > 0, err
}
