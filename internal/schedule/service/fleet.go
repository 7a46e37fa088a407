package service

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"time"

	"daisywheel/internal/fleet/arrivals"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/fleetcontroller"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/owner"
	"daisywheel/internal/schedule/poolscheduler"
)

const (
	methodReport = "fleet.report"
	// reportInterval is the pause between reports to the fleet controller, the interval
	// of its decisions.
	reportInterval = 200 * time.Millisecond
	// minReportPause is the shortest pause between reports that are sent early.
	minReportPause = 20 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// evacuationTTL is how long VMs stay closed to new work while the fleet controller
	// that requested it does not answer: longer than it takes to replace it.
	evacuationTTL = 4 * time.Second
)

// evacuation holds the VMs of a pool that are to be evacuated, as of the answer to
// the pool's last report.
type evacuation struct {
	vms map[string]bool
	at  time.Time // when the report was sent
	// own is the owner that reported, term and stamp are those of the answer; zero without one.
	own   *owner.Owner
	term  int64
	stamp time.Duration
}

// reconcileController opens or closes the fleet controller. The caller holds the lock.
func (svc *Service) reconcileController(now time.Time, assigned map[int]bool) {
	if svc.controller != nil && (now.Sub(svc.confirmedAt) >= poolscheduler.OwnerGracePeriod || isClosed(svc.controller.Lost())) {
		delay := reopenDelay
		if isClosed(svc.controller.Crashed()) {
			delay = crashDelay
		}
		go svc.guard("closeController", svc.controller.Close)
		svc.controller, svc.retryAt[claim.Fleet()] = nil, now.Add(delay)
	}
	isBackingOff := now.Before(svc.retryAt[claim.Fleet()])
	if !assigned[controllerPartition] || svc.controller != nil || svc.opening[claim.Fleet()] || isBackingOff {
		return
	}
	svc.opening[claim.Fleet()] = true
	go func() {
		if !svc.guard("openController", svc.openController) {
			svc.deferClaim(claim.Fleet(), crashDelay)
		}
	}()
}

func (svc *Service) openController() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if !svc.shouldClaim(ctx, claim.Fleet()) {
		svc.deferClaim(claim.Fleet(), reopenDelay)
		return
	}
	ctl, err := fleetcontroller.Open(ctx, time.Now(), fleetcontroller.Config{
		Holder: svc.cfg.Name, Address: svc.cfg.PeerAddress, Partition: group.PartitionOf(fleetcontroller.RecordsName, svc.cfg.Partitions), OrderLease: svc.cfg.OrderLease, OrderRate: svc.cfg.OrderRate,
		StateLog: svc.cfg.StateLog, Directory: svc.cfg.Directory, Journal: svc.cfg.Journal, Table: svc.Table,
	})
	now := time.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, claim.Fleet())
	if err != nil {
		svc.retryAt[claim.Fleet()] = now.Add(reopenDelay)
		svc.cfg.Journal.Warn(now, "stewardNotOpened", slog.String("error", err.Error()))
		return
	}
	if svc.stopping.Load() {
		go svc.guard("closeController", ctl.Close)
		return
	}
	svc.controller = ctl
	for _, wav := range svc.waves {
		ctl.RequestWave(now, wav)
	}
}

// report sends the state of the owned pools to the fleet controller and applies its
// replies, which name the VMs to evacuate. Each report has the state as it is when it is sent, as the
// one before may have taken reportTimeout.
func (svc *Service) report(time.Time) {
	svc.mu.Lock()
	owners := maps.Clone(svc.owners)
	svc.mu.Unlock()
	for pool, own := range owners {
		svc.guard("report", func() { svc.reportPool(pool, own) })
	}
}

func (svc *Service) reportPool(pool string, own *owner.Owner) {
	now := time.Now()
	pol := own.BalanceInput(now)
	pol.HasAcks = true
	svc.mu.Lock()
	if last := svc.evacuations[pool]; last.own == own {
		pol.AckedTerm, pol.AckedAt = last.term, last.stamp
	}
	svc.mu.Unlock()
	rpl, err := svc.sendReport(now, pol)
	svc.applyReportReply(now, own, pool, rpl, err)
}

// requestReport makes the next report due at once.
func (svc *Service) requestReport() {
	select {
	case svc.reportRequested <- struct{}{}:
	default:
	}
}

// applyReportReply applies the reply to a report that the owner sent at now, or its lack.
func (svc *Service) applyReportReply(now time.Time, own *owner.Owner, pool string, rpl reportReplyJSON, err error) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if err == nil && rpl.Term != 0 && rpl.Term < svc.controllerTerm {
		// The present controller counts on the evacuations that it has asked for.
		svc.cfg.Journal.Event(now, "reportReplyIgnored", slog.String("pool", pool), slog.Int64("fence", rpl.Term), slog.Int64("latestFence", svc.controllerTerm))
		rpl, err = reportReplyJSON{}, fault.New(code.NotReady, "a later fleet controller has answered")
	}
	svc.controllerTerm = max(svc.controllerTerm, rpl.Term)
	if err != nil {
		if now.Sub(svc.evacuations[pool].at) < evacuationTTL {
			return
		}
		svc.controllerAddress = ""
	}
	evc := evacuation{vms: setOf(rpl.Evacuating), at: now, own: own, term: rpl.Term, stamp: time.Duration(rpl.Stamp)}
	svc.evacuations[pool] = evc
	if svc.owners[pool] != own {
		return // another term has begun, whose owner numbers revisions anew
	}
	own.SetEvacuating(now, evc.vms)
	own.SetTerminated(now, rpl.endedVMs())
	own.SetMaintenanceDue(setOf(rpl.MaintenanceDue))
	own.SetYielding(setOf(rpl.Yielding))
}

func setOf(vms []string) map[string]bool {
	set := make(map[string]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

func (svc *Service) sendReport(now time.Time, pol balance.Pool) (reportReplyJSON, error) {
	svc.mu.Lock()
	ctl, address := svc.activeController(now), svc.controllerAddress
	svc.mu.Unlock()
	if ctl != nil {
		return handleReport(now, ctl, pol), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var err error
	if address == "" {
		address, err = claim.FindOwner(ctx, svc.cfg.StateLog, claim.Fleet())
		if err != nil || address == "" {
			return reportReplyJSON{}, fault.New(code.NotReady, "this entry knows no fleet controller")
		}
		svc.mu.Lock()
		svc.controllerAddress = address
		svc.mu.Unlock()
	}
	var rpl reportReplyJSON
	if err = svc.link.Call(ctx, address, methodReport, encodePool(now, pol), &rpl); err != nil {
		svc.mu.Lock()
		svc.controllerAddress = ""
		svc.mu.Unlock()
	}
	return rpl, err
}

// activeController returns the fleet controller of this entry while the entry's
// membership is confirmed, or nil. Without the log the controller can send no orders
// and may have been replaced; if it still accepted reports, its successor would not
// learn the state of the pools. The caller holds the lock.
func (svc *Service) activeController(now time.Time) *fleetcontroller.Controller {
	if now.Sub(svc.confirmedAt) >= confirmationTTL {
		return nil
	}
	return svc.controller
}

func (svc *Service) serveReport(_ context.Context, params json.RawMessage) (any, error) {
	var msg poolJSON
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "decoding the report of a pool")
	}
	now := time.Now()
	ctl, err := svc.presentController(now)
	if err != nil {
		return nil, err
	}
	return handleReport(now, ctl, decodePool(now, msg)), nil
}

// presentController is activeController for callers without the lock. It fails if there is none.
func (svc *Service) presentController(now time.Time) (*fleetcontroller.Controller, error) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	ctl := svc.activeController(now)
	if ctl == nil {
		return nil, fault.New(code.NotReady, "this entry does not run the fleet controller")
	}
	return ctl, nil
}

// handleReport passes a report to the fleet controller and returns its reply.
func handleReport(now time.Time, ctl *fleetcontroller.Controller, pol balance.Pool) reportReplyJSON {
	evacuating, ended := ctl.HandleReport(now, pol)
	rpl := newReportReply(evacuating, ended, ctl.DueVMs(pol))
	rpl.Yielding = ctl.YieldingVMs(pol)
	term, at := ctl.Stamp()
	rpl.Term, rpl.Stamp = term, int64(at)
	return rpl
}

// poolJSON is the report of a pool, sent between entries. Times are sent as ages, as
// the entries' clocks differ.
type poolJSON struct {
	Name               string   `json:"name"`
	FencingToken       int64    `json:"fence,omitempty"`
	Demand             int64    `json:"wantedMilliCores"`
	LateDemand         int64    `json:"lateMilliCores,omitempty"`
	LongRunningDeficit int64    `json:"missingMilliCores,omitempty"`
	Work               int64    `json:"arrivedMilliCoreSeconds"`
	Jobs               int64    `json:"arrivedJobs"`
	VMs                []vmJSON `json:"vms"`
	HasAcks            bool     `json:"hasAcks,omitempty"`
	AckedTerm          int64    `json:"ackedTerm,omitempty"`
	AckedStamp         int64    `json:"ackedStamp,omitempty"` // in nanoseconds on the controller's clock
}

type vmJSON struct {
	ID             string `json:"id"`
	MilliCores     int64  `json:"milliCores"`
	Tasks          int    `json:"tasks,omitempty"`
	LongRunning    int    `json:"lasting,omitempty"`
	Yielding       int    `json:"yielding,omitempty"`
	FreeInMs       int64  `json:"freeInMs,omitempty"`
	AgeMs          int64  `json:"ageMs"`
	IsUsable       bool   `json:"isUsable,omitempty"`
	IsEvacuating   bool   `json:"isLeaving,omitempty"`
	IsUnresponsive bool   `json:"isSilent,omitempty"`
	Revision       int64  `json:"revision,omitempty"` // of an unresponsive VM
}

// reportReplyJSON is the fleet controller's reply to a report. Evacuating and MaintenanceDue list
// VM IDs.
type reportReplyJSON struct {
	Evacuating []string       `json:"leaving"`
	EndedVMs   []revisionJSON `json:"endedVMs,omitempty"`
	// Terminated has the IDs of VMs that were reported without a revision, by an owner of an
	// earlier version of the program. An owner ignores it: it does not say which incarnation
	// has ended, so leases have to expire.
	Terminated     []string `json:"ended"`
	MaintenanceDue []string `json:"due,omitempty"`
	Yielding       []string `json:"yielding,omitempty"` // of those that are to be evacuated
	// Term and Stamp are acknowledged by the next report; 0 from a controller of an earlier version.
	Term  int64 `json:"term,omitempty"`
	Stamp int64 `json:"stamp,omitempty"` // in nanoseconds on the controller's clock
}

// revisionJSON is a VM as its owner knew it when it sent the report.
type revisionJSON struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
}

// newReportReply returns the reply to a report.
func newReportReply(evacuating []string, ended []balance.VM, due []string) reportReplyJSON {
	rpl := reportReplyJSON{Evacuating: evacuating, MaintenanceDue: due}
	for _, vm := range ended {
		if vm.Revision == 0 {
			rpl.Terminated = append(rpl.Terminated, vm.ID)
			continue
		}
		rpl.EndedVMs = append(rpl.EndedVMs, revisionJSON{ID: vm.ID, Revision: vm.Revision})
	}
	return rpl
}

// endedVMs returns the VMs that have ended.
func (rpl *reportReplyJSON) endedVMs() []balance.VM {
	vms := make([]balance.VM, 0, len(rpl.EndedVMs))
	for _, end := range rpl.EndedVMs {
		vms = append(vms, balance.VM{ID: end.ID, Revision: end.Revision})
	}
	return vms
}

// maxAge caps the ages that are sent. A VM whose arrival in the pool was not seen has
// a zero time, whose age would be far longer.
const maxAge = time.Hour

func encodePool(now time.Time, pol balance.Pool) poolJSON {
	msg := poolJSON{Name: pol.Name, FencingToken: pol.FencingToken, Demand: pol.Demand, LateDemand: pol.LateDemand, LongRunningDeficit: pol.LongRunningDeficit, Work: pol.Arrived.Work, Jobs: pol.Arrived.Jobs, VMs: make([]vmJSON, 0, len(pol.VMs)),
		HasAcks: pol.HasAcks, AckedTerm: pol.AckedTerm, AckedStamp: int64(pol.AckedAt)}
	for _, vm := range pol.VMs {
		row := vmJSON{
			ID: vm.ID, MilliCores: vm.MilliCores, Tasks: vm.Tasks, LongRunning: vm.LongRunning, Yielding: vm.Yielding, FreeInMs: vm.FreeIn.Milliseconds(),
			AgeMs: min(now.Sub(vm.Since), maxAge).Milliseconds(), IsUsable: vm.IsUsable, IsEvacuating: vm.IsEvacuating, IsUnresponsive: vm.IsUnresponsive,
		}
		if vm.IsUnresponsive { // only such a VM may be said to have ended
			row.Revision = vm.Revision
		}
		msg.VMs = append(msg.VMs, row)
	}
	return msg
}

func decodePool(now time.Time, msg poolJSON) balance.Pool {
	pol := balance.Pool{Name: msg.Name, FencingToken: msg.FencingToken, Demand: msg.Demand, LateDemand: msg.LateDemand, LongRunningDeficit: msg.LongRunningDeficit, Arrived: arrivals.Sum{Work: msg.Work, Jobs: msg.Jobs},
		HasAcks: msg.HasAcks, AckedTerm: msg.AckedTerm, AckedAt: time.Duration(msg.AckedStamp)}
	for _, vm := range msg.VMs {
		pol.VMs = append(pol.VMs, balance.VM{
			ID: vm.ID, MilliCores: vm.MilliCores, Tasks: vm.Tasks, LongRunning: vm.LongRunning, Yielding: vm.Yielding, FreeIn: time.Duration(vm.FreeInMs) * time.Millisecond,
			Since: now.Add(-time.Duration(vm.AgeMs) * time.Millisecond), IsUsable: vm.IsUsable, IsEvacuating: vm.IsEvacuating, IsUnresponsive: vm.IsUnresponsive,
			Revision: vm.Revision,
		})
	}
	return pol
}
