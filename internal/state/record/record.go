// Package record defines the records of the fleet's log. Each describes one change
// of the state that all entries share; package fleet decides whether it is valid.
package record

import (
	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/pool/wave"
)

// Kind is the type of change that a record describes.
type Kind string

// Kinds of records and the fields of Config that each uses.
const (
	EntryJoin     Kind = "entryJoin"    // Entry, Zone, VM, Incarnation, Address
	EntryLeave    Kind = "entryLeave"   // Entry, Incarnation, Reason
	ShareConfirm  Kind = "shareConfirm" // Entry, Incarnation, Generation
	ZoneStatus    Kind = "zoneStatus"   // Zone, IsCut
	ZoneHeartbeat Kind = "zoneBeat"     // Zone, Entry
	Checkpoint    Kind = "checkpoint"   // Base: the log offset that a complete checkpoint has reached
	RowSet        Kind = "rowSet"       // Row, Base
	RowDelete     Kind = "rowDelete"    // Pool, Base
	VMAdd         Kind = "vmAdd"        // Member
	VMStatus      Kind = "vmStatus"     // VM, Status
	VMLeave       Kind = "vmLeave"      // VM, Epoch, Pool (the next one), Home, Wave
	VMConfirm     Kind = "vmConfirm"    // VM, Epoch, Entry, Incarnation
	VMReboot      Kind = "vmReboot"     // VM, Epoch
	VMJoin        Kind = "vmJoin"       // VM, Epoch
	WaveStart     Kind = "waveStart"    // Wave, VMs
	WaveState     Kind = "waveState"    // Wave, WaveState
	WaveSkip      Kind = "waveName"     // Wave, VM, Reason
	JobSubmit     Kind = "jobSubmit"    // Job
	JobPlace      Kind = "jobPlace"     // JobName, VM, FencingToken (before the placement), Shape
	JobEnd        Kind = "jobEnd"       // JobName, FencingToken, Outcome, Shape (largest use seen)
	JobCancel     Kind = "jobCancel"    // JobName
	VMRelease     Kind = "vmRelease"    // VM
)

// Outcome is how the placement of a job on a VM ended.
type Outcome string

// Outcomes of a placement.
const (
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Lost      Outcome = "lost"
	Displaced Outcome = "displaced"
)

// Config holds the fields of a Record. Each kind uses those listed at its constant.
type Config struct {
	Kind     Kind
	ChangeID string
	Author   string
	AtMs     int64 // time of the append in Unix milliseconds, for display only

	Entry       string
	Zone        string
	Incarnation int64
	Address     string // peer address of an entry
	Generation  int64
	IsCut       bool
	Reason      string

	Row  row.Config
	Base int64 // revision of the row that the edit is based on; for Checkpoint a log offset
	Pool string

	Member member.Config
	VM     string
	Epoch  int64
	Status member.Status
	Home   string

	Wave      string
	WaveState wave.State
	VMs       []string

	Job          job.Config
	JobName      string
	FencingToken int64
	Shape        shape.Shape
	Outcome      Outcome
}

// Record is one immutable record of the log.
type Record struct {
	cfg Config
}

// New returns the record that cfg describes.
func New(cfg Config) Record { return Record{cfg: cfg} }

// Kind returns the type of change.
func (rec Record) Kind() Kind { return rec.cfg.Kind }

// ChangeID returns the id by which a repeated append is recognised and ignored.
func (rec Record) ChangeID() string { return rec.cfg.ChangeID }

// Config returns all fields.
func (rec Record) Config() Config { return rec.cfg }
