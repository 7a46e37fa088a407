// Package table reads and writes the operators' table as CSV with a header line.
package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Limits of a table.
const (
	maxBytes      = 4 << 20
	maxRows       = 10000
	byteOrderMark = "\xef\xbb\xbf" // UTF-8 byte order mark, which spreadsheet programs write
)

// Table is a validated set of rows, sorted by pool.
type Table struct {
	rows []row.Row
}

// New returns a table of the rows. The error lists all conflicts between rows.
func New(rows []row.Row) (Table, error) {
	tbl := Table{rows: append([]row.Row(nil), rows...)}
	sort.Slice(tbl.rows, func(i, j int) bool { return tbl.rows[i].Pool() < tbl.rows[j].Pool() })
	faults := conflicts(tbl.rows)
	if len(faults) > 0 {
		return Table{}, fault.New(code.BadTable, "%s", strings.Join(faults, "; "))
	}
	return tbl, nil
}

func conflicts(rows []row.Row) []string {
	var faults []string
	pools := map[string]bool{}
	services := map[string]string{}
	for _, rw := range rows {
		if pools[rw.Pool()] {
			faults = append(faults, fmt.Sprintf("pool %q has two rows, remove one", rw.Pool()))
		}
		pools[rw.Pool()] = true
		if oth, ok := services[rw.Service()]; ok && oth != rw.Pool() {
			faults = append(faults, fmt.Sprintf("service %q is served by pools %q and %q, must be one", rw.Service(), oth, rw.Pool()))
		}
		services[rw.Service()] = rw.Pool()
	}
	return faults
}

// Rows returns the rows sorted by pool.
func (tbl Table) Rows() []row.Row { return append([]row.Row(nil), tbl.rows...) }

// Row returns the row of the pool.
func (tbl Table) Row(pool string) (row.Row, bool) {
	for _, rw := range tbl.rows {
		if rw.Pool() == pool {
			return rw, true
		}
	}
	return row.Row{}, false
}

// Parse reads a table from CSV. It accepts CRLF line ends, a UTF-8 byte order
// mark and columns in any order; the note column is optional. The error lists
// all faults with their lines.
func Parse(data []byte) (Table, error) {
	if len(data) > maxBytes {
		return Table{}, fault.New(code.BadTable, "the table has %d bytes, must have at most %d", len(data), maxBytes)
	}
	if bytes.HasPrefix(data, []byte("\xff\xfe")) || bytes.HasPrefix(data, []byte("\xfe\xff")) || !utf8.Valid(data) {
		return Table{}, fault.New(code.BadTable, "the file is not UTF-8, save it as CSV UTF-8")
	}
	rdr := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte(byteOrderMark))))
	rdr.FieldsPerRecord = -1
	records, err := rdr.ReadAll()
	if err != nil {
		return Table{}, fault.New(code.BadTable, "%v", err)
	}
	if len(records) == 0 {
		return Table{}, fault.New(code.BadTable, "line 1: the header is missing, must be %s", strings.Join(row.Columns(), ","))
	}
	if len(records) > maxRows+1 {
		return Table{}, fault.New(code.BadTable, "the table has %d rows, must have at most %d", len(records)-1, maxRows)
	}
	indexes, faults := parseHeader(records[0])
	var rows []row.Row
	for idx, record := range records[1:] {
		if len(faults) > 0 && len(indexes) == 0 {
			break
		}
		rw, rowFaults := parseRow(idx+2, indexes, len(records[0]), record)
		faults = append(faults, rowFaults...)
		rows = append(rows, rw)
	}
	if len(faults) > 0 {
		return Table{}, fault.New(code.BadTable, "%s", strings.Join(faults, "; "))
	}
	return New(rows)
}

// parseHeader returns the index of each column, and the faults of the header.
func parseHeader(record []string) (map[string]int, []string) {
	indexes := map[string]int{}
	var faults []string
	known := map[string]bool{}
	for _, column := range row.Columns() {
		known[column] = true
	}
	for idx, column := range record {
		column = strings.TrimSpace(column)
		if !known[column] {
			faults = append(faults, fmt.Sprintf("line 1: unknown column %q, must be one of %s", column, strings.Join(row.Columns(), ",")))
			continue
		}
		if _, isRepeated := indexes[column]; isRepeated {
			faults = append(faults, fmt.Sprintf("line 1: column %q appears twice, remove one", column))
		}
		indexes[column] = idx
	}
	for _, column := range row.Columns() {
		if _, ok := indexes[column]; !ok && column != "note" {
			faults = append(faults, fmt.Sprintf("line 1: column %q is missing", column))
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return indexes, nil
}

func parseRow(line int, indexes map[string]int, width int, record []string) (row.Row, []string) {
	if len(record) != width {
		return row.Row{}, []string{fmt.Sprintf("line %d: has %d columns, must have %d", line, len(record), width)}
	}
	var faults []string
	text := func(column string) string {
		idx, ok := indexes[column]
		if !ok {
			return ""
		}
		return strings.TrimSpace(record[idx])
	}
	number := func(column string) int {
		value, err := strconv.Atoi(text(column))
		if err != nil {
			faults = append(faults, fmt.Sprintf("line %d: column %s is %q, must be a whole number", line, column, text(column)))
		}
		return value
	}
	cfg := row.Config{
		Pool: text("pool"), Service: text("service"), Weight: number("weight"),
		TakeSlots: number("takeSlots"), LendSlots: number("lendSlots"),
		TakeVMs: number("takeVMs"), LendVMs: number("lendVMs"), DownVMs: number("downVMs"),
		Queue: number("queue"), DeadlineMs: number("deadlineMs"), Note: text("note"),
	}
	if len(faults) > 0 {
		return row.Row{}, faults
	}
	rw, err := row.New(cfg)
	if err != nil {
		return row.Row{}, []string{fmt.Sprintf("line %d: %s", line, detailOf(err))}
	}
	return rw, nil
}

func detailOf(err error) string {
	flt, ok := err.(*fault.Fault)
	if !ok {
		return err.Error()
	}
	return flt.Detail()
}

// Format writes the table as CSV with a header.
func (tbl Table) Format() []byte {
	var out bytes.Buffer
	wrt := csv.NewWriter(&out)
	// Writes to a bytes.Buffer never fail.
	_ = wrt.Write(row.Columns())
	for _, rw := range tbl.rows {
		_ = wrt.Write(Fields(rw))
	}
	wrt.Flush()
	return out.Bytes()
}

// Fields returns the columns of the row as text, in the order of row.Columns.
func Fields(rw row.Row) []string {
	cfg := rw.Config()
	return []string{
		cfg.Pool, cfg.Service, strconv.Itoa(cfg.Weight), strconv.Itoa(cfg.TakeSlots), strconv.Itoa(cfg.LendSlots),
		strconv.Itoa(cfg.TakeVMs), strconv.Itoa(cfg.LendVMs), strconv.Itoa(cfg.DownVMs),
		strconv.Itoa(cfg.Queue), strconv.Itoa(cfg.DeadlineMs), cfg.Note,
	}
}

// SetField returns cfg with one column set from text.
func SetField(cfg row.Config, column, text string) (row.Config, error) {
	numbers := map[string]*int{
		"weight": &cfg.Weight, "takeSlots": &cfg.TakeSlots, "lendSlots": &cfg.LendSlots, "takeVMs": &cfg.TakeVMs,
		"lendVMs": &cfg.LendVMs, "downVMs": &cfg.DownVMs, "queue": &cfg.Queue, "deadlineMs": &cfg.DeadlineMs,
	}
	switch column {
	case "service":
		cfg.Service = text
		return cfg, nil
	case "note":
		cfg.Note = text
		return cfg, nil
	}
	field, ok := numbers[column]
	if !ok {
		return cfg, fault.New(code.BadRow, "unknown column %q, must be one of %s", column, strings.Join(row.Columns()[1:], ","))
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		return cfg, fault.New(code.BadRow, "column %s is %q, must be a whole number", column, text)
	}
	*field = value
	return cfg, nil
}
