package checkpoint

import (
	"bytes"
	"compress/gzip"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/job/job"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/jsontype"
)

type rowStateJSON struct {
	Row    jsontype.Row `json:"row"`
	Rev    int64        `json:"rev"`
	Author string       `json:"by"`
}

type tableChangeJSON struct {
	Offset int64  `json:"offset"`
	AtMs   int64  `json:"atMs"`
	Author string `json:"by"`
	Pool   string `json:"pool"`
	Code   int    `json:"code"`
	Delete bool   `json:"delete,omitempty"`
}

type unconfirmedJSON struct {
	Entry       string `json:"entry"`
	Incarnation int64  `json:"incarnation"`
}

type vmJSON struct {
	VM           string            `json:"vm"`
	Zone         string            `json:"zone"`
	Rack         string            `json:"rack"`
	Address      string            `json:"address"`
	Agent        string            `json:"agent"`
	Shape        jsontype.Shape    `json:"shape"`
	Pool         string            `json:"pool"`
	Home         string            `json:"home"`
	Epoch        int64             `json:"epoch"`
	Phase        int               `json:"phase,omitempty"`
	Status       int               `json:"status,omitempty"`
	NextPool     string            `json:"next,omitempty"`
	Wave         string            `json:"wave,omitempty"`
	Quarantined  bool              `json:"quarantined,omitempty"`
	MaintainedAt int64             `json:"serviced,omitempty"`
	Unconfirmed  []unconfirmedJSON `json:"pending,omitempty"`
	FailedJobs   []string          `json:"streak,omitempty"`
}

type entryJSON struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	VM          string `json:"vm"`
	Address     string `json:"address"`
	Incarnation int64  `json:"incarnation"`
}

type entrySetJSON struct {
	Generation int64    `json:"generation"`
	Entries    []string `json:"entries"`
	Confirmed  []string `json:"confirmed,omitempty"`
}

type zoneJSON struct {
	Name       string         `json:"name"`
	IsCut      bool           `json:"isCut,omitempty"`
	Heartbeats int64          `json:"beats"`
	Sets       []entrySetJSON `json:"sets"`
}

type waveJSON struct {
	Name    string            `json:"name"`
	Author  string            `json:"by"`
	State   int               `json:"state"`
	Waiting []string          `json:"waiting,omitempty"`
	Active  []string          `json:"active,omitempty"`
	Done    []string          `json:"done,omitempty"`
	Skipped map[string]string `json:"named,omitempty"`
}

type jobJSON struct {
	Name         string         `json:"name"`
	Team         string         `json:"team"`
	Pool         string         `json:"pool,omitempty"`
	Kind         string         `json:"kind,omitempty"`
	Shape        jsontype.Shape `json:"shape"`
	Priority     int            `json:"priority"`
	Seconds      int            `json:"seconds"`
	State        int            `json:"state"`
	VM           string         `json:"vm,omitempty"`
	FencingToken int64          `json:"fence"`
	Reserved     jsontype.Shape `json:"reserved"`
	FailedOn     []string       `json:"failedOn,omitempty"`
}

type verdictJSON struct {
	ID     string `json:"id"`
	Offset int64  `json:"offset"`
	Code   int    `json:"code,omitempty"`
}

type jobKindJSON struct {
	Kind  string         `json:"kind"`
	Size  jsontype.Shape `json:"size"`
	Count int            `json:"count"`
}

type fleetJSON struct {
	Next      int64             `json:"next"`
	TableRev  int64             `json:"tableRev"`
	Rows      []rowStateJSON    `json:"rows"`
	TableLog  []tableChangeJSON `json:"tableLog"`
	VMs       []vmJSON          `json:"vms"`
	Entries   []entryJSON       `json:"entries"`
	Zones     []zoneJSON        `json:"zones"`
	Waves     []waveJSON        `json:"waves"`
	Jobs      []jobJSON         `json:"jobs"`
	EndedJobs []string          `json:"jobEnds"`
	Verdicts  []verdictJSON     `json:"verdicts"`
	JobKinds  []jobKindJSON     `json:"kinds"`

	CheckpointOffset int64 `json:"checkpointed"`
}

// encode returns the snapshot as JSON compressed with gzip.
func encode(snp fleet.Snapshot) ([]byte, error) {
	fjs := fleetJSON{Next: snp.Next, TableRev: snp.TableRev, EndedJobs: snp.EndedJobs, CheckpointOffset: snp.CheckpointOffset}
	for _, ksn := range snp.JobKinds {
		fjs.JobKinds = append(fjs.JobKinds, jobKindJSON{ksn.Kind, jsontype.FromShape(ksn.Size), ksn.Count})
	}
	for _, rws := range snp.Rows {
		fjs.Rows = append(fjs.Rows, rowStateJSON{Row: jsontype.FromRow(rws.Row), Rev: rws.Rev, Author: rws.Author})
	}
	for _, chg := range snp.TableLog {
		fjs.TableLog = append(fjs.TableLog, tableChangeJSON{chg.Offset, chg.AtMs, chg.Author, chg.Pool, int(chg.Code), chg.Delete})
	}
	for _, vsn := range snp.VMs {
		fjs.VMs = append(fjs.VMs, vmToJSON(vsn))
	}
	for _, esn := range snp.Entries {
		info := esn.Info
		fjs.Entries = append(fjs.Entries, entryJSON{esn.Name, info.Zone, info.VM, info.Address, info.Incarnation})
	}
	for _, zsn := range snp.Zones {
		zon := zoneJSON{Name: zsn.Name, IsCut: zsn.IsCut, Heartbeats: zsn.Heartbeats}
		for _, ssn := range zsn.Sets {
			zon.Sets = append(zon.Sets, entrySetJSON(ssn))
		}
		fjs.Zones = append(fjs.Zones, zon)
	}
	for _, wcf := range snp.Waves {
		fjs.Waves = append(fjs.Waves, waveJSON{wcf.Name, wcf.Author, int(wcf.State), wcf.Waiting, wcf.Active, wcf.Done, wcf.Skipped})
	}
	for _, jsn := range snp.Jobs {
		fjs.Jobs = append(fjs.Jobs, jobToJSON(jsn))
	}
	for _, vsn := range snp.Verdicts {
		fjs.Verdicts = append(fjs.Verdicts, verdictJSON{vsn.ID, vsn.Offset, int(vsn.Code)})
	}
	return compress(fjs)
}

func compress(fjs fleetJSON) ([]byte, error) {
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(fjs); err != nil {
		return nil, errors.Wrap(err, "encode checkpoint")
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress checkpoint")
	}
	return out.Bytes(), nil
}

func decode(data []byte) (fleet.Snapshot, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return fleet.Snapshot{}, errors.Wrap(err, "decompress checkpoint")
	}
	var fjs fleetJSON
	if err := json.NewDecoder(zip).Decode(&fjs); err != nil {
		return fleet.Snapshot{}, errors.Wrap(err, "decode checkpoint")
	}
	snp := fleet.Snapshot{Next: fjs.Next, TableRev: fjs.TableRev, EndedJobs: fjs.EndedJobs, CheckpointOffset: fjs.CheckpointOffset}
	for _, kjs := range fjs.JobKinds {
		snp.JobKinds = append(snp.JobKinds, fleet.JobKindSnapshot{Kind: kjs.Kind, Size: kjs.Size.Shape(), Count: kjs.Count})
	}
	for _, rws := range fjs.Rows {
		snp.Rows = append(snp.Rows, fleet.RowSnapshot{Row: rws.Row.Config(), Rev: rws.Rev, Author: rws.Author})
	}
	for _, chg := range fjs.TableLog {
		snp.TableLog = append(snp.TableLog, fleet.TableChange{
			Offset: chg.Offset, AtMs: chg.AtMs, Author: chg.Author, Pool: chg.Pool, Code: code.Code(chg.Code), Delete: chg.Delete,
		})
	}
	for _, vjs := range fjs.VMs {
		snp.VMs = append(snp.VMs, vmFromJSON(vjs))
	}
	for _, ent := range fjs.Entries {
		info := fleet.EntryInfo{Zone: ent.Zone, VM: ent.VM, Address: ent.Address, Incarnation: ent.Incarnation}
		snp.Entries = append(snp.Entries, fleet.EntrySnapshot{Name: ent.Name, Info: info})
	}
	for _, zon := range fjs.Zones {
		zsn := fleet.ZoneSnapshot{Name: zon.Name, IsCut: zon.IsCut, Heartbeats: zon.Heartbeats}
		for _, set := range zon.Sets {
			zsn.Sets = append(zsn.Sets, fleet.EntrySetSnapshot(set))
		}
		snp.Zones = append(snp.Zones, zsn)
	}
	for _, wav := range fjs.Waves {
		snp.Waves = append(snp.Waves, wave.Config{
			Name: wav.Name, Author: wav.Author, State: wave.State(wav.State),
			Waiting: wav.Waiting, Active: wav.Active, Done: wav.Done, Skipped: wav.Skipped,
		})
	}
	for _, jjs := range fjs.Jobs {
		snp.Jobs = append(snp.Jobs, jobFromJSON(jjs))
	}
	for _, vrd := range fjs.Verdicts {
		snp.Verdicts = append(snp.Verdicts, fleet.VerdictSnapshot{ID: vrd.ID, Offset: vrd.Offset, Code: code.Code(vrd.Code)})
	}
	return snp, nil
}

func vmToJSON(vsn fleet.VMSnapshot) vmJSON {
	cfg, stt := vsn.Config, vsn.State
	out := vmJSON{
		VM: cfg.VM, Zone: cfg.Zone, Rack: cfg.Rack, Address: cfg.Address, Agent: cfg.Agent,
		Shape: jsontype.FromShape(cfg.Shape), Pool: cfg.Pool, Home: stt.Home, Epoch: stt.Epoch,
		Phase: int(stt.Phase), Status: int(stt.Status), NextPool: stt.NextPool, Wave: stt.Wave,
		Quarantined: stt.Quarantined, MaintainedAt: stt.MaintainedAt, FailedJobs: vsn.FailedJobs,
	}
	for _, usn := range vsn.Unconfirmed {
		out.Unconfirmed = append(out.Unconfirmed, unconfirmedJSON(usn))
	}
	return out
}

func vmFromJSON(vjs vmJSON) fleet.VMSnapshot {
	out := fleet.VMSnapshot{FailedJobs: vjs.FailedJobs}
	out.Config = member.Config{
		VM: vjs.VM, Zone: vjs.Zone, Rack: vjs.Rack, Address: vjs.Address, Agent: vjs.Agent,
		Shape: vjs.Shape.Shape(), Pool: vjs.Pool,
	}
	out.State = member.Restored{
		Home: vjs.Home, Epoch: vjs.Epoch, Phase: member.Phase(vjs.Phase), Status: member.Status(vjs.Status),
		NextPool: vjs.NextPool, Wave: vjs.Wave, Quarantined: vjs.Quarantined, MaintainedAt: vjs.MaintainedAt,
	}
	for _, ujs := range vjs.Unconfirmed {
		out.Unconfirmed = append(out.Unconfirmed, fleet.UnconfirmedSnapshot(ujs))
	}
	return out
}

func jobToJSON(jsn fleet.JobSnapshot) jobJSON {
	cfg, stt := jsn.Config, jsn.State
	return jobJSON{
		Name: cfg.Name, Team: cfg.Team, Pool: cfg.Pool, Kind: cfg.Kind, Shape: jsontype.FromShape(cfg.Shape),
		Priority: cfg.Priority, Seconds: cfg.Seconds, State: int(stt.State), VM: stt.VM, FencingToken: stt.FencingToken,
		Reserved: jsontype.FromShape(stt.Reserved), FailedOn: stt.FailedOn,
	}
}

func jobFromJSON(jjs jobJSON) fleet.JobSnapshot {
	cfg := job.Config{
		Name: jjs.Name, Team: jjs.Team, Pool: jjs.Pool, Kind: jjs.Kind, Shape: jjs.Shape.Shape(),
		Priority: jjs.Priority, Seconds: jjs.Seconds,
	}
	stt := job.Restored{
		State: job.State(jjs.State), VM: jjs.VM, FencingToken: jjs.FencingToken, Reserved: jjs.Reserved.Shape(), FailedOn: jjs.FailedOn,
	}
	return fleet.JobSnapshot{Config: cfg, State: stt}
}
