// Package cloud is a small stand-in for the platform's lagging VM list.
package cloud

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"daisywheel/internal/pool/member"
)

// Config holds how far the list lags behind.
type Config struct {
	Lag time.Duration
}

// Cloud is the stand-in. It is safe for concurrent use.
type Cloud struct {
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
func New(cfg Config) *Cloud { return &Cloud{cfg: cfg, vms: map[string]*listedVM{}} }

// Add lists a VM from now on.
func (cld *Cloud) Add(now time.Time, facts member.Config, isEntry bool) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	cld.vms[facts.VM] = &listedVM{facts: facts, isEntry: isEntry, changes: []change{{member.Up, now}}}
	cld.order = append(cld.order, facts.VM)
}

// Set changes what the list will say of the VM after its lag.
func (cld *Cloud) Set(now time.Time, vm string, sts member.Status) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	if lin, ok := cld.vms[vm]; ok {
		lin.changes = append(lin.changes, change{sts, now.Add(cld.cfg.Lag)})
	}
}

// SetDown starts or ends an outage of the list.
func (cld *Cloud) SetDown(down bool) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	cld.isDown = down
}

// Handler returns the HTTP interface.
func (cld *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", cld.list)
	return mux
}

func (cld *Cloud) list(rsp http.ResponseWriter, req *http.Request) {
	out, tag, ok := cld.snapshot(time.Now(), req.URL.Query().Get("zone"))
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

func (cld *Cloud) snapshot(now time.Time, zone string) (listJSON, string, bool) {
	cld.mu.Lock()
	defer cld.mu.Unlock()
	if cld.isDown {
		return listJSON{}, "", false
	}
	out := listJSON{VMs: []vmJSON{}}
	version := 0
	for _, name := range cld.order {
		lin := cld.vms[name]
		if zone != "" && lin.facts.Zone != zone {
			continue
		}
		sts, seen := lin.statusAt(now)
		version += seen
		out.VMs = append(out.VMs, toJSON(lin, sts))
	}
	return out, fmt.Sprintf("%q", fmt.Sprintf("%s-%d-%d", zone, len(out.VMs), version)), true
}

// at returns the status that the list shows at now and how many changes it has seen.
func (lin *listedVM) statusAt(now time.Time) (member.Status, int) {
	sts := member.Up
	seen := 0
	for _, chg := range lin.changes {
		if !chg.at.After(now) {
			sts = chg.status
			seen++
		}
	}
	return sts, seen
}

func toJSON(lin *listedVM, sts member.Status) vmJSON {
	fct := lin.facts
	return vmJSON{
		Name: fct.VM, Zone: fct.Zone, Rack: fct.Rack, Address: fct.Address, Agent: fct.Agent,
		Cores: fct.Shape.Cores(), MemoryMB: fct.Shape.MemoryMB(), Accelerators: fct.Shape.Accelerators(),
		Pool: fct.Pool, Status: sts.String(), IsEntry: lin.isEntry,
	}
}
