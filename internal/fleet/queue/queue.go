// Package queue holds the configuration of the queues in force: which pool runs the
// jobs of which queue, and with which limits.
package queue

import (
	"sort"
	"strings"
	"time"
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
}

// Pool is a pool of VMs.
type Pool struct {
	Name      string
	IsStandby bool // its VMs are off
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	version int64
	queues  []Queue // longest prefix first
	pools   []Pool
}

// NewTable returns a Table with the queues in the order in which Match tries them.
func NewTable(version int64, queues []Queue, pools []Pool) *Table {
	tab := &Table{version: version, queues: append([]Queue(nil), queues...), pools: append([]Pool(nil), pools...)}
	sort.SliceStable(tab.queues, func(i, j int) bool { return len(tab.queues[i].Prefix) > len(tab.queues[j].Prefix) })
	sort.Slice(tab.pools, func(i, j int) bool { return tab.pools[i].Name < tab.pools[j].Name })
	return tab
}

// Version returns the version number of the configuration.
func (tab *Table) Version() int64 { return tab.version }

// Pools returns the pools in the order of their names.
func (tab *Table) Pools() []Pool { return tab.pools }

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
