package service

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"time"

	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/kernel/boottime"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/fleetcontroller"
	"daisywheel/internal/schedule/owner"
)

const (
	methodQuota = "fleet.quota"
	// quotaInterval is the pause between quota reports while work waits for an allowance; other reports
	// are sent each idleQuotaRounds of it.
	quotaInterval   = 100 * time.Millisecond
	idleQuotaRounds = 2
)

// requestQuotaReport makes the next quota reports due at once.
func (svc *Service) requestQuotaReport() {
	select {
	case svc.quotaRequested <- struct{}{}:
	default:
	}
}

// reportQuotas sends quota reports of the owned pools to the fleet controller and applies its replies. It
// does nothing while the configuration limits no organisation.
func (svc *Service) reportQuotas(time.Time) {
	tab := svc.table.Load()
	if tab == nil || !tab.Organisations().HasCaps() {
		return
	}
	svc.quotaRound++
	svc.mu.Lock()
	owners := maps.Clone(svc.owners)
	svc.mu.Unlock()
	for pool, own := range owners {
		svc.guard("quotas", func() { svc.reportQuota(pool, own) })
	}
}

func (svc *Service) reportQuota(pool string, own *owner.Owner) {
	if svc.quotaRound%idleQuotaRounds != 0 && !own.HasCappedWork() {
		return
	}
	sent := boottime.Now()
	rpt := own.QuotaReport(time.Now())
	svc.mu.Lock()
	rpt.AckedTerm = svc.quotaTerms[own]
	svc.mu.Unlock()
	rpl, err := svc.sendQuotaReport(rpt)
	if err != nil || boottime.Now()-sent > fleetcontroller.GrantLifetime {
		return // the next report says what is held
	}
	svc.applyGrants(pool, own, rpt.Seq, rpl)
}

// applyGrants applies the reply to a quota report, unless a controller of a later term has replied before.
func (svc *Service) applyGrants(pool string, own *owner.Owner, seq int64, rpl quotaReplyJSON) {
	svc.mu.Lock()
	latest := svc.quotaTerm
	svc.quotaTerm = max(latest, rpl.Term)
	if rpl.Term >= latest {
		svc.quotaTerms[own] = rpl.Term
	}
	for former := range svc.quotaTerms {
		if svc.owners[former.Pool()] != former {
			delete(svc.quotaTerms, former)
		}
	}
	svc.mu.Unlock()
	if rpl.Term < latest {
		svc.cfg.Journal.Event(time.Now(), "grantsIgnored", slog.String("pool", pool), slog.Int64("fence", rpl.Term), slog.Int64("latestFence", latest))
		return
	}
	own.ApplyGrants(seq, decodeGrants(rpl.Grants))
}

func (svc *Service) sendQuotaReport(rpt quota.Report) (quotaReplyJSON, error) {
	svc.mu.Lock()
	ctl, address := svc.activeController(time.Now()), svc.controllerAddress
	svc.mu.Unlock()
	if ctl != nil {
		return handleQuotaReport(time.Now(), ctl, rpt), nil
	}
	if address == "" { // the reports on pools find it
		return quotaReplyJSON{}, fault.New(code.NotReady, "this entry knows no fleet controller")
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetcontroller.GrantLifetime)
	defer cancel()
	var rpl quotaReplyJSON
	err := svc.link.Call(ctx, address, methodQuota, encodeQuotaReport(rpt), &rpl)
	return rpl, err
}

func (svc *Service) serveQuota(_ context.Context, params json.RawMessage) (any, error) {
	var msg quotaReportJSON
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "decoding a quota report")
	}
	now := time.Now()
	ctl, err := svc.presentController(now)
	if err != nil {
		return nil, err
	}
	return handleQuotaReport(now, ctl, decodeQuotaReport(msg)), nil
}

func handleQuotaReport(now time.Time, ctl *fleetcontroller.Controller, rpt quota.Report) quotaReplyJSON {
	term, grants := ctl.HandleQuotaReport(now, rpt)
	return quotaReplyJSON{Term: term, Grants: encodeGrants(grants)}
}

// amountsJSON are thousandths of a core, MB and GPUs.
type amountsJSON [3]int64

// quotaReportJSON is a quota report, sent between entries.
type quotaReportJSON struct {
	Pool      string      `json:"pool"`
	Fence     int64       `json:"fence"`
	Seq       int64       `json:"seq"`
	AckedTerm int64       `json:"ackedTerm,omitempty"`
	Usages    []usageJSON `json:"usages,omitempty"`
}

type usageJSON struct {
	Organisation string      `json:"org"`
	Held         amountsJSON `json:"held"`
	Used         amountsJSON `json:"used"`
	Want         amountsJSON `json:"want"`
	Late         amountsJSON `json:"late"`
}

// quotaReplyJSON is the reply to a quota report. It has no grants while the controller may not raise any.
type quotaReplyJSON struct {
	Term   int64       `json:"term"`
	Grants []grantJSON `json:"grants,omitempty"`
}

type grantJSON struct {
	Organisation string      `json:"org"`
	Allowance    amountsJSON `json:"allowance"`
	IsContested  bool        `json:"isContested,omitempty"`
}

func amountsOf(dmd plan.Demand) amountsJSON {
	return amountsJSON{dmd.MilliCores, dmd.MemoryMB, dmd.GPUs}
}

func (amt amountsJSON) demand() plan.Demand {
	return plan.Demand{MilliCores: max(0, amt[0]), MemoryMB: max(0, amt[1]), GPUs: max(0, amt[2])}
}

func encodeQuotaReport(rpt quota.Report) quotaReportJSON {
	msg := quotaReportJSON{Pool: rpt.Pool, Fence: rpt.Fence, Seq: rpt.Seq, AckedTerm: rpt.AckedTerm}
	for _, usg := range rpt.Usages {
		msg.Usages = append(msg.Usages, usageJSON{
			Organisation: usg.Organisation, Held: amountsOf(usg.Held), Used: amountsOf(usg.Used), Want: amountsOf(usg.Want), Late: amountsOf(usg.Late),
		})
	}
	return msg
}

func decodeQuotaReport(msg quotaReportJSON) quota.Report {
	rpt := quota.Report{Pool: msg.Pool, Fence: msg.Fence, Seq: msg.Seq, AckedTerm: msg.AckedTerm}
	for _, usg := range msg.Usages {
		rpt.Usages = append(rpt.Usages, quota.Usage{
			Organisation: usg.Organisation, Held: usg.Held.demand(), Used: usg.Used.demand(), Want: usg.Want.demand(), Late: usg.Late.demand(),
		})
	}
	return rpt
}

func encodeGrants(grants []quota.Grant) []grantJSON {
	rows := make([]grantJSON, 0, len(grants))
	for _, grt := range grants {
		rows = append(rows, grantJSON{Organisation: grt.Organisation, Allowance: amountsOf(grt.Allowance), IsContested: grt.IsContested})
	}
	return rows
}

func decodeGrants(rows []grantJSON) []quota.Grant {
	grants := make([]quota.Grant, 0, len(rows))
	for _, row := range rows {
		grants = append(grants, quota.Grant{Organisation: row.Organisation, Allowance: row.Allowance.demand(), IsContested: row.IsContested})
	}
	return grants
}
