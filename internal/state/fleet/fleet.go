// Package fleet is the deterministic state machine that applies the records of the
// log. Its state is the table, the VMs, the entries, the waves and the jobs. Records
// are validated here and nowhere else, so that every entry that has applied the same
// records holds the same state.
package fleet

import (
	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

// Bounds of the history that the state keeps.
const (
	maxVerdicts   = 16384
	maxTableLog   = 1000
	maxEndedJobs  = 20000
	maxEndedWaves = 50
)

// Verdict is the decision to accept or refuse one record.
type Verdict struct {
	offset int64
	code   code.Code
}

// Offset returns the log offset of the record that decided on the change.
func (vrd Verdict) Offset() int64 { return vrd.offset }

// Code returns OK or the reason for the refusal.
func (vrd Verdict) Code() code.Code { return vrd.code }

// Config holds callbacks that are called with the name of what a record changed while
// it is applied. Any may be nil.
type Config struct {
	OnRow    func(pool string)
	OnMember func(vm string)
	OnZone   func(zone string)
	OnJob    func(name string)
	OnWave   func(name string)
}

// Fleet is the state after all records below Next. It is not safe for concurrent use;
// package replica locks it.
type Fleet struct {
	cfg          Config
	next         int64 // offset of the next record to apply
	rows         map[string]rowState
	tableRev     int64
	tableLog     []TableChange
	vms          map[string]*vmState
	notServing   map[string]bool // VMs in a phase other than serving
	vmsWithTasks map[string]bool
	pools        map[string]*poolState
	zones        map[string]*zoneState
	entries      map[string]entryState
	waves        map[string]*wave.Wave
	waveOrder    []string // names of waves in the order in which they started
	jobs         map[string]*job.Job
	endedJobs    []string // oldest first
	pendingJobs  map[string]bool
	verdicts     map[string]Verdict
	verdictOrder []string // change ids, oldest first

	checkpointOffset int64 // offset of the newest checkpoint announced in the log
	learnedSizes     map[string]learnedSize

	entryList nameList
	vmList    nameList
	poolList  nameList
}

type rowState struct {
	row    row.Row
	rev    int64
	author string
}

// TableChange is one accepted or refused change in the history of the table.
type TableChange struct {
	Offset int64
	AtMs   int64
	Author string
	Pool   string
	Code   code.Code
	Delete bool
}

type vmState struct {
	member      member.Member
	unconfirmed map[string]int64 // entries that have yet to confirm that nothing is in flight, with their incarnation
	used        shape.Shape
	tasks       map[string]bool
	failedJobs  map[string]bool // jobs that failed here since the last success
}

type poolState struct {
	vms         map[string]bool
	unavailable int
	homeVMs     int             // VMs whose home this is
	lent        int             // VMs whose home this is and that serve or will serve another pool
	borrowed    int             // VMs of other homes that serve or will serve this pool
	missing     map[string]bool // VMs whose home this is that the platform removed and nobody replaced
}

// New returns an empty Fleet that expects the record at offset 0.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:          cfg,
		rows:         map[string]rowState{},
		vms:          map[string]*vmState{},
		notServing:   map[string]bool{},
		vmsWithTasks: map[string]bool{},
		pools:        map[string]*poolState{},
		zones:        map[string]*zoneState{},
		entries:      map[string]entryState{},
		waves:        map[string]*wave.Wave{},
		jobs:         map[string]*job.Job{},
		pendingJobs:  map[string]bool{},
		verdicts:     map[string]Verdict{},
		learnedSizes: map[string]learnedSize{},
	}
}

// Next returns the offset of the next record to apply.
func (flt *Fleet) Next() int64 { return flt.next }

// Apply applies the record at offset and returns the verdict. A record below Next
// was applied before and is ignored. A record with a change id that was applied
// before changes nothing and gets the verdict of the first record with that id.
func (flt *Fleet) Apply(offset int64, rec record.Record) Verdict {
	if offset < flt.next {
		return Verdict{offset: offset, code: code.Duplicate}
	}
	flt.next = offset + 1
	if vrd, ok := flt.verdicts[rec.ChangeID()]; ok && rec.ChangeID() != "" {
		return vrd
	}
	vrd := Verdict{offset: offset, code: flt.applyRecord(offset, rec)}
	flt.recordVerdict(rec.ChangeID(), vrd)
	return vrd
}

// CheckpointOffset returns the offset of the newest checkpoint announced in the log.
func (flt *Fleet) CheckpointOffset() int64 { return flt.checkpointOffset }

// Skip advances Next past an offset whose record cannot be decoded.
func (flt *Fleet) Skip(offset int64) {
	if offset >= flt.next {
		flt.next = offset + 1
	}
}

func (flt *Fleet) recordVerdict(id string, vrd Verdict) {
	if id == "" {
		return
	}
	flt.verdicts[id] = vrd
	flt.verdictOrder = append(flt.verdictOrder, id)
	if len(flt.verdictOrder) > maxVerdicts {
		delete(flt.verdicts, flt.verdictOrder[0])
		flt.verdictOrder = flt.verdictOrder[1:]
	}
}

// Verdict returns the verdict on a change id, if a record with it has been applied and
// the verdict is still kept.
func (flt *Fleet) Verdict(id string) (Verdict, bool) {
	vrd, ok := flt.verdicts[id]
	return vrd, ok
}

func (flt *Fleet) applyRecord(offset int64, rec record.Record) code.Code {
	cfg := rec.Config()
	switch cfg.Kind {
	case record.EntryJoin:
		return flt.entryJoin(cfg)
	case record.EntryLeave:
		return flt.entryLeave(cfg)
	case record.ShareConfirm:
		return flt.shareConfirm(cfg)
	case record.ZoneStatus:
		return flt.zoneStatus(cfg)
	case record.ZoneHeartbeat:
		return flt.zoneHeartbeat(cfg)
	case record.Checkpoint:
		flt.checkpointOffset = max(flt.checkpointOffset, cfg.Base)
		return code.OK
	case record.RowSet:
		return flt.rowSet(offset, cfg)
	case record.RowDelete:
		return flt.rowDelete(offset, cfg)
	case record.VMAdd:
		return flt.vmAdd(cfg)
	case record.VMStatus:
		return flt.vmStatus(cfg)
	case record.VMLeave:
		return flt.vmLeave(cfg)
	case record.VMConfirm:
		return flt.vmConfirm(cfg)
	case record.VMReboot:
		return flt.vmReboot(cfg)
	case record.VMJoin:
		return flt.vmJoin(offset, cfg)
	case record.VMRelease:
		return flt.vmRelease(cfg)
	case record.WaveStart:
		return flt.waveStart(cfg)
	case record.WaveState:
		return flt.waveState(cfg)
	case record.WaveSkip:
		return flt.waveSkip(cfg)
	case record.JobSubmit:
		return flt.jobSubmit(cfg)
	case record.JobPlace:
		return flt.jobPlace(cfg)
	case record.JobEnd:
		return flt.jobEnd(cfg)
	case record.JobCancel:
		return flt.jobCancel(cfg)
	}
	return code.BadRecord
}
