// Package proposer appends records to the fleet's log and returns the verdict that
// each gets when it is applied. Whether an append whose reply was lost took effect
// is decided only by looking for its change id in the applied state.
package proposer

import (
	"context"
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/state/codec"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
	"daisywheel/internal/state/replica"
)

// retryDelay is how long Propose waits for the verdict after a failed append, which
// may still take effect, before it appends the record again with the same change id.
const retryDelay = 500 * time.Millisecond

// Config holds the dependencies of a Proposer.
type Config struct {
	Append  func(ctx context.Context, data [][]byte) (first int64, err error)
	Replica *replica.Replica
}

// Proposer appends records to the fleet's log. It is safe for concurrent use.
type Proposer struct {
	cfg Config
	cdc codec.Codec
}

// New returns a Proposer.
func New(cfg Config) *Proposer { return &Proposer{cfg: cfg} }

// Propose appends rec, which must have a change id, and waits until the replica has
// applied it. The error is a fault with code NotYetKnown when ctx ends first; the
// change may then still take effect.
func (prp *Proposer) Propose(ctx context.Context, rec record.Record) (fleet.Verdict, error) {
	data, err := prp.cdc.Encode(rec)
	if err != nil {
		return fleet.Verdict{}, err
	}
	for {
		_, err := prp.cfg.Append(ctx, [][]byte{data})
		wait := ctx
		cancel := func() {}
		if err != nil {
			wait, cancel = context.WithTimeout(ctx, retryDelay)
		}
		vrd, ok := prp.awaitVerdict(wait, rec.ChangeID())
		cancel()
		if ok {
			return vrd, nil
		}
		if ctx.Err() != nil {
			return fleet.Verdict{}, fault.New(code.NotYetKnown, "the log has not shown change %s", rec.ChangeID())
		}
	}
}

// awaitVerdict blocks until the replica has a verdict on the change id or ctx ends.
func (prp *Proposer) awaitVerdict(ctx context.Context, id string) (fleet.Verdict, bool) {
	for {
		changed := prp.cfg.Replica.Changed()
		vrd, ok := prp.Lookup(id)
		if ok {
			return vrd, true
		}
		select {
		case <-ctx.Done():
			return fleet.Verdict{}, false
		case <-changed:
		}
	}
}

// Lookup returns the verdict on a change id, if the replica still has one.
func (prp *Proposer) Lookup(id string) (vrd fleet.Verdict, ok bool) {
	prp.cfg.Replica.View(func(flt *fleet.Fleet) {
		vrd, ok = flt.Verdict(id)
	})
	return vrd, ok
}

// Append appends records in one batch without waiting until they are applied. Callers
// check the applied state later and send again when the effect is missing.
func (prp *Proposer) Append(ctx context.Context, recs []record.Record) error {
	if len(recs) == 0 {
		return nil
	}
	batch := make([][]byte, 0, len(recs))
	for _, rec := range recs {
		data, err := prp.cdc.Encode(rec)
		if err != nil {
			return err
		}
		batch = append(batch, data)
	}
	_, err := prp.cfg.Append(ctx, batch)
	return err
}
