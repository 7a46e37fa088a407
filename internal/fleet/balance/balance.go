// Package balance decides which VMs move to another pool. Bursts move from queue
// to queue, and each needs more than its pool's capacity. VMs follow the work: they
// come from the pools whose burst is over and from the standby pool. VMs with
// long-running tasks stay; others are evacuated by letting their tasks end, so that
// nothing is interrupted.
package balance

import (
	"cmp"
	"slices"
	"time"

	"daisywheel/internal/fleet/arrivals"
)

const (
	// headroom is the factor on a pool's demand that its supply should reach, as tasks
	// do not fill VMs without gaps.
	headroom = 1.15
	// minVMs is the number of VMs that a pool keeps, so that its next work starts at once.
	minVMs = 2
	// moveCooldown is how long a VM stays in its new pool at least, as a move costs about
	// as much as one second of a VM.
	moveCooldown = time.Second
)

// VM is a VM of a pool as its owner sees it.
type VM struct {
	ID          string
	MilliCores  int64
	Tasks       int
	LongRunning int // number of the tasks that are long-running
	// Yielding is the number of the tasks that are stopped if another pool needs the VM for work that can end in time.
	Yielding int
	// FreeIn is when the last of the other tasks that end by themselves is expected to end; 0 from owners of earlier versions.
	FreeIn         time.Duration
	Since          time.Time // when the owner received the first report of the VM
	IsUsable       bool
	IsEvacuating   bool
	IsUnresponsive bool // the VM does not answer its owner
	// Revision numbers what the owner knows of the VM. It changes, and never returns, with each
	// answer of the VM and with each change of its address or incarnation. 0 if the owner is of an
	// earlier version of the program.
	Revision int64
}

// Pool is a pool as its owner sees it.
type Pool struct {
	Name               string
	FencingToken       int64        // of the owner that reports the pool; 0 if unknown
	IsStandby          bool         // its VMs are off
	Demand             int64        // thousandths of a core that work which can still meet its deadline can use
	LateDemand         int64        // thousandths of a core that the other work could use
	Forecast           int64        // thousandths of a core that arriving work is expected to need
	Incoming           int64        // thousandths of a core of VMs that are moving to the pool
	LongRunningDeficit int64        // thousandths of a core of the VMs that long-running tasks lack, one VM per task
	Arrived            arrivals.Sum // since the owner's term began
	VMs                []VM
	// HasAcks is set if the owner names the last answer of the fleet controller that it has applied:
	// AckedTerm is the term of that, AckedAt the time of the answer on its clock; both 0 for none. An
	// owner of an earlier version of the program does not.
	HasAcks   bool
	AckedTerm int64
	AckedAt   time.Duration
}

// Transfer gives a VM to another pool.
type Transfer struct {
	VM   string
	From string
	To   string
	// IsUrgent is set if the other pool needs the VM for work that can end in time.
	IsUrgent bool
}

// poolState is the state of a pool during a decision.
type poolState struct {
	pool      *Pool
	supply    int64
	received  int64 // part of the supply that this decision has added
	usableVMs int
}

// deficit returns the capacity that the pool lacks for work that can meet its deadline.
func (pst *poolState) deficit() int64 {
	if pst.pool.IsStandby {
		return 0
	}
	demanded := int64(headroom*float64(pst.pool.Demand)) - pst.supply
	if shortfall := pst.pool.LongRunningDeficit - pst.pool.Incoming - pst.received; shortfall > 0 {
		return max(demanded, shortfall)
	}
	return demanded
}

// totalDeficit returns the capacity that the pool lacks for all its work.
func (pst *poolState) totalDeficit() int64 {
	if pst.pool.IsStandby {
		return 0
	}
	return pst.deficit() + pst.pool.LateDemand
}

// forecastDeficit returns the capacity that the pool will lack for the work that is
// expected to arrive.
func (pst *poolState) forecastDeficit() int64 {
	if pst.pool.IsStandby {
		return 0
	}
	return int64(headroom*float64(max(pst.pool.Demand, pst.pool.Forecast))) - pst.supply
}

// Decide returns the transfers that should start now, at most maxTransfers.
func Decide(now time.Time, pools []Pool, maxTransfers int) []Transfer {
	if len(pools) == 0 {
		return nil
	}
	states := make([]*poolState, 0, len(pools))
	for i := range pools {
		pst := &poolState{pool: &pools[i], supply: pools[i].Incoming}
		for _, vm := range pools[i].VMs {
			if vm.IsUsable && !vm.IsEvacuating {
				pst.supply += vm.MilliCores
				pst.usableVMs++
			}
		}
		states = append(states, pst)
	}
	transfers := fillDeficits(now, states, make([]Transfer, 0, maxTransfers), (*poolState).deficit, false)
	for i := range transfers {
		transfers[i].IsUrgent = true
	}
	transfers = fillDeficits(now, states, transfers, (*poolState).forecastDeficit, true)
	return fillDeficits(now, states, transfers, (*poolState).totalDeficit, true)
}

// fillDeficits moves VMs to the pools with the largest deficits. With isIdleOnly, for
// late work and for work that has not arrived yet, only idle VMs move, and none from
// the standby pool.
func fillDeficits(now time.Time, states []*poolState, transfers []Transfer, deficit func(*poolState) int64, isIdleOnly bool) []Transfer {
	for len(transfers) < cap(transfers) {
		recipient := slices.MaxFunc(states, func(one, two *poolState) int { return cmp.Compare(deficit(one), deficit(two)) })
		if deficit(recipient) <= 0 {
			break
		}
		trf, ok := takeVM(now, states, recipient, isIdleOnly)
		if !ok {
			break
		}
		transfers = append(transfers, trf)
	}
	return transfers
}

// takeVM takes a VM for the pool from the one that can spare it best.
func takeVM(now time.Time, states []*poolState, recipient *poolState, isIdleOnly bool) (Transfer, bool) {
	var best *poolState
	bestIndex := -1
	for _, pst := range states {
		if pst == recipient {
			continue
		}
		index := pst.releasableVM(now, isIdleOnly)
		if index >= 0 && isIdleOnly && !pst.givesIdle(recipient, pst.pool.VMs[index].MilliCores) {
			continue
		}
		if index >= 0 && (best == nil || pst.givesBefore(best)) {
			best, bestIndex = pst, index
		}
	}
	if best == nil {
		return Transfer{}, false
	}
	vm := &best.pool.VMs[bestIndex]
	vm.IsEvacuating = true
	best.supply -= vm.MilliCores
	best.usableVMs--
	recipient.supply += vm.MilliCores
	recipient.received += vm.MilliCores
	return Transfer{VM: vm.ID, From: best.pool.Name, To: recipient.pool.Name}, true
}

// givesIdle reports whether the pool may give an idle VM of the size for work that is late or
// has not arrived yet. A forecast holds for a while after a burst has ended, so a pool
// whose forecast deficit is lower than the recipient's, also after the transfer, gives
// to one whose burst begins.
func (pst *poolState) givesIdle(recipient *poolState, milliCores int64) bool {
	if pst.pool.IsStandby || pst.totalDeficit() > 0 {
		return false
	}
	own := pst.forecastDeficit()
	return own <= 0 || own+milliCores < recipient.forecastDeficit()-milliCores
}

// givesBefore reports whether the pool should give a VM before the other one: the standby
// pool first, then the one with the most unused capacity.
func (pst *poolState) givesBefore(other *poolState) bool {
	if pst.pool.IsStandby != other.pool.IsStandby {
		return pst.pool.IsStandby
	}
	return pst.deficit() < other.deficit()
}

// isFreeBefore reports whether the VM is probably free of tasks before the other one.
func (vm *VM) isFreeBefore(other *VM) bool {
	return cmp.Or(cmp.Compare(vm.FreeIn, other.FreeIn), cmp.Compare(vm.Tasks-vm.Yielding, other.Tasks-other.Yielding), cmp.Compare(vm.Tasks, other.Tasks)) < 0
}

// releasableVM returns the index of the VM with the fewest tasks among those that the
// pool can give, or -1.
func (pst *poolState) releasableVM(now time.Time, isIdleOnly bool) int {
	if !pst.pool.IsStandby && pst.usableVMs <= minVMs {
		return -1
	}
	best := -1
	for i, vm := range pst.pool.VMs {
		isFree := vm.IsUsable && !vm.IsEvacuating && vm.LongRunning == 0 && (!isIdleOnly || vm.Tasks == 0) && now.Sub(vm.Since) >= moveCooldown
		isSpare := pst.pool.IsStandby || -pst.deficit() >= vm.MilliCores
		if isFree && isSpare && (best < 0 || vm.isFreeBefore(&pst.pool.VMs[best])) {
			best = i
		}
	}
	return best
}
