package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"daisywheel/internal/operator/wire"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/pool/table"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

var cmdTable = command{
	name:    "table",
	args:    "check|diff|apply|get|set|delete|log|status",
	summary: "read and edit the table of weights and limits",
	run: func(env *env, args []string) error {
		return dispatchSub(env, "table", tableCommands, args)
	},
}

var tableCommands = []command{
	{"check", "FILE", "check a table without sending it", tableCheck},
	{"diff", "FILE", "compare the table in force with a file; exit 0 equal, 1 different, 2 trouble", tableDiff},
	{"apply", "[-prune] FILE", "change the rows that differ from the file, row by row", tableApply},
	{"get", "[POOL]", "print the table in force as CSV, or one row", tableGet},
	{"set", "POOL COLUMN=VALUE...", "change columns of one row", tableSet},
	{"delete", "POOL", "delete the row of a pool without VMs", tableDelete},
	{"log", "", "show the latest changes and who made them", tableLog},
	{"status", "", "show the table's revision at each entry", tableStatus},
}

func readTable(path string) (table.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return table.Table{}, fault.Wrap(err, code.BadTable, "read")
	}
	return table.Parse(data)
}

func tableCheck(env *env, args []string) error {
	rest, err := parse(env.flags("table check"), args)
	if err != nil {
		return err
	}
	if len(rest) != 1 {
		return fault.New(code.BadUsage, "table check takes one file")
	}
	tbl, err := readTable(rest[0])
	if err != nil {
		return err
	}
	env.printf("%s: %d rows are valid\n", rest[0], len(tbl.Rows()))
	return nil
}

// rowDiff is the difference of one row between the table in force and a file.
type rowDiff struct {
	pool      string
	changes   []string  // changed columns with their old and new values
	edit      wire.Edit // the request that makes the row equal to the file's
	isNew     bool
	isRemoved bool
}

// diffRows compares the table in force with the file's. Rows that the file lacks are
// listed as removed.
func diffRows(inForce wire.Table, file table.Table) []rowDiff {
	var diffs []rowDiff
	known := map[string]wire.Row{}
	for _, rw := range inForce.Rows {
		known[rw.Pool] = rw
		if _, ok := file.Row(rw.Pool); !ok {
			diffs = append(diffs, rowDiff{pool: rw.Pool, isRemoved: true, edit: wire.Edit{Row: rw, BaseRev: rw.Rev}})
		}
	}
	for _, rw := range file.Rows() {
		old, ok := known[rw.Pool()]
		rdf := rowDiff{pool: rw.Pool(), isNew: !ok}
		rdf.edit = wire.Edit{Row: wire.FromRow(rw.Config(), 0, ""), BaseRev: old.Rev}
		if ok {
			rdf.changes = columnChanges(old.Config(), rw)
		}
		if rdf.isNew || len(rdf.changes) > 0 {
			diffs = append(diffs, rdf)
		}
	}
	return diffs
}

func columnChanges(old row.Config, rw row.Row) []string {
	before, err := row.New(old)
	if err != nil {
		return []string{"the row in force is not valid: " + err.Error()}
	}
	var changes []string
	was, now := table.Fields(before), table.Fields(rw)
	for idx, column := range row.Columns() {
		if was[idx] != now[idx] {
			changes = append(changes, fmt.Sprintf("%s %s -> %s", column, was[idx], now[idx]))
		}
	}
	return changes
}

func (rdf rowDiff) String() string {
	switch {
	case rdf.isRemoved:
		return "- " + rdf.pool
	case rdf.isNew:
		return "+ " + rdf.pool
	}
	return "~ " + rdf.pool + ": " + strings.Join(rdf.changes, ", ")
}

func tableDiff(env *env, args []string) error {
	err := tableDiffFile(env, args)
	if err == nil || errors.Is(err, errDiffers) {
		return err
	}
	return fault.New(code.BadUsage, "%v", err)
}

func tableDiffFile(env *env, args []string) error {
	rest, err := env.connect(env.flags("table diff"), args, 1)
	if err != nil {
		return err
	}
	file, err := readTable(rest[0])
	if err != nil {
		return err
	}
	diffs, err := env.tableDiffs(file)
	if err != nil {
		return err
	}
	for _, rdf := range diffs {
		env.printf("%s\n", rdf)
	}
	if len(diffs) > 0 {
		return errDiffers
	}
	return nil
}

// tableDiffs compares the table in force with the file's. The output format is text
// meanwhile, because with JSON get would print the table.
func (env *env) tableDiffs(file table.Table) ([]rowDiff, error) {
	format := env.format
	env.format = "text"
	defer func() { env.format = format }()
	var inForce wire.Table
	if _, err := env.get("/v1/table", &inForce); err != nil {
		return nil, err
	}
	return diffRows(inForce, file), nil
}

func tableApply(env *env, args []string) error {
	set := env.flags("table apply")
	isPrune := set.Bool("prune", false, "delete rows that the file lacks")
	rest, err := env.connect(set, args, 1)
	if err != nil {
		return err
	}
	file, err := readTable(rest[0])
	if err != nil {
		return err
	}
	diffs, err := env.tableDiffs(file)
	if err != nil {
		return err
	}
	var failed []string
	for _, rdf := range diffs {
		if rdf.isRemoved && !*isPrune {
			env.printf("%s: kept, the file lacks it (use -prune to delete)\n", rdf.pool)
			continue
		}
		if err := env.applyDiff(rdf); err != nil {
			_, _ = fmt.Fprintf(env.diag, "%s: %v\n", rdf.pool, err)
			failed = append(failed, rdf.pool)
		}
	}
	if len(failed) > 0 {
		return fault.New(code.StaleRevision, "rows not changed: %s", strings.Join(failed, ", "))
	}
	env.printf("%d rows differed, all done\n", len(diffs))
	return nil
}

func (env *env) applyDiff(rdf rowDiff) error {
	rdf.edit.ChangeID = uuid.NewString()
	rdf.edit.Author = env.author
	if rdf.isRemoved {
		return env.deleteRow(rdf.pool, rdf.edit.BaseRev, rdf.edit.ChangeID)
	}
	return env.change(http.MethodPut, "/v1/table/rows/"+rdf.pool, rdf.edit, rdf.String())
}

func (env *env) deleteRow(pool string, base int64, id string) error {
	path := fmt.Sprintf("/v1/table/rows/%s?base=%d&changeID=%s&by=%s", pool, base, id, env.author)
	return env.change(http.MethodDelete, path, nil, "- "+pool)
}

func tableGet(env *env, args []string) error {
	rest, err := env.connect(env.flags("table get"), args, -1)
	if err != nil {
		return err
	}
	var tbl wire.Table
	if printed, err := env.get("/v1/table", &tbl); err != nil || printed {
		return err
	}
	var rows []row.Row
	for _, wrw := range tbl.Rows {
		if len(rest) > 0 && wrw.Pool != rest[0] {
			continue
		}
		rw, err := row.New(wrw.Config())
		if err != nil {
			return err
		}
		rows = append(rows, rw)
	}
	if len(rest) > 0 && len(rows) == 0 {
		return fault.New(code.UnknownPool, "no pool %q", rest[0])
	}
	out, err := table.New(rows)
	if err != nil {
		return err
	}
	env.printf("%s", out.Format())
	return nil
}

// findRow returns the pool's row of the table in force, or a fault.
func (env *env) findRow(pool string) (wire.Row, error) {
	var tbl wire.Table
	if err := env.client.Get(context.Background(), "/v1/table", &tbl); err != nil {
		return wire.Row{}, err
	}
	for _, rw := range tbl.Rows {
		if rw.Pool == pool {
			return rw, nil
		}
	}
	return wire.Row{}, fault.New(code.UnknownPool, "no pool %q", pool)
}

func tableSet(env *env, args []string) error {
	rest, err := env.connect(env.flags("table set"), args, -1)
	if err != nil {
		return err
	}
	if len(rest) < 2 {
		return fault.New(code.BadUsage, "table set takes a pool and COLUMN=VALUE")
	}
	rw, err := env.findRow(rest[0])
	if err != nil {
		return err
	}
	cfg := rw.Config()
	for _, text := range rest[1:] {
		column, value, ok := strings.Cut(text, "=")
		if !ok {
			return fault.New(code.BadUsage, "%q is not COLUMN=VALUE", text)
		}
		if cfg, err = table.SetField(cfg, column, value); err != nil {
			return err
		}
	}
	edt := wire.Edit{Row: wire.FromRow(cfg, 0, ""), BaseRev: rw.Rev, ChangeID: uuid.NewString(), Author: env.author}
	return env.change(http.MethodPut, "/v1/table/rows/"+rest[0], edt, rest[0]+" "+strings.Join(rest[1:], " "))
}

func tableDelete(env *env, args []string) error {
	rest, err := env.connect(env.flags("table delete"), args, 1)
	if err != nil {
		return err
	}
	rw, err := env.findRow(rest[0])
	if err != nil {
		return err
	}
	return env.deleteRow(rest[0], rw.Rev, uuid.NewString())
}

func tableLog(env *env, args []string) error {
	if _, err := env.connect(env.flags("table log"), args, 0); err != nil {
		return err
	}
	var log wire.TableLog
	if printed, err := env.get("/v1/table/log", &log); err != nil || printed {
		return err
	}
	var lines []string
	for _, chg := range log.Changes {
		what := "set"
		if chg.Delete {
			what = "delete"
		}
		at := time.UnixMilli(chg.AtMs).UTC().Format(time.RFC3339)
		lines = append(lines, fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s", chg.Offset, at, chg.Author, what, chg.Pool, chg.Name))
	}
	env.columns("OFFSET\tTIME\tBY\tCHANGE\tPOOL\tRESULT", lines)
	return nil
}

func tableStatus(env *env, args []string) error { return runStatus(env, args) }
