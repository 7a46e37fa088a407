// Package replica holds one process's copy of the state that results from applying
// the log. Duties read it and wait for changes.
package replica

import (
	"sync"
	"time"

	"daisywheel/internal/state/codec"
	"daisywheel/internal/state/fleet"
)

// maxRecent is how many applied records are kept at least for peers that cannot
// reach the platform; up to twice as many are kept before the oldest are dropped.
const maxRecent = 8192

// Touched holds the names of what a batch of records changed.
type Touched struct {
	Pools []string
	VMs   []string
	Zones []string
	Jobs  []string
	Waves []string
}

// Config holds the callbacks of a Replica. OnChange is called after each batch with
// the replica locked, before any reader can see the batch. OnDecodeError is called for a
// record that cannot be decoded. Either may be nil.
type Config struct {
	OnChange      func(flt *fleet.Fleet, tch Touched)
	OnDecodeError func(offset int64, err error)
}

// Replica is a copy of the applied state. It is safe for concurrent use.
type Replica struct {
	cfg        Config
	mu         sync.RWMutex
	flt        *fleet.Fleet
	touched    Touched
	changed    chan struct{}
	recent     [][]byte // the encoded records just below Next
	headReadAt time.Time
	head       int64
	oldest     int64
}

// New returns an empty Replica.
func New(cfg Config) *Replica {
	rpl := &Replica{cfg: cfg, changed: make(chan struct{})}
	rpl.flt = fleet.New(rpl.callbacks())
	return rpl
}

func (rpl *Replica) callbacks() fleet.Config {
	return fleet.Config{
		OnRow:    func(name string) { rpl.touched.Pools = append(rpl.touched.Pools, name) },
		OnMember: func(name string) { rpl.touched.VMs = append(rpl.touched.VMs, name) },
		OnZone:   func(name string) { rpl.touched.Zones = append(rpl.touched.Zones, name) },
		OnJob:    func(name string) { rpl.touched.Jobs = append(rpl.touched.Jobs, name) },
		OnWave:   func(name string) { rpl.touched.Waves = append(rpl.touched.Waves, name) },
	}
}

// Apply applies consecutive encoded records, the first of which has offset first.
// Records below Next are ignored. It returns false and applies none when first is
// above Next.
func (rpl *Replica) Apply(first int64, data [][]byte) bool {
	rpl.mu.Lock()
	defer rpl.mu.Unlock()
	if first > rpl.flt.Next() {
		return false
	}
	rpl.touched = Touched{}
	next := rpl.flt.Next()
	for idx, raw := range data {
		offset := first + int64(idx)
		if offset < next {
			continue
		}
		rpl.applyRecord(offset, raw)
	}
	if rpl.flt.Next() == next {
		return true
	}
	rpl.publishBatch()
	return true
}

func (rpl *Replica) applyRecord(offset int64, raw []byte) {
	rec, err := codec.Codec{}.Decode(raw)
	if err != nil {
		rpl.flt.Skip(offset)
		if rpl.cfg.OnDecodeError != nil {
			rpl.cfg.OnDecodeError(offset, err)
		}
	} else {
		rpl.flt.Apply(offset, rec)
	}
	rpl.recent = append(rpl.recent, raw)
	if len(rpl.recent) > 2*maxRecent {
		rpl.recent = append([][]byte(nil), rpl.recent[len(rpl.recent)-maxRecent:]...)
	}
}

func (rpl *Replica) publishBatch() {
	if rpl.cfg.OnChange != nil {
		rpl.cfg.OnChange(rpl.flt, rpl.touched)
	}
	close(rpl.changed)
	rpl.changed = make(chan struct{})
}

// Restore replaces the state by the one that load returns, provided that its Next
// is higher, and reports whether it did. The error is that of load.
func (rpl *Replica) Restore(load func(cfg fleet.Config) (*fleet.Fleet, error)) (bool, error) {
	rpl.mu.Lock()
	defer rpl.mu.Unlock()
	rpl.touched = Touched{}
	flt, err := load(rpl.callbacks())
	if err != nil {
		return false, err
	}
	if flt.Next() <= rpl.flt.Next() {
		return false, nil
	}
	rpl.flt = flt
	rpl.recent = nil
	rpl.touched = Touched{Pools: flt.Pools(), VMs: flt.VMs(), Zones: flt.Zones(), Jobs: flt.Jobs(), Waves: flt.Waves()}
	rpl.publishBatch()
	return true, nil
}

// View calls read with the state, which read must neither keep nor change.
func (rpl *Replica) View(read func(flt *fleet.Fleet)) {
	rpl.mu.RLock()
	defer rpl.mu.RUnlock()
	read(rpl.flt)
}

// Next returns the offset of the next record to apply.
func (rpl *Replica) Next() int64 {
	rpl.mu.RLock()
	defer rpl.mu.RUnlock()
	return rpl.flt.Next()
}

// Changed returns a channel that is closed by the next applied batch.
func (rpl *Replica) Changed() <-chan struct{} {
	rpl.mu.RLock()
	defer rpl.mu.RUnlock()
	return rpl.changed
}

// Recent returns up to limit applied records from the offset from on, or false when
// the first of them is no longer kept.
func (rpl *Replica) Recent(from int64, limit int) ([][]byte, bool) {
	rpl.mu.RLock()
	defer rpl.mu.RUnlock()
	next := rpl.flt.Next()
	oldest := next - int64(len(rpl.recent))
	if from < oldest {
		return nil, false
	}
	if from >= next {
		return nil, true
	}
	part := rpl.recent[from-oldest:]
	if len(part) > limit {
		part = part[:limit]
	}
	return append([][]byte(nil), part...), true
}

// SetOldest records the first offset that the log still keeps.
func (rpl *Replica) SetOldest(oldest int64) {
	rpl.mu.Lock()
	defer rpl.mu.Unlock()
	rpl.oldest = max(rpl.oldest, oldest)
}

// Oldest returns the first offset that the log still keeps, 0 while it has dropped
// no records.
func (rpl *Replica) Oldest() int64 {
	rpl.mu.RLock()
	defer rpl.mu.RUnlock()
	return rpl.oldest
}

// SetHead records that the log was read to its head, offset head, at now.
func (rpl *Replica) SetHead(now time.Time, head int64) {
	rpl.mu.Lock()
	defer rpl.mu.Unlock()
	rpl.headReadAt = now
	rpl.head = max(rpl.head, head)
}

// Lag returns the time since the log was last read to its head, and whether all
// records up to that head are applied. It returns 0 and false before the first such
// read.
func (rpl *Replica) Lag(now time.Time) (time.Duration, bool) {
	rpl.mu.RLock()
	defer rpl.mu.RUnlock()
	if rpl.headReadAt.IsZero() {
		return 0, false
	}
	return now.Sub(rpl.headReadAt), rpl.flt.Next() >= rpl.head
}
