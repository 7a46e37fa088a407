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

	"daisywheel/internal/fleet/turns"
)

const (
	// headroom is the room beyond what is wanted that a pool keeps, as jobs pack
	// VMs with gaps.
	headroom = 1.15
	// keepVMs stay in a pool, so that its next work starts at once.
	keepVMs = 2
	// restAfterMove is how long a VM stays in its new pool: the price of a move is
	// that of about two seconds of a VM.
	restAfterMove = 2 * time.Second
	// perRound bounds the moves of one decision.
	perRound = 16
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
	IsStandby bool  // its VMs are off
	Wanted    int64 // thousandths of a core that work which can end in time can use
	Incoming  int64 // thousandths of a core that are on their way
	Arrived   turns.Arrival
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
	count  int
}

func (acc *account) deficit() int64 {
	if acc.pool.IsStandby {
		return 0
	}
	return int64(headroom*float64(acc.pool.Wanted)) - acc.supply
}

// Decide returns the transfers that should begin now.
func Decide(now time.Time, pools []Pool) []Transfer {
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
	var transfers []Transfer
	for len(transfers) < perRound {
		taker := slices.MaxFunc(accounts, func(one, two *account) int { return cmp.Compare(one.deficit(), two.deficit()) })
		trf, ok := pick(now, accounts, taker)
		if !ok {
			break
		}
		transfers = append(transfers, trf)
	}
	return transfers
}

// pick takes an idle VM for the pool from the one that misses it least.
func pick(now time.Time, accounts []*account, taker *account) (Transfer, bool) {
	if taker.deficit() <= 0 {
		return Transfer{}, false
	}
	var best *account
	bestAt := -1
	for _, acc := range accounts {
		at := acc.idle(now)
		if acc == taker || at < 0 {
			continue
		}
		if best == nil || acc.isBetter(best) {
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

// idle returns the VM with the fewest tasks that the pool can give, or -1.
func (acc *account) idle(now time.Time) int {
	if !acc.pool.IsStandby && acc.count <= keepVMs {
		return -1
	}
	best := -1
	for i, vm := range acc.pool.VMs {
		isFree := vm.IsUsable && !vm.IsLeaving && vm.Lasting == 0 && now.Sub(vm.Since) >= restAfterMove
		isSpare := acc.pool.IsStandby || -acc.deficit() >= vm.MilliCores
		if isFree && isSpare && (best < 0 || vm.Tasks < acc.pool.VMs[best].Tasks) {
			best = i
		}
	}
	return best
}
