package cell_test

import (
	"fmt"
	"testing"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/ledger"
)

// A zone that is cut off must stop the jobs of that zone only, and not a task of
// every job.
func TestJobStaysInOneZone(t *testing.T) {
	cel, _ := newCell(true)
	var hosts []host.Host
	zones := map[string]string{}
	for i := range 12 {
		hst := vm(fmt.Sprintf("vm-%02d", i), 1)
		hst.Zone = fmt.Sprintf("zone-%d", i%3)
		zones[hst.ID] = hst.Zone
		hosts = append(hosts, hst)
	}
	settle(start, cel, hosts...)
	for num := range 3 {
		cel.Accept(start, ledger.Job{Queue: "q", Accepted: start, Plan: &plan.Plan{
			ID: fmt.Sprintf("%016x", num), Steps: []plan.Step{step(10, 1200)},
		}})
	}
	homes := map[string]map[string]bool{}
	for _, ord := range starts(cel.Plan(start)) {
		if homes[ord.Task.Job] == nil {
			homes[ord.Task.Job] = map[string]bool{}
		}
		homes[ord.Task.Job][zones[ord.Target.VM]] = true
	}
	used := map[string]bool{}
	for id, in := range homes {
		if len(in) != 1 {
			t.Errorf("job %s runs in %d zones", id, len(in))
		}
		for zone := range in {
			used[zone] = true
		}
	}
	if len(homes) != 3 || len(used) != 3 {
		t.Errorf("%d jobs begun in %d zones, want 3 in 3", len(homes), len(used))
	}
	wide := &plan.Plan{ID: "00000000000000aa", Steps: []plan.Step{step(12, 300)}}
	cel.Accept(start, ledger.Job{Queue: "q", Accepted: start, Plan: wide})
	if got := len(starts(cel.Plan(start))); got != 12 {
		t.Errorf("%d tasks of a job that no zone holds alone started, want all 12", got)
	}
}
