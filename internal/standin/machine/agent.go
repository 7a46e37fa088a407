package machine

import (
	"encoding/json"
	"net/http"
	"time"

	"daisywheel/internal/job/shape"
)

type poolOrderJSON struct {
	Pool  string `json:"pool"`
	Epoch int64  `json:"epoch"`
}

type healthJSON struct {
	Pool  string `json:"pool"`
	Epoch int64  `json:"epoch"`
	Boots int64  `json:"boots"`
}

type taskJSON struct {
	Name         string `json:"name"`
	FencingToken int64  `json:"fence"`
	LeaseMs      int64  `json:"leaseMs,omitempty"`
	Seconds      int    `json:"seconds,omitempty"`
	State        string `json:"state,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Accelerators int    `json:"accelerators"`
}

type taskListJSON struct {
	Tasks []taskJSON `json:"tasks"`
}

func (mch *Machine) agentHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", mch.health)
	mux.HandleFunc("POST /v1/pool", mch.setPool)
	mux.HandleFunc("POST /v1/reboot", mch.startReboot)
	mux.HandleFunc("GET /v1/tasks", mch.listTasks)
	mux.HandleFunc("POST /v1/tasks", mch.startTask)
	mux.HandleFunc("POST /v1/renew", mch.renewTask)
	mux.HandleFunc("POST /v1/stop", mch.stopTask)
	return http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		mch.mu.Lock()
		dark, down := mch.fault.IsDark, mch.isDown
		mch.mu.Unlock()
		if dark {
			<-req.Context().Done()
			return
		}
		if down {
			http.Error(rsp, "rebooting", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(rsp, req)
	})
}

// decode reads the body into out, or refuses the request and reports false.
func decode(rsp http.ResponseWriter, req *http.Request, out any) bool {
	if json.NewDecoder(req.Body).Decode(out) != nil {
		http.Error(rsp, "bad body", http.StatusBadRequest)
		return false
	}
	return true
}

func (mch *Machine) health(rsp http.ResponseWriter, _ *http.Request) {
	mch.mu.Lock()
	defer mch.mu.Unlock()
	_ = json.NewEncoder(rsp).Encode(healthJSON{Pool: mch.pool, Epoch: mch.epoch, Boots: mch.counts.Boots})
}

func (mch *Machine) setPool(rsp http.ResponseWriter, req *http.Request) {
	var wir poolOrderJSON
	if !decode(rsp, req, &wir) {
		return
	}
	mch.mu.Lock()
	defer mch.mu.Unlock()
	if wir.Epoch < mch.epoch {
		http.Error(rsp, "stale epoch", http.StatusConflict)
		return
	}
	if wir.Pool != mch.pool {
		mch.counts.WorkWhileMoving += int64(mch.inFlight)
	}
	mch.pool = wir.Pool
	mch.epoch = wir.Epoch
}

func (mch *Machine) startReboot(rsp http.ResponseWriter, req *http.Request) {
	var wir poolOrderJSON
	if !decode(rsp, req, &wir) {
		return
	}
	mch.mu.Lock()
	stale := wir.Epoch <= mch.epoch
	if !stale {
		mch.epoch = wir.Epoch
		mch.isDown = true
	}
	mch.mu.Unlock()
	if stale {
		http.Error(rsp, "stale epoch", http.StatusConflict)
		return
	}
	go mch.reboot()
}

// settle brings a task's state up to now. A task without a renewed lease is stopped.
func (mch *Machine) updateTask(now time.Time, tsk *task) {
	if tsk.state != "running" {
		return
	}
	switch {
	case now.After(tsk.leaseUntil) && tsk.endsAt.After(tsk.leaseUntil):
		tsk.state = "stopped"
	case now.After(tsk.endsAt):
		tsk.state = "done"
		if mch.cfg.IsFailing != nil && mch.cfg.IsFailing(tsk.name) {
			tsk.state = "failed"
		}
	default:
		return
	}
	mch.notifyTask(tsk.name, false)
}

func (mch *Machine) notifyTask(name string, running bool) {
	if mch.cfg.OnTask != nil {
		mch.cfg.OnTask(mch.cfg.Facts.VM, name, running)
	}
}

func (mch *Machine) listTasks(rsp http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	mch.mu.Lock()
	defer mch.mu.Unlock()
	out := taskListJSON{Tasks: []taskJSON{}}
	for _, tsk := range mch.tasks {
		mch.updateTask(now, tsk)
		usage := shape.Shape{}
		if now.Sub(tsk.startedAt) > mch.cfg.UsageLag {
			usage = tsk.usage
		}
		out.Tasks = append(out.Tasks, taskJSON{
			Name: tsk.name, FencingToken: tsk.fencingToken, State: tsk.state,
			Cores: usage.Cores(), MemoryMB: usage.MemoryMB(), Accelerators: usage.Accelerators(),
		})
	}
	_ = json.NewEncoder(rsp).Encode(out)
}

func (mch *Machine) startTask(rsp http.ResponseWriter, req *http.Request) {
	var wir taskJSON
	if !decode(rsp, req, &wir) {
		return
	}
	now := time.Now()
	mch.mu.Lock()
	defer mch.mu.Unlock()
	old, ok := mch.tasks[wir.Name]
	if ok && old.fencingToken > wir.FencingToken {
		http.Error(rsp, "stale fence", http.StatusConflict)
		return
	}
	if ok && old.fencingToken == wir.FencingToken {
		return
	}
	mch.tasks[wir.Name] = &task{
		name: wir.Name, fencingToken: wir.FencingToken, state: "running", startedAt: now,
		endsAt:     now.Add(time.Duration(wir.Seconds) * time.Second),
		leaseUntil: now.Add(time.Duration(wir.LeaseMs) * time.Millisecond),
		usage:      shape.New(shape.Config{Cores: wir.Cores, MemoryMB: wir.MemoryMB, Accelerators: wir.Accelerators}),
	}
	mch.notifyTask(wir.Name, true)
}

func (mch *Machine) renewTask(rsp http.ResponseWriter, req *http.Request) {
	var wir taskJSON
	if !decode(rsp, req, &wir) {
		return
	}
	now := time.Now()
	mch.mu.Lock()
	defer mch.mu.Unlock()
	tsk, ok := mch.tasks[wir.Name]
	if !ok || tsk.fencingToken != wir.FencingToken {
		http.Error(rsp, "stale fence", http.StatusConflict)
		return
	}
	mch.updateTask(now, tsk)
	if tsk.state == "running" {
		tsk.leaseUntil = now.Add(time.Duration(wir.LeaseMs) * time.Millisecond)
	}
}

func (mch *Machine) stopTask(rsp http.ResponseWriter, req *http.Request) {
	var wir taskJSON
	if !decode(rsp, req, &wir) {
		return
	}
	mch.mu.Lock()
	defer mch.mu.Unlock()
	tsk, ok := mch.tasks[wir.Name]
	if !ok || tsk.fencingToken > wir.FencingToken {
		return
	}
	mch.updateTask(time.Now(), tsk)
	if tsk.state == "running" {
		tsk.state = "stopped"
		mch.notifyTask(tsk.name, false)
	}
}
