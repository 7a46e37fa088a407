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
	keepVMs = 2
	// restAfterMove is how long a VM stays in its new pool: the price of a move is
	// that of about a second of a VM.
	restAfterMove = time.Second
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
type account struct {
	pool   *Pool
	supply int64
	taken  int64 // of the supply, by this decision
	count  int
}

// deficit returns what the pool misses for work that can end in time.
func (acc *account) deficit() int64 {
	if acc.pool.IsStandby {
		return 0
	}
	work := int64(headroom*float64(acc.pool.Wanted)) - acc.supply
	if lacks := acc.pool.Missing - acc.pool.Incoming - acc.taken; lacks > 0 {
		return max(work, lacks)
	}
	return work
}

// lateDeficit returns what the pool misses for all its work.
func (acc *account) lateDeficit() int64 {
	if acc.pool.IsStandby {
		return 0
	}
	return acc.deficit() + acc.pool.Late
}

// forecastDeficit returns what the pool will miss for the work that is about to come.
func (acc *account) forecastDeficit() int64 {
	if acc.pool.IsStandby {
		return 0
	}
	return int64(headroom*float64(max(acc.pool.Wanted, acc.pool.Forecast))) - acc.supply
}

// Decide returns the transfers that should begin now, most of them at most.
func Decide(now time.Time, pools []Pool, most int) []Transfer {
	if len(pools) == 0 {
		return nil
	}
	accounts := make([]*account, 0, len(pools))
	for i := range pools {
		acc := &account{pool: &pools[i], supply: pools[i].Incoming}
		for _, vm := range pools[i].VMs {
			if vm.IsUsable && !vm.IsLeaving {
				acc.supply += vm.MilliCores
				acc.count++
			}
		}
		accounts = append(accounts, acc)
	}
	transfers := serve(now, accounts, make([]Transfer, 0, most), (*account).deficit, false)
	transfers = serve(now, accounts, transfers, (*account).forecastDeficit, true)
	return serve(now, accounts, transfers, (*account).lateDeficit, true)
}

// serve gives VMs to the pools that miss most. Late work, and work that has not come
// yet, get only VMs that are idle, and none from the spare pool.
func serve(now time.Time, accounts []*account, transfers []Transfer, missing func(*account) int64, isIdle bool) []Transfer {
	for len(transfers) < cap(transfers) {
		taker := slices.MaxFunc(accounts, func(one, two *account) int { return cmp.Compare(missing(one), missing(two)) })
		if missing(taker) <= 0 {
			break
		}
		trf, ok := pick(now, accounts, taker, isIdle)
		if !ok {
			break
		}
		transfers = append(transfers, trf)
	}
	return transfers
}

// pick takes a VM for the pool from the one that misses it least.
func pick(now time.Time, accounts []*account, taker *account, isIdle bool) (Transfer, bool) {
	var best *account
	bestAt := -1
	for _, acc := range accounts {
		if acc == taker || isIdle && (acc.pool.IsStandby || acc.lateDeficit() > 0 || acc.forecastDeficit() > 0) {
			continue
		}
		at := acc.spare(now, isIdle)
		if at >= 0 && (best == nil || acc.isBetter(best)) {
			best, bestAt = acc, at
		}
	}
	if best == nil {
		return Transfer{}, false
	}
	vm := &best.pool.VMs[bestAt]
	vm.IsLeaving = true
	best.supply -= vm.MilliCores
	best.count--
	taker.supply += vm.MilliCores
	taker.taken += vm.MilliCores
	return Transfer{VM: vm.ID, From: best.pool.Name, To: taker.pool.Name}, true
}

// isBetter reports whether the pool should give before the other: a spare pool
// first, then the one with the most room to spare.
func (acc *account) isBetter(other *account) bool {
	if acc.pool.IsStandby != other.pool.IsStandby {
		return acc.pool.IsStandby
	}
	return acc.deficit() < other.deficit()
}

// spare returns the VM with the fewest tasks that the pool can give, or -1.
func (acc *account) spare(now time.Time, isIdle bool) int {
	if !acc.pool.IsStandby && acc.count <= keepVMs {
		return -1
	}
	best := -1
	for i, vm := range acc.pool.VMs {
		isFree := vm.IsUsable && !vm.IsLeaving && vm.Lasting == 0 && (!isIdle || vm.Tasks == 0) && now.Sub(vm.Since) >= restAfterMove
		isSpare := acc.pool.IsStandby || -acc.deficit() >= vm.MilliCores
		if isFree && isSpare && (best < 0 || vm.Tasks < acc.pool.VMs[best].Tasks) {
			best = i
		}
	}
	return best
}
