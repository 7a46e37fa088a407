package cell

import (
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/schedule/fit"
	"daisywheel/internal/schedule/rank"
	"daisywheel/internal/schedule/runtime"
)

// Plan returns the orders that should be sent now, and takes them as sent.
func (cel *Cell) Plan(now time.Time) []Order {
	cel.findUsable(now)
	cel.planLeaving(now)
	orders := cel.planStops(now, nil)
	cel.checkSettled(now)
	mss := misses{}
	stages := cel.sorted(now)
	cel.weighZones(stages)
	for _, stg := range stages {
		if !mss.covers(stg) {
			orders = cel.placeStage(now, stg, mss, orders)
		}
	}
	return cel.planPaces(orders)
}

// findUsable notes the VMs that may take tasks now.
func (cel *Cell) findUsable(now time.Time) {
	cel.usable = cel.usable[:0]
	fresh := now.Add(-staleAfter)
	for _, mac := range cel.machines() {
		if mac.isUsable(now) && !mac.heardAt.Before(fresh) && !now.Before(mac.quietUntil) {
			cel.usable = append(cel.usable, mac)
		}
	}
}

func (cel *Cell) planStops(now time.Time, orders []Order) []Order {
	for wrk := range cel.halting {
		switch {
		case wrk.phase != stopping || wrk.vm == nil:
			delete(cel.halting, wrk)
		case wrk.vm.isHeld && wrk.stopAcked.IsZero() && now.Sub(wrk.stopSent) >= orderRetry:
			wrk.stopSent = now
			orders = append(orders, Order{Kind: StopTask, Target: cel.target(wrk.vm), Task: wrk.id, Run: wrk.run})
		}
	}
	for _, mac := range cel.machines() {
		if !mac.isHeld || len(mac.strays) == 0 {
			continue
		}
		for key, stp := range mac.strays {
			if stp.ackedAt.IsZero() && now.Sub(stp.sentAt) >= orderRetry {
				stp.sentAt = now
				orders = append(orders, Order{Kind: StopTask, Target: cel.target(mac), Task: key.task, Run: key.run})
			}
		}
	}
	return orders
}

func (cel *Cell) claim(stg *stage) rank.Claim {
	que, _ := cel.queueOf(stg.job.queue)
	whole, left := cel.expect(stg.job, stg.occurrence)
	return rank.Claim{
		Priority: que.Priority, Objective: objectiveOf(que, stg.job.since(stg.occurrence), whole), Remaining: left,
		IsLasting: stg.step.IsLasting, IsHelper: stg.step.IsBackground,
		Submitted: stg.job.accepted, HasBegun: stg.job.isBegun,
	}
}

// model returns what is learned of the run times of a queue.
func (cel *Cell) model(queue string) *runtime.Model {
	mdl, ok := cel.models[queue]
	if !ok {
		mdl = &runtime.Model{}
		cel.models[queue] = mdl
	}
	return mdl
}

type rankedStage struct {
	key rank.Key
	stg *stage
}

// sorted returns the stages with tasks that wait, in the order of service.
func (cel *Cell) sorted(now time.Time) []*stage {
	list := make([]rankedStage, 0, len(cel.open))
	for stg := range cel.open {
		if stg.waitCount == 0 || !cel.isSettled(stg.job) {
			continue
		}
		list = append(list, rankedStage{key: rank.KeyOf(now, cel.claim(stg)), stg: stg})
	}
	slices.SortFunc(list, func(one, two rankedStage) int { return rank.Compare(one.key, two.key) })
	stages := make([]*stage, len(list))
	for i := range list {
		stages[i] = list[i].stg
	}
	return stages
}

func (cel *Cell) placeStage(now time.Time, stg *stage, mss misses, orders []Order) []Order {
	if !cel.isAllowed(stg) {
		return orders
	}
	stg.isStarved = false
	if stg.step.IsGang {
		return cel.placeGang(now, stg, orders)
	}
	for i := range stg.works {
		wrk := &stg.works[i]
		if wrk.phase != waiting || wrk.strays > 0 {
			continue
		}
		mac := cel.choose(stg, wrk)
		if mac == nil {
			cel.missed(stg, wrk, mss)
			break // the other tasks of the stage need as much
		}
		orders = append(orders, cel.start(now, mac, wrk, cel.nextRun(wrk)))
	}
	return orders
}

// isAllowed reports whether the configuration in force still sends the queue here.
func (cel *Cell) isAllowed(stg *stage) bool {
	que, ok := cel.queueOf(stg.job.queue)
	return !ok || que.Service == cel.cfg.Name
}

// placeGang starts all tasks of the stage or none.
func (cel *Cell) placeGang(now time.Time, stg *stage, orders []Order) []Order {
	if stg.waitCount < len(stg.works) {
		return orders // members of the last run have not ended yet
	}
	run := cel.cfg.RunBase
	for i := range stg.works {
		if stg.works[i].strays > 0 {
			return orders
		}
		run = max(run, stg.works[i].run)
	}
	picks := cel.reserve(stg)
	if picks == nil {
		return orders
	}
	for i := range stg.works {
		stg.works[i].checkpoint = stg.works[0].checkpoint // all members resume from the same point
		orders = append(orders, cel.start(now, picks[i], &stg.works[i], run+1))
	}
	return orders
}

// reserve returns a VM for each task of the stage, or nil when not all fit.
func (cel *Cell) reserve(stg *stage) []*machine {
	picks := make([]*machine, 0, len(stg.works))
	for i := range stg.works {
		mac := cel.choose(stg, &stg.works[i])
		if mac == nil {
			break
		}
		mac.add(&stg.works[i])
		picks = append(picks, mac)
	}
	for i, mac := range picks {
		mac.remove(&stg.works[i])
	}
	if len(picks) < len(stg.works) {
		return nil
	}
	return picks
}

func (cel *Cell) nextRun(wrk *work) int { return max(wrk.run, cel.cfg.RunBase) + 1 }

// choose returns the VM for the task in the zones where its job may run, or nil.
func (cel *Cell) choose(stg *stage, wrk *work) *machine {
	return cel.search(stg, wrk, stg.job.mayRunIn)
}

// search returns the VM for the task in the zones that are allowed, or nil.
func (cel *Cell) search(stg *stage, wrk *work, isAllowed func(zone string) bool) *machine {
	var best *machine
	var bestCost float64
	need := counted(stg.step)
	for _, mac := range cel.usable {
		if !need.Fits(mac.room()) || !isAllowed(mac.host.Zone) || !mac.mayTake(stg) {
			continue
		}
		cost := fit.Score(stg.step, fit.Candidate{
			Room: mac.room(), Capacity: mac.host.Capacity, IsNear: mac.host.Has(stg.step.Rack),
			IsAvoided: wrk.avoid == mac.host.ID, Serving: mac.serving, Helpers: mac.helpers, Same: mac.perStage[stg], IsDue: mac.isDue,
		})
		if best == nil || cost < bestCost {
			best, bestCost = mac, cost
		}
	}
	return best
}

// isUsable reports whether nothing but time keeps tasks from the VM.
func (mac *machine) isUsable(now time.Time) bool {
	return mac.isHeld && mac.isRecorded && mac.isPresent(now) && !mac.isSilent && !mac.isLeaving &&
		!mac.host.IsDraining && len(mac.strays) == 0
}

// mayTake reports whether the stage's restrictions allow one more of its tasks on
// the VM.
func (mac *machine) mayTake(stg *stage) bool {
	return mac.host.Has(stg.step.Label) && (stg.step.MaxPerVM == 0 || mac.perStage[stg] < stg.step.MaxPerVM)
}

// staleAfter is how long a VM may be silent before it gets no more work: a poll
// of two seconds and one retry.
const staleAfter = 3500 * time.Millisecond

func (cel *Cell) start(now time.Time, mac *machine, wrk *work, run int) Order {
	wrk.run, wrk.phase, wrk.startSent, wrk.answered, wrk.isDoubtful = run, starting, now, time.Time{}, false
	wrk.step.waitCount--
	wrk.step.startedAt = now
	mac.add(wrk)
	ent := wrk.step.job
	if !ent.isBegun {
		ent.isBegun = true
		cel.cfg.Event(now, "jobBegun", slog.String("job", ent.plan.ID), slog.String("vm", mac.host.ID),
			slog.Duration("waited", now.Sub(ent.accepted)))
	}
	return Order{Kind: StartTask, Target: cel.target(mac), Task: wrk.id, Run: run, Start: agent.Start{
		Task: wrk.id, Run: run, Spec: ent.plan.Spec, Until: cel.grant(now, mac), Checkpoint: wrk.checkpoint,
	}}
}

// Started takes in the outcome of a start.
func (cel *Cell) Started(now time.Time, ord Order, out agent.Outcome) {
	wrk := cel.find(ord.Task)
	if wrk == nil || wrk.vm == nil || wrk.vm.host.ID != ord.Target.VM || wrk.run != ord.Run || wrk.phase == done {
		return
	}
	mac := wrk.vm
	wrk.answered = now
	switch out {
	case agent.Done:
		if wrk.phase == starting {
			wrk.phase = running
		}
		wrk.isDoubtful = false
		return
	case agent.Unknown:
		wrk.isDoubtful = true
		return
	case agent.Unreached:
		mac.isSilent = true
	case agent.Unwell:
		mac.quietUntil = now.Add(unwellPause)
	case agent.Reborn:
		mac.isHeld = false
	}
	cel.cfg.Event(now, "startRefused", slog.String("task", wrk.id.String()), slog.String("vm", mac.host.ID),
		slog.Int("run", ord.Run), slog.Int("outcome", int(out)))
	cel.release(wrk)
}

// Stopped takes in the outcome of a stop.
func (cel *Cell) Stopped(now time.Time, ord Order, out agent.Outcome) {
	mac := cel.vms[ord.Target.VM]
	if mac == nil || out != agent.Done {
		return
	}
	if stp := mac.strays[stray{ord.Task, ord.Run}]; stp != nil {
		stp.ackedAt = now
	}
	if wrk := mac.works[ord.Task]; wrk != nil && wrk.run == ord.Run && wrk.phase == stopping {
		wrk.stopAcked = now
	}
}
