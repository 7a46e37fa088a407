// Package follower reads the fleet's log into the replica, through a peer while
// the platform does not answer.
package follower

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/kernel/registry"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Times and bounds of reading.
const (
	pageSize        = 2000
	longPollTimeout = 2 * time.Second
	retryPause      = 100 * time.Millisecond
	peerTimeout     = time.Second
	peerPageSize    = 500
)

// Methods that peers answer.
const (
	methodRead   = "relay.read"
	methodAppend = "relay.append"
)

func init() {
	registry.Register(registry.Plugin{Name: "follower", Order: 10, Start: start})
}

// Follower keeps the replica up to date.
type Follower struct {
	nod            *node.Node
	isUsingPeers   bool
	lastDirectRead atomic.Int64 // Unix nanoseconds of the last read of the log's head at the platform itself
}

type readRequestJSON struct {
	From int64 `json:"from"`
}

type readResponseJSON struct {
	Records  []json.RawMessage `json:"records"`
	IsDirect bool              `json:"hasRead"` // the peer reaches the platform
}

type appendRequestJSON struct {
	Records []json.RawMessage `json:"records"`
}

type appendResponseJSON struct {
	First int64 `json:"first"`
}

func start(nod *node.Node) (func(), error) {
	fol := &Follower{nod: nod}
	nod.Link().Handle(methodRead, fol.serveRead)
	nod.Link().Handle(methodAppend, fol.serveAppend)
	nod.SetAppendRelay(fol.relayAppend)
	prt := part.Start("follower", fol.run)
	return prt.Stop, nil
}

func (fol *Follower) run(quit <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-quit
		cancel()
	}()
	for ctx.Err() == nil {
		err := fol.step(ctx)
		if err == nil {
			continue
		}
		select {
		case <-quit:
		case <-time.After(retryPause):
		}
	}
}

// step reads one page from the log, or from a peer.
func (fol *Follower) step(ctx context.Context) error {
	rpl := fol.nod.Replica()
	from := rpl.Next()
	wait := longPollTimeout
	if _, atHead := rpl.Lag(fol.nod.Now()); !atHead {
		wait = 0
	}
	pag, err := fol.nod.Log().Read(ctx, node.FleetStream, from, pageSize, wait)
	if fault.CodeOf(err) == code.LogTruncated {
		return fol.catchUp(ctx, from, err)
	}
	if err != nil {
		return fol.readFromPeers(ctx, from, err)
	}
	if fol.isUsingPeers {
		fol.isUsingPeers = false
		fol.nod.Journal().Event(fol.nod.Now(), "logReached", slog.Int64("offset", from))
	}
	rpl.SetOldest(pag.Oldest)
	rpl.Apply(pag.First, pag.Records)
	if pag.First+int64(len(pag.Records)) >= pag.Head {
		fol.lastDirectRead.Store(fol.nod.Now().UnixNano())
		rpl.SetReached(fol.nod.Now(), pag.Head)
	}
	return nil
}

// catchUp is used when the log no longer keeps the next record: the newest
// checkpoint is tried first, then the peers' recent records.
func (fol *Follower) catchUp(ctx context.Context, from int64, cause error) error {
	if err := fol.nod.RestoreCheckpoint(ctx); err != nil {
		return err
	}
	if fol.nod.Replica().Next() > from {
		return nil
	}
	return fol.readFromPeers(ctx, from, cause)
}

// readFromPeers asks each registered entry for records beyond from.
func (fol *Follower) readFromPeers(ctx context.Context, from int64, cause error) error {
	if !fol.isUsingPeers {
		fol.isUsingPeers = true
		fol.nod.Journal().Warn(fol.nod.Now(), "logUnreachable", slog.String("error", cause.Error()))
	}
	for _, address := range fol.nod.PeerAddresses() {
		var out readResponseJSON
		short, cancel := context.WithTimeout(ctx, peerTimeout)
		err := fol.nod.Link().Call(short, address, methodRead, readRequestJSON{From: from}, &out)
		cancel()
		if err != nil {
			continue
		}
		records := make([][]byte, 0, len(out.Records))
		for _, raw := range out.Records {
			records = append(records, raw)
		}
		fol.nod.Replica().Apply(from, records)
		from = fol.nod.Replica().Next()
		if !out.IsDirect {
			continue
		}
		if len(records) < peerPageSize {
			fol.nod.Replica().SetReached(fol.nod.Now(), from)
		}
		return cause
	}
	return cause
}

// hasRead reports whether this entry has lately read the head at the platform
// itself. What peers told it does not count: two entries that are both cut off
// would vouch for each other for ever.
func (fol *Follower) readsDirectly(now time.Time) bool {
	direct := time.Unix(0, fol.lastDirectRead.Load())
	return now.Sub(direct) < 2*longPollTimeout
}

func (fol *Follower) serveRead(_ context.Context, params json.RawMessage) (any, error) {
	var in readRequestJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "relay.read")
	}
	records, ok := fol.nod.Replica().Recent(in.From, peerPageSize)
	if !ok {
		return nil, fault.New(code.LogTruncated, "records from %d are no longer kept here", in.From)
	}
	out := readResponseJSON{IsDirect: fol.readsDirectly(fol.nod.Now())}
	for _, raw := range records {
		out.Records = append(out.Records, raw)
	}
	return out, nil
}

func (fol *Follower) serveAppend(ctx context.Context, params json.RawMessage) (any, error) {
	var in appendRequestJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "relay.append")
	}
	var data [][]byte
	for _, raw := range in.Records {
		data = append(data, raw)
	}
	first, err := fol.nod.Log().Append(ctx, node.FleetStream, data)
	if err != nil {
		return nil, err
	}
	return appendResponseJSON{First: first}, nil
}

// relayAppend asks peers to append. The same records may reach the log twice;
// their change ids make the second ones harmless.
func (fol *Follower) relayAppend(ctx context.Context, data [][]byte) (int64, error) {
	in := appendRequestJSON{}
	for _, raw := range data {
		in.Records = append(in.Records, raw)
	}
	for _, address := range fol.nod.PeerAddresses() {
		var out appendResponseJSON
		short, cancel := context.WithTimeout(ctx, peerTimeout)
		err := fol.nod.Link().Call(short, address, methodAppend, in, &out)
		cancel()
		if err == nil {
			return out.First, nil
		}
	}
	return 0, fault.New(code.LogUnavailable, "neither the platform nor a peer took the append")
}
