package journal

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"daisywheel/internal/event/timeline"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (slw *slowWriter) Write(data []byte) (int, error) {
	<-slw.release
	return slw.out.Write(data)
}

func TestSlowReaderBlocksNoCaller(t *testing.T) {
	slw := &slowWriter{release: make(chan struct{})}
	jnl := New(Config{Out: slw, Process: "e1", Zone: "z1"})
	for range ringSize + 10 {
		jnl.Event(time.Now(), "vmLeaving")
	}
	if jnl.Dropped() < 9 {
		t.Errorf("%d lines dropped", jnl.Dropped())
	}
	close(slw.release)
	jnl.Close()
	if lines := strings.Count(slw.out.String(), "\n"); int64(lines)+jnl.Dropped() != ringSize+10 {
		t.Errorf("%d lines written, %d dropped", lines, jnl.Dropped())
	}
}

func TestTimelineReadsJournal(t *testing.T) {
	var out bytes.Buffer
	begin := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	one := New(Config{Out: &out, Process: "e1", Zone: "z1"})
	one.Event(begin.Add(time.Second), "vmMoved", slog.String("vm", "gate-01"), slog.String("to", "office"))
	one.Warn(begin, "logUnreachable")
	one.Close()
	out.WriteString("no event\n")
	tml := timeline.New()
	if err := tml.Read(&out); err != nil {
		t.Fatal(err)
	}
	var text, page bytes.Buffer
	if err := tml.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	want := "06:00:00.000 ! z1 e1 logUnreachable\n06:00:01.000   z1 e1 vmMoved vm=gate-01 to=office\n"
	if text.String() != want || tml.Skipped() != 1 {
		t.Errorf("got %q, %d lines skipped", text.String(), tml.Skipped())
	}
	if err := tml.WritePage(&page); err != nil || !strings.Contains(page.String(), "vm gate-01") {
		t.Errorf("the page has no lane for the VM: %v", err)
	}
	if len(tml.Filter("vmMoved").Events()) != 1 {
		t.Error("the filter does not select one event")
	}
}

func TestLinesPerSecondAreLimited(t *testing.T) {
	var out bytes.Buffer
	jnl := New(Config{Out: &out, MaxPerSecond: 10})
	now := time.Unix(1000, 0)
	for range 1000 {
		jnl.Event(now, "busy")
	}
	jnl.Event(now.Add(time.Second), "calm")
	jnl.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 12 || !strings.Contains(lines[10], `"linesLeftOut"`) || !strings.Contains(lines[10], `"count":990`) {
		t.Errorf("%d lines, line 11 is %s; want 10 lines, linesLeftOut with a count of 990, and the last line", len(lines), lines[min(10, len(lines)-1)])
	}
}

// Many lines of one kind must not hide lines of another kind in the same second.
func TestOtherKindsAreWrittenAboveTheLimit(t *testing.T) {
	var out bytes.Buffer
	jnl := New(Config{Out: &out, MaxPerSecond: 10})
	now := time.Unix(1000, 0)
	for range 1000 {
		jnl.Event(now, "busy")
	}
	for range 1000 {
		jnl.Event(now, "rare")
	}
	jnl.Close()
	if got := strings.Count(out.String(), `"rare"`); got != minLinesPerKind {
		t.Errorf("%d rare lines, want %d", got, minLinesPerKind)
	}
	if got := strings.Count(out.String(), `"busy"`); got != 10 {
		t.Errorf("%d busy lines, want 10", got)
	}
}
