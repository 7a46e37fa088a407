package owner

import (
	"time"

	"daisywheel/internal/fleet/quota"
)

// QuotaReport returns the next report on the use of organisations with a limit.
func (own *Owner) QuotaReport(now time.Time) quota.Report {
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.sch.QuotaReport(now)
}

// ApplyGrants applies the reply to the quota report with the number.
func (own *Owner) ApplyGrants(seq int64, grants []quota.Grant) {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.sch.ApplyGrants(seq, grants)
	if isCapped, _ := own.sch.HasCappedWork(); isCapped {
		own.requestPlan()
	}
}

// HasCappedWork reports whether work waits for an allowance.
func (own *Owner) HasCappedWork() bool {
	own.mu.Lock()
	defer own.mu.Unlock()
	isCapped, _ := own.sch.HasCappedWork()
	return isCapped
}
