package budget_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/caller/budget"
)

const conn = budget.ConnectionBytes

// crowd records which connections were closed to make room.
type crowd struct {
	t      *testing.T
	bgt    *budget.Budget
	now    time.Time
	closed []string
	lines  int
}

func newCrowd(t *testing.T, maxBytes int64, maxConnections int) *crowd {
	crd := &crowd{t: t, now: time.Unix(1000, 0)}
	crd.bgt = budget.New(budget.Config{
		MaxBytes: maxBytes, MaxConnections: maxConnections, Metrics: metrics.NewSet(),
		Event: func(time.Time, string, ...slog.Attr) { crd.lines++ },
	})
	return crd
}

// open opens a connection, a millisecond after the last.
func (crd *crowd) open(address, name string) *budget.Holder {
	crd.t.Helper()
	crd.now = crd.now.Add(time.Millisecond)
	hld, ok := crd.bgt.Open(crd.now, address, func() { crd.closed = append(crd.closed, name) })
	if !ok {
		crd.t.Fatalf("connection %s is refused", name)
	}
	return hld
}

func (crd *crowd) check(want ...string) {
	crd.t.Helper()
	if fmt.Sprint(crd.closed) != fmt.Sprint(want) {
		crd.t.Errorf("closed %v, want %v", crd.closed, want)
	}
	crd.closed = nil
}

// Callers with large bodies make room for others, the largest first.
func TestTheLargestMakesRoom(t *testing.T) {
	crd := newCrowd(t, 10*conn, 100)
	small, large := crd.open("a", "small"), crd.open("a", "large")
	if !large.Reserve(crd.now, 6*conn) || !small.Reserve(crd.now, conn) {
		t.Fatal("what fits is refused")
	}
	if large.Reserve(crd.now, 2*conn) {
		t.Error("the one that holds most may hold more")
	}
	crd.check()
	for num := range 3 {
		crd.open("a", fmt.Sprint(num))
	}
	crd.check("large")
	if large.Reserve(crd.now, 1) {
		t.Error("a closed connection may hold more")
	}
	large.Release(6 * conn)
	large.Close()
	if got := crd.bgt.Used(); got != 5*conn {
		t.Errorf("%d bytes are used, want %d", got, 5*conn)
	}
}

// A crowd at one address makes room for callers at others, whatever each of it holds.
func TestTheLargestAddressMakesRoom(t *testing.T) {
	crd := newCrowd(t, 20*conn, 100)
	other := crd.open("b", "other")
	if !other.Reserve(crd.now, 3*conn) {
		t.Fatal("what fits is refused")
	}
	for num := range 18 {
		crd.open("a", fmt.Sprint(num))
	}
	crd.check("0", "1")
	if !other.Reserve(crd.now, 2*conn) {
		t.Error("a caller at another address is refused")
	}
	crd.check("2", "3")
}

// Among equals, those go that have not got on for longest; requests that are being served stay.
func TestTheSlowestMakesRoom(t *testing.T) {
	crd := newCrowd(t, 100*conn, 3)
	first, second := crd.open("a", "first"), crd.open("a", "second")
	crd.open("a", "third")
	first.SetServing(crd.now, true)
	if !second.Reserve(crd.now.Add(time.Second), 0) {
		t.Error("nothing more is refused")
	}
	crd.open("a", "fourth")
	crd.check("third")
	crd.now = crd.now.Add(time.Millisecond)
	first.SetServing(crd.now, false)
	crd.open("a", "fifth")
	crd.check("fourth")
}

func TestNothingServedIsClosed(t *testing.T) {
	crd := newCrowd(t, 100*conn, 2)
	for _, name := range []string{"one", "two"} {
		crd.open("a", name).SetServing(crd.now, true)
	}
	if _, ok := crd.bgt.Open(crd.now, "b", func() {}); ok {
		t.Error("a third connection is accepted beside two that are served")
	}
	crd.check()
	if crd.lines != 1 {
		t.Errorf("%d log lines, want 1", crd.lines)
	}
}

func TestSized(t *testing.T) {
	if cfg := budget.Sized(160<<20, 3900); cfg.MaxBytes != 40<<20 || cfg.MaxConnections != 1950 {
		t.Errorf("smallest machine: %+v", cfg)
	}
	if cfg := budget.Sized(0, 0); cfg.MaxBytes == 0 || cfg.MaxConnections == 0 {
		t.Errorf("unknown machine: %+v", cfg)
	}
}
