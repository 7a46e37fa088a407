package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["incomplete"] = playIncomplete }

// playIncomplete has another writer put an entry into the store under the id of a runner that is at work: it lacks
// zone, version, slots, cold_left_ms, seq and labels, and names the address of a runner of another service. The runner
// itself writes its own entry again at its next heartbeat, as always.
func playIncomplete(ste *site, hasTrouble bool) ([]string, error) {
	services := []string{"alder", "birch"}
	if err := ste.configure(services, []route{{"/alder/", "alder"}, {"/birch/", "birch"}}); err != nil {
		return nil, err
	}
	for _, name := range services {
		ste.addMachines(name, 6)
	}
	if err := ste.addEntries(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	for num := range 6 {
		if !ste.submit("/alder/", fmt.Sprintf("%016x", 0xa000+num), 12*time.Second, step{Count: 4, CPU: 2000, MemMB: 512, EstimateMs: 12000}) {
			return nil, errors.New("a job was not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	var victim, other *runner
	for _, rnr := range ste.runnersOf("alder") {
		if victim == nil || len(ste.runs.on(rnr.id)) > len(ste.runs.on(victim.id)) {
			victim = rnr
		}
	}
	for _, rnr := range ste.runnersOf("birch") {
		other = rnr
	}
	if victim == nil || other == nil || len(ste.runs.on(victim.id)) == 0 {
		return nil, errors.New("no runner is at work")
	}
	ste.rec.add("at work on %s: %v", victim.id, ste.runs.on(victim.id))
	ste.awaitBeat(victim)
	if hasTrouble {
		data, err := json.Marshal(map[string]any{
			"service": victim.service, "address": other.address, "state": "ready", "capacity": map[string]any{"cpu": cores, "mem_mb": memoryMB, "gpu": 0},
		})
		if err != nil {
			return nil, err
		}
		ste.store.put("keyed.servers", victim.id, data)
		ste.rec.add("another writer: servers/%s is %s", victim.id, data)
	}
	time.Sleep(8 * time.Second)
	return ste.runs.violations(), nil
}

// awaitBeat returns when the runner has written its entry again.
func (ste *site) awaitBeat(rnr *runner) {
	last := string(ste.store.value("keyed.servers", rnr.id))
	for string(ste.store.value("keyed.servers", rnr.id)) == last {
		time.Sleep(10 * time.Millisecond)
	}
}
