// Package codec encodes records as JSON and decodes them.
package codec

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/job/job"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/state/jsontype"
	"daisywheel/internal/state/record"
)

type memberJSON struct {
	VM      string         `json:"vm"`
	Zone    string         `json:"zone"`
	Rack    string         `json:"rack"`
	Address string         `json:"address"`
	Agent   string         `json:"agent"`
	Shape   jsontype.Shape `json:"shape"`
	Pool    string         `json:"pool"`
}

type jobJSON struct {
	Name     string         `json:"name"`
	Team     string         `json:"team"`
	Pool     string         `json:"pool,omitempty"`
	Kind     string         `json:"kind,omitempty"`
	Shape    jsontype.Shape `json:"shape"`
	Priority int            `json:"priority"`
	Seconds  int            `json:"seconds"`
}

type recordJSON struct {
	Kind         string          `json:"kind"`
	ChangeID     string          `json:"id,omitempty"`
	Author       string          `json:"by,omitempty"`
	AtMs         int64           `json:"atMs,omitempty"`
	Entry        string          `json:"entry,omitempty"`
	Zone         string          `json:"zone,omitempty"`
	Incarnation  int64           `json:"incarnation,omitempty"`
	Address      string          `json:"address,omitempty"`
	Generation   int64           `json:"generation,omitempty"`
	IsCut        bool            `json:"isCut,omitempty"`
	Reason       string          `json:"reason,omitempty"`
	Row          *jsontype.Row   `json:"row,omitempty"`
	Base         int64           `json:"base,omitempty"`
	Pool         string          `json:"pool,omitempty"`
	Member       *memberJSON     `json:"member,omitempty"`
	VM           string          `json:"vm,omitempty"`
	Epoch        int64           `json:"epoch,omitempty"`
	Status       string          `json:"status,omitempty"`
	Home         string          `json:"home,omitempty"`
	Wave         string          `json:"wave,omitempty"`
	WaveState    string          `json:"waveState,omitempty"`
	VMs          []string        `json:"vms,omitempty"`
	Job          *jobJSON        `json:"job,omitempty"`
	JobName      string          `json:"jobName,omitempty"`
	FencingToken int64           `json:"fence,omitempty"`
	Shape        *jsontype.Shape `json:"shape,omitempty"`
	Outcome      string          `json:"outcome,omitempty"`
}

// Codec encodes and decodes records. Its zero value is ready for use.
type Codec struct{}

// Encode returns rec as JSON.
func (cdc Codec) Encode(rec record.Record) ([]byte, error) {
	cfg := rec.Config()
	rjs := recordJSON{
		Kind: string(cfg.Kind), ChangeID: cfg.ChangeID, Author: cfg.Author, AtMs: cfg.AtMs,
		Entry: cfg.Entry, Zone: cfg.Zone, Incarnation: cfg.Incarnation, Address: cfg.Address,
		Generation: cfg.Generation, IsCut: cfg.IsCut, Reason: cfg.Reason,
		Base: cfg.Base, Pool: cfg.Pool, VM: cfg.VM, Epoch: cfg.Epoch, Home: cfg.Home, Wave: cfg.Wave,
		VMs: cfg.VMs, JobName: cfg.JobName, FencingToken: cfg.FencingToken, Outcome: string(cfg.Outcome),
	}
	switch cfg.Kind {
	case record.RowSet:
		rw := jsontype.FromRow(cfg.Row)
		rjs.Row = &rw
	case record.VMAdd:
		rjs.Member = memberToJSON(cfg.Member)
	case record.VMStatus:
		rjs.Status = cfg.Status.String()
	case record.WaveState:
		rjs.WaveState = cfg.WaveState.String()
	case record.JobSubmit:
		rjs.Job = jobToJSON(cfg.Job)
	case record.JobPlace, record.JobEnd:
		shp := jsontype.FromShape(cfg.Shape)
		rjs.Shape = &shp
	}
	data, err := json.Marshal(rjs)
	return data, errors.Wrap(err, "encode record")
}

// Decode is the inverse of Encode. A record of an unknown kind is decoded too;
// package fleet refuses it when it is applied.
func (cdc Codec) Decode(data []byte) (record.Record, error) {
	var rjs recordJSON
	if err := json.Unmarshal(data, &rjs); err != nil {
		return record.Record{}, errors.Wrap(err, "decode record")
	}
	cfg := record.Config{
		Kind: record.Kind(rjs.Kind), ChangeID: rjs.ChangeID, Author: rjs.Author, AtMs: rjs.AtMs,
		Entry: rjs.Entry, Zone: rjs.Zone, Incarnation: rjs.Incarnation, Address: rjs.Address,
		Generation: rjs.Generation, IsCut: rjs.IsCut, Reason: rjs.Reason,
		Base: rjs.Base, Pool: rjs.Pool, VM: rjs.VM, Epoch: rjs.Epoch, Home: rjs.Home, Wave: rjs.Wave,
		VMs: rjs.VMs, JobName: rjs.JobName, FencingToken: rjs.FencingToken, Outcome: record.Outcome(rjs.Outcome),
	}
	if rjs.Status != "" {
		cfg.Status = member.ParseStatus(rjs.Status)
	}
	if rjs.WaveState != "" {
		cfg.WaveState = wave.ParseState(rjs.WaveState)
	}
	if rjs.Row != nil {
		cfg.Row = rjs.Row.Config()
	}
	if rjs.Member != nil {
		cfg.Member = memberFromJSON(*rjs.Member)
	}
	if rjs.Job != nil {
		cfg.Job = jobFromJSON(*rjs.Job)
	}
	if rjs.Shape != nil {
		cfg.Shape = rjs.Shape.Shape()
	}
	return record.New(cfg), nil
}

func memberToJSON(cfg member.Config) *memberJSON {
	return &memberJSON{
		VM: cfg.VM, Zone: cfg.Zone, Rack: cfg.Rack, Address: cfg.Address, Agent: cfg.Agent,
		Shape: jsontype.FromShape(cfg.Shape), Pool: cfg.Pool,
	}
}

func memberFromJSON(mjs memberJSON) member.Config {
	return member.Config{
		VM: mjs.VM, Zone: mjs.Zone, Rack: mjs.Rack, Address: mjs.Address, Agent: mjs.Agent,
		Shape: mjs.Shape.Shape(), Pool: mjs.Pool,
	}
}

func jobToJSON(cfg job.Config) *jobJSON {
	return &jobJSON{
		Name: cfg.Name, Team: cfg.Team, Pool: cfg.Pool, Kind: cfg.Kind,
		Shape: jsontype.FromShape(cfg.Shape), Priority: cfg.Priority, Seconds: cfg.Seconds,
	}
}

func jobFromJSON(jjs jobJSON) job.Config {
	return job.Config{
		Name: jjs.Name, Team: jjs.Team, Pool: jjs.Pool, Kind: jjs.Kind,
		Shape: jjs.Shape.Shape(), Priority: jjs.Priority, Seconds: jjs.Seconds,
	}
}
