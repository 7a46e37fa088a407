// Package protocol runs the actions of the model spec/membership.pml in random order
// against the product's fleet state and router, one of each per entry.
package protocol

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/request/router"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// TestMain fixes the seed, so that every run draws the same sequences of actions.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	vms = []string{"a0", "a1", "b0"}
)

const (
	slots = 8
	steps = 300
)

// replica is one entry: the state after the records that it has applied, its router and
// its requests in flight.
type replica struct {
	name    string
	flt     *fleet.Fleet
	rtr     *router.Router
	tickets []*router.Ticket
	isAlive bool
}

// system is the log, the entries and the VMs under test.
type system struct {
	log       []record.Record
	reference *fleet.Fleet // the state with the whole log applied
	entries   []*replica
	toldPool  map[string]string // by VM, the pool that its agent was last told
	lastID    int
}

func newSystem(rt *rapid.T) *system {
	sys := &system{reference: fleet.New(fleet.Config{}), toldPool: map[string]string{}}
	for _, pool := range []string{"a", "b"} {
		sys.append(record.Config{Kind: record.RowSet, Row: row.Config{
			Pool: pool, Service: pool, Weight: 1, TakeVMs: 9, LendVMs: 9, DownVMs: 1, Queue: 0, DeadlineMs: 1000,
		}})
	}
	for _, vm := range vms {
		sys.append(record.Config{Kind: record.VMAdd, Member: member.Config{VM: vm, Zone: "z", Pool: vm[:1]}})
		sys.toldPool[vm] = vm[:1]
	}
	for idx := range 3 {
		name := fmt.Sprint("e", idx)
		sys.append(record.Config{Kind: record.EntryJoin, Entry: name, Zone: "z", Incarnation: 1})
		rep := &replica{name: name, flt: fleet.New(fleet.Config{}), rtr: router.New(router.Config{Seed: uint64(idx)}), isAlive: true}
		sys.entries = append(sys.entries, rep)
	}
	for _, rep := range sys.entries {
		for int(rep.flt.Next()) < len(sys.log) {
			sys.apply(rep)
		}
	}
	if len(sys.reference.Entries()) != 3 {
		rt.Fatal("not all entries are registered")
	}
	return sys
}

// append appends a record to the log and returns its verdict's code.
func (sys *system) append(cfg record.Config) code.Code {
	sys.lastID++
	if cfg.ChangeID == "" {
		cfg.ChangeID = fmt.Sprint("c", sys.lastID)
	}
	rec := record.New(cfg)
	sys.log = append(sys.log, rec)
	return sys.reference.Apply(int64(len(sys.log)-1), rec).Code()
}

// apply applies the next record to the entry's state and updates its router from it.
func (sys *system) apply(rep *replica) {
	rep.flt.Apply(rep.flt.Next(), sys.log[rep.flt.Next()])
	for _, pool := range rep.flt.Pools() {
		rw, _, _ := rep.flt.Row(pool)
		rep.rtr.SetRow(rw)
	}
	_, isRegistered := rep.flt.Entry(rep.name)
	for _, vm := range rep.flt.VMs() {
		mbr, _ := rep.flt.Member(vm)
		rep.rtr.SetVM(vm, mbr.Pool(), rep.flt.Share(rep.name, vm, slots), isRegistered && mbr.IsAvailable())
	}
}

// randomAlive draws an entry; the first one, which never crashes, stands in for a crashed one.
func (sys *system) randomAlive(rt *rapid.T) *replica {
	rep := sys.entries[rapid.IntRange(0, len(sys.entries)-1).Draw(rt, "entry")]
	if !rep.isAlive {
		return sys.entries[0]
	}
	return rep
}

// TestModelActionsOnFleetState runs the model's actions in random order and checks the
// invariants after each.
func TestModelActionsOnFleetState(t *testing.T) {
	moves := 0
	rapid.Check(t, func(rt *rapid.T) {
		sys := newSystem(rt)
		actions := []func(*rapid.T){
			sys.applyNext, sys.applyNext, sys.applyNext, sys.leave, sys.confirm, sys.confirm, sys.dispatch, sys.complete, sys.complete,
			sys.crash, sys.deregisterDead, sys.confirmShare, func(rt *rapid.T) { moves += sys.join(rt) },
		}
		for range steps {
			actions[rapid.IntRange(0, len(actions)-1).Draw(rt, "action")](rt)
			sys.check(rt)
		}
	})
	t.Logf("%d moves completed", moves)
	if moves < 1000 {
		t.Errorf("the drawn actions completed only %d moves", moves)
	}
}

// applyNext applies the next record of the log to a random entry, if there is one.
func (sys *system) applyNext(rt *rapid.T) {
	rep := sys.randomAlive(rt)
	if int(rep.flt.Next()) < len(sys.log) {
		sys.apply(rep)
	}
}

// confirmShare confirms the newest shares for an entry that keeps within its own.
func (sys *system) confirmShare(rt *rapid.T) {
	rep := sys.randomAlive(rt)
	if rep.rtr.IsWithinShares() {
		sys.append(record.Config{Kind: record.ShareConfirm, Entry: rep.name, Incarnation: 1, Generation: rep.flt.Generation("z")})
	}
}

// leave starts a move on the state that an entry has applied, which may be stale. The
// record is appended twice at times, as after a lost reply.
func (sys *system) leave(rt *rapid.T) {
	rep := sys.randomAlive(rt)
	mbr, _ := rep.flt.Member(rapid.SampledFrom(vms).Draw(rt, "vm"))
	to := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "to")
	cfg := record.Config{Kind: record.VMLeave, VM: mbr.VM(), Epoch: mbr.Epoch(), Pool: to, Home: to, ChangeID: fmt.Sprint("leave", len(sys.log))}
	sys.append(cfg)
	if rapid.Bool().Draw(rt, "isRepeated") {
		sys.append(cfg)
	}
}

// confirm confirms that an entry has no requests on a leaving VM.
func (sys *system) confirm(rt *rapid.T) {
	rep := sys.randomAlive(rt)
	vm := rapid.SampledFrom(vms).Draw(rt, "vm")
	mbr, _ := rep.flt.Member(vm)
	if mbr.Phase() != member.Leaving || rep.rtr.InFlight(vm) > 0 {
		return
	}
	sys.append(record.Config{Kind: record.VMConfirm, VM: vm, Epoch: mbr.Epoch(), Entry: rep.name, Incarnation: 1})
}

// join tells the VM its next pool and then appends the join, as the responsible entry
// does. It returns 1 when the move ended, otherwise 0.
func (sys *system) join(rt *rapid.T) int {
	rep := sys.randomAlive(rt)
	vm := rapid.SampledFrom(vms).Draw(rt, "vm")
	mbr, _ := rep.flt.Member(vm)
	latest, _ := sys.reference.Member(vm)
	if mbr.Phase() != member.Out || latest.Epoch() != mbr.Epoch() {
		return 0 // the agent refuses a stale epoch
	}
	for _, oth := range sys.entries {
		if oth.isAlive && oth.rtr.InFlight(vm) > 0 {
			rt.Fatalf("%s is told pool %s while %s has requests in flight on it", vm, mbr.NextPool(), oth.name)
		}
	}
	sys.toldPool[vm] = mbr.NextPool()
	if sys.append(record.Config{Kind: record.VMJoin, VM: vm, Epoch: mbr.Epoch(), ChangeID: fmt.Sprintf("join/%s/%d", vm, mbr.Epoch())}) == code.OK {
		return 1
	}
	return 0
}

func (sys *system) dispatch(rt *rapid.T) {
	rep := sys.randomAlive(rt)
	pool := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "pool")
	tkt, cd := rep.rtr.Admit(now, pool, time.Time{})
	if cd != code.OK {
		return
	}
	rep.tickets = append(rep.tickets, tkt)
	if sys.toldPool[tkt.VM()] != pool {
		rt.Fatalf("%s sent a request of pool %s to %s, which serves %s", rep.name, pool, tkt.VM(), sys.toldPool[tkt.VM()])
	}
}

func (sys *system) complete(rt *rapid.T) {
	rep := sys.randomAlive(rt)
	if len(rep.tickets) == 0 {
		return
	}
	rep.rtr.Complete(now, rep.tickets[0], router.Result{})
	rep.tickets = rep.tickets[1:]
}

// crash ends a random entry other than the first, in 1 of 20 draws.
func (sys *system) crash(rt *rapid.T) {
	rep := sys.randomAlive(rt)
	if rep != sys.entries[0] && rapid.IntRange(0, 19).Draw(rt, "rarely") == 0 {
		rep.isAlive = false
	}
}

// deregisterDead deregisters a crashed entry, as another entry does when the platform
// lists its VM as gone.
func (sys *system) deregisterDead(*rapid.T) {
	for _, rep := range sys.entries {
		if _, ok := sys.reference.Entry(rep.name); ok && !rep.isAlive {
			sys.append(record.Config{Kind: record.EntryLeave, Entry: rep.name, Incarnation: 1})
			return
		}
	}
}

// check verifies that no VM has more requests in flight than slots, and that no pool has
// more VMs down than its availability budget.
func (sys *system) check(rt *rapid.T) {
	for _, vm := range vms {
		total := 0
		for _, rep := range sys.entries {
			if rep.isAlive {
				total += rep.rtr.InFlight(vm)
			}
		}
		if total > slots {
			rt.Fatalf("%s has %d requests in flight", vm, total)
		}
	}
	for _, pool := range sys.reference.Pools() {
		if sys.reference.Unavailable(pool) > 1 {
			rt.Fatalf("pool %s has %d VMs down", pool, sys.reference.Unavailable(pool))
		}
	}
}
