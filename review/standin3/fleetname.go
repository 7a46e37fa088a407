package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

func init() { scenarios["fleetname"] = playFleetName }

const (
	downTime = 3500 * time.Millisecond // for_s of the kill of a single process
	nameJobs = 6
)

// ownerOf returns the entry that the newest claim of a name is of, or nil.
func (ste *site) ownerOf(name string) *entry {
	var claim struct {
		Address string `json:"address"`
	}
	if json.Unmarshal(ste.store.value("keyed.cells", name), &claim) != nil {
		return nil
	}
	for _, ent := range ste.entries {
		if net.JoinHostPort("127.0.0.1", strconv.Itoa(ent.peerPort)) == claim.Address {
			return ent
		}
	}
	return nil
}

// playFleetName kills the process that has accepted the jobs of a service, which is named fleet, and starts it again. It asks
// for another start of the deployment if the service accepts nothing from the start.
func playFleetName(ste *site, hasTrouble bool) ([]string, error) {
	const name = "fleet"
	if err := ste.configure([]string{name, "birch"}, []route{{"/fleet/", name}, {"/birch/", "birch"}}); err != nil {
		return nil, err
	}
	ste.addMachines(name, 6)
	ste.addMachines("birch", 6)
	if err := ste.addEntries(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	var accepted []string
	for num := range nameJobs {
		id := fmt.Sprintf("%016x", 0xc000+num)
		body, err := json.Marshal(map[string]any{"spec": "ms=6000", "steps": []step{{Count: 4, CPU: 2000, MemMB: 512, EstimateMs: 6000}}})
		if err != nil {
			return nil, err
		}
		if status, _ := ste.ask(ste.entries[num%len(ste.entries)], http.MethodPost, "/fleet/"+id, body); status == http.StatusOK {
			accepted = append(accepted, id)
		}
	}
	owner := ste.ownerOf(name)
	if len(accepted) < nameJobs || owner == nil {
		return nil, errStartAgain
	}
	time.Sleep(time.Second)
	if hasTrouble {
		ste.kill(owner, syscall.SIGKILL)
		time.Sleep(downTime)
		if err := ste.start(owner); err != nil {
			return nil, err
		}
	}
	time.Sleep(finishTime)
	isIdle := ste.isIdleFor(idleTime, 8*time.Second)
	var violations []string
	for _, id := range accepted {
		status, state := ste.state(ste.entries[0], "/fleet/", id)
		if isIdle && status == http.StatusOK && (state == "queued" || state == "in_progress") {
			violations = append(violations, fmt.Sprintf("LOST: job %s was accepted and is %s, and nothing has run for %s though all runners are idle", id, state, idleTime))
		}
	}
	return violations, nil
}
