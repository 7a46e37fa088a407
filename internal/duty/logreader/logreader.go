// Package logreader reads the fleet stream of the log into the replica, through a
// peer while the platform's log service does not answer.
package logreader

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Timeouts and page sizes.
const (
	pageSize        = 2000 // records
	longPollTimeout = 2 * time.Second
	retryPause      = 100 * time.Millisecond
	peerTimeout     = time.Second
	peerPageSize    = 500 // records
)

// RPC methods served to peers.
const (
	methodRead   = "relay.read"
	methodAppend = "relay.append"
)

func init() {
	plugin.Register(plugin.Plugin{Name: "follower", Order: 10, Start: start})
}

// Reader keeps the replica up to date.
type Reader struct {
	nod            *node.Node
	isUsingPeers   bool
	lastDirectRead atomic.Int64 // Unix nanoseconds of the last read from the platform that reached the log's head
}

type readRequestJSON struct {
	From int64 `json:"from"`
}

type readResponseJSON struct {
	Records  []json.RawMessage `json:"records"`
	IsDirect bool              `json:"hasRead"` // the peer itself reads from the platform
}

type appendRequestJSON struct {
	Records []json.RawMessage `json:"records"`
}

type appendResponseJSON struct {
	First int64 `json:"first"`
}

func start(nod *node.Node) (func(), error) {
	rdr := &Reader{nod: nod}
	nod.PeerEndpoint().Handle(methodRead, rdr.serveRead)
	nod.PeerEndpoint().Handle(methodAppend, rdr.serveAppend)
	nod.SetAppendRelay(rdr.relayAppend)
	lop := loop.Start("follower", rdr.run)
	return lop.Stop, nil
}

func (rdr *Reader) run(quit <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-quit
		cancel()
	}()
	for ctx.Err() == nil {
		err := rdr.step(ctx)
		if err == nil {
			continue
		}
		select {
		case <-quit:
		case <-time.After(retryPause):
		}
	}
}

// step reads one page from the log service, or from a peer if that fails.
func (rdr *Reader) step(ctx context.Context) error {
	rpl := rdr.nod.Replica()
	from := rpl.Next()
	wait := longPollTimeout
	if _, atHead := rpl.Lag(rdr.nod.Now()); !atHead {
		wait = 0
	}
	pag, err := rdr.nod.Log().Read(ctx, node.FleetStream, from, pageSize, wait)
	if fault.CodeOf(err) == code.LogTruncated {
		return rdr.catchUp(ctx, from, err)
	}
	if err != nil {
		return rdr.readFromPeers(ctx, from, err)
	}
	if rdr.isUsingPeers {
		rdr.isUsingPeers = false
		rdr.nod.Journal().Event(rdr.nod.Now(), "logReached", slog.Int64("offset", from))
	}
	rpl.SetOldest(pag.Oldest)
	rpl.Apply(pag.First, pag.Records)
	if pag.First+int64(len(pag.Records)) >= pag.Head {
		rdr.lastDirectRead.Store(rdr.nod.Now().UnixNano())
		rpl.SetHead(rdr.nod.Now(), pag.Head)
	}
	return nil
}

// catchUp is called when the log no longer keeps the next record. It tries the
// newest checkpoint first, then the recent records of peers.
func (rdr *Reader) catchUp(ctx context.Context, from int64, cause error) error {
	if err := rdr.nod.RestoreCheckpoint(ctx); err != nil {
		return err
	}
	if rdr.nod.Replica().Next() > from {
		return nil
	}
	return rdr.readFromPeers(ctx, from, cause)
}

// readFromPeers applies the records that the other entries return, beginning at
// offset from, until one of them reads from the platform itself. It always returns
// cause, the error of the log service, so run pauses before the next step.
func (rdr *Reader) readFromPeers(ctx context.Context, from int64, cause error) error {
	if !rdr.isUsingPeers {
		rdr.isUsingPeers = true
		rdr.nod.Journal().Warn(rdr.nod.Now(), "logUnreachable", slog.String("error", cause.Error()))
	}
	for _, address := range rdr.nod.PeerAddresses() {
		var out readResponseJSON
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := rdr.nod.PeerEndpoint().Call(callCtx, address, methodRead, readRequestJSON{From: from}, &out)
		cancel()
		if err != nil {
			continue
		}
		records := make([][]byte, 0, len(out.Records))
		for _, raw := range out.Records {
			records = append(records, raw)
		}
		rdr.nod.Replica().Apply(from, records)
		from = rdr.nod.Replica().Next()
		if !out.IsDirect {
			continue
		}
		if len(records) < peerPageSize {
			rdr.nod.Replica().SetHead(rdr.nod.Now(), from)
		}
		return cause
	}
	return cause
}

// readsDirectly reports whether this entry has lately read the log's head from the
// platform itself. Reads through peers do not count, because two entries that both
// cannot reach the platform would otherwise confirm each other forever.
func (rdr *Reader) readsDirectly(now time.Time) bool {
	last := time.Unix(0, rdr.lastDirectRead.Load())
	return now.Sub(last) < 2*longPollTimeout
}

// serveRead returns recent records from the replica.
func (rdr *Reader) serveRead(_ context.Context, params json.RawMessage) (any, error) {
	var in readRequestJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "relay.read")
	}
	records, ok := rdr.nod.Replica().Recent(in.From, peerPageSize)
	if !ok {
		return nil, fault.New(code.LogTruncated, "records from %d are no longer kept here", in.From)
	}
	out := readResponseJSON{IsDirect: rdr.readsDirectly(rdr.nod.Now())}
	for _, raw := range records {
		out.Records = append(out.Records, raw)
	}
	return out, nil
}

// serveAppend appends a peer's records to the log service.
func (rdr *Reader) serveAppend(ctx context.Context, params json.RawMessage) (any, error) {
	var in appendRequestJSON
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "relay.append")
	}
	var data [][]byte
	for _, raw := range in.Records {
		data = append(data, raw)
	}
	first, err := rdr.nod.Log().Append(ctx, node.FleetStream, data)
	if err != nil {
		return nil, err
	}
	return appendResponseJSON{First: first}, nil
}

// relayAppend appends through the first peer that succeeds. The same records may
// reach the log twice; their change ids make the duplicates harmless.
func (rdr *Reader) relayAppend(ctx context.Context, data [][]byte) (int64, error) {
	in := appendRequestJSON{}
	for _, raw := range data {
		in.Records = append(in.Records, raw)
	}
	for _, address := range rdr.nod.PeerAddresses() {
		var out appendResponseJSON
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := rdr.nod.PeerEndpoint().Call(callCtx, address, methodAppend, in, &out)
		cancel()
		if err == nil {
			return out.First, nil
		}
	}
	return 0, fault.New(code.LogUnavailable, "neither the platform nor a peer accepted the append")
}
