// Package site runs a whole site on loopback: the stand-in platform, the entries and
// the VMs. Its plans have the sizes of the users' sites today.
package site

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/kernel/node"
	"daisywheel/internal/kernel/process"
	"daisywheel/internal/operator/client"
	"daisywheel/internal/operator/wire"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/settings/entry"
	"daisywheel/internal/standin/logservice"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/vmlist"
	"daisywheel/internal/state/fleet"
)

// Settings of every site.
const (
	listLag        = 300 * time.Millisecond
	usageLag       = 500 * time.Millisecond
	readyTimeout   = 20 * time.Second
	readyInterval  = 20 * time.Millisecond
	detectionTime  = 6 * time.Second // within which the entries must detect a failed VM
	balancerDelay  = 300 * time.Millisecond
	attemptTimeout = 5 * time.Second
	bodyTimeout    = 2 * time.Second
	vmsPerRack     = 4
)

// Plan describes a site.
type Plan struct {
	Name           string
	Zones          []string
	EntriesPerZone int
	Pools          []PoolPlan
	VMsPerPool     int
	VMShape        shape.Shape
	RebootTime     time.Duration
	ServiceTime    time.Duration
	CallerDelay    time.Duration
}

// PoolPlan is one pool of the plan.
type PoolPlan struct {
	Row row.Config
}

// Config holds what a Site needs besides its plan.
type Config struct {
	Plan   Plan
	Seed   uint64
	Events io.Writer // receives the JSON event lines of all processes
	Dial   DialFunc  // nil dials TCP
	Log    logservice.Config
}

// DialFunc opens a connection for the named entry. Tests replace it to count traffic
// or to cut an entry off.
type DialFunc func(ctx context.Context, entry, network, address string) (net.Conn, error)

// Site is a running site. It is safe for concurrent use.
type Site struct {
	cfg        Config
	logService *logservice.Service
	vmList     *vmlist.VMList
	platform   *http.Server
	baseURL    string
	token      string

	mu               sync.Mutex
	rnd              *rand.Rand
	vms              map[string]*simvm.VM
	vmOrder          []string
	entries          []*process.Process
	runCounts        map[string]int       // by request id
	crashedAt        map[string]time.Time // by VM, until it is replaced
	maxDown          map[string]int       // by pool
	budgetViolations int
	vmOfTask         map[string]string
	duplicateTasks   int
}

// lockedWriter lets many processes write lines to one writer without mixing them.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

// Write implements io.Writer.
func (lkw *lockedWriter) Write(data []byte) (int, error) {
	lkw.mu.Lock()
	defer lkw.mu.Unlock()
	return lkw.out.Write(data)
}

// Start starts the platform and the entries, applies the plan's table and starts the
// VMs.
func Start(cfg Config) (*Site, error) {
	if cfg.Events == nil {
		cfg.Events = io.Discard
	}
	cfg.Events = &lockedWriter{out: cfg.Events}
	ste := &Site{
		cfg: cfg, logService: logservice.New(cfg.Log), vmList: vmlist.New(vmlist.Config{Lag: listLag}),
		token: uuid.NewString(), rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), vms: map[string]*simvm.VM{},
		runCounts: map[string]int{}, crashedAt: map[string]time.Time{}, maxDown: map[string]int{}, vmOfTask: map[string]string{},
	}
	if err := ste.startPlatform(); err != nil {
		return nil, err
	}
	for _, zone := range cfg.Plan.Zones {
		for idx := range cfg.Plan.EntriesPerZone {
			if err := ste.AddEntry(zone, fmt.Sprintf("%s-e%d", zone, idx+1)); err != nil {
				return nil, err
			}
		}
	}
	if err := ste.awaitReady(); err != nil {
		return nil, err
	}
	if err := ste.applyTable(); err != nil {
		return nil, err
	}
	return ste, ste.startVMs()
}

func (ste *Site) startPlatform() error {
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/streams/", ste.logService.Handler())
	mux.Handle("/v1/vms", ste.vmList.Handler())
	ste.platform = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	ste.baseURL = "http://" + lsn.Addr().String()
	go func() { _ = ste.platform.Serve(lsn) }()
	return nil
}

// AddEntry starts an entry on a new VM of the zone.
func (ste *Site) AddEntry(zone, name string) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return err
	}
	set, err := entry.New(entry.Config{
		Name: name, Zone: zone, VM: "vm-" + name, OperatorToken: ste.token,
		CallerAddress: addresses[0], OperatorAddress: addresses[1], PeerAddress: addresses[2],
		LogService: ste.baseURL, VMList: ste.baseURL, IsLendingEnabled: true, BalancerDelay: balancerDelay, AttemptTimeout: attemptTimeout,
		BodyTimeout: bodyTimeout,
		Peers:       ste.peerAddresses(),
	})
	if err != nil {
		return err
	}
	jnl := journal.New(journal.Config{Out: ste.cfg.Events, Process: name, Zone: zone})
	prc, err := process.Start(node.Config{Settings: set, Seed: ste.cfg.Seed, Dial: ste.dialFor(name), Journal: jnl})
	if err != nil {
		return err
	}
	ste.vmList.Add(time.Now(), member.Config{VM: "vm-" + name, Zone: zone}, true)
	ste.mu.Lock()
	defer ste.mu.Unlock()
	ste.entries = append(ste.entries, prc)
	return nil
}

func (ste *Site) dialFor(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	if ste.cfg.Dial == nil {
		return nil
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return ste.cfg.Dial(ctx, name, network, address)
	}
}

func (ste *Site) peerAddresses() []string {
	var addresses []string
	for _, prc := range ste.Entries() {
		addresses = append(addresses, prc.Node().Settings().PeerAddress)
	}
	return addresses
}

// freeAddresses returns loopback addresses that nothing listens on.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free address")
		}
		addresses = append(addresses, lsn.Addr().String())
		defer func() { _ = lsn.Close() }()
	}
	return addresses, nil
}

func (ste *Site) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, prc := range ste.Entries() {
			if prc.Node().IsReady() {
				ready++
			}
		}
		if ready == len(ste.Entries()) {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return errors.Newf("the entries were not ready after %s", readyTimeout)
}

// applyTable writes the plan's rows through the operator API.
func (ste *Site) applyTable() error {
	cln := ste.Client()
	for _, pln := range ste.cfg.Plan.Pools {
		ste.maxDown[pln.Row.Pool] = pln.Row.DownVMs
		edt := wire.Edit{Row: wire.FromRow(pln.Row, 0, ""), ChangeID: uuid.NewString(), Author: "set-up"}
		_, err := cln.Change(context.Background(), http.MethodPut, "/v1/table/rows/"+pln.Row.Pool, edt)
		if err != nil {
			return errors.Wrapf(err, "write row %s", pln.Row.Pool)
		}
	}
	return nil
}

func (ste *Site) startVMs() error {
	plan := ste.cfg.Plan
	count := 0
	zoneCounts := map[string]int{}
	for idx := range plan.VMsPerPool {
		for poolIdx, pln := range plan.Pools {
			zone := plan.Zones[(idx+poolIdx)%len(plan.Zones)]
			rack := fmt.Sprintf("%s-r%d", zone, zoneCounts[zone]/vmsPerRack+1)
			zoneCounts[zone]++
			name := fmt.Sprintf("%s-%02d", pln.Row.Pool, idx+1)
			if err := ste.startVM(name, zone, rack, pln.Row.Pool); err != nil {
				return err
			}
			count++
		}
	}
	return ste.awaitVMs(count)
}

func (ste *Site) startVM(name, zone, rack, pool string) error {
	vm, err := simvm.Start(simvm.Config{
		Facts:      member.Config{VM: name, Zone: zone, Rack: rack, Pool: pool, Shape: ste.cfg.Plan.VMShape},
		RebootTime: ste.cfg.Plan.RebootTime, UsageLag: usageLag, ServiceTime: ste.serviceTime,
		OnRun: ste.countRun, OnReboot: ste.checkReboot, OnTask: ste.trackTask,
	})
	if err != nil {
		return errors.Wrapf(err, "start VM %s", name)
	}
	ste.mu.Lock()
	ste.vms[name] = vm
	ste.vmOrder = append(ste.vmOrder, name)
	ste.mu.Unlock()
	ste.vmList.Add(time.Now(), vm.Facts(), false)
	return nil
}

// awaitVMs waits until every entry serves by all VMs. Each reads the log by itself, and one that is behind refuses requests
// as if its zone had no VMs.
func (ste *Site) awaitVMs(count int) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		behind := 0
		for _, prc := range ste.Entries() {
			if !servesBy(prc.Node(), count) {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		time.Sleep(readyInterval)
	}
	return errors.Newf("the VMs were not in service at every entry after %s", readyTimeout)
}

// servesBy reports whether the entry knows so many VMs and has opened its shares of those of its zone.
func servesBy(nod *node.Node, count int) bool {
	known, slots := 0, map[string]int{} // slots by pool
	nod.Replica().View(func(flt *fleet.Fleet) {
		set := nod.Settings()
		for _, zone := range flt.Zones() {
			for _, vm := range flt.VMsIn(zone) {
				known++
				if mbr, ok := flt.Member(vm); ok && zone == set.Zone {
					slots[mbr.Pool()] += flt.Share(set.Name, vm, node.SlotsPerVM)
				}
			}
		}
	})
	for pool, want := range slots {
		if want == 0 || nod.Dispatcher().Stats(pool).Slots != want {
			return false
		}
	}
	return known == count
}

// serviceTime returns a random time of 0.5 to 1.5 times the plan's service time.
func (ste *Site) serviceTime(*http.Request) time.Duration {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	return time.Duration((0.5 + ste.rnd.Float64()) * float64(ste.cfg.Plan.ServiceTime))
}

// Client returns an operator client for the running entries.
func (ste *Site) Client() *client.Client {
	var addresses []string
	for _, prc := range ste.Entries() {
		addresses = append(addresses, prc.Node().Settings().OperatorAddress)
	}
	return client.New(client.Config{Addresses: addresses, Token: ste.token})
}

// Token returns the operator token.
func (ste *Site) Token() string { return ste.token }

// Entries returns the running entries.
func (ste *Site) Entries() []*process.Process {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	return append([]*process.Process(nil), ste.entries...)
}

// LogService returns the stand-in log service.
func (ste *Site) LogService() *logservice.Service { return ste.logService }

// VMList returns the stand-in VM list.
func (ste *Site) VMList() *vmlist.VMList { return ste.vmList }

// VM returns the stand-in VM with the name, or nil.
func (ste *Site) VM(name string) *simvm.VM {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	return ste.vms[name]
}

// VMs returns the names of all VMs in the order in which they started.
func (ste *Site) VMs() []string {
	ste.mu.Lock()
	defer ste.mu.Unlock()
	return append([]string(nil), ste.vmOrder...)
}

// StopEntry stops the entry gracefully and lists its VM as gone.
func (ste *Site) StopEntry(name string) {
	ste.mu.Lock()
	var found *process.Process
	for idx, prc := range ste.entries {
		if prc.Node().Settings().Name == name {
			found = prc
			ste.entries = append(ste.entries[:idx:idx], ste.entries[idx+1:]...)
			break
		}
	}
	ste.mu.Unlock()
	if found == nil {
		return
	}
	found.Stop()
	found.Node().Journal().Close()
	ste.vmList.Set(time.Now(), "vm-"+name, member.Gone)
}

// CrashVM crashes a VM and lists it as gone.
func (ste *Site) CrashVM(name string) {
	now := time.Now()
	ste.mu.Lock()
	vm := ste.vms[name]
	ste.crashedAt[name] = now
	ste.mu.Unlock()
	vm.Crash()
	ste.vmList.Set(now, name, member.Gone)
}

// ReplaceVM starts a new VM in place of a crashed one.
func (ste *Site) ReplaceVM(name string) error {
	old := ste.VM(name).Facts()
	err := ste.startVM(name+"-new", old.Zone, old.Rack, old.Pool)
	ste.mu.Lock()
	defer ste.mu.Unlock()
	delete(ste.crashedAt, name)
	delete(ste.vms, name)
	ste.vmOrder = slices.DeleteFunc(ste.vmOrder, func(listed string) bool { return listed == name })
	return err
}

// Stop stops the entries, the VMs and the platform.
func (ste *Site) Stop() {
	var wtg sync.WaitGroup
	for _, prc := range ste.Entries() {
		wtg.Go(func() {
			prc.Stop()
			prc.Node().Journal().Close()
		})
	}
	wtg.Wait()
	for _, name := range ste.VMs() {
		ste.VM(name).Close()
	}
	_ = ste.platform.Close()
}

// PlatformBase returns the base URL of the stand-in platform.
func (ste *Site) PlatformBase() string { return ste.baseURL }
