// Package budget bounds what callers hold at an entry: connections, and memory for requests that are not
// complete. It is made for crowds of callers that send large bodies, stop just short of their end and
// stay. docs/design/clients.md has the rule.
package budget

import (
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisywheel/internal/event/metric"
)

const (
	// ConnectionBytes is what a connection is charged: its goroutine, buffers and headers.
	ConnectionBytes = 40 << 10
	// memoryShare is the divisor of the machine's memory, and socketShare that of its sockets, that callers may
	// use. An entry may own pools, whose state and connections to VMs need the rest.
	memoryShare = 4
	socketShare = 2
	// defaultBytes and defaultConnections apply where the settings do not tell the machine's size.
	defaultBytes       = 64 << 20
	defaultConnections = 1950
	// logInterval is the shortest time between two log lines.
	logInterval = time.Second
)

// Config holds what a Budget needs.
type Config struct {
	MaxBytes       int64 // of connections and bodies together
	MaxConnections int
	Metrics        *metrics.Set
	// Event records an event.
	Event func(now time.Time, kind string, attrs ...slog.Attr)
}

// Sized returns a Config for a machine with the memory and sockets; 0 stands for an unknown number.
func Sized(memoryBytes int64, sockets int) Config {
	cfg := Config{MaxBytes: defaultBytes, MaxConnections: defaultConnections}
	if memoryBytes > 0 {
		cfg.MaxBytes = memoryBytes / memoryShare
	}
	if sockets > 0 {
		cfg.MaxConnections = max(1, sockets/socketShare)
	}
	return cfg
}

// Reasons for which callers are turned away, as in metrics and log lines.
const (
	noConnections = "connections" // too many connections
	noMemory      = "memory"      // no memory for another byte
)

// Budget is what callers may hold together. It is safe for concurrent use.
type Budget struct {
	cfg      Config
	mu       sync.Mutex
	used     int64
	holders  map[*Holder]bool
	refused  map[string]int // by reason, since the last log line
	loggedAt time.Time
}

// Holder is one connection of a caller. It is safe for concurrent use.
type Holder struct {
	bgt        *Budget
	address    string
	close      func() // closes the connection
	bytes      int64
	gotOnAt    time.Time
	isServing  bool // its request is complete and has not been answered
	isReleased bool
}

// New returns a Budget of which nothing is used.
func New(cfg Config) *Budget {
	bgt := &Budget{cfg: cfg, holders: map[*Holder]bool{}, refused: map[string]int{}}
	cfg.Metrics.NewGauge("daisywheel_caller_bytes", func() float64 { return float64(bgt.Used()) })
	cfg.Metrics.NewGauge("daisywheel_caller_connections", func() float64 { return float64(bgt.Connections()) })
	return bgt
}

// Used returns how many bytes are charged.
func (bgt *Budget) Used() int64 {
	bgt.mu.Lock()
	defer bgt.mu.Unlock()
	return bgt.used
}

// Connections returns the number of connections.
func (bgt *Budget) Connections() int {
	bgt.mu.Lock()
	defer bgt.mu.Unlock()
	return len(bgt.holders)
}

// Open charges a new connection, which the function closes. It reports false if there is no room for it.
func (bgt *Budget) Open(now time.Time, address string, closeConn func()) (*Holder, bool) {
	hld := &Holder{bgt: bgt, address: address, close: closeConn, gotOnAt: now}
	bgt.mu.Lock()
	defer bgt.mu.Unlock()
	for len(bgt.holders) >= bgt.cfg.MaxConnections {
		if !bgt.makeRoom(now, nil, noConnections) {
			return nil, false
		}
	}
	for bgt.used+ConnectionBytes > bgt.cfg.MaxBytes {
		if !bgt.makeRoom(now, nil, noMemory) {
			return nil, false
		}
	}
	bgt.holders[hld] = true
	hld.bytes = ConnectionBytes
	bgt.used += ConnectionBytes
	return hld, true
}

// Reserve charges the holder so many bytes more. It reports false if it should be refused, as there is no room or others
// hold less.
func (hld *Holder) Reserve(now time.Time, bytes int64) bool {
	bgt := hld.bgt
	bgt.mu.Lock()
	defer bgt.mu.Unlock()
	if hld.isReleased { // it has made room for another
		return false
	}
	hld.bytes += bytes // as it would be chosen with them
	for bgt.used+bytes > bgt.cfg.MaxBytes {
		if !bgt.makeRoom(now, hld, noMemory) {
			hld.bytes -= bytes
			return false
		}
	}
	bgt.used += bytes
	hld.gotOnAt = now
	return true
}

// Release gives back so many bytes.
func (hld *Holder) Release(bytes int64) {
	hld.bgt.mu.Lock()
	defer hld.bgt.mu.Unlock()
	if hld.isReleased {
		return
	}
	hld.bytes -= bytes
	hld.bgt.used -= bytes
}

// SetServing sets whether the entry has a complete request of the holder that it has not answered. Then it is not closed to
// make room.
func (hld *Holder) SetServing(now time.Time, isServing bool) {
	hld.bgt.mu.Lock()
	defer hld.bgt.mu.Unlock()
	hld.isServing, hld.gotOnAt = isServing, now
}

// Close gives back all that the holder is charged.
func (hld *Holder) Close() {
	hld.bgt.mu.Lock()
	defer hld.bgt.mu.Unlock()
	hld.bgt.drop(hld)
}

// drop forgets a holder. The caller holds the lock.
func (bgt *Budget) drop(hld *Holder) {
	if hld.isReleased {
		return
	}
	hld.isReleased = true
	bgt.used -= hld.bytes
	delete(bgt.holders, hld)
}

// makeRoom closes the connection that should make room. It reports false if that is the one that asks, or if there
// is none. The caller holds the lock.
func (bgt *Budget) makeRoom(now time.Time, asking *Holder, reason string) bool {
	vic := bgt.victim(asking)
	bgt.note(now, reason)
	if vic == nil || vic == asking {
		return false
	}
	bgt.drop(vic)
	vic.close()
	return true
}

// victim returns the connection that should make room, or nil. Only connections that wait for their callers, and the one
// that asks, are considered: those of the address that holds most, the one that holds most, and of equals the one that has
// not got on for longest. The caller holds the lock.
func (bgt *Budget) victim(asking *Holder) *Holder {
	byAddress := map[string]int64{}
	for hld := range bgt.holders {
		byAddress[hld.address] += hld.bytes
	}
	var best *Holder
	for hld := range bgt.holders {
		if (!hld.isServing || hld == asking) && (best == nil || hld.goesBefore(best, byAddress)) {
			best = hld
		}
	}
	return best
}

// goesBefore reports whether the holder should make room before the other.
func (hld *Holder) goesBefore(other *Holder, byAddress map[string]int64) bool {
	if one, two := byAddress[hld.address], byAddress[other.address]; one != two {
		return one > two
	}
	if hld.address != other.address {
		return hld.address < other.address
	}
	if hld.bytes != other.bytes {
		return hld.bytes > other.bytes
	}
	return hld.gotOnAt.Before(other.gotOnAt)
}

// TurnedAway counts a request that was turned away for another reason.
func (bgt *Budget) TurnedAway(now time.Time, reason string) {
	bgt.mu.Lock()
	defer bgt.mu.Unlock()
	bgt.note(now, reason)
}

// note counts and, once per logInterval, logs what was turned away. The caller holds the lock.
func (bgt *Budget) note(now time.Time, reason string) {
	bgt.cfg.Metrics.GetOrCreateCounter(metric.Name("daisywheel_callers_turned_away_total").With("reason", reason).String()).Inc()
	bgt.refused[reason]++
	if now.Sub(bgt.loggedAt) < logInterval {
		return
	}
	bgt.loggedAt = now
	bgt.cfg.Event(now, "callersTurnedAway", slog.Any("since", bgt.refused), slog.Int64("bytes", bgt.used), slog.Int("connections", len(bgt.holders)))
	bgt.refused = map[string]int{}
}
