package site

import (
	"time"

	"daisywheel/internal/standin/simvm"
)

// Tally holds the sums of the VMs' counts and the violations that the site detects
// across VMs.
type Tally struct {
	BudgetViolations int
	SlotsExceeded    int64
	ConnsExceeded    int64
	LateWork         int64
	CutByReboot      int64
	WorkWhileMoving  int64
	DuplicateTasks   int
	Boots            int64
	BusySlotTime     time.Duration
}

func (ste *Site) countRun(_, request string) {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	ste.runCounts[request]++
}

// Runs returns how often the request ran, over all VMs.
func (ste *Site) Runs(request string) int {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	return ste.runCounts[request]
}

// CountRepeated returns how many of the requests that isOnce selects ran more than once.
func (ste *Site) CountRepeated(isOnce func(request string) bool) int {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	count := 0
	for request, runs := range ste.runCounts {
		if runs > 1 && isOnce(request) {
			count++
		}
	}
	return count
}

// checkReboot checks a planned reboot against the pool's limit of down VMs. A crashed
// VM counts until it is replaced, but only after the time that the entries have to
// detect it.
func (ste *Site) checkReboot(vmName string) {
	now := time.Now()
	ste.mu.Lock()
	var counted []*simvm.VM
	for name, vm := range ste.vms {
		at, isCrashed := ste.crashedAt[name]
		if !isCrashed || now.Sub(at) > detectionTime {
			counted = append(counted, vm)
		}
	}
	rebooted := ste.vms[vmName]
	ste.mu.Unlock()
	down := 0
	for _, vm := range counted {
		if vm.IsDown() && vm.Pool() == rebooted.Pool() {
			down++
		}
	}
	ste.mu.Lock()
	defer ste.mu.Unlock()
	if down > ste.maxDown[rebooted.Pool()] {
		ste.budgetViolations++
	}
}

// trackTask counts tasks that run on two VMs at once.
func (ste *Site) trackTask(vm, task string, isRunning bool) {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	otherVM, ok := ste.vmOfTask[task]
	if isRunning && ok && otherVM != vm {
		ste.duplicateTasks++
	}
	if isRunning {
		ste.vmOfTask[task] = vm
		return
	}
	if otherVM == vm {
		delete(ste.vmOfTask, task)
	}
}

// Tally returns the counts of all VMs so far.
func (ste *Site) Tally() Tally {
	ste.mu.Lock()
	out := Tally{BudgetViolations: ste.budgetViolations, DuplicateTasks: ste.duplicateTasks}
	var vms []*simvm.VM
	for _, vm := range ste.vms {
		vms = append(vms, vm)
	}
	ste.mu.Unlock()
	for _, vm := range vms {
		cnt := vm.Counts()
		out.SlotsExceeded += cnt.SlotsExceeded
		out.ConnsExceeded += cnt.ConnsExceeded
		out.LateWork += cnt.LateWork
		out.CutByReboot += cnt.CutByReboot
		out.WorkWhileMoving += cnt.WorkWhileMoving
		out.Boots += cnt.Boots
		out.BusySlotTime += vm.BusyTime()
	}
	return out
}
