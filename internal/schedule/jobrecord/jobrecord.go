// Package jobrecord encodes the stored records: two for each job, an immutable one for
// its submission and a replaceable one for its progress; and one for each VM that
// may run tasks, so that a later owner knows which VMs to query.
package jobrecord

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/numberset"
	"daisywheel/internal/job/plan"
)

// State is the state of a job, as reported to callers.
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

// String returns the name used in log lines.
func (ste State) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[ste]
}

// Job is the record of a submission.
type Job struct {
	Plan         *plan.Plan
	Queue        string
	Address      string    // of the queue; empty in records of entries that did not store it
	FirstAttempt time.Time // the caller's first attempt known to the owner, by the owner's wall clock
	Zone         string    // zone where its tasks run; empty for any zone
	// MaxAttempts is that of the queue when the job was accepted, for when the queue is no longer
	// configured; 0 in records of entries that did not store it.
	MaxAttempts int
	// From is the pool that handed the job over; empty for none.
	From string
	// Organisation is the one that submitted it; empty for a queue that needs no key.
	Organisation string
}

// Ref returns the reference to the job's queue and organisation.
func (jb *Job) Ref() queue.Ref {
	return queue.Ref{Name: jb.Queue, Address: jb.Address, Organisation: jb.Organisation}
}

// Failure lists the failed runs of a task by number, so that an end that a VM
// reports again is not counted twice.
type Failure struct {
	Occurrence, Step, Index int
	Runs                    []int
}

// Progress is the record of a job's progress.
type Progress struct {
	State State
	Queue string // empty in records of entries that did not store it
	// Address is that of the queue, stored in a final state only, as the record of the
	// submission has it before.
	Address string
	// Organisation is the one that submitted the job.
	Organisation string
	Ended        time.Time // by the owner's wall clock; only meaningful in a final state
	// Occurrences are those that are done, of a job with this number of Steps.
	Occurrences numberset.Set
	Steps       int
	// Done has one element for each step with completed tasks of the other occurrences.
	// DecodeProgress also returns occurrences that are done here, if rows list their steps.
	Done       []DoneTasks
	Failures   []Failure
	ExtraZones []string // zones beside the job's own where tasks may run
}

// DoneTasks lists the completed tasks of a step by index. IsAll stands for all of
// them.
type DoneTasks struct {
	Occurrence, Step int
	IsAll            bool
	Indexes          []int
}

type jobJSON struct {
	ID           string     `json:"id"`
	Queue        string     `json:"queue"`
	Address      string     `json:"address,omitempty"`
	FirstAttempt int64      `json:"acceptedMs"`
	Spec         string     `json:"spec,omitempty"`
	Steps        []stepJSON `json:"steps"`
	Times        int        `json:"times,omitempty"`
	FirstAt      int64      `json:"firstAtMs,omitempty"`
	Interval     int64      `json:"intervalMs,omitempty"`
	Zone         string     `json:"zone,omitempty"`
	MaxAttempts  int        `json:"maxAttempts,omitempty"`
	From         string     `json:"from,omitempty"`
	Organisation string     `json:"organisation,omitempty"`
}

type stepJSON struct {
	Count          int    `json:"n"`
	MilliCores     int64  `json:"milliCores,omitempty"`
	MemoryMB       int64  `json:"memoryMB,omitempty"`
	GPUs           int64  `json:"gpus,omitempty"`
	Estimate       int64  `json:"estimateMs,omitempty"`
	After          []int  `json:"after,omitempty"`
	Image          string `json:"image,omitempty"`
	Label          string `json:"label,omitempty"`
	Rack           string `json:"rack,omitempty"`
	MaxPerVM       int    `json:"maxPerVM,omitempty"`
	LatencyGoal    int64  `json:"goalMs,omitempty"`
	MaxUnavailable int    `json:"maxAway,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	OneRack        bool   `json:"oneRack,omitempty"`
	Saving         bool   `json:"saving,omitempty"`
	Copyable       bool   `json:"copyable,omitempty"`
	LongRunning    bool   `json:"lasting,omitempty"`
	Background     bool   `json:"background,omitempty"`
}

// EncodeJob returns the JSON record of a submission.
func EncodeJob(jb Job) ([]byte, error) {
	pln := jb.Plan
	jsn := jobJSON{
		ID: pln.ID, Queue: jb.Queue, Address: jb.Address, FirstAttempt: jb.FirstAttempt.UnixMilli(), Spec: pln.Spec,
		Times: pln.RepeatCount, Interval: pln.Interval.Milliseconds(), Zone: jb.Zone,
		MaxAttempts: jb.MaxAttempts, From: jb.From, Organisation: jb.Organisation,
	}
	if pln.IsRepeating() {
		jsn.FirstAt = pln.FirstAt.UnixMilli()
	}
	for i := range pln.Steps {
		jsn.Steps = append(jsn.Steps, toStepJSON(&pln.Steps[i]))
	}
	data, err := json.Marshal(jsn)
	return data, errors.Wrap(err, "job record")
}

func toStepJSON(stp *plan.Step) stepJSON {
	return stepJSON{
		Count: stp.Count, MilliCores: stp.Demand.MilliCores, MemoryMB: stp.Demand.MemoryMB, GPUs: stp.Demand.GPUs,
		Estimate: stp.Estimate.Milliseconds(), After: stp.After, Image: stp.Image, Label: stp.Label, Rack: stp.Rack,
		MaxPerVM: stp.MaxPerVM, LatencyGoal: stp.LatencyGoal.Milliseconds(), MaxUnavailable: stp.MaxUnavailable, Gang: stp.IsGang,
		OneRack: stp.IsOneRack, Saving: stp.IsCheckpointing, Copyable: stp.IsSpeculative, LongRunning: stp.IsLongRunning,
		Background: stp.IsBackground,
	}
}

// DecodeJob parses a record of EncodeJob and validates its plan.
func DecodeJob(data []byte) (Job, error) {
	var jsn jobJSON
	if err := json.Unmarshal(data, &jsn); err != nil {
		return Job{}, errors.Wrap(err, "job record")
	}
	pln := &plan.Plan{
		ID: jsn.ID, Spec: jsn.Spec, RepeatCount: jsn.Times, FirstAt: time.UnixMilli(jsn.FirstAt), Interval: millis(jsn.Interval),
	}
	for i := range jsn.Steps {
		pln.Steps = append(pln.Steps, fromStepJSON(&jsn.Steps[i]))
	}
	if err := pln.Check(); err != nil {
		return Job{}, errors.Wrap(err, "job record")
	}
	return Job{
		Plan: pln, Queue: jsn.Queue, Address: jsn.Address, FirstAttempt: time.UnixMilli(jsn.FirstAttempt), Zone: jsn.Zone,
		MaxAttempts: max(0, jsn.MaxAttempts), From: jsn.From, Organisation: jsn.Organisation,
	}, nil
}

func fromStepJSON(jsn *stepJSON) plan.Step {
	return plan.Step{
		Count: jsn.Count, Demand: plan.Demand{MilliCores: jsn.MilliCores, MemoryMB: jsn.MemoryMB, GPUs: jsn.GPUs},
		Estimate: millis(jsn.Estimate), After: jsn.After, Image: jsn.Image, Label: jsn.Label, Rack: jsn.Rack,
		MaxPerVM: jsn.MaxPerVM, LatencyGoal: millis(jsn.LatencyGoal), MaxUnavailable: jsn.MaxUnavailable, IsGang: jsn.Gang, IsOneRack: jsn.OneRack,
		IsCheckpointing: jsn.Saving, IsSpeculative: jsn.Copyable, IsLongRunning: jsn.LongRunning, IsBackground: jsn.Background,
	}
}

type vmJSON struct {
	Address     string   `json:"address"`
	Zone        string   `json:"zone,omitempty"`
	Labels      []string `json:"labels,omitempty"`
	MilliCores  int64    `json:"milliCores"`
	MemoryMB    int64    `json:"memoryMB"`
	GPUs        int64    `json:"gpus,omitempty"`
	Incarnation int64    `json:"bornMs,omitempty"`
}

// EncodeHost returns the JSON record of a VM that may run tasks of the pool.
func EncodeHost(hst host.Host) ([]byte, error) {
	data, err := json.Marshal(vmJSON{
		Address: hst.Address, Zone: hst.Zone, Labels: hst.Labels, MilliCores: hst.Capacity.MilliCores,
		MemoryMB: hst.Capacity.MemoryMB, GPUs: hst.Capacity.GPUs, Incarnation: hst.Incarnation,
	})
	return data, errors.Wrap(err, "VM record")
}

// DecodeHost parses a record of EncodeHost.
func DecodeHost(id, pool string, data []byte) (host.Host, error) {
	var jsn vmJSON
	if err := json.Unmarshal(data, &jsn); err != nil {
		return host.Host{}, errors.Wrap(err, "VM record")
	}
	return host.Host{
		ID: id, Pool: pool, Address: jsn.Address, Zone: jsn.Zone, Labels: jsn.Labels, Incarnation: jsn.Incarnation,
		Capacity: plan.Demand{MilliCores: jsn.MilliCores, MemoryMB: jsn.MemoryMB, GPUs: jsn.GPUs},
	}, nil
}

type progressJSON struct {
	State        State    `json:"state"`
	Queue        string   `json:"queue,omitempty"`
	Address      string   `json:"address,omitempty"`
	Organisation string   `json:"organisation,omitempty"`
	Ended        int64    `json:"endedMs,omitempty"`
	Spans        [][2]int `json:"spans,omitempty"`    // occurrences that are done: first, last
	Done         [][]int  `json:"done,omitempty"`     // rows: occurrence, step, task indexes...; no indexes: all tasks
	Failures     [][]int  `json:"failures,omitempty"` // rows: occurrence, step, task index, runs...
	ExtraZones   []string `json:"zones,omitempty"`
}

// maxRows is the number of rows for steps of done occurrences up to which they are stored as
// rows, which entries of earlier versions read. Rows have about 10 bytes, and the record is
// stored again with each change.
const maxRows = 4096

// IsCompact reports whether occurrences that are done are stored as spans. Entries of earlier
// versions do not read these, so they must not take the job for theirs.
func (prg *Progress) IsCompact() bool { return prg.Occurrences.Len()*prg.Steps > maxRows }

// EncodeProgress returns the JSON record of a job's progress.
func EncodeProgress(prg Progress) ([]byte, error) {
	jsn := progressJSON{State: prg.State, Queue: prg.Queue, Organisation: prg.Organisation, ExtraZones: prg.ExtraZones}
	if prg.State.IsEnded() {
		jsn.Ended, jsn.Address = prg.Ended.UnixMilli(), prg.Address
	}
	for _, spn := range prg.Occurrences.Spans() {
		if prg.IsCompact() {
			jsn.Spans = append(jsn.Spans, [2]int{spn.First, spn.Last})
			continue
		}
		for num := spn.First; num <= spn.Last; num++ {
			for step := range prg.Steps {
				jsn.Done = append(jsn.Done, []int{num, step})
			}
		}
	}
	for _, don := range prg.Done {
		row := []int{don.Occurrence, don.Step}
		if !don.IsAll {
			row = append(row, don.Indexes...)
		}
		jsn.Done = append(jsn.Done, row)
	}
	for _, fal := range prg.Failures {
		jsn.Failures = append(jsn.Failures, append([]int{fal.Occurrence, fal.Step, fal.Index}, fal.Runs...))
	}
	data, err := json.Marshal(jsn)
	return data, errors.Wrap(err, "progress record")
}

// DecodeProgress parses a record of EncodeProgress.
func DecodeProgress(data []byte) (Progress, error) {
	var jsn progressJSON
	if err := json.Unmarshal(data, &jsn); err != nil {
		return Progress{}, errors.Wrap(err, "progress record")
	}
	if jsn.State < Queued || jsn.State > Cancelled {
		return Progress{}, errors.Newf("progress record has the state %d", jsn.State)
	}
	prg := Progress{State: jsn.State, Queue: jsn.Queue, Address: jsn.Address, Organisation: jsn.Organisation, Ended: time.UnixMilli(jsn.Ended), ExtraZones: jsn.ExtraZones}
	for _, spn := range jsn.Spans {
		if spn[0] < 0 || spn[1] < spn[0] || spn[1] >= plan.MaxOccurrences {
			return Progress{}, errors.Newf("progress record has the occurrences %d to %d", spn[0], spn[1])
		}
		prg.Occurrences.AddSpan(numberset.Span{First: spn[0], Last: spn[1]})
	}
	for _, row := range jsn.Done {
		if len(row) < 2 {
			return Progress{}, errors.New("progress record has a row without a step")
		}
		prg.Done = append(prg.Done, DoneTasks{Occurrence: row[0], Step: row[1], IsAll: len(row) == 2, Indexes: row[2:]})
	}
	for _, row := range jsn.Failures {
		if len(row) < 3 {
			return Progress{}, errors.New("progress record has a failure without a task")
		}
		prg.Failures = append(prg.Failures, Failure{Occurrence: row[0], Step: row[1], Index: row[2], Runs: row[3:]})
	}
	return prg, nil
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
