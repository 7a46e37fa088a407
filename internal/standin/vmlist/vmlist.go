// Package vmlist is a stand-in for the platform's VM list, which shows changes only
// after a lag.
package vmlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisywheel/internal/pool/member"
)

// Config holds the time after which the list shows a change.
type Config struct {
	Lag time.Duration
}

// VMList is the stand-in VM list. It is safe for concurrent use.
type VMList struct {
	cfg    Config
	mu     sync.Mutex
	vms    map[string]*listedVM
	order  []string
	isDown bool
}

type listedVM struct {
	facts   member.Config
	isEntry bool
	changes []change
}

type change struct {
	status member.Status
	at     time.Time
}

type vmJSON struct {
	Name         string `json:"name"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Address      string `json:"address"`
	Agent        string `json:"agent"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Accelerators int    `json:"accelerators"`
	Pool         string `json:"pool"`
	Status       string `json:"status"`
	IsEntry      bool   `json:"isEntry"`
}

type listJSON struct {
	VMs []vmJSON `json:"vms"`
}

// New returns an empty list.
func New(cfg Config) *VMList { return &VMList{cfg: cfg, vms: map[string]*listedVM{}} }

// Add lists a VM as up from now on.
func (vml *VMList) Add(now time.Time, facts member.Config, isEntry bool) {
	vml.mu.Lock()
	defer vml.mu.Unlock()
	vml.vms[facts.VM] = &listedVM{facts: facts, isEntry: isEntry, changes: []change{{member.Up, now}}}
	vml.order = append(vml.order, facts.VM)
}

// Set changes the VM's status, which the list shows after its lag.
func (vml *VMList) Set(now time.Time, vm string, sts member.Status) {
	vml.mu.Lock()
	defer vml.mu.Unlock()
	if lvm, ok := vml.vms[vm]; ok {
		lvm.changes = append(lvm.changes, change{sts, now.Add(vml.cfg.Lag)})
	}
}

// SetDown starts or ends an outage of the list.
func (vml *VMList) SetDown(isDown bool) {
	vml.mu.Lock()
	defer vml.mu.Unlock()
	vml.isDown = isDown
}

// Handler returns the HTTP interface.
func (vml *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", vml.list)
	return mux
}

func (vml *VMList) list(rsp http.ResponseWriter, req *http.Request) {
	out, tag, ok := vml.snapshot(time.Now(), req.URL.Query().Get("zone"))
	if !ok {
		http.Error(rsp, "unavailable", http.StatusServiceUnavailable)
		return
	}
	rsp.Header().Set("ETag", tag)
	if req.Header.Get("If-None-Match") == tag {
		rsp.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(rsp).Encode(out)
}

func (vml *VMList) snapshot(now time.Time, zone string) (listJSON, string, bool) {
	vml.mu.Lock()
	defer vml.mu.Unlock()
	if vml.isDown {
		return listJSON{}, "", false
	}
	out := listJSON{VMs: []vmJSON{}}
	version := 0
	for _, name := range vml.order {
		lvm := vml.vms[name]
		if zone != "" && lvm.facts.Zone != zone {
			continue
		}
		sts, count := lvm.statusAt(now)
		version += count
		out.VMs = append(out.VMs, toJSON(lvm, sts))
	}
	return out, fmt.Sprintf("%q", fmt.Sprintf("%s-%d-%d", zone, len(out.VMs), version)), true
}

// statusAt returns the status that the list shows at now, and the number of changes
// that it has shown.
func (lvm *listedVM) statusAt(now time.Time) (member.Status, int) {
	sts := member.Up
	count := 0
	for _, chg := range lvm.changes {
		if !chg.at.After(now) {
			sts = chg.status
			count++
		}
	}
	return sts, count
}

func toJSON(lvm *listedVM, sts member.Status) vmJSON {
	facts := lvm.facts
	return vmJSON{
		Name: facts.VM, Zone: facts.Zone, Rack: facts.Rack, Address: facts.Address, Agent: facts.Agent,
		Cores: facts.Shape.Cores(), MemoryMB: facts.Shape.MemoryMB(), Accelerators: facts.Shape.Accelerators(),
		Pool: facts.Pool, Status: sts.String(), IsEntry: lvm.isEntry,
	}
}
