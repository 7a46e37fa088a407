// Package quota divides the limits of organisations among the owners of pools. It is made for a few
// organisations that want more than their limit while one queue bursts after the other: what one
// pool does not need must go to another within a second, and what may run over all pools must stay within
// the limit whatever is lost, late or replaced. docs/design/caps.md says why it does.
package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/job/plan"
)

// Usage is what the owner of a pool reports on an organisation.
type Usage struct {
	Organisation string
	Held         plan.Demand // what may run until the reply to this report
	Used         plan.Demand // what may run now, that of earlier owners included
	Want         plan.Demand // what it could use in addition for work that can end in time
	Late         plan.Demand // the same for other work
}

// Report is what the owner of a pool reports on all organisations of which something runs or waits.
type Report struct {
	Pool  string
	Fence int64 // fencing token of the owner
	Seq   int64 // numbers the owner's reports upwards
	// AckedTerm is the fencing token of the last controller whose reply the owner's entry has applied; 0 for none.
	AckedTerm int64
	Usages    []Usage
}

// Grant is what an owner may have running of an organisation from the reply on.
type Grant struct {
	Organisation string
	Allowance    plan.Demand
	// IsContested is set if pools want most of the limit, so that owners should hold no more than they need.
	IsContested bool
}

// contestedShare is the part of a limit beyond which it counts as contested.
const contestedShare = 0.8

// account is what the ledger counts for a pool.
type account struct {
	fence, seq int64
	ackedTerm  int64
	at         time.Time // of the last report
	usages     map[string]*entry
}

// entry is what the ledger counts of an organisation in a pool. Counted is at least what may run there until
// the next report.
type entry struct {
	usage   Usage
	counted plan.Demand
}

// Ledger holds what the owners of pools may have running. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account // by pool
}

// NewLedger returns a Ledger without reports.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}} }

// Handle handles the report of a pool's owner. It returns false for one that is older than another, to which
// nothing may be granted.
func (led *Ledger) Handle(now time.Time, rpt Report) bool {
	acc := led.accounts[rpt.Pool]
	if acc != nil && (rpt.Fence < acc.fence || rpt.Fence == acc.fence && rpt.Seq <= acc.seq) {
		return false
	}
	next := &account{fence: rpt.Fence, seq: rpt.Seq, ackedTerm: rpt.AckedTerm, at: now, usages: make(map[string]*entry, len(rpt.Usages))}
	for _, usg := range rpt.Usages {
		next.usages[usg.Organisation] = &entry{usage: usg, counted: maxOf(usg.Held, usg.Used)}
	}
	led.accounts[rpt.Pool] = next
	return true
}

// Has reports whether the pool's owner with the fencing token has reported after it had applied a reply of the
// controller's term, or a later owner has.
func (led *Ledger) Has(pool string, fence, term int64) bool {
	acc := led.accounts[pool]
	return acc != nil && (acc.fence > fence || acc.fence == fence && acc.ackedTerm == term)
}

// Expire forgets pools that need no owner and have not reported for so long that nothing of theirs can run.
func (led *Ledger) Expire(now time.Time, after time.Duration, needsOwner func(pool string) bool) {
	for pool, acc := range led.accounts {
		if now.Sub(acc.at) > after && !needsOwner(pool) {
			delete(led.accounts, pool)
		}
	}
}

// Grant returns the allowances of the pool for the reply to its last report, and counts them.
func (led *Ledger) Grant(pool string, orgs *organisation.Set) []Grant {
	acc := led.accounts[pool]
	if acc == nil {
		return nil
	}
	grants := make([]Grant, 0, len(acc.usages))
	for name, ent := range acc.usages {
		org, ok := orgs.Get(name)
		if !ok || !org.HasCap() {
			continue
		}
		grt := Grant{Organisation: name}
		for _, res := range resources {
			limit := *res(&org.Cap)
			if limit == 0 {
				continue
			}
			amount, isContested := led.allowance(pool, ent, name, res, limit)
			*res(&grt.Allowance) = amount
			*res(&ent.counted) = max(*res(&ent.counted), amount)
			grt.IsContested = grt.IsContested || isContested
		}
		grants = append(grants, grt)
	}
	slices.SortFunc(grants, func(one, two Grant) int { return cmp.Compare(one.Organisation, two.Organisation) })
	return grants
}

// allowance returns what the pool may have running of one resource of an organisation.
func (led *Ledger) allowance(pool string, ent *entry, org string, res resource, limit int64) (amount int64, isContested bool) {
	others, sum := int64(0), int64(0)
	var needs, lates []int64
	own := 0
	for _, name := range slices.Sorted(maps.Keys(led.accounts)) { // all pools divide in the same order
		other := led.accounts[name].usages[org]
		if other == nil {
			continue
		}
		if name == pool {
			own = len(needs)
		} else {
			others += *res(&other.counted)
		}
		need := *res(&other.usage.Used) + *res(&other.usage.Want)
		needs, lates = append(needs, need), append(lates, *res(&other.usage.Late))
		sum += need + *res(&other.usage.Late)
	}
	parts := Divide(limit, needs)
	left := limit
	for _, part := range parts {
		left -= part
	}
	lateParts := Divide(left, lates)
	for _, part := range lateParts {
		left -= part
	}
	target := parts[own] + lateParts[own]
	slack := left / int64(2*len(needs))
	// What the owner holds is counted already. What it uses beyond that may be less in fact.
	room, held := limit-others, *res(&ent.usage.Held)
	if room >= target {
		amount = target + min(slack, room-target)
	} else {
		amount = max(room, min(target, held))
	}
	return amount, float64(sum) > contestedShare*float64(limit)
}

// Divide divides a limit among wishes so that the smallest are met first and none gets more than another
// that it leaves unmet.
func Divide(limit int64, wishes []int64) []int64 {
	parts := make([]int64, len(wishes))
	order := make([]int, len(wishes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(one, two int) int { return cmp.Compare(wishes[one], wishes[two]) })
	for i, index := range order {
		parts[index] = min(wishes[index], max(0, limit)/int64(len(order)-i))
		limit -= parts[index]
	}
	return parts
}

// resource returns one resource of a demand.
type resource func(dmd *plan.Demand) *int64

var resources = []resource{
	func(dmd *plan.Demand) *int64 { return &dmd.MilliCores },
	func(dmd *plan.Demand) *int64 { return &dmd.MemoryMB },
	func(dmd *plan.Demand) *int64 { return &dmd.GPUs },
}

func maxOf(one, two plan.Demand) plan.Demand {
	for _, res := range resources {
		*res(&one) = max(*res(&one), *res(&two))
	}
	return one
}

// State is what is known of an organisation over all pools.
type State struct {
	Organisation string
	Cap          plan.Demand
	Used         plan.Demand
	Counted      plan.Demand // what may run until the pools' next reports
	Want         plan.Demand
	Late         plan.Demand
}

// Share returns the largest share of a limited resource that the organisation uses or wants.
func (ste *State) Share() float64 {
	share := 0.0
	for _, res := range resources {
		if limit := *res(&ste.Cap); limit > 0 {
			share = max(share, float64(*res(&ste.Used)+*res(&ste.Want)+*res(&ste.Late))/float64(limit))
		}
	}
	return share
}

// IsContested reports whether pools want most of the limit.
func (ste *State) IsContested() bool { return ste.Share() > contestedShare }

// States returns the states of the organisations with a limit that have work.
func (led *Ledger) States(orgs *organisation.Set) []State {
	var states []State
	for _, org := range orgs.All() {
		ste := State{Organisation: org.Name, Cap: org.Cap}
		for _, acc := range led.accounts {
			if ent := acc.usages[org.Name]; ent != nil && org.HasCap() {
				ste.Used, ste.Counted = ste.Used.Plus(ent.usage.Used), ste.Counted.Plus(ent.counted)
				ste.Want, ste.Late = ste.Want.Plus(ent.usage.Want), ste.Late.Plus(ent.usage.Late)
			}
		}
		if ste.Counted != (plan.Demand{}) || ste.Want != (plan.Demand{}) || ste.Late != (plan.Demand{}) {
			states = append(states, ste)
		}
	}
	return states
}
