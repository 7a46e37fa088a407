package fleetcontroller

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/organisation"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/fleet/quota"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/allowance"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

// The drawn test below plays owners, controllers and messages between them that are late or lost, on
// the real ledger, books and claims. Each task uses one core. It checks that what runs of an organisation never
// passes the highest limit that any configuration in force had.

const acme = "acme"

// quotaOwner is an owner of a pool for one term.
type quotaOwner struct {
	pool         *quotaPool
	fence        int64
	book         *allowance.Book
	running      int // that it has started and knows of
	waiting      int // that it had stored and not started when it was replaced
	unreconciled bool
	term         int64 // highest of a reply
	ackedTerm    int64
	sentAt       time.Duration // of the report that awaits a reply
	sentSeq      int64
}

// quotaPool is a pool with its owners so far.
type quotaPool struct {
	name    string
	owners  []*quotaOwner // the last one is the present
	stored  int           // tasks stored by earlier owners that are not done
	unknown int           // of these, tasks that earlier owners run
	fence   int64         // highest that all VMs have seen; they refuse the orders of earlier owners
}

func (pol *quotaPool) present() *quotaOwner { return pol.owners[len(pol.owners)-1] }

// used returns what the owner counts as running.
func (own *quotaOwner) used() int {
	if own.unreconciled {
		return own.running + own.pool.stored
	}
	return own.running
}

type quotaMessage struct {
	own *quotaOwner
	rpt quota.Report
}

type quotaReply struct {
	quotaMessage
	term   int64
	grants []quota.Grant
}

type quotaModel struct {
	t           *rapid.T
	now         time.Duration
	log         statelog.Client
	pools       []*quotaPool
	controllers []*Controller
	messages    []quotaMessage
	replies     []quotaReply
	tables      []*queue.Table // configurations so far
	caps        []int64
}

func (mdl *quotaModel) wallClock() time.Time { return time.Unix(0, 0).Add(mdl.now) }

func quotaTable(t *rapid.T, version, limit int64) *queue.Table {
	orgs := organisation.NewSet()
	if err := orgs.Add(organisation.Organisation{Name: acme, Cap: plan.Demand{MilliCores: limit}}, nil); err != nil {
		t.Fatal(err)
	}
	return queue.NewTable(version, nil, []queue.Pool{{Name: "p0"}, {Name: "p1"}, {Name: "p2"}}).WithOrganisations(orgs)
}

// setCap puts a configuration in force everywhere.
func (mdl *quotaModel) setCap(limit int64) {
	mdl.caps = []int64{limit}
	mdl.tables = append(mdl.tables, quotaTable(mdl.t, int64(len(mdl.tables)), limit))
	for _, pol := range mdl.pools {
		for _, own := range pol.owners {
			own.book.SetOrganisations(mdl.table().Organisations())
		}
	}
}

func (mdl *quotaModel) table() *queue.Table { return mdl.tables[len(mdl.tables)-1] }

func (mdl *quotaModel) openController() {
	clm, err := claim.Acquire(mdl.t.Context(), mdl.log, claim.Fleet(), "")
	if err != nil {
		mdl.t.Fatal(err)
	}
	mdl.controllers = append(mdl.controllers, &Controller{
		clm: clm, lost: make(chan struct{}), quotas: quotas{ledger: quota.NewLedger(), openedAt: mdl.now},
		cfg: Config{StateLog: mdl.log, Journal: journal.New(journal.Config{}), Table: mdl.table, SinceBoot: func() time.Duration { return mdl.now }},
	})
}

func (mdl *quotaModel) openOwner(pol *quotaPool) {
	clm, err := claim.Acquire(mdl.t.Context(), mdl.log, claim.Pool(pol.name), "")
	if err != nil {
		mdl.t.Fatal(err)
	}
	if len(pol.owners) > 0 {
		former := pol.present()
		if !former.unreconciled {
			pol.stored, pol.unknown = 0, 0
		}
		former.waiting = 2
		pol.stored += former.running + former.waiting
		pol.unknown += former.running
	}
	own := &quotaOwner{pool: pol, fence: clm.FencingToken(), book: allowance.NewBook(), unreconciled: len(pol.owners) > 0}
	own.book.SetOrganisations(mdl.table().Organisations())
	pol.owners = append(pol.owners, own)
}

// startEarlier starts a task that an earlier owner has stored, by that owner, which knows only what it has started.
func (mdl *quotaModel) startEarlier(pol *quotaPool, own *quotaOwner) {
	fits := own.book.Fits(acme, plan.Demand{MilliCores: int64(own.used())}, plan.Demand{MilliCores: 1})
	if own.fence >= pol.fence && pol.present().unreconciled && own.waiting > 0 && fits {
		pol.unknown++
		own.running++
		own.waiting--
	}
}

func (mdl *quotaModel) start(own *quotaOwner) {
	if own.book.Fits(acme, plan.Demand{MilliCores: int64(own.used())}, plan.Demand{MilliCores: 1}) {
		own.running++
	}
}

func (mdl *quotaModel) send(own *quotaOwner, want int64) {
	usages := map[string]quota.Usage{acme: {Used: plan.Demand{MilliCores: int64(own.used())}, Want: plan.Demand{MilliCores: want}}}
	if own.used() == 0 && want == 0 {
		usages = nil
	}
	rows, seq := own.book.Report(mdl.wallClock(), usages)
	own.sentAt, own.sentSeq = mdl.now, seq
	mdl.messages = append(mdl.messages, quotaMessage{own, quota.Report{Pool: own.pool.name, Fence: own.fence, Seq: seq, AckedTerm: own.ackedTerm, Usages: rows}})
}

// receive applies a reply as service.Service does.
func (mdl *quotaModel) receive(rpl quotaReply) {
	own := rpl.own
	if own.sentSeq != rpl.rpt.Seq || mdl.now-own.sentAt > GrantLifetime || rpl.term < own.term {
		return
	}
	own.term, own.ackedTerm = rpl.term, rpl.term
	own.book.Apply(rpl.rpt.Seq, rpl.grants)
}

func (mdl *quotaModel) check() {
	sum := int64(0)
	for _, pol := range mdl.pools {
		sum += int64(pol.present().running)
		if pol.present().unreconciled {
			sum += int64(pol.unknown)
		}
	}
	limit := int64(0)
	for _, lim := range mdl.caps {
		limit = max(limit, lim)
	}
	if sum > limit {
		mdl.t.Fatalf("%d tasks run, the limit is %d", sum, limit)
	}
}

// pick draws an element, of which only the index is logged.
func pick[E any](t *rapid.T, label string, list []E) E {
	return list[rapid.IntRange(0, len(list)-1).Draw(t, label)]
}

func TestSumStaysWithinTheLimit(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		mdl := &quotaModel{t: t, now: time.Hour, log: logstore.New(logstore.Config{}).Client()}
		for _, name := range []string{"p0", "p1", "p2"} {
			mdl.pools = append(mdl.pools, &quotaPool{name: name})
		}
		mdl.setCap(10)
		for _, pol := range mdl.pools {
			mdl.openOwner(pol)
		}
		mdl.openController()
		pool := rapid.Custom(func(t *rapid.T) int { return rapid.IntRange(0, len(mdl.pools)-1).Draw(t, "index") })
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				mdl.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}).Draw(t, "for")
			},
			"calm round": func(t *rapid.T) { // everything arrives, as most of the time
				want := rapid.Int64Range(0, 12).Draw(t, "want")
				ctl := mdl.controllers[len(mdl.controllers)-1]
				for range 3 {
					ctl.checkQuotas(mdl.wallClock())
					mdl.now += 500 * time.Millisecond
					ctl.checkQuotas(mdl.wallClock())
					for _, pol := range mdl.pools {
						own := pol.present()
						mdl.send(own, want)
						msg := mdl.messages[len(mdl.messages)-1]
						mdl.messages = mdl.messages[:len(mdl.messages)-1]
						term, grants := ctl.HandleQuotaReport(mdl.wallClock(), msg.rpt)
						mdl.receive(quotaReply{msg, term, grants})
						granted += len(grants)
						mdl.start(own)
					}
				}
			},
			"send": func(t *rapid.T) {
				pol := mdl.pools[pool.Draw(t, "pool")]
				mdl.send(pick(t, "owner", pol.owners), rapid.Int64Range(0, 12).Draw(t, "want"))
			},
			"handle": func(t *rapid.T) {
				if len(mdl.messages) == 0 {
					return
				}
				msg := pick(t, "message", mdl.messages)
				ctl := pick(t, "controller", mdl.controllers)
				term, grants := ctl.HandleQuotaReport(mdl.wallClock(), msg.rpt)
				mdl.replies = append(mdl.replies, quotaReply{msg, term, grants})
			},
			"receive": func(t *rapid.T) {
				if len(mdl.replies) > 0 {
					mdl.receive(pick(t, "reply", mdl.replies))
				}
			},
			"prove": func(t *rapid.T) {
				pick(t, "controller", mdl.controllers).checkQuotas(mdl.wallClock())
			},
			"replace the controller": func(*rapid.T) { mdl.openController() },
			"replace an owner":       func(t *rapid.T) { mdl.openOwner(mdl.pools[pool.Draw(t, "pool")]) },
			"VMs report to the new owner": func(t *rapid.T) {
				pol := mdl.pools[pool.Draw(t, "pool")]
				if own := pol.present(); own.unreconciled {
					own.unreconciled, pol.fence = false, own.fence
					own.running += pol.unknown
					pol.stored, pol.unknown = 0, 0
				}
			},
			"start": func(t *rapid.T) {
				pol := mdl.pools[pool.Draw(t, "pool")]
				own := pick(t, "owner", pol.owners)
				for range rapid.IntRange(1, 10).Draw(t, "tasks") {
					if own == pol.present() {
						mdl.start(own)
					} else {
						mdl.startEarlier(pol, own)
					}
				}
			},
			"end": func(t *rapid.T) {
				own := mdl.pools[pool.Draw(t, "pool")].present()
				own.running -= rapid.IntRange(0, own.running).Draw(t, "tasks")
			},
			"": func(*rapid.T) { mdl.check() },
		})
	})
	if granted == 0 {
		t.Error("nothing was granted")
	}
}

// A limit is lowered while pools hold all of it: nothing starts until enough has ended.
func TestLoweredLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mdl := &quotaModel{t: t, now: time.Hour, log: logstore.New(logstore.Config{}).Client()}
		mdl.pools = []*quotaPool{{name: "p0"}, {name: "p1"}}
		mdl.setCap(12)
		for _, pol := range mdl.pools {
			mdl.openOwner(pol)
		}
		mdl.openController()
		ctl := mdl.controllers[0]
		round := func(want int64) {
			for _, pol := range mdl.pools {
				mdl.now += 100 * time.Millisecond
				ctl.checkQuotas(mdl.wallClock())
				mdl.send(pol.present(), want)
				msg := mdl.messages[len(mdl.messages)-1]
				term, grants := ctl.HandleQuotaReport(mdl.wallClock(), msg.rpt)
				mdl.receive(quotaReply{msg, term, grants})
				for range 12 {
					mdl.start(pol.present())
				}
			}
		}
		for range 30 {
			round(12)
		}
		mdl.check()
		if sum := mdl.pools[0].present().running + mdl.pools[1].present().running; sum != 12 {
			t.Fatalf("%d tasks run before, want 12", sum)
		}
		mdl.setCap(4)
		before := []int{mdl.pools[0].present().running, mdl.pools[1].present().running}
		for range 10 {
			round(12)
		}
		for i, pol := range mdl.pools {
			if pol.present().running > before[i] {
				t.Errorf("pool %d: %d tasks run, %d before the limit was lowered", i, pol.present().running, before[i])
			}
			pol.present().running = 0
		}
		for range 10 {
			round(12)
		}
		mdl.check()
		if sum := mdl.pools[0].present().running + mdl.pools[1].present().running; sum != 4 {
			t.Errorf("%d tasks run after the others have ended, want 4", sum)
		}
	})
}

// quotaSite is a quotaModel with a controller that knows three idle pools and may grant.
func quotaSite(t *rapid.T) *quotaModel {
	mdl := &quotaModel{t: t, now: time.Hour, log: logstore.New(logstore.Config{}).Client()}
	for _, name := range []string{"p0", "p1", "p2"} {
		mdl.pools = append(mdl.pools, &quotaPool{name: name})
	}
	mdl.setCap(10)
	for _, pol := range mdl.pools {
		mdl.openOwner(pol)
	}
	mdl.openController()
	mdl.now += 2 * time.Second
	for range 2 {
		mdl.controllers[0].checkQuotas(mdl.wallClock())
		for _, pol := range mdl.pools {
			mdl.ask(pol.present(), mdl.controllers[0], 0)
		}
	}
	return mdl
}

// ask sends a report that is answered at once, and starts what the owner may start.
func (mdl *quotaModel) ask(own *quotaOwner, ctl *Controller, want int64) {
	mdl.send(own, want)
	msg := mdl.messages[len(mdl.messages)-1]
	term, grants := ctl.HandleQuotaReport(mdl.wallClock(), msg.rpt)
	mdl.receive(quotaReply{msg, term, grants})
	for range want {
		mdl.start(own)
	}
}

// A new owner asks the former controller, which has not learned that it was replaced.
func TestFormerControllersGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mdl := quotaSite(t)
		former := mdl.controllers[0]
		mdl.openController()
		present := mdl.controllers[1]
		round := func() {
			present.checkQuotas(mdl.wallClock())
			for _, pol := range mdl.pools {
				mdl.ask(pol.present(), present, 0)
			}
		}
		round()
		round()
		mdl.now += time.Duration(rapid.Int64Range(0, 3000).Draw(t, "ms")) * time.Millisecond
		if mdl.now > time.Hour+4*time.Second {
			round() // it has waited for the former one's grants to end
			round()
		}
		mdl.openOwner(mdl.pools[1])
		mdl.pools[1].present().unreconciled = false // nothing of earlier owners runs
		mdl.pools[1].stored = 0
		mdl.ask(mdl.pools[1].present(), former, 10)
		mdl.ask(mdl.pools[0].present(), present, 10)
		for range 4 {
			mdl.now += 500 * time.Millisecond
			present.checkQuotas(mdl.wallClock())
			mdl.ask(mdl.pools[0].present(), present, 10)
			mdl.ask(mdl.pools[2].present(), present, 0)
			mdl.check()
		}
	})
}

// A report reaches the new controller late, after its owner has been granted more by the former one.
func TestDelayedReportIsNoAcknowledgement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mdl := quotaSite(t)
		former := mdl.controllers[0]
		own := mdl.pools[0].present()
		mdl.send(own, 0)
		delayed := mdl.messages[len(mdl.messages)-1]
		mdl.openController()
		present := mdl.controllers[1]
		mdl.now += GrantLifetime
		mdl.ask(own, former, 10)
		mdl.now += 2 * time.Second
		present.checkQuotas(mdl.wallClock())
		present.HandleQuotaReport(mdl.wallClock(), delayed.rpt)
		for range 3 {
			present.checkQuotas(mdl.wallClock())
			mdl.ask(mdl.pools[1].present(), present, 10)
			mdl.ask(mdl.pools[2].present(), present, 0)
		}
		mdl.check()
	})
}

// A limit is lowered while no controller answers: owners cut what they hold by themselves.
func TestLoweredLimitWithoutController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mdl := quotaSite(t)
		for range 3 {
			for _, pol := range mdl.pools {
				mdl.now += 100 * time.Millisecond
				mdl.controllers[0].checkQuotas(mdl.wallClock())
				mdl.ask(pol.present(), mdl.controllers[0], 10)
				pol.present().running = 0
			}
		}
		mdl.setCap(4)
		for _, pol := range mdl.pools {
			for range 10 {
				mdl.start(pol.present())
			}
		}
		mdl.check()
	})
}
