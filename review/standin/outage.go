package main

import "time"

// outage takes the store down for some seconds while accepted work goes on.
func outage(ste *site, isTrouble bool) (bool, error) {
	cli, err := startSite(ste, 3, 2, kind{MilliCores: 16000, MemoryMB: 64000})
	if err != nil {
		return false, err
	}
	body := jobBody(4000, taskSpec{Ms: 100, CPU: 500, Mem: 100})
	for num := range 2 {
		if !cli.submit(firstPath+jobID(700+num), body, 10*time.Second) {
			return false, errNotServing
		}
	}
	time.Sleep(500 * time.Millisecond)
	if isTrouble {
		ste.rec.say("the store is down")
		for _, ent := range ste.entries {
			ent.link.cut()
		}
	}
	time.Sleep(4500 * time.Millisecond)
	if isTrouble {
		for _, ent := range ste.entries {
			ent.link.heal()
		}
		ste.rec.say("the store is back")
	}
	time.Sleep(40 * time.Second)
	count := countTwice(ste)
	ste.rec.say("states of the jobs: %s %s; %d breaks of TWICE", cli.state(ste.entries[0], firstPath+jobID(700)), cli.state(ste.entries[0], firstPath+jobID(701)), count)
	return count > 0, nil
}
