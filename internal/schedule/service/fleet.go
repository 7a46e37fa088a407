package service

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"daisywheel/internal/fleet/arrivals"
	"daisywheel/internal/fleet/balance"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
	"daisywheel/internal/schedule/cell"
	"daisywheel/internal/schedule/claim"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/steward"
)

const (
	methodReport = "fleet.report"
	// reportEach is the pause between reports to the steward, one round of his.
	reportEach    = 200 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// leaveFor is how long VMs stay closed to new work while the steward that
	// asked for it is not heard: longer than it takes to replace him.
	leaveFor = 4 * time.Second
)

// leave is the answer to the last report of a pool.
type leave struct {
	vms map[string]bool
	at  time.Time
}

// reconcileSteward opens or closes the steward. The caller holds the lock.
func (svc *Service) reconcileSteward(now time.Time, dealt map[int]bool) {
	if svc.steward != nil && (now.Sub(svc.joinedAt) >= cell.OwnerReach || isClosed(svc.steward.Lost())) {
		go svc.steward.Close()
		svc.steward, svc.failedAt[steward.Name] = nil, now
	}
	isTried := now.Sub(svc.failedAt[steward.Name]) < reopenAfter
	if !dealt[stewardSeat] || svc.steward != nil || svc.opening[steward.Name] || isTried {
		return
	}
	svc.opening[steward.Name] = true
	go svc.openSteward()
}

func (svc *Service) openSteward() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if !svc.mayOwn(ctx, steward.Name) {
		svc.passOver(steward.Name)
		return
	}
	stw, err := steward.Open(ctx, time.Now(), steward.Config{
		Holder: svc.cfg.Name, Address: svc.cfg.PeerAddress, Partition: group.PartitionOf(steward.Name, svc.cfg.Partitions), OrderLease: svc.cfg.OrderLease, OrderRate: svc.cfg.OrderRate,
		Archive: svc.cfg.Archive, Directory: svc.cfg.Directory, Journal: svc.cfg.Journal, Table: svc.Table,
	})
	now := time.Now()
	svc.mu.Lock()
	defer svc.mu.Unlock()
	delete(svc.opening, steward.Name)
	if err != nil {
		svc.failedAt[steward.Name] = now
		svc.cfg.Journal.Warn(now, "stewardNotOpened", slog.String("error", err.Error()))
		return
	}
	if svc.stopping.Load() {
		go stw.Close()
		return
	}
	svc.steward = stw
	for _, wav := range svc.waves {
		stw.Request(now, wav)
	}
}

// report tells the steward how the owned pools stand, and takes in which VMs are
// to be emptied.
func (svc *Service) report(now time.Time) {
	svc.mu.Lock()
	pools := make([]balance.Pool, 0, len(svc.owners))
	for _, own := range svc.owners {
		pools = append(pools, own.Pool(now))
	}
	svc.mu.Unlock()
	for _, pol := range pools {
		wsh, err := svc.tellSteward(now, pol)
		svc.takeWishes(now, pol.Name, wsh, err)
	}
}

func (svc *Service) takeWishes(now time.Time, pool string, wsh wishForm, err error) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if err != nil {
		if now.Sub(svc.leaving[pool].at) < leaveFor {
			return
		}
		svc.fleetAt = ""
	}
	lve := leave{vms: setOf(wsh.Leaving), at: now}
	svc.leaving[pool] = lve
	if own := svc.owners[pool]; own != nil {
		own.SetLeaving(now, lve.vms)
		own.SetEnded(now, wsh.Ended)
		own.SetDue(setOf(wsh.Due))
	}
}

func setOf(vms []string) map[string]bool {
	set := make(map[string]bool, len(vms))
	for _, vm := range vms {
		set[vm] = true
	}
	return set
}

func (svc *Service) tellSteward(now time.Time, pol balance.Pool) (wishForm, error) {
	svc.mu.Lock()
	stw, address := svc.liveSteward(now), svc.fleetAt
	svc.mu.Unlock()
	if stw != nil {
		leaving, ended := stw.Report(now, pol)
		return wishForm{Leaving: leaving, Ended: ended, Due: stw.Due(pol)}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var err error
	if address == "" {
		address, err = claim.Find(ctx, svc.cfg.Archive, steward.Name)
		if err != nil || address == "" {
			return wishForm{}, fault.New(code.NotReady, "the fleet has no steward that is known here")
		}
		svc.mu.Lock()
		svc.fleetAt = address
		svc.mu.Unlock()
	}
	var wsh wishForm
	if err = svc.link.Call(ctx, address, methodReport, formOf(now, pol), &wsh); err != nil {
		svc.mu.Lock()
		svc.fleetAt = ""
		svc.mu.Unlock()
	}
	return wsh, err
}

// liveSteward returns the steward of this entry while its membership is confirmed.
// Without the store it can order nothing, and another may have taken over; reports
// that go on to it would keep the other one from knowing the pools. The caller
// holds the lock.
func (svc *Service) liveSteward(now time.Time) *steward.Steward {
	if now.Sub(svc.joinedAt) >= aliveWithin {
		return nil
	}
	return svc.steward
}

func (svc *Service) serveReport(_ context.Context, params json.RawMessage) (any, error) {
	var frm poolForm
	if err := json.Unmarshal(params, &frm); err != nil {
		return nil, fault.Wrap(err, code.BadRequest, "report of a pool")
	}
	now := time.Now()
	svc.mu.Lock()
	stw := svc.liveSteward(now)
	svc.mu.Unlock()
	if stw == nil {
		return nil, fault.New(code.NotReady, "this entry is not the steward of the fleet")
	}
	pol := poolOf(now, frm)
	leaving, ended := stw.Report(now, pol)
	return wishForm{Leaving: leaving, Ended: ended, Due: stw.Due(pol)}, nil
}

// poolForm is a report between entries. Times are ages, as clocks differ.
type poolForm struct {
	Name    string   `json:"name"`
	Wanted  int64    `json:"wantedMilliCores"`
	Late    int64    `json:"lateMilliCores,omitempty"`
	Missing int64    `json:"missingMilliCores,omitempty"`
	Work    int64    `json:"arrivedMilliCoreSeconds"`
	Jobs    int64    `json:"arrivedJobs"`
	VMs     []vmForm `json:"vms"`
}

type vmForm struct {
	ID         string `json:"id"`
	MilliCores int64  `json:"milliCores"`
	Tasks      int    `json:"tasks,omitempty"`
	Lasting    int    `json:"lasting,omitempty"`
	AgeMs      int64  `json:"ageMs"`
	IsUsable   bool   `json:"isUsable,omitempty"`
	IsLeaving  bool   `json:"isLeaving,omitempty"`
	IsSilent   bool   `json:"isSilent,omitempty"`
}

// wishForm is the steward's answer to a report.
type wishForm struct {
	Leaving []string `json:"leaving"`
	Ended   []string `json:"ended"`
	Due     []string `json:"due,omitempty"`
}

// longestAge stands for any longer time; a VM whose coming was not seen has none.
const longestAge = time.Hour

func formOf(now time.Time, pol balance.Pool) poolForm {
	frm := poolForm{Name: pol.Name, Wanted: pol.Wanted, Late: pol.Late, Missing: pol.Missing, Work: pol.Arrived.Work, Jobs: pol.Arrived.Jobs, VMs: make([]vmForm, 0, len(pol.VMs))}
	for _, vm := range pol.VMs {
		frm.VMs = append(frm.VMs, vmForm{
			ID: vm.ID, MilliCores: vm.MilliCores, Tasks: vm.Tasks, Lasting: vm.Lasting,
			AgeMs: min(now.Sub(vm.Since), longestAge).Milliseconds(), IsUsable: vm.IsUsable, IsLeaving: vm.IsLeaving, IsSilent: vm.IsSilent,
		})
	}
	return frm
}

func poolOf(now time.Time, frm poolForm) balance.Pool {
	pol := balance.Pool{Name: frm.Name, Wanted: frm.Wanted, Late: frm.Late, Missing: frm.Missing, Arrived: arrivals.Sum{Work: frm.Work, Jobs: frm.Jobs}}
	for _, vm := range frm.VMs {
		pol.VMs = append(pol.VMs, balance.VM{
			ID: vm.ID, MilliCores: vm.MilliCores, Tasks: vm.Tasks, Lasting: vm.Lasting,
			Since: now.Add(-time.Duration(vm.AgeMs) * time.Millisecond), IsUsable: vm.IsUsable, IsLeaving: vm.IsLeaving, IsSilent: vm.IsSilent,
		})
	}
	return pol
}
