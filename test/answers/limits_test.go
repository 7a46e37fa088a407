package answers

import (
	"math/rand/v2"
	"time"

	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/job/task"
)

const (
	organisationName = "acme"
	quotaInterval    = 100 * time.Millisecond
	lostReports      = 0.15 // share of quota reports that are lost, and of their replies
)

// drawLimit draws a limit for the jobs of an organisation, half of all. VMs of the stand-in do not end gangs together, so
// soaks with gangs have none.
func (sok *soak) drawLimit(rnd *rand.Rand) {
	if sok.hasGangs || rnd.IntN(2) == 0 {
		return
	}
	sok.limit = plan.Demand{MilliCores: 1000 * int64(3+rnd.IntN(6))}
	for i, jfs := range sok.jobs {
		if i%2 == 0 && !jfs.plan.IsLongRunning() {
			jfs.organisation = organisationName
		}
	}
}

// limitOf returns the organisation of a task and its limit, for the VMs.
func (sok *soak) limitOf(tid task.ID) (org string, limit plan.Demand) {
	return sok.byID[tid.Job].organisation, sok.limit
}

// ref returns the reference of the job's caller to its queue.
func (jfs *jobFacts) ref() queue.Ref {
	return queue.Ref{Name: queueName, Organisation: jfs.organisation}
}

// organisations returns the organisations of the configuration, nil without a limit.
func (sok *soak) organisations() *organisation.Set {
	if sok.limit == (plan.Demand{}) {
		return nil
	}
	set := organisation.NewSet()
	if err := set.Add(organisation.Organisation{Name: organisationName, Weight: 1, Cap: sok.limit}, nil); err != nil {
		sok.t.Error(err)
	}
	return set
}

// grantQuotas answers the quota reports of all owners, former ones too, as a fleet controller does. Some reports and
// replies are lost.
func (sok *soak) grantQuotas(quit <-chan struct{}) {
	orgs := sok.organisations()
	if orgs == nil {
		return
	}
	led := quota.NewLedger()
	for round := 0; ; round++ {
		select {
		case <-quit:
			return
		case <-time.After(quotaInterval):
		}
		sok.mu.Lock()
		holders := append([]*holder(nil), sok.holders...)
		sok.mu.Unlock()
		for _, hld := range holders {
			rpt := hld.owner.QuotaReport(hld.entry.now())
			if sok.draw("quota report", round, hld.String()) < lostReports || !led.Handle(time.Now(), rpt) {
				continue
			}
			grants := led.Grant(pool, orgs)
			if sok.draw("quota reply", round, hld.String()) >= lostReports {
				hld.owner.ApplyGrants(rpt.Seq, grants)
			}
		}
	}
}
