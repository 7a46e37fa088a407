// Package wire holds the JSON forms of the operators' interface, shared by the
// server and the command line.
package wire

import "daisywheel/internal/pool/row"

// Row is one row of the table with its revision.
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

// FromRow returns the JSON form of a row.
func FromRow(cfg row.Config, rev int64, author string) Row {
	return Row{
		Pool: cfg.Pool, Service: cfg.Service, Weight: cfg.Weight, TakeSlots: cfg.TakeSlots, LendSlots: cfg.LendSlots,
		TakeVMs: cfg.TakeVMs, LendVMs: cfg.LendVMs, DownVMs: cfg.DownVMs, Queue: cfg.Queue,
		DeadlineMs: cfg.DeadlineMs, Note: cfg.Note, Rev: rev, Author: author,
	}
}

// Config returns the columns of the row.
func (rw Row) Config() row.Config {
	return row.Config{
		Pool: rw.Pool, Service: rw.Service, Weight: rw.Weight, TakeSlots: rw.TakeSlots, LendSlots: rw.LendSlots,
		TakeVMs: rw.TakeVMs, LendVMs: rw.LendVMs, DownVMs: rw.DownVMs, Queue: rw.Queue,
		DeadlineMs: rw.DeadlineMs, Note: rw.Note,
	}
}

// Table is the table in force at one entry.
type Table struct {
	Rev    int64 `json:"rev"`
	Offset int64 `json:"offset"`
	Rows   []Row `json:"rows"`
}

// Edit asks for a change of one row. Base is the revision that it is based on,
// 0 for a new row. A repeat with the same ChangeID has no further effect.
type Edit struct {
	Row      Row    `json:"row"`
	Base     int64  `json:"base"`
	ChangeID string `json:"changeID"`
	Author   string `json:"by"`
}

// Answer is the answer to every change.
type Answer struct {
	Code      int      `json:"code"`
	Name      string   `json:"name"`
	Detail    string   `json:"detail,omitempty"`
	Fix       string   `json:"fix,omitempty"`
	ChangeID  string   `json:"changeID"`
	Offset    int64    `json:"offset"`
	Row       *Row     `json:"row,omitempty"` // the row as it now stands
	InForceMs int64    `json:"inForceMs"`     // until every reachable entry had the change
	Behind    []string `json:"behind"`        // entries that have not shown it
}

// TableChange is one line of the table's history.
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

// Entry is what one entry says of itself, or that it cannot be reached.
type Entry struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Offset      int64  `json:"offset"`
	TableRev    int64  `json:"tableRev"`
	IsReachable bool   `json:"isReachable"`
	LagMs       int64  `json:"lagMs"`
	IsAtHead    bool   `json:"isAtHead"`
}

// Status is the state of the system as one entry sees it.
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

// Pool is one pool with its present use at the answering entry.
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

// VM is one VM.
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

// Move asks for a VM to serve another pool. With IsLoan the VM keeps its home.
type Move struct {
	To       string `json:"to"`
	IsLoan   bool   `json:"isLoan"`
	Epoch    int64  `json:"epoch"`
	ChangeID string `json:"changeID"`
	Author   string `json:"by"`
}

// Job is one job.
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
	Fence        int64    `json:"fence,omitempty"`
	FailedOn     []string `json:"failedOn,omitempty"`
	ChangeID     string   `json:"changeID,omitempty"`
	Author       string   `json:"by,omitempty"`
}

// Jobs is a list of jobs.
type Jobs struct {
	Jobs []Job `json:"jobs"`
}

// Wave is one maintenance wave.
type Wave struct {
	Name    string            `json:"name"`
	Author  string            `json:"by"`
	State   string            `json:"state"`
	Waiting []string          `json:"waiting"`
	Active  []string          `json:"active"`
	Done    []string          `json:"done"`
	Named   map[string]string `json:"named"`
}

// Waves is a list of waves.
type Waves struct {
	Waves []Wave `json:"waves"`
}

// WaveStart asks for a wave over the VMs of the pools and the VMs named.
type WaveStart struct {
	Name     string   `json:"name"`
	Pools    []string `json:"pools"`
	VMs      []string `json:"vms"`
	ChangeID string   `json:"changeID"`
	Author   string   `json:"by"`
}

// Change asks for an act without further fields.
type Change struct {
	ChangeID string `json:"changeID"`
	Author   string `json:"by"`
}
