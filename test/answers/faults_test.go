package answers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/task"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolscheduler"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/vmfleet"
)

const (
	maxLease = 5 * time.Second
	// longestLease is the longest lease that VMs grant, as they do after a restart.
	longestLease = 10 * time.Second
	maxDelay     = 12 * time.Second // of orders and appends that are carried out late
	reopenDelay  = 400 * time.Millisecond
	openTimeout  = 5 * time.Second
	// regainTime is the time after a cut or a pause in which an entry's answers do not count.
	regainTime = 3 * time.Second
)

// Kinds of faults. Silent VMs run on; crashed ones start again under their ids; at the
// addresses of replaced ones others answer; unhealthy ones and those without room refuse
// starts; late ones carry orders out after newer ones. A lossy log also stores appends late.
const (
	silent, crashed, replaced, unhealthy, noRoom = "silent", "crashed", "replaced", "unhealthy", "noRoom"
	unreachable, lossy, late, evacuated          = "unreachable", "lossy", "late", "evacuated"
	logDown, logSilent, logLossy                 = "logDown", "logSilent", "logLossy"
)

// Kinds of handovers. An owner that is cut off reaches neither the log nor some VMs; an
// unaware one is replaced without being told.
const cutOff, paused, stopped, unaware = "cutOff", "paused", "stopped", "unaware"

// series is a series of faults of one kind, or a handover.
type series struct {
	kind        string
	from, until time.Duration
	slots       []int         // of the VMs
	entry       *entry        // of a fault of the log or an entry; nil for all
	gap         time.Duration // until the next owner opens, for a handover
}

func (sok *soak) drawFaults(rnd *rand.Rand) {
	between := func(low, high int64) time.Duration { return time.Duration(low+rnd.Int64N(high-low)) * time.Millisecond }
	draw := func(from time.Duration, kinds ...string) series {
		width := []int{1, 1, 2, slots - 1, slots}[rnd.IntN(5)]
		return series{kind: kinds[rnd.IntN(len(kinds))], from: from, until: min(from+between(500, 14000), faultTime), slots: rnd.Perm(slots)[:width]}
	}
	for range 12 + rnd.IntN(14) {
		srs := draw(between(1000, faultTime.Milliseconds()), silent, crashed, replaced, unhealthy, noRoom, unreachable, lossy, late, evacuated, logDown, logSilent, logLossy)
		if srs.kind == replaced {
			srs.slots, srs.until = srs.slots[:1], endTime
		}
		if strings.HasPrefix(srs.kind, "log") && rnd.IntN(3) == 0 {
			srs.entry = sok.entries[rnd.IntN(entryCount)]
		}
		sok.faults = append(sok.faults, srs)
	}
	for range 20 { // restarts that are over before an owner knows of them
		srs := draw(between(1000, faultTime.Milliseconds()), crashed)
		srs.until, srs.slots = srs.from+between(1, 100), srs.slots[:1]
		sok.faults = append(sok.faults, srs)
	}
	for at := between(3000, 15000); at < faultTime; at += between(2000, 18000) {
		srs := draw(at, cutOff, paused, stopped, unaware)
		srs.gap = between(100, 2500)
		sok.handovers = append(sok.handovers, srs)
	}
}

// play reboots the VMs of a series that ends what runs there. Crashed ones come back at its end.
func (sok *soak) play(srs series) {
	time.Sleep(srs.from)
	sok.mu.Lock()
	sok.note("FAULT %s until %s, slots %v, entry %v", srs.kind, srs.until, srs.slots, srs.entry)
	sok.mu.Unlock()
	for i := range map[string]int{crashed: 2, replaced: 1}[srs.kind] {
		time.Sleep(time.Duration(i) * (srs.until - srs.from))
		for _, slot := range srs.slots {
			sok.fleet.Reboot(time.Now(), fmt.Sprintf("vm-%d", slot))
			sok.fleet.Reboot(time.Now(), fmt.Sprintf("vm-%d", slot+slots))
		}
	}
}

// slotOf returns the number of a VM's address, and whether the VM replaces another one there.
func slotOf(vm string) (slot int, isSpare bool) {
	_, _ = fmt.Sscanf(vm, "vm-%d", &slot)
	return slot % slots, slot >= slots
}

// entry is a process that may own the pool.
type entry struct {
	soak   *soak
	name   string
	offset time.Duration // of its time of day
}

// now returns the entry's time of day.
func (ent *entry) now() time.Time { return time.Now().Add(ent.offset) }

func (ent *entry) String() string {
	if ent == nil {
		return "all"
	}
	return ent.name
}

// isUnder reports whether a series of one of the kinds is in force for the entry, and for the
// VM unless it is empty.
func (ent *entry) isUnder(vm string, kinds ...string) bool {
	slot, _ := slotOf(vm)
	return ent.soak.hasSeries(0, func(srs series) bool {
		return slices.Contains(kinds, srs.kind) && (srs.entry == nil || srs.entry == ent) && (vm == "" || slices.Contains(srs.slots, slot))
	})
}

// isInTouch reports whether the entry's answers count: no fault is or was shortly before its own.
func (ent *entry) isInTouch() bool {
	return !ent.soak.hasSeries(regainTime, func(srs series) bool { return srs.entry == ent })
}

// hasSeries reports whether a series that matches is in force or was at most a time ago.
func (sok *soak) hasSeries(ago time.Duration, isMatch func(series) bool) bool {
	sok.faultMu.Lock()
	defer sok.faultMu.Unlock()
	return slices.ContainsFunc(sok.faults, func(srs series) bool { return sok.now() >= srs.from && sok.now() < srs.until+ago && isMatch(srs) })
}

// delivery is what happens to a call.
type delivery int

const (
	normal delivery = iota
	refused
	noAnswer
	lostAnswer
	lateCall
)

// deliveryOf draws what happens to a call to a VM, or to the log if vm is empty.
func (ent *entry) deliveryOf(vm, call string) (delivery, agent.Outcome) {
	_, isSpare := slotOf(vm)
	isStart := strings.HasPrefix(call, "start")
	share := ent.soak.draw(ent, vm, call, ent.soak.now())
	switch {
	case vm == "" && ent.isUnder("", cutOff, logSilent), vm != "" && ent.isUnder(vm, silent, crashed, cutOff):
		return noAnswer, agent.Unknown
	case vm == "" && ent.isUnder("", logDown):
		return refused, agent.Unknown
	case vm == "" && share < 0.5 && ent.isUnder("", logLossy):
		return []delivery{noAnswer, lostAnswer, lateCall}[int(share*6)], agent.Unknown
	case vm == "":
		return normal, agent.Done
	case !isSpare && ent.isUnder(vm, replaced):
		return refused, agent.WrongIncarnation
	case ent.isUnder(vm, unreachable):
		return refused, agent.Unreachable
	case isStart && ent.isUnder(vm, unhealthy):
		return refused, agent.Unhealthy
	case isStart && ent.isUnder(vm, noRoom):
		return refused, agent.Refused
	case share < 0.5 && ent.isUnder(vm, late):
		return lateCall, agent.Unknown
	case share < 0.4 && ent.isUnder(vm, lossy):
		return lostAnswer, agent.Unknown
	}
	return normal, agent.Done
}

// result is the answer to a call. Calls to the log have no outcome.
type result[T any] struct {
	reply T
	out   agent.Outcome
	err   error
}

// deliver makes a call, to a VM or to the log if vm is empty, under the faults in force.
func deliver[T any](ctx context.Context, ent *entry, vm, name string, call func(context.Context) result[T]) result[T] {
	ent.awaitResume()
	defer ent.awaitResume()
	share := ent.soak.draw("delay", ent, vm, name, ent.soak.now())
	time.Sleep(time.Duration(share * float64(2*time.Millisecond)))
	dlv, out := ent.deliveryOf(vm, name)
	switch dlv {
	case refused:
		return result[T]{out: out, err: statelog.ErrNotAppended}
	case lostAnswer:
		call(ctx)
	case lateCall:
		// A VM carries an order out late itself, and one that restarts knows nothing of before.
		incarnation := ent.soak.fleet.Incarnation(vm)
		time.AfterFunc(time.Duration(share*float64(maxDelay)), func() {
			if dlv, _ := ent.deliveryOf(vm, name); dlv == normal && ent.soak.fleet.Incarnation(vm) == incarnation {
				call(context.Background())
			}
		})
	case normal:
		res := call(ctx)
		if dlv, _ := ent.deliveryOf(vm, name); dlv != noAnswer {
			return res
		}
	}
	<-ctx.Done()
	return result[T]{err: vmfleet.ErrNoAnswer}
}

func (ent *entry) awaitResume() {
	for ent.isUnder("", paused) {
		time.Sleep(askInterval)
	}
}

func (ent *entry) agent() agent.Client {
	agt := ent.soak.fleet.Agent()
	start, stop, poll := agt.Start, agt.Stop, agt.Poll
	agt.Start = func(ctx context.Context, tgt agent.Target, ord agent.Start) (agent.Outcome, error) {
		res := deliver(ctx, ent, tgt.VM, fmt.Sprintf("start %s %d", ord.Task, ord.Run), func(ctx context.Context) (res result[bool]) {
			res.out, res.err = start(ctx, tgt, ord)
			return res
		})
		return res.out, res.err
	}
	agt.Stop = func(ctx context.Context, tgt agent.Target, tid task.ID, run int) (agent.Outcome, error) {
		res := deliver(ctx, ent, tgt.VM, fmt.Sprintf("stop %s %d", tid, run), func(ctx context.Context) (res result[bool]) {
			res.out, res.err = stop(ctx, tgt, tid, run)
			return res
		})
		return res.out, res.err
	}
	agt.Poll = func(ctx context.Context, tgt agent.Target, req agent.Poll) (agent.Report, agent.Outcome, error) {
		res := deliver(ctx, ent, tgt.VM, "poll", func(ctx context.Context) (res result[agent.Report]) {
			res.reply, res.out, res.err = poll(ctx, tgt, req)
			return res
		})
		return res.reply, res.out, res.err
	}
	return agt
}

// readings are the replies of the log.
type readings struct {
	records []statelog.Record
	offset  int64
	isFound bool
}

func (ent *entry) log() statelog.Client {
	log := ent.soak.store.Client()
	appendAll, newest, lookup := log.Append, log.Newest, log.Lookup
	log.Append = func(ctx context.Context, app statelog.AppendRequest) (int64, error) {
		res := deliver(ctx, ent, "", "append", func(callCtx context.Context) (res result[readings]) {
			if len(app.Records) == 0 && ctx.Err() != nil {
				return res // when late, it would start the stand-in's numbering of appends again
			}
			res.reply.offset, res.err = appendAll(callCtx, app)
			return res
		})
		return res.reply.offset, res.err
	}
	log.Newest = func(ctx context.Context, topic string, part int) ([]statelog.Record, int64, error) {
		res := deliver(ctx, ent, "", "newest", func(ctx context.Context) (res result[readings]) {
			res.reply.records, res.reply.offset, res.err = newest(ctx, topic, part)
			return res
		})
		return res.reply.records, res.reply.offset, res.err
	}
	log.Lookup = func(ctx context.Context, topic string, part int, key string) (statelog.Record, bool, error) {
		res := deliver(ctx, ent, "", "lookup", func(ctx context.Context) (res result[readings]) {
			res.reply.records = make([]statelog.Record, 1)
			res.reply.records[0], res.reply.isFound, res.err = lookup(ctx, topic, part, key)
			return res
		})
		return append(res.reply.records, statelog.Record{})[0], res.reply.isFound, res.err
	}
	return log
}

// holder is an owner and the entry that it runs in.
type holder struct {
	entry        *entry
	owner        *owner.Owner
	reachedLogAt time.Duration
}

func (hld *holder) String() string { return fmt.Sprintf("%s/%d", hld.entry, hld.owner.FencingToken()) }

// changeOwners opens owners, hands the pool over as drawn, and drops owners that have lost it,
// as entries do.
func (sok *soak) changeOwners(quit <-chan struct{}) {
	handovers, openAt, isWanted := sok.handovers, time.Duration(0), true
	for next := 0; ; {
		sok.mu.Lock()
		sok.dropLost()
		if len(handovers) > 0 && sok.now() >= handovers[0].from {
			sok.handOver(handovers[0])
			openAt, isWanted, handovers = sok.now()+handovers[0].gap, true, handovers[1:]
		}
		sok.updateVMs()
		isOpening := sok.now() >= openAt && (isWanted || len(sok.holders) == 0)
		sok.mu.Unlock()
		if isOpening {
			next++
			isWanted, openAt = !sok.open(sok.entries[next%entryCount]), sok.now()+reopenDelay
		}
		select {
		case <-quit:
			for _, hld := range sok.holders {
				hld.owner.Close()
			}
			return
		case <-time.After(askInterval):
		}
	}
}

// open lets the entry open an owner. It reports false if that fails.
func (sok *soak) open(ent *entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	jnl := journal.New(journal.Config{Out: sok, Process: ent.name})
	que := queue.Queue{Name: queueName, Pool: pool, MaxAttempts: maxAttempts, DeadlineFactor: 1.6, LatencyGoal: time.Second}
	own, err := owner.Open(ctx, ent.now(), owner.Config{
		Pool: pool, Address: ent.name, MaxLease: maxLease, LongestLease: longestLease, StatusRetention: retention, StateLog: ent.log(), Agent: ent.agent(),
		Journal: jnl, Metrics: metrics.NewSet(), Table: queue.NewTable(1, []queue.Queue{que, {Name: otherQueue, Pool: pool}}, []queue.Pool{{Name: pool}}).WithOrganisations(sok.organisations()), RequestReport: func() {}, SinceBoot: sok.now, Now: ent.now,
	})
	if err != nil {
		jnl.Close()
		return false
	}
	go func() {
		<-own.Done()
		time.Sleep(maxDelay) // until its last calls have ended
		jnl.Close()
	}()
	sok.mu.Lock()
	defer sok.mu.Unlock()
	sok.holders = append(sok.holders, &holder{entry: ent, owner: own, reachedLogAt: sok.now()})
	sok.note("FAULT none: %s has opened an owner with token %d", ent, own.FencingToken())
	return true
}

// handOver begins a handover of the pool by its newest owner. The caller holds the lock.
func (sok *soak) handOver(srs series) {
	if len(sok.holders) == 0 {
		return
	}
	hld := sok.holders[len(sok.holders)-1]
	sok.note("FAULT %s: owner %s until %s, slots %v", srs.kind, hld, srs.until, srs.slots)
	switch srs.kind {
	case stopped:
		sok.holders = sok.holders[:len(sok.holders)-1]
		go hld.owner.Close()
	case cutOff, paused:
		sok.faultMu.Lock()
		defer sok.faultMu.Unlock()
		srs.entry = hld.entry
		sok.faults = append(sok.faults, srs)
	}
}

// dropLost drops the owners that know that they have lost the pool, and those that were cut off
// from the log for too long. The caller holds the lock.
func (sok *soak) dropLost() {
	sok.holders = slices.DeleteFunc(sok.holders, func(hld *holder) bool {
		if hld.entry.isUnder("", paused) {
			return false
		}
		if !hld.entry.isUnder("", cutOff, logSilent, logDown) {
			hld.reachedLogAt = sok.now()
		}
		isLost := sok.now()-hld.reachedLogAt > poolscheduler.OwnerGracePeriod
		select {
		case <-hld.owner.OwnershipLost():
			isLost = true
		default:
		}
		if isLost {
			go hld.owner.Close()
		}
		return isLost
	})
}

// updateVMs tells the owners which VMs are listed and which are to be evacuated. The caller
// holds the lock.
func (sok *soak) updateVMs() {
	all := sok.entries[0]
	var hosts []host.Host
	evacuating := map[string]bool{}
	for _, hst := range sok.fleet.Hosts() {
		_, isSpare := slotOf(hst.ID)
		if isSpare != all.isUnder(hst.ID, replaced) {
			continue
		}
		if _, isListed := sok.listed[hst.ID]; !isListed || !all.isUnder(hst.ID, crashed) {
			sok.listed[hst.ID] = hst
		}
		hosts = append(hosts, sok.listed[hst.ID])
		evacuating[hst.ID] = all.isUnder(hst.ID, evacuated)
	}
	slices.SortFunc(hosts, func(one, two host.Host) int { return strings.Compare(one.ID, two.ID) })
	for _, hld := range sok.holders {
		if !hld.entry.isUnder("", paused, cutOff, logSilent, logDown) {
			hld.owner.SetListedVMs(hld.entry.now(), hosts)
			hld.owner.SetEvacuating(hld.entry.now(), evacuating)
		}
	}
}
