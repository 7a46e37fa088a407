// Package mover takes VMs through the phases of a move or maintenance: leaving,
// out, rebooting and back to serving.
package mover

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/kernel/loop"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/plugin"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Intervals and timeouts.
const (
	interval           = 50 * time.Millisecond // while any VM of the zone is leaving, out or rebooting
	idleInterval       = 5 * time.Second
	stepTimeout        = 2 * time.Second
	retryInterval      = time.Second // until a step without a visible effect in the applied state is repeated
	rebootPollInterval = 200 * time.Millisecond
)

func init() {
	plugin.Register(plugin.Plugin{Name: "mover", Order: 40, Start: start})
}

// Mover advances the memberships of its zone's VMs.
type Mover struct {
	nod         *node.Node
	lastAttempt map[string]time.Time // by step
}

func start(nod *node.Node) (func(), error) {
	mvr := &Mover{nod: nod, lastAttempt: map[string]time.Time{}}
	lop := loop.OnWake("mover", interval, nod.Replica().Changed, mvr.step)
	return lop.Stop, nil
}

// step advances the VMs that are not serving and returns the time until the next
// step if the applied state does not change.
func (mvr *Mover) step(time.Time) time.Duration {
	now := mvr.nod.Now()
	set := mvr.nod.Settings()
	var leaving, out, rebooting []member.Member
	mvr.nod.Replica().View(func(flt *fleet.Fleet) {
		if !mvr.nod.IsRegistered(flt) {
			return
		}
		for _, name := range flt.NotServing(set.Zone) {
			mbr, _ := flt.Member(name)
			isResponsible := mvr.nod.IsResponsible(flt, name)
			switch {
			case mbr.Phase() == member.Leaving && slices.Contains(flt.UnconfirmedEntries(name), set.Name):
				leaving = append(leaving, mbr)
			case mbr.Phase() == member.Out && isResponsible:
				out = append(out, mbr)
			case mbr.Phase() == member.Rebooting && isResponsible:
				rebooting = append(rebooting, mbr)
			}
		}
	})
	mvr.confirm(now, leaving)
	for _, mbr := range out {
		mvr.runStep(now, mbr, mvr.finishMove, mvr.beginReboot)
	}
	for _, mbr := range rebooting {
		mvr.runStep(now, mbr, mvr.finishReboot, mvr.finishReboot)
	}
	mvr.dropOldAttempts(now)
	if len(leaving)+len(out)+len(rebooting) > 0 {
		return interval
	}
	return idleInterval
}

// confirm records for each leaving VM that this entry has nothing in flight there.
// The dispatcher sends nothing new to these VMs, because the replica that it
// follows shows them as leaving.
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
	if err := mvr.nod.Proposer().Append(ctx, recs); err != nil {
		mvr.nod.Journal().Warn(now, "confirmationLost", slog.String("error", err.Error()))
	}
}

// isDue reports whether the step was last tried at least retry ago. If so, it
// counts as tried now.
func (mvr *Mover) isDue(now time.Time, key string, retry time.Duration) bool {
	last, ok := mvr.lastAttempt[key]
	if ok && now.Sub(last) < retry {
		return false
	}
	mvr.lastAttempt[key] = now
	return true
}

// dropOldAttempts deletes the attempts of more than a minute ago.
func (mvr *Mover) dropOldAttempts(now time.Time) {
	for key, at := range mvr.lastAttempt {
		if now.Sub(at) > time.Minute {
			delete(mvr.lastAttempt, key)
		}
	}
}

// runStep starts one step for the VM in the background, unless it was started less
// than the retry interval ago: maintain if the VM belongs to a wave, otherwise move.
func (mvr *Mover) runStep(now time.Time, mbr member.Member, move, maintain func(context.Context, member.Member)) {
	key := fmt.Sprintf("step/%s/%d/%s", mbr.VM(), mbr.Epoch(), mbr.Phase())
	retry := retryInterval
	if mbr.Phase() == member.Rebooting {
		retry = rebootPollInterval
	}
	if !mvr.isDue(now, key, retry) {
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

// finishMove assigns the VM to its next pool at its agent and then records that it
// serves there.
func (mvr *Mover) finishMove(ctx context.Context, mbr member.Member) {
	err := mvr.nod.Worker().Assign(ctx, mbr.Agent(), mbr.NextPool(), mbr.Epoch()+1)
	if err != nil {
		return
	}
	mvr.join(ctx, mbr, "vmMoved")
}

// join records that the VM serves its next pool, and logs the event if the record
// is accepted.
func (mvr *Mover) join(ctx context.Context, mbr member.Member, event string) {
	now := mvr.nod.Now()
	rec := mvr.nod.NewRecord(now, record.Config{
		Kind: record.VMJoin, VM: mbr.VM(), Epoch: mbr.Epoch(),
		ChangeID: fmt.Sprintf("join/%s/%d", mbr.VM(), mbr.Epoch()),
	})
	vrd, err := mvr.nod.Proposer().Propose(ctx, rec)
	if err == nil && vrd.Code() == code.OK {
		mvr.nod.Journal().Event(now, event, slog.String("vm", mbr.VM()), slog.String("from", mbr.Pool()), slog.String("to", mbr.NextPool()))
	}
}

// beginReboot proposes the reboot and starts it if it is accepted. A VM whose pool
// has meanwhile lost other VMs to failures, or whose wave was cancelled, returns to
// service instead.
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

// finishReboot orders the reboot from the agent until the agent reports the next
// epoch, and then returns the VM to service.
func (mvr *Mover) finishReboot(ctx context.Context, mbr member.Member) {
	hlt, err := mvr.nod.Worker().Health(ctx, mbr.Agent())
	if err != nil {
		return
	}
	if hlt.Epoch <= mbr.Epoch() {
		// A repeated order is harmless: the agent refuses a second reboot in the same epoch.
		_ = mvr.nod.Worker().Reboot(ctx, mbr.Agent(), mbr.Epoch()+1)
		return
	}
	mvr.join(ctx, mbr, "vmMaintained")
}
