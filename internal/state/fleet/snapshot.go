package fleet

import (
	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/result/code"
)

// Snapshot is everything in a Fleet that cannot be derived, in a fixed order, so that
// equal states give equal snapshots.
type Snapshot struct {
	Next      int64
	TableRev  int64
	Rows      []RowSnapshot
	TableLog  []TableChange
	VMs       []VMSnapshot
	Entries   []EntrySnapshot
	Zones     []ZoneSnapshot
	Waves     []wave.Config // in the order in which they started
	Jobs      []JobSnapshot
	EndedJobs []string          // oldest first
	Verdicts  []VerdictSnapshot // oldest first
	JobKinds  []JobKindSnapshot

	CheckpointOffset int64
}

// JobKindSnapshot is the learned size of one kind of job. Count is the number of
// finished jobs that it was learned from.
type JobKindSnapshot struct {
	Kind  string
	Size  shape.Shape
	Count int
}

// RowSnapshot is one row with its revision and who changed it last.
type RowSnapshot struct {
	Row    row.Config
	Rev    int64
	Author string
}

// VMSnapshot is one VM. FailedJobs are the jobs that failed on it since the last
// success there.
type VMSnapshot struct {
	Config      member.Config
	State       member.Restored
	Unconfirmed []UnconfirmedSnapshot
	FailedJobs  []string
}

// UnconfirmedSnapshot is an entry that has yet to confirm that nothing is in flight on
// a leaving VM.
type UnconfirmedSnapshot struct {
	Entry       string
	Incarnation int64
}

// EntrySnapshot is one registered entry.
type EntrySnapshot struct {
	Name string
	Info EntryInfo
}

// ZoneSnapshot is the registry of entries of one availability zone.
type ZoneSnapshot struct {
	Name       string
	IsCut      bool
	Heartbeats int64
	Sets       []EntrySetSnapshot
}

// EntrySetSnapshot is one generation of a zone's registry of entries.
type EntrySetSnapshot struct {
	Generation int64
	Entries    []string
	Confirmed  []string
}

// JobSnapshot is one job.
type JobSnapshot struct {
	Config job.Config
	State  job.Restored
}

// VerdictSnapshot is the verdict on one change id.
type VerdictSnapshot struct {
	ID     string
	Offset int64
	Code   code.Code
}

// Export returns a snapshot that shares no memory with the Fleet.
func (flt *Fleet) Export() Snapshot {
	snp := Snapshot{Next: flt.next, TableRev: flt.tableRev, TableLog: flt.TableLog(), CheckpointOffset: flt.checkpointOffset}
	for _, kind := range sortedNames(flt.learnedSizes) {
		snp.JobKinds = append(snp.JobKinds, JobKindSnapshot{Kind: kind, Size: flt.learnedSizes[kind].size, Count: flt.learnedSizes[kind].count})
	}
	for _, pool := range flt.Pools() {
		stt := flt.rows[pool]
		snp.Rows = append(snp.Rows, RowSnapshot{Row: stt.row.Config(), Rev: stt.rev, Author: stt.author})
	}
	for _, name := range sortedNames(flt.vms) {
		snp.VMs = append(snp.VMs, exportVM(flt.vms[name]))
	}
	for _, name := range flt.Entries() {
		info, _ := flt.Entry(name)
		snp.Entries = append(snp.Entries, EntrySnapshot{Name: name, Info: info})
	}
	for _, name := range flt.Zones() {
		snp.Zones = append(snp.Zones, exportZone(name, flt.zones[name]))
	}
	for _, name := range flt.waveOrder {
		snp.Waves = append(snp.Waves, flt.waves[name].Config())
	}
	for _, name := range flt.Jobs() {
		snp.Jobs = append(snp.Jobs, JobSnapshot{Config: flt.jobs[name].Config(), State: flt.jobs[name].Restored()})
	}
	snp.EndedJobs = append(snp.EndedJobs, flt.endedJobs...)
	for _, id := range flt.verdictOrder {
		vrd := flt.verdicts[id]
		snp.Verdicts = append(snp.Verdicts, VerdictSnapshot{ID: id, Offset: vrd.offset, Code: vrd.code})
	}
	return snp
}

func exportVM(vms *vmState) VMSnapshot {
	mbr := vms.member
	out := VMSnapshot{Config: mbr.Config(), FailedJobs: sortedNames(vms.failedJobs)}
	out.State = member.Restored{
		Home: mbr.Home(), Epoch: mbr.Epoch(), Phase: mbr.Phase(), Status: mbr.Status(),
		NextPool: mbr.NextPool(), Wave: mbr.Wave(), Quarantined: mbr.IsQuarantined(), MaintainedAt: mbr.MaintainedAt(),
	}
	for _, name := range sortedNames(vms.unconfirmed) {
		out.Unconfirmed = append(out.Unconfirmed, UnconfirmedSnapshot{Entry: name, Incarnation: vms.unconfirmed[name]})
	}
	return out
}

func exportZone(name string, zon *zoneState) ZoneSnapshot {
	out := ZoneSnapshot{Name: name, IsCut: zon.isCut, Heartbeats: zon.heartbeats}
	for _, set := range zon.sets {
		out.Sets = append(out.Sets, EntrySetSnapshot{
			Generation: set.generation, Entries: append([]string(nil), set.entries...), Confirmed: sortedNames(set.confirmed),
		})
	}
	return out
}

// Import returns a Fleet with the state of snp. The callbacks of cfg are not called
// while it is built.
func Import(cfg Config, snp Snapshot) *Fleet {
	flt := New(Config{})
	flt.next = snp.Next
	flt.tableRev = snp.TableRev
	flt.tableLog = append(flt.tableLog, snp.TableLog...)
	flt.checkpointOffset = snp.CheckpointOffset
	for _, ksn := range snp.JobKinds {
		flt.learnedSizes[ksn.Kind] = learnedSize{size: ksn.Size, count: ksn.Count}
	}
	for _, rws := range snp.Rows {
		rw, err := row.New(rws.Row)
		if err == nil {
			flt.rows[rw.Pool()] = rowState{row: rw, rev: rws.Rev, author: rws.Author}
		}
	}
	flt.importRegistry(snp)
	for _, vsn := range snp.VMs {
		flt.importVM(vsn)
	}
	for _, wcf := range snp.Waves {
		flt.waves[wcf.Name] = wave.New(wcf)
		flt.waveOrder = append(flt.waveOrder, wcf.Name)
	}
	for _, jsn := range snp.Jobs {
		flt.importJob(jsn)
	}
	flt.endedJobs = append(flt.endedJobs, snp.EndedJobs...)
	for _, vsn := range snp.Verdicts {
		flt.recordVerdict(vsn.ID, Verdict{offset: vsn.Offset, code: vsn.Code})
	}
	flt.cfg = cfg
	return flt
}

func (flt *Fleet) importRegistry(snp Snapshot) {
	for _, esn := range snp.Entries {
		flt.entries[esn.Name] = entryState{
			zone: esn.Info.Zone, vm: esn.Info.VM, address: esn.Info.Address, incarnation: esn.Info.Incarnation,
		}
	}
	for _, zsn := range snp.Zones {
		zon := &zoneState{isCut: zsn.IsCut, heartbeats: zsn.Heartbeats, vms: map[string]bool{}}
		for _, ssn := range zsn.Sets {
			set := entrySet{generation: ssn.Generation, entries: ssn.Entries, confirmed: map[string]bool{}}
			for _, name := range ssn.Confirmed {
				set.confirmed[name] = true
			}
			zon.sets = append(zon.sets, set)
		}
		flt.zones[zsn.Name] = zon
	}
}

func (flt *Fleet) importVM(vsn VMSnapshot) {
	vms := &vmState{
		member: member.Restore(vsn.Config, vsn.State), unconfirmed: map[string]int64{},
		tasks: map[string]bool{}, failedJobs: map[string]bool{},
	}
	for _, usn := range vsn.Unconfirmed {
		vms.unconfirmed[usn.Entry] = usn.Incarnation
	}
	for _, name := range vsn.FailedJobs {
		vms.failedJobs[name] = true
	}
	flt.vms[vsn.Config.VM] = vms
	flt.updateNameLists(vms.member)
	flt.addToCounters(vms.member, 1)
	if vms.member.Status() == member.Gone {
		flt.poolOf(vms.member.Home()).missing[vsn.Config.VM] = true
	}
	if vms.member.Phase() != member.Serving && vms.member.Status() != member.Gone {
		flt.notServing[vsn.Config.VM] = true
	}
}

func (flt *Fleet) importJob(jsn JobSnapshot) {
	jb := job.Restore(jsn.Config, jsn.State)
	flt.jobs[jb.Name()] = &jb
	if jb.State() == job.Pending {
		flt.pendingJobs[jb.Name()] = true
	}
	if vms, ok := flt.vms[jb.VM()]; ok && jb.State() == job.Placed {
		vms.used = vms.used.Plus(jb.Reserved())
		vms.tasks[jb.Name()] = true
		flt.vmsWithTasks[jb.VM()] = true
	}
}
