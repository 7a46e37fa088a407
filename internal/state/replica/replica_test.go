package replica

import (
	"testing"

	"daisywheel/internal/pool/row"
	"daisywheel/internal/state/checkpoint"
	"daisywheel/internal/state/codec"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

func rowRecord(t *testing.T, id string, queue int, base int64) []byte {
	t.Helper()
	data, err := codec.Codec{}.Encode(record.New(record.Config{Kind: record.RowSet, ChangeID: id, Base: base, Row: row.Config{
		Pool: "a", Service: "a", Weight: 1, Queue: queue, DeadlineMs: 1,
	}}))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func queueOf(rpl *Replica) (queue int) {
	rpl.View(func(flt *fleet.Fleet) {
		rw, _, _ := flt.Row("a")
		queue = rw.Queue()
	})
	return queue
}

// An entry must never serve from a state older than one that it has applied.
func TestReplicaNeverGoesBack(t *testing.T) {
	rpl := New(Config{})
	rpl.Apply(0, [][]byte{rowRecord(t, "one", 1, 0)})
	var snp fleet.Snapshot
	rpl.View(func(flt *fleet.Fleet) { snp = flt.Export() })
	old, err := checkpoint.Encode(snp)
	if err != nil {
		t.Fatal(err)
	}
	rpl.Apply(1, [][]byte{rowRecord(t, "two", 2, 1)})
	isAhead, err := rpl.Restore(func(cfg fleet.Config) (*fleet.Fleet, error) { return checkpoint.Decode(cfg, old) })
	if err != nil || isAhead || queueOf(rpl) != 2 {
		t.Fatalf("restored an older checkpoint: queue %d (%v)", queueOf(rpl), err)
	}
	rpl.Apply(0, [][]byte{rowRecord(t, "other", 9, 0)})
	if rpl.Next() != 2 || queueOf(rpl) != 2 {
		t.Fatalf("applied a record twice: next %d, queue %d", rpl.Next(), queueOf(rpl))
	}
	if rpl.Apply(5, [][]byte{rowRecord(t, "gap", 5, 2)}) {
		t.Fatal("applied records beyond a gap")
	}
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	undecodable := 0
	rpl := New(Config{OnDecodeError: func(int64, error) { undecodable++ }})
	rpl.Apply(0, [][]byte{[]byte("{"), rowRecord(t, "one", 1, 0)})
	if undecodable != 1 || rpl.Next() != 2 || queueOf(rpl) != 1 {
		t.Fatalf("undecodable %d, next %d, queue %d", undecodable, rpl.Next(), queueOf(rpl))
	}
}

func TestRecentRecordsForPeers(t *testing.T) {
	rpl := New(Config{})
	one := rowRecord(t, "one", 1, 0)
	rpl.Apply(0, [][]byte{one, rowRecord(t, "two", 2, 1)})
	recent, ok := rpl.Recent(0, 1)
	if !ok || len(recent) != 1 || string(recent[0]) != string(one) {
		t.Fatalf("got %q", recent)
	}
	if recent, ok := rpl.Recent(2, 10); !ok || len(recent) != 0 {
		t.Fatalf("beyond the end: %q", recent)
	}
}
