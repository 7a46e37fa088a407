// Package row defines one row of the operators' table: the weight and limits of
// one pool.
package row

import (
	"strconv"
	"strings"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Limits of the columns.
const (
	maxNameLen    = 63
	maxWeight     = 1000
	maxPercent    = 1000
	maxVMs        = 100000
	maxQueue      = 100000
	maxDeadlineMs = 600000
	maxNoteLen    = 500
)

// Config holds the columns of a Row. Percentages refer to the pool's own slots.
type Config struct {
	Pool       string
	Service    string
	Weight     int
	TakeSlots  int // percent of own slots that may be borrowed in addition
	LendSlots  int // percent of own slots that may be lent at once
	TakeVMs    int // VMs of other pools that the pool may hold
	LendVMs    int // VMs of the pool that may be in other pools
	DownVMs    int // VMs of the pool that may be down at once
	Queue      int // requests that may wait per entry
	DeadlineMs int // time limit of a request whose caller sets none
	Note       string
}

// Row is an immutable, validated row of the table.
type Row struct {
	cfg Config
}

// Columns returns the names of the columns in the order of the header.
func Columns() []string {
	return []string{"pool", "service", "weight", "takeSlots", "lendSlots", "takeVMs", "lendVMs", "downVMs", "queue", "deadlineMs", "note"}
}

// New validates cfg and returns the row. The error is a *fault.Fault that lists
// every invalid column and its valid values.
func New(cfg Config) (Row, error) {
	faults := checkNames(cfg)
	for _, bnd := range bounds(cfg) {
		if bnd.value < bnd.low || bnd.value > bnd.high {
			faults = append(faults, "column "+bnd.column+" is "+strconv.Itoa(bnd.value)+", must be "+
				strconv.Itoa(bnd.low)+" to "+strconv.Itoa(bnd.high))
		}
	}
	if len(faults) > 0 {
		return Row{}, fault.New(code.BadRow, "row %q: %s", cfg.Pool, strings.Join(faults, "; "))
	}
	return Row{cfg: cfg}, nil
}

// bound is the valid range of a column with a number.
type bound struct {
	column           string
	value, low, high int
}

func bounds(cfg Config) []bound {
	return []bound{
		{"weight", cfg.Weight, 1, maxWeight},
		{"takeSlots", cfg.TakeSlots, 0, maxPercent},
		{"lendSlots", cfg.LendSlots, 0, 100},
		{"takeVMs", cfg.TakeVMs, 0, maxVMs},
		{"lendVMs", cfg.LendVMs, 0, maxVMs},
		{"downVMs", cfg.DownVMs, 0, maxVMs},
		{"queue", cfg.Queue, 0, maxQueue},
		{"deadlineMs", cfg.DeadlineMs, 1, maxDeadlineMs},
	}
}

func checkNames(cfg Config) []string {
	var faults []string
	if !IsName(cfg.Pool) {
		faults = append(faults, "column pool must be 1 to 63 letters, digits, '-' or '_'")
	}
	if !IsName(cfg.Service) {
		faults = append(faults, "column service must be 1 to 63 letters, digits, '-' or '_'")
	}
	if len(cfg.Note) > maxNoteLen || strings.ContainsAny(cfg.Note, "\r\n\x00") {
		faults = append(faults, "column note must be one line of at most 500 bytes")
	}
	return faults
}

// IsName reports whether name is a valid name of a pool, a service or a job: 1 to
// 63 ASCII letters, digits, '-' or '_'.
func IsName(name string) bool {
	if name == "" || len(name) > maxNameLen {
		return false
	}
	for _, chr := range name {
		isLetter := chr >= 'a' && chr <= 'z' || chr >= 'A' && chr <= 'Z'
		isDigit := chr >= '0' && chr <= '9'
		if !isLetter && !isDigit && chr != '-' && chr != '_' {
			return false
		}
	}
	return true
}

// Config returns the columns.
func (rw Row) Config() Config { return rw.cfg }

// Pool returns the name of the pool.
func (rw Row) Pool() string { return rw.cfg.Pool }

// Service returns the service that the pool serves.
func (rw Row) Service() string { return rw.cfg.Service }

// Weight returns the pool's weight when lent slots are shared among pools.
func (rw Row) Weight() int { return rw.cfg.Weight }

// TakeSlots returns how many slots the pool may borrow, in percent of its own.
func (rw Row) TakeSlots() int { return rw.cfg.TakeSlots }

// LendSlots returns how many slots the pool may lend at once, in percent of its own.
func (rw Row) LendSlots() int { return rw.cfg.LendSlots }

// TakeVMs returns how many VMs of other pools the pool may hold.
func (rw Row) TakeVMs() int { return rw.cfg.TakeVMs }

// LendVMs returns how many VMs of the pool may be in other pools.
func (rw Row) LendVMs() int { return rw.cfg.LendVMs }

// DownVMs returns how many VMs of the pool may be down at once.
func (rw Row) DownVMs() int { return rw.cfg.DownVMs }

// Queue returns how many requests may wait at each entry.
func (rw Row) Queue() int { return rw.cfg.Queue }

// DeadlineMs returns the default time limit of a request in milliseconds.
func (rw Row) DeadlineMs() int { return rw.cfg.DeadlineMs }

// Note returns the operators' remark.
func (rw Row) Note() string { return rw.cfg.Note }
