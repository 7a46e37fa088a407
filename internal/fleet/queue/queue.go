// Package queue holds the configuration of the queues in force: which pool runs the
// jobs of which queue, and with which limits.
package queue

import (
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/fleet/organisation"
)

// Queue is one queue of jobs.
type Queue struct {
	Name           string
	Host           string
	Prefix         string
	Pool           string
	Priority       int // 0 comes first
	MaxAttempts    int
	DeadlineFactor float64       // the deadline allows DeadlineFactor times the longest chain of steps, plus LatencyGoal
	LatencyGoal    time.Duration // see DeadlineFactor
	NeedsAdvice    bool          // the advice service must allow a VM before a task starts there
	NeedsKey       bool          // callers must send the API key of an organisation
	// Organisation is that of the caller, in the copy of the queue that one request carries; else empty.
	Organisation string
	Version      int64 // of the configuration that the queue is from; set by NewTable
	// Since is the first version, of those known to this process without a gap, by which the queue has
	// its pool. Set by NewTable and After.
	Since   int64
	address string // see Address; set by NewTable
}

// Address returns the host and prefix at which callers ask. It tells queues apart over
// versions of the configuration, as a queue may get another name. The host of a queue that can be reached has no slash,
// and its prefix begins with one; others are told from these by the quotation mark.
func (que *Queue) Address() string {
	if que.address != "" {
		return que.address
	}
	if strings.ContainsAny(que.Host, `/"`) || que.Prefix != "" && !strings.HasPrefix(que.Prefix, "/") {
		return strconv.Quote(que.Host) + que.Prefix
	}
	return que.Host + que.Prefix
}

// Ref returns the reference to the queue for a request to an owner.
func (que *Queue) Ref() Ref {
	return Ref{Name: que.Name, Address: que.Address(), Version: que.Version, Organisation: que.Organisation}
}

// Ref names a queue in a request to an owner. Entries of earlier versions of the program
// send only the name, or none.
type Ref struct {
	Name    string
	Address string
	Version int64 // of the configuration by which the sender routes; 0 if unknown
	// Organisation is that of the caller, or the one that submitted a job; empty if unknown, or for a queue that
	// needs no key.
	Organisation string
}

// MayShow reports whether a caller with this reference may see a job with the other one.
func (ref Ref) MayShow(job Ref) bool {
	return ref.Organisation == "" || job.Organisation == "" || ref.Organisation == job.Organisation
}

// IsSame reports whether both refer to the same queue: callers ask for it at the same
// address, or it has kept its name.
func (ref Ref) IsSame(other Ref) bool {
	return ref.Name == other.Name || ref.Address != "" && ref.Address == other.Address
}

// Pool is a pool of VMs.
type Pool struct {
	Name      string
	IsStandby bool // its VMs are off
}

// maxPoolBytes bounds the name of a pool. Keys of the log have 255 bytes at most, and consist of the name and up to 33
// more, or the id of a VM.
const maxPoolBytes = 200

// check returns an error if the pool can't be served for its name.
func (pol Pool) check() error {
	switch {
	case pol.Name == "":
		return errors.New("a pool has no name")
	case len(pol.Name) > maxPoolBytes:
		return errors.Newf("name of pool %.80q has %d bytes, at most %d", pol.Name, len(pol.Name), maxPoolBytes)
	}
	return nil
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version  int64
	queues   []Queue // longest prefix first
	pools    []Pool
	orgs     *organisation.Set
	maxBody  int64
	unusable []error
}

// NewTable returns a Table with the queues in the order in which Match tries them. It leaves out pools whose names can't be
// used, see Unusable.
func NewTable(version int64, queues []Queue, pools []Pool) *Table {
	tab := &Table{version: version, queues: append([]Queue(nil), queues...)}
	for _, pol := range pools {
		if err := pol.check(); err != nil {
			tab.unusable = append(tab.unusable, err)
			continue
		}
		tab.pools = append(tab.pools, pol)
	}
	for i := range tab.queues {
		que := &tab.queues[i]
		que.Version, que.Since = version, version
		que.address = "" // of another table, if the queue was changed since
		que.address = que.Address()
	}
	sort.SliceStable(tab.queues, func(i, j int) bool { return len(tab.queues[i].Prefix) > len(tab.queues[j].Prefix) })
	sort.Slice(tab.pools, func(i, j int) bool { return tab.pools[i].Name < tab.pools[j].Name })
	return tab
}

// WithOrganisations returns the table with organisations, which must not be changed any more.
func (tab *Table) WithOrganisations(orgs *organisation.Set) *Table {
	next := *tab
	next.orgs = orgs
	return &next
}

// Organisations returns the organisations; nil if the configuration has none.
func (tab *Table) Organisations() *organisation.Set { return tab.orgs }

// WithUnusable returns the table with further reasons why something of the configuration is not in it.
func (tab *Table) WithUnusable(reasons []error) *Table {
	next := *tab
	next.unusable = append(slices.Clip(tab.unusable), reasons...)
	return &next
}

// Unusable returns the reasons why pools and organisations of the configuration are not in the table.
func (tab *Table) Unusable() []error { return tab.unusable }

// WithMaxBody returns the table with the largest body of a caller's request in bytes.
func (tab *Table) WithMaxBody(bytes int64) *Table {
	next := *tab
	next.maxBody = bytes
	return &next
}

// MaxBody returns the largest body of a caller's request in bytes, 0 if the configuration has no limit.
func (tab *Table) MaxBody() int64 { return tab.maxBody }

// After returns the table as the next one after old, with no other between them.
func (tab *Table) After(old *Table) *Table {
	if old == nil {
		return tab
	}
	next := *tab
	next.queues = slices.Clone(tab.queues)
	for i := range next.queues {
		que := &next.queues[i]
		if last, ok := old.At(que.Address()); ok && last.Pool == que.Pool {
			que.Since = last.Since
		}
	}
	return &next
}

// IsRerouted reports whether the queue has got its pool, as far as is known, by a later version of the
// configuration than the reference's, whose pool may then be another one.
func (que *Queue) IsRerouted(ref Ref) bool { return ref.Version != 0 && ref.Version < que.Since }

// At returns the queue with the address.
func (tab *Table) At(address string) (Queue, bool) {
	for i := range tab.queues {
		if tab.queues[i].Address() == address {
			return tab.queues[i], true
		}
	}
	return Queue{}, false
}

// Version returns the version number of the configuration.
func (tab *Table) Version() int64 { return tab.version }

// Pools returns the pools in the order of their names.
func (tab *Table) Pools() []Pool { return tab.pools }

// IsActive reports whether the pool is configured and its VMs are on.
func (tab *Table) IsActive(pool string) bool {
	return slices.Contains(tab.pools, Pool{Name: pool})
}

// Queues returns the queues in the order in which Match tries them.
func (tab *Table) Queues() []Queue { return tab.queues }

// Match returns the queue with the request's host and the longest matching prefix, and
// the rest of the path.
func (tab *Table) Match(host, path string) (que Queue, rest string, ok bool) {
	for i := range tab.queues {
		if tab.queues[i].Host == host && strings.HasPrefix(path, tab.queues[i].Prefix) {
			return tab.queues[i], path[len(tab.queues[i].Prefix):], true
		}
	}
	return Queue{}, "", false
}

// ByName returns the queue with the name.
func (tab *Table) ByName(name string) (Queue, bool) {
	for i := range tab.queues {
		if tab.queues[i].Name == name {
			return tab.queues[i], true
		}
	}
	return Queue{}, false
}

// Find returns the queue with the address of the reference, or else with its name.
func (tab *Table) Find(ref Ref) (Queue, bool) {
	if que, ok := tab.At(ref.Address); ok && ref.Address != "" {
		return que, true
	}
	return tab.ByName(ref.Name)
}
