// Package wire holds the JSON types of the operators' API, shared by the server
// and the command line client.
package wire

import "daisywheel/internal/pool/row"

// Row is one row of the pool table, the revision that set it and its author. The
// columns are those of row.Config.
type Row struct {
	Pool       string `json:"pool"`
	Service    string `json:"service"`
	Weight     int    `json:"weight"`
	TakeSlots  int    `json:"takeSlots"`
	LendSlots  int    `json:"lendSlots"`
	TakeVMs    int    `json:"takeVMs"`
	LendVMs    int    `json:"lendVMs"`
	DownVMs    int    `json:"downVMs"`
	Queue      int    `json:"queue"`
	DeadlineMs int    `json:"deadlineMs"`
	Note       string `json:"note"`
	Rev        int64  `json:"rev"`
	Author     string `json:"by"`
}

// FromRow converts a row to its JSON type.
func FromRow(cfg row.Config, rev int64, author string) Row {
	return Row{
		Pool: cfg.Pool, Service: cfg.Service, Weight: cfg.Weight, TakeSlots: cfg.TakeSlots, LendSlots: cfg.LendSlots,
		TakeVMs: cfg.TakeVMs, LendVMs: cfg.LendVMs, DownVMs: cfg.DownVMs, Queue: cfg.Queue,
		DeadlineMs: cfg.DeadlineMs, Note: cfg.Note, Rev: rev, Author: author,
	}
}

// Config converts the row back, without its revision and author.
func (rw Row) Config() row.Config {
	return row.Config{
		Pool: rw.Pool, Service: rw.Service, Weight: rw.Weight, TakeSlots: rw.TakeSlots, LendSlots: rw.LendSlots,
		TakeVMs: rw.TakeVMs, LendVMs: rw.LendVMs, DownVMs: rw.DownVMs, Queue: rw.Queue,
		DeadlineMs: rw.DeadlineMs, Note: rw.Note,
	}
}

// Table is the pool table as one entry has applied it. Offset is the log offset of
// the next record that the entry will apply.
type Table struct {
	Rev    int64 `json:"rev"`
	Offset int64 `json:"offset"`
	Rows   []Row `json:"rows"`
}

// Edit is a request to create or change one row. Base is the revision that the
// edit is based on, 0 for a new row. Repeating it with the same ChangeID has no
// further effect.
type Edit struct {
	Row      Row    `json:"row"`
	BaseRev  int64  `json:"base"`
	ChangeID string `json:"changeID"`
	Author   string `json:"by"`
}

// Answer is the reply to every change. Code, Name and Fix are those of the result
// code; Offset is the log offset of the change's record.
type Answer struct {
	Code           int      `json:"code"`
	Name           string   `json:"name"`
	Detail         string   `json:"detail,omitempty"`
	Fix            string   `json:"fix,omitempty"`
	ChangeID       string   `json:"changeID"`
	Offset         int64    `json:"offset"`
	Row            *Row     `json:"row,omitempty"` // the row as it stands afterwards
	InForceMs      int64    `json:"inForceMs"`     // until every entry had applied the change, or the wait timed out
	LaggingEntries []string `json:"behind"`        // entries not known to have applied the change by then
}

// TableChange is one change in the table's history, with its result code.
type TableChange struct {
	Offset int64  `json:"offset"`
	AtMs   int64  `json:"atMs"`
	Author string `json:"by"`
	Pool   string `json:"pool"`
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Delete bool   `json:"delete"`
}

// TableLog is the table's history, oldest first.
type TableLog struct {
	Changes []TableChange `json:"changes"`
}

// Entry is the status that one entry reports. Only Name and Zone are set when it
// cannot be reached. Offset is the log offset of the next record to apply, LagMs the
// time since the entry last read the log to its head.
type Entry struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Offset      int64  `json:"offset"`
	TableRev    int64  `json:"tableRev"`
	IsReachable bool   `json:"isReachable"`
	LagMs       int64  `json:"lagMs"`
	IsAtHead    bool   `json:"isAtHead"` // it has applied the log up to the newest head it has seen
}

// Status is the state of the system as one entry sees it. CutZones are the
// availability zones that other zones have found unreachable.
type Status struct {
	Entry    string   `json:"entry"`
	Zone     string   `json:"zone"`
	Ready    bool     `json:"ready"`
	Offset   int64    `json:"offset"`
	TableRev int64    `json:"tableRev"`
	LagMs    int64    `json:"lagMs"`
	Entries  []Entry  `json:"entries"`
	CutZones []string `json:"cutZones"`
}

// Pool is one pool. Slots, Used, Lent, Borrowed and Waiting are counts of the
// answering entry only.
type Pool struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	VMs         int    `json:"vms"`
	Unavailable int    `json:"unavailable"`
	DownVMs     int    `json:"downVMs"`
	Slots       int    `json:"slots"`
	Used        int    `json:"used"`
	Lent        int    `json:"lent"`
	Borrowed    int    `json:"borrowed"`
	Waiting     int    `json:"waiting"`
}

// Pools is the list of pools.
type Pools struct {
	Pools []Pool `json:"pools"`
}

// VM is one VM and its pool membership. Home is the pool that it returns to after a
// loan, Next the pool that it will join, WaitsFor the entries that have not yet
// confirmed that nothing of theirs is in flight on it.
type VM struct {
	Name         string   `json:"name"`
	Zone         string   `json:"zone"`
	Rack         string   `json:"rack"`
	Pool         string   `json:"pool"`
	Home         string   `json:"home"`
	Epoch        int64    `json:"epoch"`
	Phase        string   `json:"phase"`
	Status       string   `json:"status"`
	Next         string   `json:"next,omitempty"`
	Wave         string   `json:"wave,omitempty"`
	WaitsFor     []string `json:"waitsFor,omitempty"`
	Quarantined  bool     `json:"quarantined"`
	Cores        int      `json:"cores"`
	MemoryMB     int      `json:"memoryMB"`
	Accelerators int      `json:"accelerators"`
	Tasks        []string `json:"tasks,omitempty"`
}

// VMs is a list of VMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Move is a request to move a VM to another pool. With IsLoan the VM keeps its
// home pool. A stale Epoch, one that is not the present epoch of the VM, is refused.
type Move struct {
	To       string `json:"to"`
	IsLoan   bool   `json:"isLoan"`
	Epoch    int64  `json:"epoch"`
	ChangeID string `json:"changeID"`
	Author   string `json:"by"`
}

// Job is one job: what it asks for, and how it stands. Seconds is its expected run time,
// Fence the fencing token of the present placement, FailedOn the VMs on which it
// has failed.
type Job struct {
	Name         string   `json:"name"`
	Team         string   `json:"team"`
	Pool         string   `json:"pool,omitempty"`
	Kind         string   `json:"kind,omitempty"`
	Cores        int      `json:"cores"`
	MemoryMB     int      `json:"memoryMB"`
	Accelerators int      `json:"accelerators"`
	Priority     int      `json:"priority"`
	Seconds      int      `json:"seconds"`
	State        string   `json:"state,omitempty"`
	VM           string   `json:"vm,omitempty"`
	FencingToken int64    `json:"fence,omitempty"`
	FailedOn     []string `json:"failedOn,omitempty"`
	ChangeID     string   `json:"changeID,omitempty"`
	Author       string   `json:"by,omitempty"`
}

// Jobs is a list of jobs.
type Jobs struct {
	Jobs []Job `json:"jobs"`
}

// Wave is one maintenance wave. Skipped maps the VMs that it skipped to the reason.
type Wave struct {
	Name    string            `json:"name"`
	Author  string            `json:"by"`
	State   string            `json:"state"`
	Waiting []string          `json:"waiting"`
	Active  []string          `json:"active"`
	Done    []string          `json:"done"`
	Skipped map[string]string `json:"named"`
}

// Waves is a list of waves.
type Waves struct {
	Waves []Wave `json:"waves"`
}

// WaveStart is a request to start a wave over all VMs of the listed pools and the
// listed VMs.
type WaveStart struct {
	Name     string   `json:"name"`
	Pools    []string `json:"pools"`
	VMs      []string `json:"vms"`
	ChangeID string   `json:"changeID"`
	Author   string   `json:"by"`
}

// Change is the body of a request that needs only a change id and an author.
type Change struct {
	ChangeID string `json:"changeID"`
	Author   string `json:"by"`
}
