// Package journal writes the events of one process as JSON lines. The lines of
// all processes are merged into one time line by package timeline.
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

// rareLines of each kind are written in a second whatever else is, so that a surge of
// lines on jobs does not hide that an owner has changed.
const minLinesPerKind = 5

// ringSize is how many lines may wait for a slow reader of the journal.
const ringSize = 4096

// Config holds what a Journal needs. A nil Out discards all events.
type Config struct {
	Out     io.Writer
	Process string
	Zone    string
	// MaxPerSecond bounds the lines of a second, beside some of each kind; 0 sets no
	// bound. The first line of the next second tells how many were left out.
	MaxPerSecond int
}

// Journal is the event log of one process. It is safe for concurrent use. Lines
// go through a ring to a duty that writes them, so that a slow reader delays
// nobody; lines beyond the ring are dropped and counted.
type Journal struct {
	handler       slog.Handler
	lines         *ring.Ring[[]byte]
	dropped       atomic.Int64
	maxPerSecond  int
	mu            sync.Mutex
	second        int64 // Unix time of the lines that are counted
	linesInSecond int
	linesByKind   map[string]int // lines of the second by kind
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

// run writes lines until the journal is closed and the ring is empty.
func (jnl *Journal) run(out io.Writer) {
	defer close(jnl.done)
	for {
		select {
		case line := <-jnl.lines.Items():
			// A journal that cannot be written must not stop the process that serves.
			_, _ = out.Write(line)
		case <-jnl.quit:
			for jnl.lines.Len() > 0 {
				_, _ = out.Write(<-jnl.lines.Items())
			}
			return
		}
	}
}

// Write implements io.Writer for the handler. It never blocks.
func (jnl *Journal) Write(line []byte) (int, error) {
	if !jnl.lines.Offer(bytes.Clone(line)) {
		jnl.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines a slow reader has cost.
func (jnl *Journal) Dropped() int64 { return jnl.dropped.Load() }

// Close writes the lines that wait. The journal must not be used afterwards.
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

// admit reports whether the second has room for one more line, and how many lines
// were left out in the second before, once.
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
