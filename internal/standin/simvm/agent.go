package simvm

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

func (vm *VM) agentHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", vm.health)
	mux.HandleFunc("POST /v1/pool", vm.setPool)
	mux.HandleFunc("POST /v1/reboot", vm.startReboot)
	mux.HandleFunc("GET /v1/tasks", vm.listTasks)
	mux.HandleFunc("POST /v1/tasks", vm.startTask)
	mux.HandleFunc("POST /v1/renew", vm.renewTask)
	mux.HandleFunc("POST /v1/stop", vm.stopTask)
	return http.HandlerFunc(func(rsp http.ResponseWriter, req *http.Request) {
		vm.mu.Lock()
		isUnresponsive, isDown := vm.fault.IsUnresponsive, vm.isDown
		vm.mu.Unlock()
		if isUnresponsive {
			<-req.Context().Done()
			return
		}
		if isDown {
			http.Error(rsp, "rebooting", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(rsp, req)
	})
}

// decode decodes the body into out. If that fails, it refuses the request and returns
// false.
func decode(rsp http.ResponseWriter, req *http.Request, out any) bool {
	if json.NewDecoder(req.Body).Decode(out) != nil {
		http.Error(rsp, "invalid request body", http.StatusBadRequest)
		return false
	}
	return true
}

func (vm *VM) health(rsp http.ResponseWriter, _ *http.Request) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	_ = json.NewEncoder(rsp).Encode(healthJSON{Pool: vm.pool, Epoch: vm.epoch, Boots: vm.counts.Boots})
}

func (vm *VM) setPool(rsp http.ResponseWriter, req *http.Request) {
	var ord poolOrderJSON
	if !decode(rsp, req, &ord) {
		return
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if ord.Epoch < vm.epoch {
		http.Error(rsp, "stale epoch", http.StatusConflict)
		return
	}
	if ord.Pool != vm.pool {
		vm.counts.WorkWhileMoving += int64(vm.inFlight)
	}
	vm.pool = ord.Pool
	vm.epoch = ord.Epoch
}

func (vm *VM) startReboot(rsp http.ResponseWriter, req *http.Request) {
	var ord poolOrderJSON
	if !decode(rsp, req, &ord) {
		return
	}
	vm.mu.Lock()
	isStale := ord.Epoch <= vm.epoch
	if !isStale {
		vm.epoch = ord.Epoch
		vm.isDown = true
	}
	vm.mu.Unlock()
	if isStale {
		http.Error(rsp, "stale epoch", http.StatusConflict)
		return
	}
	go vm.reboot()
}

// updateTask sets the task's state as of now. A task whose lease expires before its
// end is stopped.
func (vm *VM) updateTask(now time.Time, tsk *task) {
	if tsk.state != "running" {
		return
	}
	switch {
	case now.After(tsk.leaseUntil) && tsk.endsAt.After(tsk.leaseUntil):
		tsk.state = "stopped"
	case now.After(tsk.endsAt):
		tsk.state = "done"
		if vm.cfg.IsFailing != nil && vm.cfg.IsFailing(tsk.name) {
			tsk.state = "failed"
		}
	default:
		return
	}
	vm.notifyTask(tsk.name, false)
}

func (vm *VM) notifyTask(name string, isRunning bool) {
	if vm.cfg.OnTask != nil {
		vm.cfg.OnTask(vm.cfg.Facts.VM, name, isRunning)
	}
}

func (vm *VM) listTasks(rsp http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	out := taskListJSON{Tasks: []taskJSON{}}
	for _, tsk := range vm.tasks {
		vm.updateTask(now, tsk)
		usage := shape.Shape{}
		if now.Sub(tsk.startedAt) > vm.cfg.UsageLag {
			usage = tsk.usage
		}
		out.Tasks = append(out.Tasks, taskJSON{
			Name: tsk.name, FencingToken: tsk.fencingToken, State: tsk.state,
			Cores: usage.Cores(), MemoryMB: usage.MemoryMB(), Accelerators: usage.Accelerators(),
		})
	}
	_ = json.NewEncoder(rsp).Encode(out)
}

func (vm *VM) startTask(rsp http.ResponseWriter, req *http.Request) {
	var ord taskJSON
	if !decode(rsp, req, &ord) {
		return
	}
	now := time.Now()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	old, ok := vm.tasks[ord.Name]
	if ok && old.fencingToken > ord.FencingToken {
		http.Error(rsp, "stale fencing token", http.StatusConflict)
		return
	}
	if ok && old.fencingToken == ord.FencingToken {
		return
	}
	vm.tasks[ord.Name] = &task{
		name: ord.Name, fencingToken: ord.FencingToken, state: "running", startedAt: now,
		endsAt:     now.Add(time.Duration(ord.Seconds) * time.Second),
		leaseUntil: now.Add(time.Duration(ord.LeaseMs) * time.Millisecond),
		usage:      shape.New(shape.Config{Cores: ord.Cores, MemoryMB: ord.MemoryMB, Accelerators: ord.Accelerators}),
	}
	vm.notifyTask(ord.Name, true)
}

func (vm *VM) renewTask(rsp http.ResponseWriter, req *http.Request) {
	var ord taskJSON
	if !decode(rsp, req, &ord) {
		return
	}
	now := time.Now()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	tsk, ok := vm.tasks[ord.Name]
	if !ok || tsk.fencingToken != ord.FencingToken {
		http.Error(rsp, "stale fencing token", http.StatusConflict)
		return
	}
	vm.updateTask(now, tsk)
	if tsk.state == "running" {
		tsk.leaseUntil = now.Add(time.Duration(ord.LeaseMs) * time.Millisecond)
	}
}

func (vm *VM) stopTask(rsp http.ResponseWriter, req *http.Request) {
	var ord taskJSON
	if !decode(rsp, req, &ord) {
		return
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	tsk, ok := vm.tasks[ord.Name]
	if !ok || tsk.fencingToken > ord.FencingToken {
		return
	}
	vm.updateTask(time.Now(), tsk)
	if tsk.state == "running" {
		tsk.state = "stopped"
		vm.notifyTask(tsk.name, false)
	}
}
