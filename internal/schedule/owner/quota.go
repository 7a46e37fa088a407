package owner

import (
	"time"

	"daisywheel/internal/event/metric"
	"daisywheel/internal/fleet/quota"
)

// QuotaReport returns the next report on the use of organisations with a limit.
func (own *Owner) QuotaReport(now time.Time) quota.Report {
	own.mu.Lock()
	defer own.unlock()
	rpt := own.sch.QuotaReport(now)
	own.updateQuotaMetrics(rpt.Usages)
	return rpt
}

// updateQuotaMetrics sets the gauges of organisations with a limit, to 0 for those that have left the report. The caller
// holds the lock.
func (own *Owner) updateQuotaMetrics(usages []quota.Usage) {
	left := own.reportedOrganisations
	own.reportedOrganisations = map[string]bool{}
	for _, usg := range usages {
		own.setQuotaMetrics(usg)
		own.reportedOrganisations[usg.Organisation] = true
		delete(left, usg.Organisation)
	}
	for name := range left {
		own.setQuotaMetrics(quota.Usage{Organisation: name})
	}
}

func (own *Owner) setQuotaMetrics(usg quota.Usage) {
	for kind, milliCores := range map[string]int64{"used": usg.Used.MilliCores, "held": usg.Held.MilliCores, "waiting": usg.Want.MilliCores + usg.Late.MilliCores} {
		name := metric.Name("daisywheel_organisation_millicores").With("pool", own.cfg.Pool).With("organisation", usg.Organisation)
		own.cfg.Metrics.GetOrCreateGauge(name.With("kind", kind).String(), nil).Set(float64(milliCores))
	}
}

// ApplyGrants applies the reply to the quota report with the number.
func (own *Owner) ApplyGrants(seq int64, grants []quota.Grant) {
	own.mu.Lock()
	defer own.unlock()
	own.sch.ApplyGrants(seq, grants)
	if isCapped, _ := own.sch.HasCappedWork(); isCapped {
		own.requestPlan()
	}
}

// HasCappedWork reports whether work waits for an allowance.
func (own *Owner) HasCappedWork() bool {
	own.mu.Lock()
	defer own.unlock()
	isCapped, _ := own.sch.HasCappedWork()
	return isCapped
}
