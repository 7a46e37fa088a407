package fleet_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/checkpoint"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

const slots = 8

// TestMain fixes the random seed, so that every run generates the same logs.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// A VM that is down adds nothing to the unavailable VMs when it is evacuated. If that
// were allowed beyond the budget and the VM came up again, two VMs of the pool would be
// evacuated with a limit of one. This happened once.
func TestDownVMIsEvacuatedWithinBudget(t *testing.T) {
	lg := newFleet(t)
	lg.leave("b1", "b")
	lg.add(record.Config{Kind: record.VMStatus, VM: "b0", Status: member.Down})
	if cd := lg.leave("b0", "b"); cd != code.BudgetReached {
		t.Fatalf("got %s", cd.Name())
	}
}

// log is a log to which records are added, with the state after applying them.
type log struct {
	flt  *fleet.Fleet
	recs []record.Record
	id   int
}

func newLog() *log { return &log{flt: fleet.New(fleet.Config{})} }

func (lg *log) add(cfg record.Config) code.Code {
	lg.id++
	if cfg.ChangeID == "" {
		cfg.ChangeID = fmt.Sprintf("c%d", lg.id)
	}
	rec := record.New(cfg)
	lg.recs = append(lg.recs, rec)
	return lg.flt.Apply(int64(len(lg.recs)-1), rec).Code()
}

func rowOf(pool string, down int) row.Config {
	return row.Config{
		Pool: pool, Service: pool, Weight: 1, TakeVMs: 2, LendVMs: 2, DownVMs: down, Queue: 1, DeadlineMs: 1,
	}
}

// newFleet returns a log with two pools of three VMs and two entries in one zone.
func newFleet(t interface{ Fatalf(string, ...any) }) *log {
	lg := newLog()
	must := func(cd code.Code) {
		if cd != code.OK {
			t.Fatalf("set-up: %s", cd.Name())
		}
	}
	for _, pool := range []string{"a", "b"} {
		must(lg.add(record.Config{Kind: record.RowSet, Row: rowOf(pool, 1)}))
		for idx := range 3 {
			must(lg.add(record.Config{Kind: record.VMAdd, Member: member.Config{
				VM: fmt.Sprintf("%s%d", pool, idx), Zone: "z1", Pool: pool,
				Shape: shape.New(shape.Config{Cores: 4, MemoryMB: 1000}),
			}}))
		}
	}
	for _, entry := range []string{"e1", "e2"} {
		must(lg.add(record.Config{Kind: record.EntryJoin, Entry: entry, Zone: "z1", Incarnation: 1}))
	}
	return lg
}

func (lg *log) leave(vm, to string) code.Code {
	mbr, _ := lg.flt.Member(vm)
	return lg.add(record.Config{Kind: record.VMLeave, VM: vm, Epoch: mbr.Epoch(), Pool: to})
}

func (lg *log) confirm(vm, entry string) {
	mbr, _ := lg.flt.Member(vm)
	lg.add(record.Config{Kind: record.VMConfirm, VM: vm, Epoch: mbr.Epoch(), Entry: entry, Incarnation: 1})
}

func TestMoveWaitsForEveryEntry(t *testing.T) {
	lg := newFleet(t)
	if cd := lg.leave("a0", "b"); cd != code.OK {
		t.Fatal(cd.Name())
	}
	lg.confirm("a0", "e1")
	if mbr, _ := lg.flt.Member("a0"); mbr.Phase() != member.Leaving {
		t.Fatalf("phase %s before the second confirmation", mbr.Phase())
	}
	lg.confirm("a0", "e2")
	if mbr, _ := lg.flt.Member("a0"); mbr.Phase() != member.Out {
		t.Fatalf("phase %s after both confirmations", mbr.Phase())
	}
	if cd := lg.add(record.Config{Kind: record.VMJoin, VM: "a0", Epoch: 1}); cd != code.OK {
		t.Fatal(cd.Name())
	}
	if mbr, _ := lg.flt.Member("a0"); mbr.Pool() != "b" || mbr.Epoch() != 2 || mbr.Home() != "a" {
		t.Fatalf("got pool %s epoch %d home %s", mbr.Pool(), mbr.Epoch(), mbr.Home())
	}
}

func TestStaleRecordsAreRefused(t *testing.T) {
	lg := newFleet(t)
	lg.leave("a0", "b")
	for _, tst := range []struct {
		name string
		cfg  record.Config
		want code.Code
	}{
		{"second planner", record.Config{Kind: record.VMLeave, VM: "a0", Epoch: 1, Pool: "b"}, code.WrongPhase},
		{"old epoch", record.Config{Kind: record.VMLeave, VM: "a1", Epoch: 0, Pool: "b"}, code.StaleEpoch},
		{"budget", record.Config{Kind: record.VMLeave, VM: "a1", Epoch: 1, Pool: "b"}, code.BudgetReached},
		{"old incarnation", record.Config{Kind: record.VMConfirm, VM: "a0", Epoch: 1, Entry: "e1", Incarnation: 0}, code.StaleEntry},
		{"not an entry", record.Config{Kind: record.VMConfirm, VM: "a0", Epoch: 1, Entry: "e9", Incarnation: 1}, code.StaleEntry},
		{"join before out", record.Config{Kind: record.VMJoin, VM: "a0", Epoch: 1}, code.WrongPhase},
		{"old row", record.Config{Kind: record.RowSet, Row: rowOf("a", 2), Base: 99}, code.StaleRevision},
		{"pool in use", record.Config{Kind: record.RowDelete, Pool: "a", Base: 1}, code.PoolInUse},
		{"unknown kind", record.Config{Kind: "later"}, code.BadRecord},
	} {
		if cd := lg.add(tst.cfg); cd != tst.want {
			t.Errorf("%s: %s, want %s", tst.name, cd.Name(), tst.want.Name())
		}
	}
}

func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	lg := newFleet(t)
	cfg := record.Config{Kind: record.RowSet, Row: rowOf("a", 2), Base: 1, ChangeID: "edit"}
	if cd := lg.add(cfg); cd != code.OK {
		t.Fatal(cd.Name())
	}
	_, rev, _ := lg.flt.Row("a")
	if cd := lg.add(cfg); cd != code.OK {
		t.Fatalf("the repeat got %s, not the first verdict", cd.Name())
	}
	if _, again, _ := lg.flt.Row("a"); again != rev {
		t.Fatalf("the repeat changed the revision from %d to %d", rev, again)
	}
}

func TestRemovedVMCountsAsUnavailableUntilReplaced(t *testing.T) {
	lg := newFleet(t)
	lg.add(record.Config{Kind: record.VMStatus, VM: "a0", Status: member.Gone})
	if cd := lg.leave("a1", "a"); cd != code.BudgetReached {
		t.Fatalf("evacuation beside a removed VM: %s", cd.Name())
	}
	lg.add(record.Config{Kind: record.VMAdd, Member: member.Config{VM: "a9", Zone: "z1", Pool: "a"}})
	if cd := lg.leave("a1", "a"); cd != code.OK {
		t.Fatalf("evacuation after the replacement: %s", cd.Name())
	}
}

func TestCutOffZoneCountsAsUnavailable(t *testing.T) {
	lg := newFleet(t)
	lg.add(record.Config{Kind: record.ZoneStatus, Zone: "z1", IsCut: true})
	if got := lg.flt.Unavailable("a"); got != 3 {
		t.Fatalf("%d VMs unavailable, want 3", got)
	}
	lg.add(record.Config{Kind: record.ZoneHeartbeat, Zone: "z1"})
	if got := lg.flt.Unavailable("a"); got != 0 {
		t.Fatalf("%d VMs unavailable after a heartbeat, want 0", got)
	}
}

func TestQuarantineIgnoresFailingJob(t *testing.T) {
	lg := newFleet(t)
	fail := func(name, vm string) {
		if _, ok := lg.flt.Job(name); !ok {
			lg.add(record.Config{Kind: record.JobSubmit, Job: job.Config{Name: name, Shape: shape.New(shape.Config{Cores: 1})}})
		}
		jb, _ := lg.flt.Job(name)
		lg.add(record.Config{Kind: record.JobPlace, JobName: name, VM: vm, FencingToken: jb.FencingToken(), Shape: jb.Config().Shape})
		lg.add(record.Config{Kind: record.JobEnd, JobName: name, FencingToken: jb.FencingToken() + 1, Outcome: record.Failed})
	}
	for _, vm := range []string{"a0", "a1", "a2"} {
		fail("bad", vm)
	}
	if jb, _ := lg.flt.Job("bad"); jb.State() != job.Failed {
		t.Fatalf("a job that fails everywhere is %s", jb.State())
	}
	for _, name := range []string{"j1", "j2"} {
		fail(name, "a0")
	}
	if mbr, _ := lg.flt.Member("a0"); mbr.IsQuarantined() {
		t.Fatal("the failures of a job that fails everywhere counted against the VM")
	}
	fail("j3", "a0")
	if mbr, _ := lg.flt.Member("a0"); !mbr.IsQuarantined() {
		t.Fatal("a VM on which three jobs failed in a row is not quarantined")
	}
}

func TestStaleFencingTokenIsRefused(t *testing.T) {
	lg := newFleet(t)
	lg.add(record.Config{Kind: record.JobSubmit, Job: job.Config{Name: "j", Shape: shape.New(shape.Config{Cores: 1})}})
	place := func(vm string, token int64) code.Code {
		return lg.add(record.Config{Kind: record.JobPlace, JobName: "j", VM: vm, FencingToken: token, Shape: shape.New(shape.Config{Cores: 1})})
	}
	place("a0", 0)
	lg.add(record.Config{Kind: record.JobEnd, JobName: "j", FencingToken: 1, Outcome: record.Lost})
	place("a1", 1)
	if cd := lg.add(record.Config{Kind: record.JobEnd, JobName: "j", FencingToken: 1, Outcome: record.Done}); cd != code.StaleFence {
		t.Fatalf("the token of the first placement ended the second: %s", cd.Name())
	}
	if cd := place("a2", 1); cd == code.OK {
		t.Fatal("the job was placed twice")
	}
}

// TestRandomLogs generates random logs. After each record it checks that planned moves
// stay within the budget, and that the shares of a backend server never add up to more
// than it has while entries lag behind. At the end it checks that a checkpoint restores
// the same state.
func TestRandomLogs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lg := newFleet(rt)
		shr := newShares(lg.flt)
		for range rapid.IntRange(1, 40).Draw(rt, "records") {
			cfg := drawRecord(rt, lg.flt)
			lg.add(cfg)
			shr.step(rt, lg.flt)
			for _, pool := range lg.flt.Pools() {
				checkPool(rt, lg.flt, pool)
			}
		}
		checkRestore(rt, lg)
	})
}

// drawRecord returns a random record, some with a stale epoch.
func drawRecord(rt *rapid.T, flt *fleet.Fleet) record.Config {
	vm := rapid.SampledFrom([]string{"a0", "a1", "a2", "b0", "b1", "b2"}).Draw(rt, "vm")
	entry := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(rt, "entry")
	pool := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "pool")
	mbr, _ := flt.Member(vm)
	info, _ := flt.Entry(entry)
	epoch := mbr.Epoch() - int64(rapid.IntRange(0, 1).Draw(rt, "stale"))
	switch rapid.IntRange(0, 8).Draw(rt, "kind") {
	case 0:
		return record.Config{Kind: record.EntryJoin, Entry: entry, Zone: "z1", Incarnation: info.Incarnation + 1}
	case 1:
		return record.Config{Kind: record.EntryLeave, Entry: entry, Incarnation: info.Incarnation}
	case 2:
		return record.Config{Kind: record.ShareConfirm, Entry: entry, Incarnation: info.Incarnation, Generation: flt.Generation("z1")}
	case 3, 4:
		return record.Config{Kind: record.VMLeave, VM: vm, Epoch: epoch, Pool: pool}
	case 5, 6:
		return record.Config{Kind: record.VMConfirm, VM: vm, Epoch: epoch, Entry: entry, Incarnation: info.Incarnation}
	case 7:
		return record.Config{Kind: record.VMJoin, VM: vm, Epoch: epoch}
	}
	status := rapid.SampledFrom([]member.Status{member.Up, member.Down}).Draw(rt, "status")
	return record.Config{Kind: record.VMStatus, VM: vm, Status: status}
}

// checkPool checks the pool's count of unavailable VMs against its VMs, and its planned
// moves against the budget when no other VM is unavailable.
func checkPool(rt *rapid.T, flt *fleet.Fleet, pool string) {
	planned, unavailable := 0, 0
	for _, vm := range flt.VMsOf(pool) {
		mbr, _ := flt.Member(vm)
		if mbr.Phase() != member.Serving && mbr.Status() == member.Up {
			planned++
		}
		if !mbr.IsAvailable() {
			unavailable++
		}
	}
	rw, _, _ := flt.Row(pool)
	if unavailable != flt.Unavailable(pool) {
		rt.Fatalf("pool %s: %d unavailable, counted %d", pool, unavailable, flt.Unavailable(pool))
	}
	if planned > rw.DownVMs() && unavailable == planned {
		rt.Fatalf("pool %s: %d VMs unavailable by plan, limit %d", pool, planned, rw.DownVMs())
	}
}

// shares models entries that apply the log at different speeds. An entry that has not
// confirmed the newest generation may still use the share that it had before.
type shares struct {
	using map[string]int // slots of VM a0 by entry
}

func newShares(flt *fleet.Fleet) *shares {
	shr := &shares{using: map[string]int{}}
	for _, entry := range flt.Entries() {
		shr.using[entry] = flt.Share(entry, "a0", slots)
	}
	return shr
}

func (shr *shares) step(rt *rapid.T, flt *fleet.Fleet) {
	total := 0
	for _, entry := range flt.Entries() {
		now := flt.Share(entry, "a0", slots)
		if flt.HasConfirmedShare(entry, "z1") || now > shr.using[entry] {
			shr.using[entry] = now
		}
		total += shr.using[entry]
	}
	for entry := range shr.using {
		if _, ok := flt.Entry(entry); !ok {
			delete(shr.using, entry)
		}
	}
	if total > slots {
		rt.Fatalf("the entries may use %d of %d slots: %v", total, slots, shr.using)
	}
}

func checkRestore(rt *rapid.T, lg *log) {
	data, err := checkpoint.Encode(lg.flt.Export())
	if err != nil {
		rt.Fatal(err)
	}
	restored, err := checkpoint.Decode(fleet.Config{}, data)
	if err != nil {
		rt.Fatal(err)
	}
	rec := record.New(record.Config{Kind: record.VMLeave, VM: "a1", Epoch: 1, Pool: "b", ChangeID: "tail"})
	one, two := lg.flt.Apply(lg.flt.Next(), rec), restored.Apply(restored.Next(), rec)
	if one != two {
		rt.Fatalf("verdicts differ after the restore: %v and %v", one, two)
	}
	first, err := checkpoint.Encode(lg.flt.Export())
	if err != nil {
		rt.Fatal(err)
	}
	second, err := checkpoint.Encode(restored.Export())
	if err != nil {
		rt.Fatal(err)
	}
	if !reflect.DeepEqual(first, second) {
		rt.Fatal("the restored state differs")
	}
}
