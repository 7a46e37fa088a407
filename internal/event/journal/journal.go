// Package journal writes the events of one process as JSON lines. Package timeline
// merges the lines of all processes into one timeline.
package journal

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"daisywheel/internal/kernel/ring"
)

// minLinesPerKind lines of each kind are written per second even above MaxPerSecond,
// so that a surge of lines about jobs does not hide that a pool's owner changed.
const minLinesPerKind = 5

// ringSize is how many lines are buffered for a slow reader of the journal.
const ringSize = 4096

// Config holds what a Journal needs. A nil Out discards all events.
type Config struct {
	Out     io.Writer
	Process string
	Zone    string
	// MaxPerSecond limits the lines per second, except for the first minLinesPerKind of
	// each kind; 0 sets no limit. The next line written in a later second is preceded
	// by a linesLeftOut event with the number of lines that were left out.
	MaxPerSecond int
}

// Journal is the event log of one process. It is safe for concurrent use. Lines
// are buffered in a ring and written by a goroutine, so that a slow reader blocks
// no caller; lines that find the ring full are dropped and counted.
type Journal struct {
	handler       slog.Handler
	lines         *ring.Ring[[]byte]
	dropped       atomic.Int64
	maxPerSecond  int
	mu            sync.Mutex
	second        int64 // Unix time of the second to which the counts belong
	linesInSecond int
	linesByKind   map[string]int // lines of the second, by kind
	skipped       int
	quit          chan struct{}
	done          chan struct{}
}

// New returns a Journal that writes to cfg.Out until it is closed.
func New(cfg Config) *Journal {
	jnl := &Journal{
		maxPerSecond: cfg.MaxPerSecond, linesByKind: map[string]int{}, lines: ring.New[[]byte](ringSize), quit: make(chan struct{}), done: make(chan struct{}),
	}
	var sink io.Writer = jnl
	if cfg.Out == nil {
		sink = io.Discard
		close(jnl.done)
	} else {
		go jnl.run(cfg.Out)
	}
	handler := slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: slog.LevelInfo})
	attrs := []slog.Attr{slog.String("process", cfg.Process), slog.String("zone", cfg.Zone)}
	jnl.handler = handler.WithAttrs(attrs)
	return jnl
}

// run writes the buffered lines until the journal is closed and the ring is empty.
func (jnl *Journal) run(out io.Writer) {
	defer close(jnl.done)
	for {
		select {
		case line := <-jnl.lines.Items():
			// A write error must not stop the process, which still serves requests.
			_, _ = out.Write(line)
		case <-jnl.quit:
			for jnl.lines.Len() > 0 {
				_, _ = out.Write(<-jnl.lines.Items())
			}
			return
		}
	}
}

// Write implements io.Writer for the slog handler. It never blocks.
func (jnl *Journal) Write(line []byte) (int, error) {
	if !jnl.lines.Offer(bytes.Clone(line)) {
		jnl.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped because the ring was full.
func (jnl *Journal) Dropped() int64 { return jnl.dropped.Load() }

// Close writes the buffered lines. The journal must not be used afterwards.
func (jnl *Journal) Close() {
	close(jnl.quit)
	<-jnl.done
}

// Event writes one event. The kind is a camelCase word such as vmLeaving.
func (jnl *Journal) Event(now time.Time, kind string, attrs ...slog.Attr) {
	jnl.write(now, slog.LevelInfo, kind, attrs)
}

// Warn writes one event that an operator should look at.
func (jnl *Journal) Warn(now time.Time, kind string, attrs ...slog.Attr) {
	jnl.write(now, slog.LevelWarn, kind, attrs)
}

func (jnl *Journal) write(now time.Time, level slog.Level, kind string, attrs []slog.Attr) {
	isAdmitted, skipped := jnl.admit(now, kind)
	if skipped > 0 {
		jnl.emit(now, slog.LevelWarn, "linesLeftOut", []slog.Attr{slog.Int("count", skipped)})
	}
	if isAdmitted {
		jnl.emit(now, level, kind, attrs)
	}
}

// admit reports whether a line of the kind may be written now. The first call in a
// new second also returns how many lines were left out since the last report.
func (jnl *Journal) admit(now time.Time, kind string) (isAdmitted bool, skipped int) {
	if jnl.maxPerSecond == 0 {
		return true, 0
	}
	jnl.mu.Lock()
	defer jnl.mu.Unlock()
	if second := now.Unix(); second != jnl.second {
		skipped, jnl.skipped = jnl.skipped, 0
		jnl.second, jnl.linesInSecond = second, 0
		clear(jnl.linesByKind)
	}
	jnl.linesInSecond++
	jnl.linesByKind[kind]++
	if jnl.linesInSecond > jnl.maxPerSecond && jnl.linesByKind[kind] > minLinesPerKind {
		jnl.skipped++
		return false, skipped
	}
	return true, skipped
}

func (jnl *Journal) emit(now time.Time, level slog.Level, kind string, attrs []slog.Attr) {
	rec := slog.NewRecord(now, level, kind, 0)
	rec.AddAttrs(attrs...)
	_ = jnl.handler.Handle(context.Background(), rec)
}
