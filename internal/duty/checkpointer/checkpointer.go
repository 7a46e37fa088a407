// Package checkpointer writes checkpoints of the applied state to the checkpoint
// stream, well before the log drops the records that the state results from.
package checkpointer

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/state/checkpoint"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals, timeouts and limits.
const (
	interval                = time.Second
	maxRecords              = 2000             // most records between two checkpoints
	maxInterval             = 10 * time.Minute // longest time between two checkpoints if there are new records
	checkpointsPerRetention = 4                // checkpoints written within the range of records that the log keeps
	rankDelayDivisor        = 4                // each rank waits longer than the one before by this fraction of the interval
	writeTimeout            = 10 * time.Second
)

func init() {
	plugin.Register(plugin.Plugin{Name: "checkpointer", Order: 55, Start: start})
}

// Checkpointer writes checkpoints of the applied state.
type Checkpointer struct {
	nod           *node.Node
	announced     int64     // offset of the newest announced checkpoint that this entry has seen
	intervalStart time.Time // when it saw the announcement or last tried to write a checkpoint
}

func start(nod *node.Node) (func(), error) {
	ckp := &Checkpointer{nod: nod}
	lop := loop.Every("checkpointer", interval, ckp.step)
	return lop.Stop, nil
}

// step writes a checkpoint if one is due.
func (ckp *Checkpointer) step(time.Time) {
	now := ckp.nod.Now()
	oldest := ckp.nod.Replica().Oldest()
	var snp fleet.Snapshot
	isDue := false
	ckp.nod.Replica().View(func(flt *fleet.Fleet) {
		isDue = ckp.isDue(flt, now, oldest)
		if isDue {
			snp = flt.Export()
		}
	})
	if !isDue {
		return
	}
	ckp.intervalStart = now
	size, err := ckp.write(now, snp)
	if err != nil {
		ckp.nod.Journal().Warn(now, "checkpointFailed", slog.String("error", err.Error()))
		return
	}
	ckp.nod.Journal().Event(now, "checkpointWritten", slog.Int64("offset", snp.Next), slog.Int("bytes", size))
}

// isDue reports whether this entry must write a checkpoint: after maxRecords or a
// fraction of the records that the log keeps, whichever is fewer, or after
// maxInterval. Entries of a higher rank wait longer, so that they write only if
// those before them do not.
func (ckp *Checkpointer) isDue(flt *fleet.Fleet, now time.Time, oldest int64) bool {
	if flt.CheckpointOffset() != ckp.announced || ckp.intervalStart.IsZero() {
		ckp.announced = flt.CheckpointOffset()
		ckp.intervalStart = now
	}
	rank := fleet.Rank(ckp.nod.Settings().Name, "checkpoint", flt.Entries())
	if rank < 0 {
		return false
	}
	every := int64(maxRecords)
	if oldest > 0 {
		every = min(every, (flt.Next()-oldest)/checkpointsPerRetention)
	}
	records := flt.Next() - flt.CheckpointOffset()
	if records >= every+every*int64(rank)/rankDelayDivisor {
		return true
	}
	delay := maxInterval + maxInterval*time.Duration(rank)/rankDelayDivisor
	return records > 1 && now.Sub(ckp.intervalStart) >= delay
}

// write appends the parts of the checkpoint to the checkpoint stream and then
// announces it in the fleet stream. It returns the size in bytes.
func (ckp *Checkpointer) write(now time.Time, snp fleet.Snapshot) (int, error) {
	data, err := checkpoint.Encode(snp)
	if err != nil {
		return 0, err
	}
	parts, err := checkpoint.Split(snp.Next, data)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	for _, prt := range parts {
		if _, err := ckp.nod.Log().Append(ctx, node.CheckpointStream, [][]byte{prt}); err != nil {
			return 0, err
		}
	}
	rec := ckp.nod.NewRecord(now, record.Config{
		Kind: record.Checkpoint, Base: snp.Next, ChangeID: fmt.Sprintf("checkpoint/%d", snp.Next),
	})
	return len(data), ckp.nod.Proposer().Append(ctx, []record.Record{rec})
}
