package fleetcontroller

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/poolscheduler"
)

const (
	// GrantLifetime is how long after the sending of a quota report an owner may apply the reply: 60 times the usual
	// round trip between entries.
	GrantLifetime = 250 * time.Millisecond
	// quotaCheckInterval is the time between proofs of the term while organisations have limits. Three fit
	// into maxProofAge.
	quotaCheckInterval = 300 * time.Millisecond
	// grantDelay is how long a new controller grants nothing: until no grant of an earlier one, which rests on a
	// proof of its term, can be applied any more. Clocks may differ in rate by 2 %.
	grantDelay = (maxProofAge+GrantLifetime)*102/100 + 25*time.Millisecond
	// quotaExpiry is how long a pool that is not active may go without a report until it counts as empty: an
	// owner without confirmation has stopped by then, and its leases have expired. An active pool has an owner,
	// which may be cut off from this entry only.
	quotaExpiry = poolscheduler.OwnerGracePeriod + 15*time.Second
)

// quotas divides the limits of organisations for one term.
type quotas struct {
	ledger   *quota.Ledger
	openedAt time.Duration // on the clock SinceBoot, after the claim
	provenAt time.Duration // when the last proof of the term was requested; 0 for none
	// owners has the fencing tokens of the pools' owners, read grantDelay after openedAt; nil before.
	owners  map[string]int64
	isReady bool
}

// HandleQuotaReport handles the report of a pool's owner on the use of organisations with a limit. It
// returns the controller's fencing token, and what the owner may have running from now on; nothing while
// that must not be raised.
func (ctl *Controller) HandleQuotaReport(now time.Time, rpt quota.Report) (term int64, grants []quota.Grant) {
	ctl.mu.Lock()
	defer ctl.unlock()
	term = ctl.clm.FencingToken()
	isNewest := ctl.quotas.ledger.Handle(now, rpt)
	tab := ctl.cfg.Table()
	if !isNewest || tab == nil || !ctl.mayGrant(now, tab) {
		return term, nil
	}
	return term, ctl.quotas.ledger.Grant(rpt.Pool, tab.Organisations())
}

// mayGrant reports whether the controller knows all that may run, and that it has no successor. The caller holds
// the lock.
func (ctl *Controller) mayGrant(now time.Time, tab *queue.Table) bool {
	qts := &ctl.quotas
	sinceBoot := ctl.cfg.SinceBoot()
	if qts.provenAt == 0 || sinceBoot-qts.provenAt > maxProofAge || qts.owners == nil {
		return false
	}
	if qts.isReady {
		return true
	}
	isExpired := sinceBoot-qts.openedAt > quotaExpiry
	var missing []string
	for pool, fence := range qts.owners {
		isNeeded := !isExpired || tab.IsActive(pool)
		if isNeeded && !qts.ledger.Has(pool, fence, ctl.clm.FencingToken()) {
			missing = append(missing, pool)
		}
	}
	if len(missing) > 0 {
		return false
	}
	qts.isReady = true
	ctl.cfg.Journal.Event(now, "quotasGranted", slog.Int64("fence", ctl.clm.FencingToken()), slog.Duration("after", sinceBoot-qts.openedAt), slog.Int("pools", len(qts.owners)))
	return true
}

// checkQuotas proves the term, and reads who owns the pools when the grants of earlier controllers have
// ended. It does nothing while the configuration limits no organisation.
func (ctl *Controller) checkQuotas(now time.Time) {
	tab := ctl.cfg.Table()
	if tab == nil || !tab.Organisations().HasCaps() {
		return
	}
	sent := ctl.cfg.SinceBoot()
	if !ctl.provesTerm(now) {
		return
	}
	isDue := false
	ctl.locked(func() {
		ctl.quotas.provenAt = sent
		ctl.quotas.ledger.Expire(now, quotaExpiry, tab.IsActive)
		isDue = ctl.quotas.owners == nil && sent-ctl.quotas.openedAt >= grantDelay
	})
	if !isDue {
		return
	}
	owners, err := claim.PoolTokens(context.Background(), ctl.cfg.StateLog)
	if err != nil {
		ctl.cfg.Journal.Warn(now, "poolOwnersUnread", slog.String("error", err.Error()))
		return
	}
	ctl.mu.Lock()
	ctl.quotas.owners = owners
	ctl.mu.Unlock()
}

// logQuotas logs the organisations that use most of a contested limit, every poolLogInterval. The caller holds the lock.
func (ctl *Controller) logQuotas(now time.Time) {
	tab := ctl.cfg.Table()
	if !tab.Organisations().HasCaps() {
		return
	}
	states := ctl.quotas.ledger.States(tab.Organisations())
	slices.SortFunc(states, func(one, two quota.State) int { return cmp.Compare(two.Share(), one.Share()) })
	for _, ste := range states[:min(len(states), maxLoggedQuotas)] {
		if !ste.IsContested() {
			break
		}
		ctl.cfg.Journal.Event(now, "organisationState", slog.String("organisation", ste.Organisation), slog.Int64("capMilliCores", ste.Cap.MilliCores),
			slog.Int64("usedMilliCores", ste.Used.MilliCores), slog.Int64("heldMilliCores", ste.Counted.MilliCores), slog.Int64("wantedMilliCores", ste.Want.MilliCores),
			slog.Int64("lateMilliCores", ste.Late.MilliCores), slog.Int64("capMemoryMB", ste.Cap.MemoryMB), slog.Int64("usedMemoryMB", ste.Used.MemoryMB))
	}
}

// maxLoggedQuotas bounds the organisations that are logged at a time.
const maxLoggedQuotas = 5
