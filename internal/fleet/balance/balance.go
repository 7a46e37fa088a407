// Package balance decides which VMs change their pool. It answers demand that
// goes from queue to queue in turns, each asking for more than its pool holds:
// VMs follow the work, from the pools whose turn is over and from the spare pool.
// VMs with lasting tasks stay; others are emptied by letting their tasks end, so
// nothing is interrupted.
package balance

import (
	"cmp"
	"slices"
	"time"

	"daisywheel/internal/fleet/arrivals"
)

const (
	// headroom is the room beyond what is wanted that a pool keeps, as jobs pack
	// VMs with gaps.
	headroom = 1.15
	// keepVMs stay in a pool, so that its next work starts at once.
	minVMs = 2
	// restAfterMove is how long a VM stays in its new pool: the price of a move is
	// that of about a second of a VM.
	moveCooldown = time.Second
)

// VM is a VM of a pool as its owner sees it.
type VM struct {
	ID         string
	MilliCores int64
	Tasks      int
	Lasting    int // of the tasks
	Since      time.Time
	IsUsable   bool
	IsLeaving  bool
	IsSilent   bool // it does not answer its owner
}

// Pool is a pool as its owner sees it.
type Pool struct {
	Name      string
	IsStandby bool         // its VMs are off
	Wanted    int64        // thousandths of a core that work which can end in time can use
	Late      int64        // thousandths of a core that the work which cannot could use
	Forecast  int64        // thousandths of a core that arriving work will want soon
	Incoming  int64        // thousandths of a core that are on their way
	Missing   int64        // thousandths of a core of VMs that lasting tasks lack, one a VM
	Arrived   arrivals.Sum // since the owner's term began
	VMs       []VM
}

// Transfer gives a VM to another pool.
type Transfer struct {
	VM   string
	From string
	To   string
}

// account is a pool in the making of a decision.
type poolState struct {
	pool      *Pool
	supply    int64
	received  int64 // of the supply, by this decision
	usableVMs int
}

// deficit returns what the pool misses for work that can end in time.
func (pst *poolState) deficit() int64 {
	if pst.pool.IsStandby {
		return 0
	}
	demanded := int64(headroom*float64(pst.pool.Wanted)) - pst.supply
	if shortfall := pst.pool.Missing - pst.pool.Incoming - pst.received; shortfall > 0 {
		return max(demanded, shortfall)
	}
	return demanded
}

// lateDeficit returns what the pool misses for all its work.
func (pst *poolState) totalDeficit() int64 {
	if pst.pool.IsStandby {
		return 0
	}
	return pst.deficit() + pst.pool.Late
}

// forecastDeficit returns what the pool will miss for the work that is about to come.
func (pst *poolState) forecastDeficit() int64 {
	if pst.pool.IsStandby {
		return 0
	}
	return int64(headroom*float64(max(pst.pool.Wanted, pst.pool.Forecast))) - pst.supply
}

// Decide returns the transfers that should begin now, most of them at most.
func Decide(now time.Time, pools []Pool, maxTransfers int) []Transfer {
	if len(pools) == 0 {
		return nil
	}
	states := make([]*poolState, 0, len(pools))
	for i := range pools {
		pst := &poolState{pool: &pools[i], supply: pools[i].Incoming}
		for _, vm := range pools[i].VMs {
			if vm.IsUsable && !vm.IsLeaving {
				pst.supply += vm.MilliCores
				pst.usableVMs++
			}
		}
		states = append(states, pst)
	}
	transfers := fillDeficits(now, states, make([]Transfer, 0, maxTransfers), (*poolState).deficit, false)
	transfers = fillDeficits(now, states, transfers, (*poolState).forecastDeficit, true)
	return fillDeficits(now, states, transfers, (*poolState).totalDeficit, true)
}

// serve gives VMs to the pools that miss most. Late work, and work that has not come
// yet, get only VMs that are idle, and none from the spare pool.
func fillDeficits(now time.Time, states []*poolState, transfers []Transfer, deficit func(*poolState) int64, isIdleOnly bool) []Transfer {
	for len(transfers) < cap(transfers) {
		taker := slices.MaxFunc(states, func(one, two *poolState) int { return cmp.Compare(deficit(one), deficit(two)) })
		if deficit(taker) <= 0 {
			break
		}
		trf, ok := takeVM(now, states, taker, isIdleOnly)
		if !ok {
			break
		}
		transfers = append(transfers, trf)
	}
	return transfers
}

// pick takes a VM for the pool from the one that misses it least.
func takeVM(now time.Time, states []*poolState, taker *poolState, isIdleOnly bool) (Transfer, bool) {
	var best *poolState
	bestIndex := -1
	for _, pst := range states {
		if pst == taker || isIdleOnly && (pst.pool.IsStandby || pst.totalDeficit() > 0 || pst.forecastDeficit() > 0) {
			continue
		}
		index := pst.releasableVM(now, isIdleOnly)
		if index >= 0 && (best == nil || pst.givesBefore(best)) {
			best, bestIndex = pst, index
		}
	}
	if best == nil {
		return Transfer{}, false
	}
	vm := &best.pool.VMs[bestIndex]
	vm.IsLeaving = true
	best.supply -= vm.MilliCores
	best.usableVMs--
	taker.supply += vm.MilliCores
	taker.received += vm.MilliCores
	return Transfer{VM: vm.ID, From: best.pool.Name, To: taker.pool.Name}, true
}

// isBetter reports whether the pool should give before the other: a spare pool
// first, then the one with the most room to spare.
func (pst *poolState) givesBefore(other *poolState) bool {
	if pst.pool.IsStandby != other.pool.IsStandby {
		return pst.pool.IsStandby
	}
	return pst.deficit() < other.deficit()
}

// spare returns the VM with the fewest tasks that the pool can give, or -1.
func (pst *poolState) releasableVM(now time.Time, isIdleOnly bool) int {
	if !pst.pool.IsStandby && pst.usableVMs <= minVMs {
		return -1
	}
	best := -1
	for i, vm := range pst.pool.VMs {
		isFree := vm.IsUsable && !vm.IsLeaving && vm.Lasting == 0 && (!isIdleOnly || vm.Tasks == 0) && now.Sub(vm.Since) >= moveCooldown
		isSpare := pst.pool.IsStandby || -pst.deficit() >= vm.MilliCores
		if isFree && isSpare && (best < 0 || vm.Tasks < pst.pool.VMs[best].Tasks) {
			best = i
		}
	}
	return best
}
