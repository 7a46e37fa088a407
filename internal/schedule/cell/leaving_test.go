package cell_test

import (
	"testing"
	"time"

	"daisywheel/internal/fleet/agent"
	"daisywheel/internal/fleet/host"
	"daisywheel/internal/schedule/cell"
)

// startAll starts the waiting tasks and lets their VMs report them at work.
func startAll(cel *cell.Cell) {
	for _, ord := range starts(cel.Plan(start)) {
		cel.Started(start, ord, agent.Done)
		cel.Report(start, start, ord.Target.VM, agent.Report{Born: 1, Active: []agent.Run{{Task: ord.Task, Number: ord.Run, Percent: 100}}})
	}
}

// A pool that has lent its VMs may have no other VM for a lasting task. The task must be
// stopped all the same, or the maintenance wave never ends.
func TestLastingTaskIsStoppedWithoutAnotherVM(t *testing.T) {
	cel, _ := newCell(true)
	addVMs(start, cel, vm("a", 1), vm("b", 1))
	stp := step(2, 100)
	stp.IsLasting, stp.MaxPerVM, stp.MaxAway = true, 1, 1
	accept(start, cel, stp)
	startAll(cel)
	cel.SetLeaving(start, map[string]bool{"a": true, "b": true})
	if stops := len(cel.Plan(start)); stops > 0 {
		t.Errorf("%d stops before another VM could be found", stops)
	}
	later := start.Add(3 * time.Second)
	orders := cel.Plan(later)
	if len(orders) != 1 || orders[0].Kind != cell.StopTask {
		t.Errorf("orders %+v, want one stop, as only one task may be unavailable", orders)
	}
}

// In a wave of 254 machines, of which 98 may be down, further VMs are to be emptied all
// the time while one task of a step may be unavailable. A VM must not be starved by VMs
// that are to be emptied later.
func TestVMThatWaitsLongestIsEmptiedFirst(t *testing.T) {
	cel, _ := newCell(true)
	addVMs(start, cel, vm("a", 1), vm("b", 1), vm("z", 1))
	stp := step(3, 100)
	stp.IsLasting, stp.MaxPerVM, stp.MaxAway = true, 1, 1
	accept(start, cel, stp)
	startAll(cel)
	cel.SetLeaving(start, map[string]bool{"z": true})
	later := start.Add(time.Second)
	cel.SetHosts(later, []host.Host{vm("a", 1), vm("b", 1), vm("c", 1), vm("z", 1)})
	cel.Recorded(cel.TakeBatch())
	cel.Report(later, later, "c", agent.Report{Born: 1})
	cel.SetLeaving(later, map[string]bool{"a": true, "b": true, "z": true})
	orders := cel.Plan(later)
	if len(orders) != 1 || orders[0].Kind != cell.StopTask || orders[0].Target.VM != "z" {
		t.Errorf("orders %+v, want one stop on z, which has waited longest", orders)
	}
}

// A rack fails, and another VM with a task of the same step is to be emptied for
// maintenance before the lease of the failed VM has expired. Found on day 5528-3 of a
// hunt on the compost site.
func TestTaskOnUnresponsiveVMIsUnavailable(t *testing.T) {
	cel, _ := newCell(true)
	addVMs(start, cel, vm("a", 1), vm("b", 1))
	stp := step(2, 100)
	stp.IsLasting, stp.MaxPerVM, stp.MaxAway = true, 1, 1
	accept(start, cel, stp)
	startAll(cel)
	cel.SetHosts(start, []host.Host{vm("a", 1), vm("b", 1), vm("c", 1)})
	cel.Recorded(cel.TakeBatch())
	cel.Report(start, start, "c", agent.Report{Born: 1})
	cel.Unanswered("b")
	cel.SetLeaving(start, map[string]bool{"a": true})
	for _, now := range []time.Time{start, start.Add(3 * time.Second)} {
		if orders := cel.Plan(now); len(orders) != 0 {
			t.Errorf("orders %+v while the other task's VM does not answer, want none", orders)
		}
	}
}

func TestLastingTasksAvoidVMsDueForMaintenance(t *testing.T) {
	cel, _ := newCell(true)
	addVMs(start, cel, vm("a", 1), vm("b", 1), vm("c", 1))
	cel.SetDue(map[string]bool{"a": true, "b": true})
	stp := step(2, 100)
	stp.IsLasting = true
	accept(start, cel, stp)
	for _, ord := range starts(cel.Plan(start)) {
		if ord.Target.VM != "c" {
			t.Errorf("task %s starts on %s, which a maintenance wave will reach", ord.Task, ord.Target.VM)
		}
	}
}

func TestPoolReportsMissingVMsOfLastingTasks(t *testing.T) {
	cel, _ := newCell(true)
	addVMs(start, cel, vm("a", 1), vm("b", 1))
	stp := step(3, 100)
	stp.IsLasting, stp.MaxPerVM = true, 1
	accept(start, cel, stp)
	if got := len(starts(cel.Plan(start))); got != 2 {
		t.Fatalf("%d starts, want one on each VM", got)
	}
	if got := cel.Pool(start).Missing; got != 4000 {
		t.Errorf("%d thousandths of a core are missing, want one VM of 4000", got)
	}
	addVMs(start, cel, vm("a", 1), vm("b", 1), vm("c", 1))
	cel.Plan(start)
	if got := cel.Pool(start).Missing; got != 0 {
		t.Errorf("%d thousandths of a core are missing once all tasks have a VM", got)
	}
}

// The tasks of a step are moved one after the other, so the time until a report shows a
// moved task at work bounds the speed of a maintenance wave.
func TestVMWithStartingLastingTaskIsPolledOften(t *testing.T) {
	cel, _ := newCell(true)
	addVMs(start, cel, vm("a", 1))
	stp := step(1, 100)
	stp.IsLasting = true
	accept(start, cel, stp)
	ord := starts(cel.Plan(start))[0]
	cel.Started(start, ord, agent.Done)
	wait := func(percent int) time.Duration {
		cel.Report(start, start, "a", agent.Report{Born: 1, Active: []agent.Run{{Task: ord.Task, Number: ord.Run, Percent: percent}}})
		_, hld, _ := cel.Hold(start, "a")
		return hld.Wait
	}
	if starting, atWork := wait(40), wait(100); starting > 500*time.Millisecond || atWork < 4*starting {
		t.Errorf("polls wait %s for a starting task and %s for one at work", starting, atWork)
	}
}
