// Package names passes drawn names from the configuration and the list of VMs through all that decodes, stores, sends and
// counts them.
package names_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/event/metric"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/operatorpage"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/jobrecord"
	"daisywheel/internal/schedule/poolindex"
	"daisywheel/internal/schedule/recordkey"
	"daisywheel/internal/standin/logstore"
	"daisywheel/platform/configfile"
	"daisywheel/platform/directoryclient"
)

// drawn is what a configuration and a VM are made of.
type drawn struct {
	pool, route, host, prefix, org, vm, zone, label string
}

// valid returns the names as those from JSON are, in valid UTF-8.
func (drw drawn) valid() drawn {
	for _, name := range []*string{&drw.pool, &drw.route, &drw.host, &drw.prefix, &drw.org, &drw.vm, &drw.zone, &drw.label} {
		*name = strings.ToValidUTF8(*name, "\uFFFD")
	}
	return drw
}

// config returns a configuration with the drawn names beside others.
func (drw drawn) config(t *testing.T) []byte {
	t.Helper()
	type object map[string]any
	data, err := json.Marshal(object{
		"version":  7,
		"routes":   []object{{"name": drw.route, "host": drw.host, "path_prefix": drw.prefix, "service": drw.pool}, {"name": "passes", "host": "h", "path_prefix": "/p/", "service": "gate"}},
		"services": []object{{"name": drw.pool}, {"name": "gate"}},
		"tenants":  []object{{"name": drw.org, "api_keys": []string{"secret-1"}, "cap": object{"cpu": 5}}, {"name": "acme", "api_keys": []string{"secret-2"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// checkTable checks that the drawn names are in the table as they are, or left out with a reason, and the others in force.
func (drw drawn) checkTable(t *testing.T, tab *queue.Table) {
	t.Helper()
	if que, _, ok := tab.Match("h", "/p/0"); !ok || que.Pool != "gate" && que.Pool != drw.pool {
		t.Errorf("the queue passes is not in force: %+v", que)
	}
	if !tab.IsActive("gate") {
		t.Error("the pool gate is not in force")
	}
	left := len(tab.Unusable())
	if !tab.IsActive(drw.pool) {
		left--
	}
	if _, ok := tab.Organisations().Get(drw.org); !ok {
		left--
	}
	if left != 0 {
		t.Errorf("%v are unusable, and pools are %+v, organisations %+v", tab.Unusable(), tab.Pools(), tab.Organisations().All())
	}
	if name, ok := tab.Organisations().OfKey("secret-2"); !ok || name != "acme" {
		t.Errorf("the key of acme is of %q", name)
	}
	found := false
	for _, que := range tab.Queues() {
		found = found || que.Name == drw.route && que.Host == drw.host && que.Prefix == drw.prefix && que.Pool == drw.pool
	}
	if !found {
		t.Errorf("no queue is as drawn: %+v", tab.Queues())
	}
}

// Names of services, routes, organisations, VMs and zones come back as they were drawn from whatever they pass through, or are
// left out with a reason. None ends the process.
func FuzzNames(f *testing.F) {
	for _, name := range []string{"", "fleet", "pool:fleet", `mill "B"`, `\`, "\n", "café", "日本", "a/j/b", "\x00", "%2F", `",pool="`, "}", "*", "op/config", "acme", "gate", "\xff", strings.Repeat("n", 256)} {
		f.Add(name, name, name, "/"+name, name, name, name, name)
	}
	f.Fuzz(func(t *testing.T, pool, route, host, prefix, org, vm, zone, label string) {
		drw := drawn{pool, route, host, prefix, org, vm, zone, label}.valid()
		tab, err := directoryclient.DecodeTable(drw.config(t))
		if drw.org == "acme" { // two organisations of one name can't be told apart
			if err == nil {
				t.Error("a configuration with two organisations named acme is accepted")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		drw.checkTable(t, tab)
		if fil, err := configfile.Decode(drw.config(t)); err != nil || fil.Line("gate") == 0 {
			t.Errorf("file of the configuration: %v", err)
		}
		data, err := operatorpage.Encode(directory.OperatorPage{Records: []directory.OperatorRecord{{Table: tab}}})
		if err != nil {
			t.Fatal(err)
		}
		page, err := operatorpage.Decode(data)
		if err != nil || len(page.Records) != 1 || page.Records[0].Table == nil {
			t.Fatalf("the page is passed on as %+v, %v", page, err)
		}
		drw.checkTable(t, page.Records[0].Table.WithUnusable(tab.Unusable()))
		drw.checkHost(t)
		if tab.IsActive(drw.pool) {
			drw.checkLog(t)
		}
		set := metrics.NewSet()
		set.GetOrCreateGauge(metric.Name("m").With("pool", drw.pool).With("organisation", drw.org).String(), nil).Set(1)
	})
}

// checkHost checks the announcement of a VM and its record.
func (drw drawn) checkHost(t *testing.T) {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"service": drw.pool, "address": "10.0.0.1:80", "zone": drw.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 3,
		"labels": []string{drw.label}, "capacity": map[string]any{"cpu": 1000, "mem_mb": 100}, "born": 5,
	})
	if err != nil {
		t.Fatal(err)
	}
	hst, err := directoryclient.DecodeHost(drw.vm, data)
	if err != nil {
		return // it names no VM
	}
	record, err := jobrecord.EncodeHost(hst)
	if err != nil {
		t.Fatal(err)
	}
	key, ok := recordkey.Parse(recordkey.Key{Pool: drw.pool, Kind: recordkey.VM, ID: drw.vm}.String())
	again, err := jobrecord.DecodeHost(key.ID, key.Pool, record)
	if !ok || err != nil || again.ID != drw.vm || again.Pool != drw.pool || again.Zone != drw.zone || len(again.Labels) != 1 || again.Labels[0] != drw.label {
		t.Errorf("VM %+v is restored as %+v, %v", hst, again, err)
	}
}

// checkLog checks claims of the pool, its jobs and the index of pools.
func (drw drawn) checkLog(t *testing.T) {
	t.Helper()
	log := logstore.New(logstore.Config{}).Client()
	for _, name := range []claim.Name{claim.Fleet(), claim.Pool(drw.pool)} {
		if _, err := claim.Acquire(t.Context(), log, name, name.String()); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []claim.Name{claim.Fleet(), claim.Pool(drw.pool)} {
		if address, err := claim.FindOwner(t.Context(), log, name); err != nil || address != name.String() {
			t.Errorf("%v is owned by %q, %v", name, address, err)
		}
	}
	job := jobrecord.Job{
		Plan:  &plan.Plan{ID: "0123456789abcdef", Spec: drw.label, Steps: []plan.Step{{Count: 1, Label: drw.label, Rack: drw.zone}}},
		Queue: drw.route, Address: drw.host + drw.prefix, Organisation: drw.org, Zone: drw.zone, FirstAttempt: time.Unix(9, 0),
	}
	for range 2 { // the second one reads what the first has stored
		idx := poolindex.New(poolindex.Config{StateLog: log, Journal: journal.New(journal.Config{})})
		if err := idx.Record(t.Context(), job.Address, drw.pool); err != nil {
			t.Fatal(err)
		}
		if pools, err := idx.Pools(t.Context(), time.Unix(100, 0), job.Address, time.Unix(50, 0)); err != nil || len(pools) != 1 || pools[0] != drw.pool {
			t.Errorf("queue %q is of the pools %q, %v", job.Address, pools, err)
		}
	}
	data, err := jobrecord.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	again, err := jobrecord.DecodeJob(data)
	if refused := job.Plan.Check(); refused != nil { // it would not have been accepted
		if err == nil {
			t.Errorf("a job that is refused (%v) is restored", refused)
		}
		return
	}
	if err != nil || again.Queue != job.Queue || again.Address != job.Address || again.Organisation != job.Organisation || again.Zone != job.Zone || again.Plan.Steps[0].Label != drw.label {
		t.Errorf("job %+v is restored as %+v, %v", job, again, err)
	}
}
