package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["quote"] = playQuote }

// quoteTime is how long the processes are watched.
const quoteTime = 20 * time.Second

// restartEnded starts processes that have ended again, for the time. It returns how often each has ended.
func (ste *site) restartEnded(limit time.Duration) (map[string]int, error) {
	ends := map[string]int{}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, ent := range ste.entries {
			if ent.isUp() {
				continue
			}
			ends[ent.name]++
			time.Sleep(restartDelay)
			if err := ste.start(ent); err != nil {
				return nil, err
			}
		}
	}
	return ends, nil
}

// playQuote has the operator add a service. Its name has quotation marks, without the trouble it has none.
func playQuote(ste *site, hasTrouble bool) ([]string, error) {
	services, routes := []string{"alder", "birch"}, []route{{"/alder/", "alder"}, {"/birch/", "birch"}}
	if err := ste.configure(services, routes); err != nil {
		return nil, err
	}
	ste.addMachines("alder", 6)
	ste.addMachines("birch", 6)
	if err := ste.addEntries(); err != nil {
		return nil, err
	}
	time.Sleep(settle)
	if !ste.submit("/alder/", "000000000000e000", time.Second, step{Count: 4, CPU: 2000, MemMB: 512, EstimateMs: 1000}) {
		return nil, errors.New("a job was not accepted")
	}
	name := "mill B"
	if hasTrouble {
		name = `mill "B"`
	}
	ste.addMachines(name, 3)
	if err := ste.configure(append(services, name), append(routes, route{"/mill/", name})); err != nil {
		return nil, err
	}
	ends, err := ste.restartEnded(quoteTime)
	if err != nil {
		return nil, err
	}
	machines := 0
	for _, ent := range ste.entries {
		ste.rec.add("the process of %s has ended by itself %d times", ent.name, ends[ent.name])
		if ends[ent.name] >= maxEnds {
			machines++
		}
	}
	ste.submit("/mill/", "000000000000e001", time.Second, step{Count: 4, CPU: 2000, MemMB: 512, EstimateMs: 1000})
	if machines >= minMachines {
		return []string{fmt.Sprintf("Fault: the processes of %d machines have ended by themselves %d times or more", machines, maxEnds)}, nil
	}
	return nil, nil
}
