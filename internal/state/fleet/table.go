package fleet

import (
	"daisywheel/internal/pool/row"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/record"
)

func (flt *Fleet) rowSet(offset int64, cfg record.Config) code.Code {
	rw, err := row.New(cfg.Row)
	if err != nil {
		return flt.logTableChange(offset, cfg, cfg.Row.Pool, code.BadRow)
	}
	old := flt.rows[rw.Pool()]
	if old.rev != cfg.Base {
		return flt.logTableChange(offset, cfg, rw.Pool(), code.StaleRevision)
	}
	for pool, oth := range flt.rows {
		if pool != rw.Pool() && oth.row.Service() == rw.Service() {
			return flt.logTableChange(offset, cfg, rw.Pool(), code.LimitConflict)
		}
	}
	flt.poolList.invalidate()
	flt.rows[rw.Pool()] = rowState{row: rw, rev: offset + 1, author: cfg.Author}
	flt.tableRev = offset + 1
	flt.poolOf(rw.Pool())
	flt.notify(flt.cfg.OnRow, rw.Pool())
	return flt.logTableChange(offset, cfg, rw.Pool(), code.OK)
}

func (flt *Fleet) rowDelete(offset int64, cfg record.Config) code.Code {
	old, ok := flt.rows[cfg.Pool]
	if !ok {
		return flt.logTableChange(offset, cfg, cfg.Pool, code.UnknownPool)
	}
	if old.rev != cfg.Base {
		return flt.logTableChange(offset, cfg, cfg.Pool, code.StaleRevision)
	}
	pol := flt.poolOf(cfg.Pool)
	if len(pol.vms) > 0 || pol.homeVMs > 0 || pol.borrowed > 0 {
		return flt.logTableChange(offset, cfg, cfg.Pool, code.PoolInUse)
	}
	flt.poolList.invalidate()
	delete(flt.rows, cfg.Pool)
	flt.tableRev = offset + 1
	flt.notify(flt.cfg.OnRow, cfg.Pool)
	return flt.logTableChange(offset, cfg, cfg.Pool, code.OK)
}

func (flt *Fleet) logTableChange(offset int64, cfg record.Config, pool string, cd code.Code) code.Code {
	flt.tableLog = append(flt.tableLog, TableChange{
		Offset: offset, AtMs: cfg.AtMs, Author: cfg.Author, Pool: pool, Code: cd,
		Delete: cfg.Kind == record.RowDelete,
	})
	if len(flt.tableLog) > maxTableLog {
		flt.tableLog = flt.tableLog[1:]
	}
	return cd
}

func (flt *Fleet) notify(fn func(string), name string) {
	if fn != nil {
		fn(name)
	}
}

// Row returns the row of the pool, its revision and who changed it last. The revision
// is the log offset after the row's last change, and 0 for a pool without a row.
func (flt *Fleet) Row(pool string) (rw row.Row, rev int64, author string) {
	stt := flt.rows[pool]
	return stt.row, stt.rev, stt.author
}

// Pools returns the names of all pools in the table, sorted. The caller must not
// change the list.
func (flt *Fleet) Pools() []string {
	return flt.poolList.get(func() []string { return sortedNames(flt.rows) })
}

// TableRev returns the revision of the last accepted change of the table.
func (flt *Fleet) TableRev() int64 { return flt.tableRev }

// TableLog returns the latest changes of the table, refused ones too, oldest first.
func (flt *Fleet) TableLog() []TableChange { return append([]TableChange(nil), flt.tableLog...) }
