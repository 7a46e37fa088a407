// Package allowance keeps what the owner of a pool may have running of each organisation with a limit,
// as package quota has granted it. An owner lowers that by itself; only the reply to its last report raises it.
package allowance

import (
	"time"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/job/plan"
)

// Book holds the allowances of one owner's term. It is not safe for concurrent use.
type Book struct {
	caps        map[string]plan.Demand
	held        map[string]plan.Demand
	isContested map[string]bool
	neededAt    map[string]time.Time // when the organisation last had work
	seq         int64                // of the last report
}

// keepTime is how long an allowance that nobody contests is kept without work, so that the next job of a small
// organisation does not wait for a reply.
const keepTime = 2 * time.Second

// NewBook returns a Book without allowances.
func NewBook() *Book {
	return &Book{caps: map[string]plan.Demand{}, held: map[string]plan.Demand{}, isContested: map[string]bool{}, neededAt: map[string]time.Time{}}
}

// SetOrganisations applies the limits of a configuration. What is held under a limit that has been lowered is
// lowered in proportion, as the other pools' owners do, so that the sum fits the new limit.
func (bok *Book) SetOrganisations(orgs *organisation.Set) {
	caps := map[string]plan.Demand{}
	for _, org := range orgs.All() {
		if !org.HasCap() {
			continue
		}
		caps[org.Name] = org.Cap
		held, old := bok.held[org.Name], bok.caps[org.Name]
		bok.held[org.Name] = plan.Demand{
			MilliCores: scale(held.MilliCores, old.MilliCores, org.Cap.MilliCores),
			MemoryMB:   scale(held.MemoryMB, old.MemoryMB, org.Cap.MemoryMB),
			GPUs:       scale(held.GPUs, old.GPUs, org.Cap.GPUs),
		}
	}
	for name := range bok.held {
		if _, ok := caps[name]; !ok {
			delete(bok.held, name)
			delete(bok.isContested, name)
			delete(bok.neededAt, name)
		}
	}
	bok.caps = caps
}

// scale returns what is held after the limit has changed. Without an old limit nothing was held.
func scale(held, old, limit int64) int64 {
	switch {
	case old == 0 || limit == 0:
		return 0
	case limit < old:
		return int64(float64(held) * float64(limit) / float64(old))
	}
	return held
}

// Cap returns the limit of the organisation. It reports false if there is none.
func (bok *Book) Cap(org string) (limit plan.Demand, ok bool) {
	limit, ok = bok.caps[org]
	return limit, ok
}

// Fits reports whether the organisation may have more running in addition to what is used.
func (bok *Book) Fits(org string, used, more plan.Demand) bool {
	limit, ok := bok.caps[org]
	if !ok {
		return true
	}
	held := bok.held[org]
	fits := func(limit, held, used, more int64) bool { return limit == 0 || more == 0 || used+more <= held }
	return fits(limit.MilliCores, held.MilliCores, used.MilliCores, more.MilliCores) &&
		fits(limit.MemoryMB, held.MemoryMB, used.MemoryMB, more.MemoryMB) && fits(limit.GPUs, held.GPUs, used.GPUs, more.GPUs)
}

// Report completes the usages for the next report, and returns its number. Of a contested limit the owner
// holds from here on no more than it can use.
func (bok *Book) Report(now time.Time, usages map[string]quota.Usage) (rows []quota.Usage, seq int64) {
	bok.seq++
	for name, held := range bok.held {
		row, hasWork := usages[name]
		if hasWork {
			bok.neededAt[name] = now
		} else if now.Sub(bok.neededAt[name]) > keepTime {
			bok.held[name] = plan.Demand{}
			continue
		}
		if bok.isContested[name] {
			held = least(held, row.Used.Plus(row.Want).Plus(row.Late))
		}
		bok.held[name] = held
		row.Organisation, row.Held = name, held
		rows = append(rows, row)
	}
	return rows, bok.seq
}

func least(one, two plan.Demand) plan.Demand {
	return plan.Demand{
		MilliCores: min(one.MilliCores, two.MilliCores), MemoryMB: min(one.MemoryMB, two.MemoryMB), GPUs: min(one.GPUs, two.GPUs),
	}
}

// Apply applies the reply to the report with the number, unless another was sent since.
func (bok *Book) Apply(seq int64, grants []quota.Grant) {
	if seq != bok.seq {
		return
	}
	for _, grt := range grants {
		limit, ok := bok.caps[grt.Organisation]
		if !ok {
			continue
		}
		// The controller may go by an earlier configuration.
		bok.held[grt.Organisation] = least(grt.Allowance, limit)
		bok.isContested[grt.Organisation] = grt.IsContested
	}
}
