package poolscheduler

import (
	"time"

	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/rank"
	"daisywheel/internal/schedule/share"
)

// usageOf returns what the organisation has running in the pool, nil for none.
func (sch *Scheduler) usageOf(org string) *plan.Demand {
	if org == "" {
		return nil
	}
	used := sch.orgUsed[org]
	if used == nil {
		used = &plan.Demand{}
		sch.orgUsed[org] = used
	}
	return used
}

// updateUnknownUsage computes what organisations may have running that this owner does not know of: the
// tasks of jobs of earlier owners on VMs that have not reported.
func (sch *Scheduler) updateUnknownUsage() {
	clear(sch.orgUnknown)
	if sch.allReconciled {
		return
	}
	for _, jst := range sch.jobs {
		org := jst.queue.Organisation
		if org == "" || jst.state.IsEnded() || sch.isReconciled(jst) {
			continue
		}
		sum := sch.orgUnknown[org]
		for _, occ := range jst.occurrences {
			if occ == nil {
				continue
			}
			for _, sst := range occ.steps {
				sum = sum.Plus(sst.plan.Demand.Times(int64(sst.waitingCount)))
			}
		}
		sch.orgUnknown[org] = sum
	}
}

// mayHaveRunning returns what the organisation may have running in the pool.
func (sch *Scheduler) mayHaveRunning(org string) plan.Demand {
	used := sch.orgUnknown[org]
	if known := sch.orgUsed[org]; known != nil {
		used = used.Plus(*known)
	}
	return used
}

// isAllowed reports whether so many tasks of the step may start within the allowance of its organisation. If
// not, no other step of the organisation starts before it in this call of Plan, as it would use up what a
// wide step waits for.
func (sch *Scheduler) isAllowed(sst *stepState, tasks int) bool {
	org := sst.job.queue.Organisation
	if org == "" {
		return true
	}
	if sch.cappedOrgs[org] {
		sst.isCapped = true
		return false
	}
	if sch.book.Fits(org, sch.mayHaveRunning(org), sst.plan.Demand.Times(int64(tasks))) {
		return true
	}
	sst.isCapped, sch.cappedOrgs[org] = true, true
	return false
}

// usages returns what organisations with a limit have running in the pool and could use in addition.
func (sch *Scheduler) usages(now time.Time) map[string]quota.Usage {
	usages := map[string]quota.Usage{}
	for org := range sch.orgUsed {
		if used := sch.mayHaveRunning(org); used != (plan.Demand{}) {
			usages[org] = quota.Usage{Used: used}
		}
	}
	for org, used := range sch.orgUnknown {
		if sch.orgUsed[org] == nil {
			usages[org] = quota.Usage{Used: used}
		}
	}
	for sst := range sch.openSteps {
		org := sst.job.queue.Organisation
		if org == "" || sst.waitingCount == 0 || !sch.isReconciled(sst.job) {
			continue
		}
		usg := usages[org]
		need := sst.plan.Demand.Times(int64(sst.waitingCount))
		if rank.BandOf(now, sch.rankCandidate(sst)) < rank.Late {
			usg.Want = usg.Want.Plus(need)
		} else {
			usg.Late = usg.Late.Plus(need)
		}
		usages[org] = usg
	}
	return usages
}

// QuotaReport returns the next report on the use of organisations with a limit. It has no rows if the
// configuration limits none.
func (sch *Scheduler) QuotaReport(now time.Time) quota.Report {
	sch.updateUnknownUsage()
	rows, seq := sch.book.Report(now, sch.usages(now))
	sch.reportedCapped = sch.cappedMilliCores
	return quota.Report{Pool: sch.cfg.Name, Fence: sch.cfg.FencingToken, Seq: seq, Usages: rows}
}

// ApplyGrants applies the reply to the quota report with the number.
func (sch *Scheduler) ApplyGrants(seq int64, grants []quota.Grant) { sch.book.Apply(seq, grants) }

// HasCappedWork reports whether work waits for an allowance. It is new if more of it waits than when the last
// quota report was made.
func (sch *Scheduler) HasCappedWork() (isAny, isNew bool) {
	return sch.cappedMilliCores > 0, sch.cappedMilliCores > sch.reportedCapped
}

// updateCappedWork computes how much work waits for allowances, after a call of Plan.
func (sch *Scheduler) updateCappedWork(steps []*stepState) {
	sch.cappedMilliCores = 0
	for _, sst := range steps {
		if sst.isCapped {
			sch.cappedMilliCores += int64(sst.waitingCount) * max(1, sst.plan.Demand.MilliCores)
		}
	}
}

// orderByShare puts work that is beyond the part of its organisation after the other work of its band.
func (sch *Scheduler) orderByShare(list []rankedStep) bool {
	if sch.table == nil || sch.table.Organisations() == nil {
		return false
	}
	pol := share.Pool{Used: map[string]plan.Demand{}, Weight: func(name string) float64 {
		org, _ := sch.table.Organisations().Get(name)
		return org.Weight
	}}
	for _, vst := range sch.usableVMs {
		pol.Capacity = pol.Capacity.Plus(vst.host.Capacity)
	}
	for name, used := range sch.orgUsed {
		pol.Used[name] = *used
	}
	works := make([]share.Work, len(list))
	for i := range list {
		sst := list[i].step
		works[i] = share.Work{Organisation: sst.job.queue.Organisation, Need: countedDemand(sst.plan).Times(int64(sst.waitingCount))}
	}
	beyond := share.Beyond(pol, works)
	for i := range beyond {
		list[i].key = list[i].key.WithShare(beyond[i])
	}
	return beyond != nil
}

// orgDemand is the demand of an organisation with a limit, in time and late.
type orgDemand struct{ need, late plan.Demand }

// addOrgDemands adds the demand of organisations with limits to that of the pool, at most what their limits allow:
// VMs for more would stay unused.
func (sch *Scheduler) addOrgDemands(pol *balance.Pool, demands map[string]orgDemand) {
	for org, dmd := range demands {
		limit, _ := sch.book.Cap(org)
		part := partWithin(dmd.need, limit)
		pol.Demand += int64(part * float64(dmd.need.MilliCores))
		rest := limit.Minus(dmd.need)
		if part < 1 || dmd.late.MilliCores == 0 {
			continue
		}
		pol.LateDemand += int64(partWithin(dmd.late, plan.Demand{
			MilliCores: remaining(limit.MilliCores, rest.MilliCores), MemoryMB: remaining(limit.MemoryMB, rest.MemoryMB), GPUs: remaining(limit.GPUs, rest.GPUs),
		}) * float64(dmd.late.MilliCores))
	}
}

// remaining returns what is left of a limit, where 0 stands for no limit.
func remaining(limit, rest int64) int64 {
	if limit == 0 {
		return 0
	}
	return max(1, rest)
}

// partWithin returns which part of the demand fits the limit, of which 0 stands for none.
func partWithin(dmd, limit plan.Demand) float64 {
	part := func(need, limit int64) float64 {
		if limit == 0 || need <= limit {
			return 1
		}
		return float64(limit) / float64(need)
	}
	return min(part(dmd.MilliCores, limit.MilliCores), part(dmd.MemoryMB, limit.MemoryMB), part(dmd.GPUs, limit.GPUs))
}
