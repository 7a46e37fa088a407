// Package ledger is the form in which jobs and their progress are stored: two
// records a job, one that never changes and one that is replaced; and a record
// for each VM that may run tasks, so that a later owner knows whom to ask.
package ledger

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
)

// State is the state of a job as callers see it.
type State int

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

// IsEnded reports whether the state is final.
func (ste State) IsEnded() bool { return ste >= Completed }

// String returns the name in logs.
func (ste State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[ste]
}

// Job is the record of a submission.
type Job struct {
	Plan     *plan.Plan
	Queue    string
	Accepted time.Time // first try of the caller that the owner knows of, by its wall clock
	Zone     string    // where its tasks run; empty for anywhere
}

// Failure lists the failed runs of a task, as a VM may report an end again.
type Failure struct {
	Occurrence, Step, Index int
	Runs                    []int
}

// Progress is the record of what has been done of a job.
type Progress struct {
	State State
	Ended time.Time // wall clock of the owner, when the state is final
	// Done holds the tasks that are done: a list of indexes for each step of each
	// occurrence that has any. A step that is done as a whole has AllDone.
	Done     []StepDone
	Failures []Failure
	Zones    []string // where tasks may run beside the job's own zone
}

// StepDone lists the tasks of a step that are done.
type StepDone struct {
	Occurrence, Step int
	IsAll            bool
	Indexes          []int
}

type jobRecord struct {
	ID       string     `json:"id"`
	Queue    string     `json:"queue"`
	Accepted int64      `json:"acceptedMs"`
	Spec     string     `json:"spec,omitempty"`
	Steps    []stepRecord `json:"steps"`
	Times    int        `json:"times,omitempty"`
	FirstAt  int64      `json:"firstAtMs,omitempty"`
	Interval int64      `json:"intervalMs,omitempty"`
	Zone     string     `json:"zone,omitempty"`
}

type stepRecord struct {
	Count      int    `json:"n"`
	MilliCores int64  `json:"milliCores,omitempty"`
	MemoryMB   int64  `json:"memoryMB,omitempty"`
	GPUs       int64  `json:"gpus,omitempty"`
	Estimate   int64  `json:"estimateMs,omitempty"`
	After      []int  `json:"after,omitempty"`
	Image      string `json:"image,omitempty"`
	Label      string `json:"label,omitempty"`
	Rack       string `json:"rack,omitempty"`
	MaxPerVM   int    `json:"maxPerVM,omitempty"`
	Goal       int64  `json:"goalMs,omitempty"`
	MaxAway    int    `json:"maxAway,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
	OneRack    bool   `json:"oneRack,omitempty"`
	Saving     bool   `json:"saving,omitempty"`
	Copyable   bool   `json:"copyable,omitempty"`
	Lasting    bool   `json:"lasting,omitempty"`
	Background bool   `json:"background,omitempty"`
}

// EncodeJob returns the record of a submission.
func EncodeJob(jb Job) ([]byte, error) {
	pln := jb.Plan
	frm := jobRecord{
		ID: pln.ID, Queue: jb.Queue, Accepted: jb.Accepted.UnixMilli(), Spec: pln.Spec,
		Times: pln.Times, Interval: pln.Interval.Milliseconds(), Zone: jb.Zone,
	}
	if pln.IsRepeating() {
		frm.FirstAt = pln.FirstAt.UnixMilli()
	}
	for i := range pln.Steps {
		frm.Steps = append(frm.Steps, toStepRecord(&pln.Steps[i]))
	}
	data, err := json.Marshal(frm)
	return data, errors.Wrap(err, "job record")
}

func toStepRecord(stp *plan.Step) stepRecord {
	return stepRecord{
		Count: stp.Count, MilliCores: stp.Demand.MilliCores, MemoryMB: stp.Demand.MemoryMB, GPUs: stp.Demand.GPUs,
		Estimate: stp.Estimate.Milliseconds(), After: stp.After, Image: stp.Image, Label: stp.Label, Rack: stp.Rack,
		MaxPerVM: stp.MaxPerVM, Goal: stp.Goal.Milliseconds(), MaxAway: stp.MaxAway, Gang: stp.IsGang,
		OneRack: stp.IsOneRack, Saving: stp.IsSaving, Copyable: stp.IsCopyable, Lasting: stp.IsLasting,
		Background: stp.IsBackground,
	}
}

// DecodeJob reads what EncodeJob returns.
func DecodeJob(data []byte) (Job, error) {
	var frm jobRecord
	if err := json.Unmarshal(data, &frm); err != nil {
		return Job{}, errors.Wrap(err, "job record")
	}
	pln := &plan.Plan{
		ID: frm.ID, Spec: frm.Spec, Times: frm.Times, FirstAt: time.UnixMilli(frm.FirstAt), Interval: millis(frm.Interval),
	}
	for i := range frm.Steps {
		pln.Steps = append(pln.Steps, fromStepRecord(&frm.Steps[i]))
	}
	if err := pln.Check(); err != nil {
		return Job{}, errors.Wrap(err, "job record")
	}
	return Job{Plan: pln, Queue: frm.Queue, Accepted: time.UnixMilli(frm.Accepted), Zone: frm.Zone}, nil
}

func fromStepRecord(frm *stepRecord) plan.Step {
	return plan.Step{
		Count: frm.Count, Demand: plan.Demand{MilliCores: frm.MilliCores, MemoryMB: frm.MemoryMB, GPUs: frm.GPUs},
		Estimate: millis(frm.Estimate), After: frm.After, Image: frm.Image, Label: frm.Label, Rack: frm.Rack,
		MaxPerVM: frm.MaxPerVM, Goal: millis(frm.Goal), MaxAway: frm.MaxAway, IsGang: frm.Gang, IsOneRack: frm.OneRack,
		IsSaving: frm.Saving, IsCopyable: frm.Copyable, IsLasting: frm.Lasting, IsBackground: frm.Background,
	}
}

type hostRecord struct {
	Address    string   `json:"address"`
	Zone       string   `json:"zone,omitempty"`
	Labels     []string `json:"labels,omitempty"`
	MilliCores int64    `json:"milliCores"`
	MemoryMB   int64    `json:"memoryMB"`
	GPUs       int64    `json:"gpus,omitempty"`
	Born       int64    `json:"bornMs,omitempty"`
}

// EncodeHost returns the record of a VM that may run tasks of the pool.
func EncodeHost(hst host.Host) ([]byte, error) {
	data, err := json.Marshal(hostRecord{
		Address: hst.Address, Zone: hst.Zone, Labels: hst.Labels, MilliCores: hst.Capacity.MilliCores,
		MemoryMB: hst.Capacity.MemoryMB, GPUs: hst.Capacity.GPUs, Born: hst.Born,
	})
	return data, errors.Wrap(err, "VM record")
}

// DecodeHost reads what EncodeHost returns.
func DecodeHost(id, service string, data []byte) (host.Host, error) {
	var frm hostRecord
	if err := json.Unmarshal(data, &frm); err != nil {
		return host.Host{}, errors.Wrap(err, "VM record")
	}
	return host.Host{
		ID: id, Service: service, Address: frm.Address, Zone: frm.Zone, Labels: frm.Labels, Born: frm.Born,
		Capacity: plan.Demand{MilliCores: frm.MilliCores, MemoryMB: frm.MemoryMB, GPUs: frm.GPUs},
	}, nil
}

type progressRecord struct {
	State    State    `json:"state"`
	Ended    int64    `json:"endedMs,omitempty"`
	Done     [][]int  `json:"done,omitempty"`     // occurrence, step, then indexes; none: all
	Failures [][]int  `json:"failures,omitempty"` // occurrence, step, index, then runs
	Zones    []string `json:"zones,omitempty"`
}

// EncodeProgress returns the record of progress.
func EncodeProgress(prg Progress) ([]byte, error) {
	frm := progressRecord{State: prg.State, Zones: prg.Zones}
	if prg.State.IsEnded() {
		frm.Ended = prg.Ended.UnixMilli()
	}
	for _, don := range prg.Done {
		row := []int{don.Occurrence, don.Step}
		if !don.IsAll {
			row = append(row, don.Indexes...)
		}
		frm.Done = append(frm.Done, row)
	}
	for _, fal := range prg.Failures {
		frm.Failures = append(frm.Failures, append([]int{fal.Occurrence, fal.Step, fal.Index}, fal.Runs...))
	}
	data, err := json.Marshal(frm)
	return data, errors.Wrap(err, "progress record")
}

// DecodeProgress reads what EncodeProgress returns.
func DecodeProgress(data []byte) (Progress, error) {
	var frm progressRecord
	if err := json.Unmarshal(data, &frm); err != nil {
		return Progress{}, errors.Wrap(err, "progress record")
	}
	if frm.State < Queued || frm.State > Cancelled {
		return Progress{}, errors.Newf("progress record has the state %d", frm.State)
	}
	prg := Progress{State: frm.State, Ended: time.UnixMilli(frm.Ended), Zones: frm.Zones}
	for _, row := range frm.Done {
		if len(row) < 2 {
			return Progress{}, errors.New("progress record has a row without a step")
		}
		prg.Done = append(prg.Done, StepDone{Occurrence: row[0], Step: row[1], IsAll: len(row) == 2, Indexes: row[2:]})
	}
	for _, row := range frm.Failures {
		if len(row) < 3 {
			return Progress{}, errors.New("progress record has a failure without a task")
		}
		prg.Failures = append(prg.Failures, Failure{Occurrence: row[0], Step: row[1], Index: row[2], Runs: row[3:]})
	}
	return prg, nil
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
