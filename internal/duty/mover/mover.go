// Package mover carries VMs through leaving, out and back into a pool.
package mover

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/part"
	"daisywheel/internal/kernel/registry"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Times of the duty.
const (
	interval           = 50 * time.Millisecond // while a VM moves
	idleInterval       = 5 * time.Second
	stepTimeout        = 2 * time.Second
	retryInterval      = time.Second // for steps whose effect the fold does not show
	rebootPollInterval = 200 * time.Millisecond
)

func init() {
	registry.Register(registry.Plugin{Name: "mover", Order: 40, Start: start})
}

// Mover drives the memberships of its zone's VMs.
type Mover struct {
	nod         *node.Node
	lastAttempt map[string]time.Time
}

func start(nod *node.Node) (func(), error) {
	mvr := &Mover{nod: nod, lastAttempt: map[string]time.Time{}}
	prt := part.Adaptive("mover", interval, nod.Replica().Changed, mvr.step)
	return prt.Stop, nil
}

// step returns how long it may rest while nothing changes.
func (mvr *Mover) step(time.Time) time.Duration {
	now := mvr.nod.Now()
	set := mvr.nod.Settings()
	var confirms, outs, rebooting []member.Member
	mvr.nod.Replica().View(func(flt *fleet.Fleet) {
		if !mvr.nod.IsRegistered(flt) {
			return
		}
		for _, name := range flt.Moving(set.Zone) {
			mbr, _ := flt.Member(name)
			isDoer := mvr.nod.IsResponsible(flt, name)
			switch {
			case mbr.Phase() == member.Leaving && slices.Contains(flt.Unconfirmed(name), set.Name):
				confirms = append(confirms, mbr)
			case mbr.Phase() == member.Out && isDoer:
				outs = append(outs, mbr)
			case mbr.Phase() == member.Rebooting && isDoer:
				rebooting = append(rebooting, mbr)
			}
		}
	})
	mvr.confirm(now, confirms)
	for _, mbr := range outs {
		mvr.runStep(now, mbr, mvr.finishMove, mvr.beginReboot)
	}
	for _, mbr := range rebooting {
		mvr.runStep(now, mbr, mvr.finishReboot, mvr.finishReboot)
	}
	mvr.dropOldAttempts(now)
	if len(confirms)+len(outs)+len(rebooting) > 0 {
		return interval
	}
	return idleInterval
}

// confirm states for each VM that nothing of this entry is in flight there. The
// replica shows the VM as leaving, so the dispatcher sends it nothing new.
func (mvr *Mover) confirm(now time.Time, mbrs []member.Member) {
	set := mvr.nod.Settings()
	var recs []record.Record
	for _, mbr := range mbrs {
		key := fmt.Sprintf("confirm/%s/%d/%s/%d", mbr.VM(), mbr.Epoch(), set.Name, mvr.nod.Incarnation())
		if mvr.nod.Dispatcher().InFlight(mbr.VM()) > 0 || !mvr.isDue(now, key, retryInterval) {
			continue
		}
		recs = append(recs, mvr.nod.NewRecord(now, record.Config{
			Kind: record.VMConfirm, VM: mbr.VM(), Epoch: mbr.Epoch(), Entry: set.Name,
			Incarnation: mvr.nod.Incarnation(), ChangeID: key,
		}))
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := mvr.nod.Proposer().Send(ctx, recs); err != nil {
		mvr.nod.Journal().Warn(now, "confirmationLost", slog.String("error", err.Error()))
	}
}

func (mvr *Mover) isDue(now time.Time, key string, redo time.Duration) bool {
	last, ok := mvr.lastAttempt[key]
	if ok && now.Sub(last) < redo {
		return false
	}
	mvr.lastAttempt[key] = now
	return true
}

func (mvr *Mover) dropOldAttempts(now time.Time) {
	for key, at := range mvr.lastAttempt {
		if now.Sub(at) > time.Minute {
			delete(mvr.lastAttempt, key)
		}
	}
}

// attempt runs one step for the VM in the background, at most one at a time.
func (mvr *Mover) runStep(now time.Time, mbr member.Member, move, maintain func(context.Context, member.Member)) {
	key := fmt.Sprintf("step/%s/%d/%s", mbr.VM(), mbr.Epoch(), mbr.Phase())
	redo := retryInterval
	if mbr.Phase() == member.Rebooting {
		redo = rebootPollInterval
	}
	if !mvr.isDue(now, key, redo) {
		return
	}
	step := move
	if mbr.Wave() != "" {
		step = maintain
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		step(ctx, mbr)
	}()
}

// finishMove tells the VM its next pool and then the fold that it serves there.
func (mvr *Mover) finishMove(ctx context.Context, mbr member.Member) {
	err := mvr.nod.Worker().Assign(ctx, mbr.Agent(), mbr.Next(), mbr.Epoch()+1)
	if err != nil {
		return
	}
	mvr.join(ctx, mbr, "vmMoved")
}

func (mvr *Mover) join(ctx context.Context, mbr member.Member, event string) {
	now := mvr.nod.Now()
	rec := mvr.nod.NewRecord(now, record.Config{
		Kind: record.VMJoin, VM: mbr.VM(), Epoch: mbr.Epoch(),
		ChangeID: fmt.Sprintf("join/%s/%d", mbr.VM(), mbr.Epoch()),
	})
	vrd, err := mvr.nod.Proposer().Propose(ctx, rec)
	if err == nil && vrd.Code() == code.OK {
		mvr.nod.Journal().Event(now, event, slog.String("vm", mbr.VM()), slog.String("from", mbr.Pool()), slog.String("to", mbr.Next()))
	}
}

// beginReboot asks the fold for leave to reboot. A VM whose pool has lost others
// to failures meanwhile, or whose wave was cancelled, goes back to service instead.
func (mvr *Mover) beginReboot(ctx context.Context, mbr member.Member) {
	now := mvr.nod.Now()
	rec := mvr.nod.NewRecord(now, record.Config{Kind: record.VMReboot, VM: mbr.VM(), Epoch: mbr.Epoch()})
	vrd, err := mvr.nod.Proposer().Propose(ctx, rec)
	if err != nil {
		return
	}
	switch vrd.Code() {
	case code.OK:
		mvr.nod.Journal().Event(now, "vmRebooting", slog.String("vm", mbr.VM()), slog.String("wave", mbr.Wave()))
		mvr.finishReboot(ctx, mbr)
	case code.BudgetReached, code.WaveNotRunning:
		mvr.join(ctx, mbr, "vmPutBack")
	}
}

// finishReboot sends the reboot until the agent has taken it, and brings the VM
// back once it is up again in the next epoch.
func (mvr *Mover) finishReboot(ctx context.Context, mbr member.Member) {
	hlt, err := mvr.nod.Worker().Health(ctx, mbr.Agent())
	if err != nil {
		return
	}
	if hlt.Epoch <= mbr.Epoch() {
		// The agent refuses a second reboot in the same epoch.
		_ = mvr.nod.Worker().Reboot(ctx, mbr.Agent(), mbr.Epoch()+1)
		return
	}
	mvr.join(ctx, mbr, "vmMaintained")
}
