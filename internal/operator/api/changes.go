package api

import (
	"net/http"
	"strconv"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

func (ap *API) getTable(*http.Request) (any, error) {
	out := wire.Table{Rows: []wire.Row{}}
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		out.Rev = flt.TableRev()
		out.Offset = flt.Next()
		for _, pool := range flt.Pools() {
			rw, rev, author := flt.Row(pool)
			out.Rows = append(out.Rows, wire.FromRow(rw.Config(), rev, author))
		}
	})
	return out, nil
}

func (ap *API) getTableLog(*http.Request) (any, error) {
	out := wire.TableLog{Changes: []wire.TableChange{}}
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, chg := range flt.TableLog() {
			out.Changes = append(out.Changes, wire.TableChange{
				Offset: chg.Offset, AtMs: chg.AtMs, Author: chg.Author, Pool: chg.Pool,
				Code: int(chg.Code), Name: chg.Code.Name(), Delete: chg.Delete,
			})
		}
	})
	return out, nil
}

func (ap *API) putRow(req *http.Request) (any, error) {
	var edt wire.Edit
	if err := decodeBody(req, &edt); err != nil {
		return nil, err
	}
	if edt.Row.Pool == "" {
		edt.Row.Pool = req.PathValue("pool")
	}
	if edt.Row.Pool != req.PathValue("pool") {
		return nil, fault.New(code.BadRow, "the path names pool %q, the row %q", req.PathValue("pool"), edt.Row.Pool)
	}
	if _, err := row.New(edt.Row.Config()); err != nil {
		return nil, err
	}
	if err := ap.checkVMLimits(edt.Row.Config()); err != nil {
		return nil, err
	}
	ans, err := ap.propose(req, record.Config{
		Kind: record.RowSet, Row: edt.Row.Config(), Base: edt.BaseRev, ChangeID: edt.ChangeID, Author: edt.Author,
	})
	return ap.withCurrentRow(ans, edt.Row.Pool), err
}

// checkVMLimits refuses limits on VMs that exceed the number of VMs in the pool, as the
// pool could never reach them. A pool without VMs is not checked.
func (ap *API) checkVMLimits(cfg row.Config) error {
	var size int
	ap.nod.Replica().View(func(flt *fleet.Fleet) { size = len(flt.VMsOf(cfg.Pool)) })
	if size > 0 && cfg.DownVMs > size {
		return fault.New(code.LimitConflict, "column downVMs is %d, but pool %q has %d VMs", cfg.DownVMs, cfg.Pool, size)
	}
	if size > 0 && cfg.LendVMs > size {
		return fault.New(code.LimitConflict, "column lendVMs is %d, but pool %q has %d VMs", cfg.LendVMs, cfg.Pool, size)
	}
	return nil
}

// withCurrentRow adds the pool's current row, if there is one, to the answer.
func (ap *API) withCurrentRow(ans wire.Answer, pool string) wire.Answer {
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		rw, rev, author := flt.Row(pool)
		if rev == 0 {
			return
		}
		current := wire.FromRow(rw.Config(), rev, author)
		ans.Row = &current
	})
	return ans
}

func (ap *API) deleteRow(req *http.Request) (any, error) {
	pool := req.PathValue("pool")
	base, err := strconv.ParseInt(req.URL.Query().Get("base"), 10, 64)
	if err != nil {
		return nil, fault.New(code.BadRequest, "base is %q, must be the row's revision", req.URL.Query().Get("base"))
	}
	ans, err := ap.propose(req, record.Config{
		Kind: record.RowDelete, Pool: pool, Base: base,
		ChangeID: req.URL.Query().Get("changeID"), Author: req.URL.Query().Get("by"),
	})
	return ap.withCurrentRow(ans, pool), err
}

func (ap *API) getChange(req *http.Request) (any, error) {
	id := req.PathValue("id")
	vrd, ok := ap.nod.Proposer().Lookup(id)
	if !ok {
		cd := code.NotYetKnown
		return wire.Answer{Code: int(cd), Name: cd.Name(), Fix: cd.Fix(), ChangeID: id, LaggingEntries: []string{}}, nil
	}
	cd := vrd.Code()
	return wire.Answer{Code: int(cd), Name: cd.Name(), Fix: cd.Fix(), ChangeID: id, Offset: vrd.Offset(), LaggingEntries: []string{}}, nil
}

func (ap *API) getVMs(req *http.Request) (any, error) {
	pool := req.URL.Query().Get("pool")
	out := wire.VMs{VMs: []wire.VM{}}
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, name := range flt.VMs() {
			mbr, _ := flt.Member(name)
			if pool == "" || mbr.Pool() == pool {
				out.VMs = append(out.VMs, toWireVM(flt, mbr))
			}
		}
	})
	return out, nil
}

func toWireVM(flt *fleet.Fleet, mbr member.Member) wire.VM {
	return wire.VM{
		Name: mbr.VM(), Zone: mbr.Zone(), Rack: mbr.Rack(), Pool: mbr.Pool(), Home: mbr.Home(), Epoch: mbr.Epoch(),
		Phase: mbr.Phase().String(), Status: mbr.Status().String(), Next: mbr.NextPool(), Wave: mbr.Wave(),
		WaitsFor: flt.UnconfirmedEntries(mbr.VM()), Quarantined: mbr.IsQuarantined(), Tasks: flt.Tasks(mbr.VM()),
		Cores: mbr.Shape().Cores(), MemoryMB: mbr.Shape().MemoryMB(), Accelerators: mbr.Shape().Accelerators(),
	}
}

func (ap *API) moveVM(req *http.Request) (any, error) {
	var mov wire.Move
	if err := decodeBody(req, &mov); err != nil {
		return nil, err
	}
	cfg := record.Config{
		Kind: record.VMLeave, VM: req.PathValue("vm"), Epoch: mov.Epoch, Pool: mov.To,
		ChangeID: mov.ChangeID, Author: mov.Author,
	}
	if !mov.IsLoan {
		cfg.Home = mov.To
	}
	return ap.propose(req, cfg)
}

func (ap *API) releaseVM(req *http.Request) (any, error) {
	var chg wire.Change
	if err := decodeBody(req, &chg); err != nil {
		return nil, err
	}
	return ap.propose(req, record.Config{
		Kind: record.VMRelease, VM: req.PathValue("vm"), ChangeID: chg.ChangeID, Author: chg.Author,
	})
}

func (ap *API) getJobs(*http.Request) (any, error) {
	out := wire.Jobs{Jobs: []wire.Job{}}
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, name := range flt.Jobs() {
			jb, _ := flt.Job(name)
			out.Jobs = append(out.Jobs, toWireJob(jb))
		}
	})
	return out, nil
}

func toWireJob(jb job.Job) wire.Job {
	cfg := jb.Config()
	return wire.Job{
		Name: cfg.Name, Team: cfg.Team, Pool: cfg.Pool, Kind: cfg.Kind, Priority: cfg.Priority, Seconds: cfg.Seconds,
		Cores: cfg.Shape.Cores(), MemoryMB: cfg.Shape.MemoryMB(), Accelerators: cfg.Shape.Accelerators(),
		State: jb.State().String(), VM: jb.VM(), FencingToken: jb.FencingToken(), FailedOn: jb.FailedOn(),
	}
}

func (ap *API) submitJob(req *http.Request) (any, error) {
	var wjb wire.Job
	if err := decodeBody(req, &wjb); err != nil {
		return nil, err
	}
	cfg := job.Config{
		Name: wjb.Name, Team: wjb.Team, Pool: wjb.Pool, Kind: wjb.Kind, Priority: wjb.Priority, Seconds: wjb.Seconds,
		Shape: shape.New(shape.Config{Cores: wjb.Cores, MemoryMB: wjb.MemoryMB, Accelerators: wjb.Accelerators}),
	}
	ans, err := ap.propose(req, record.Config{
		Kind: record.JobSubmit, Job: cfg, ChangeID: wjb.ChangeID, Author: wjb.Author,
	})
	if ans.Code == int(code.NeverFits) {
		ap.nod.Replica().View(func(flt *fleet.Fleet) {
			ans.Detail = "the largest VM has " + flt.MaxShape().String() + ", the job asks for " + cfg.Shape.String()
		})
	}
	return ans, err
}

func (ap *API) getJob(req *http.Request) (any, error) {
	var jb job.Job
	var ok bool
	ap.nod.Replica().View(func(flt *fleet.Fleet) { jb, ok = flt.Job(req.PathValue("name")) })
	if !ok {
		return nil, fault.New(code.UnknownJob, "no job %q", req.PathValue("name"))
	}
	return toWireJob(jb), nil
}

func (ap *API) cancelJob(req *http.Request) (any, error) {
	var chg wire.Change
	if err := decodeBody(req, &chg); err != nil {
		return nil, err
	}
	return ap.propose(req, record.Config{
		Kind: record.JobCancel, JobName: req.PathValue("name"), ChangeID: chg.ChangeID, Author: chg.Author,
	})
}

func (ap *API) getWaves(*http.Request) (any, error) {
	out := wire.Waves{Waves: []wire.Wave{}}
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, name := range flt.Waves() {
			wav, _ := flt.Wave(name)
			out.Waves = append(out.Waves, toWireWave(wav))
		}
	})
	return out, nil
}

func toWireWave(wav *wave.Wave) wire.Wave {
	cfg := wav.Config()
	return wire.Wave{
		Name: cfg.Name, Author: cfg.Author, State: cfg.State.String(),
		Waiting: cfg.Waiting, Active: cfg.Active, Done: cfg.Done, Skipped: cfg.Skipped,
	}
}

func (ap *API) getWave(req *http.Request) (any, error) {
	var wav *wave.Wave
	var ok bool
	ap.nod.Replica().View(func(flt *fleet.Fleet) { wav, ok = flt.Wave(req.PathValue("name")) })
	if !ok {
		return nil, fault.New(code.UnknownWave, "no wave %q", req.PathValue("name"))
	}
	return toWireWave(wav), nil
}

func (ap *API) startWave(req *http.Request) (any, error) {
	var wst wire.WaveStart
	if err := decodeBody(req, &wst); err != nil {
		return nil, err
	}
	if !row.IsName(wst.Name) {
		return nil, fault.New(code.BadRequest, "name is %q, must be 1 to 63 letters, digits, '-' or '_'", wst.Name)
	}
	vms, err := ap.waveVMs(wst)
	if err != nil {
		return nil, err
	}
	return ap.propose(req, record.Config{
		Kind: record.WaveStart, Wave: wst.Name, VMs: vms, ChangeID: wst.ChangeID, Author: wst.Author,
	})
}

func (ap *API) waveVMs(wst wire.WaveStart) ([]string, error) {
	vms := append([]string(nil), wst.VMs...)
	var unknown string
	ap.nod.Replica().View(func(flt *fleet.Fleet) {
		for _, pool := range wst.Pools {
			if _, rev, _ := flt.Row(pool); rev == 0 {
				unknown = pool
			}
			vms = append(vms, flt.VMsOf(pool)...)
		}
	})
	if unknown != "" {
		return nil, fault.New(code.UnknownPool, "no pool %q", unknown)
	}
	if len(vms) == 0 {
		return nil, fault.New(code.BadRequest, "name at least one pool or VM that exists")
	}
	return vms, nil
}

func (ap *API) pauseWave(req *http.Request) (any, error)  { return ap.setWave(req, wave.Paused) }
func (ap *API) resumeWave(req *http.Request) (any, error) { return ap.setWave(req, wave.Running) }
func (ap *API) cancelWave(req *http.Request) (any, error) { return ap.setWave(req, wave.Cancelled) }

func (ap *API) setWave(req *http.Request, stt wave.State) (any, error) {
	var chg wire.Change
	if err := decodeBody(req, &chg); err != nil {
		return nil, err
	}
	return ap.propose(req, record.Config{
		Kind: record.WaveState, Wave: req.PathValue("name"), WaveState: stt, ChangeID: chg.ChangeID, Author: chg.Author,
	})
}
