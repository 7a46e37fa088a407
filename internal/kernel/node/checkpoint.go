package node

import (
	"context"
	"log/slog"

	"daisywheel/internal/platform/vmlist"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/state/checkpoint"
	"daisywheel/internal/state/fleet"
)

// Limits of reading the streams, in records.
const (
	readPageSize       = 100
	checkpointLookback = 64 // how far before the head the first search for a checkpoint begins
)

// RestoreCheckpoint replaces the applied state by the newest complete checkpoint if
// that is ahead. It is used at the start, and when the log no longer keeps the
// records that come next.
func (nod *Node) RestoreCheckpoint(ctx context.Context) error {
	pag, err := nod.cfg.Log.Read(ctx, CheckpointStream, -1, 1, 0)
	if err != nil {
		return err
	}
	var data []byte
	for back := int64(checkpointLookback); data == nil; back *= 4 {
		from := max(pag.Oldest, pag.Head-back)
		if data, err = nod.readCheckpoint(ctx, from, pag.Head); err != nil {
			return err
		}
		if from == pag.Oldest {
			break
		}
	}
	if data == nil {
		return nil
	}
	isAhead, err := nod.replica.Restore(func(cfg fleet.Config) (*fleet.Fleet, error) {
		return checkpoint.Decode(cfg, data)
	})
	if err == nil && isAhead {
		nod.Journal().Event(nod.Now(), "checkpointRestored", slog.Int64("offset", nod.replica.Next()))
	}
	return err
}

// readCheckpoint returns the newest complete checkpoint between the offsets, or nil.
func (nod *Node) readCheckpoint(ctx context.Context, from, head int64) ([]byte, error) {
	asm := checkpoint.NewAssembler()
	for from < head {
		pag, err := nod.cfg.Log.Read(ctx, CheckpointStream, from, readPageSize, 0)
		if err != nil {
			return nil, err
		}
		if len(pag.Records) == 0 {
			break
		}
		for _, raw := range pag.Records {
			asm.Add(raw)
		}
		from = pag.First + int64(len(pag.Records))
	}
	data, _ := asm.Newest()
	return data, nil
}

// Refresh reads the log to its head and the VM list once. It is used after a pause
// of the process, so that nothing is dispatched on outdated state.
func (nod *Node) Refresh(ctx context.Context) error {
	for {
		from := nod.replica.Next()
		pag, err := nod.cfg.Log.Read(ctx, FleetStream, from, readPageSize, 0)
		if err != nil {
			return err
		}
		nod.replica.Apply(pag.First, pag.Records)
		if nod.replica.Next() >= pag.Head || len(pag.Records) == 0 {
			break
		}
	}
	vms, err := nod.cfg.VMList.List(ctx, nod.settings.Zone)
	if err != nil {
		return err
	}
	nod.SetDeparting(DepartingOf(vms))
	return nil
}

// DepartingOf returns the VMs, other than those of entries, whose listed status is
// not up: they are departing or gone.
func DepartingOf(vms []vmlist.VM) map[string]bool {
	departing := map[string]bool{}
	for _, vm := range vms {
		if !vm.IsEntry && vm.Status != member.Up {
			departing[vm.Member.VM] = true
		}
	}
	return departing
}
