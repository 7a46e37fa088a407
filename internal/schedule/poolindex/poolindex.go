// Package poolindex records which pools have accepted jobs of which queue, so that the jobs
// are found after the configuration has sent their queue to another pool, and since which version
// of the configuration each pool has had the queue, so that only one pool accepts its jobs.
package poolindex

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/schedule/statelog"
)

const (
	topic = "queues"
	// callTimeout bounds one call to the state log: 200 times the usual 4 ms.
	callTimeout = 900 * time.Millisecond
	// settleTime is how long after a change of a queue's pool other entries may still submit
	// jobs of the queue to the former one.
	settleTime = 5 * time.Second
	// maxAge is how old the index may be within settleTime. Jobs must be found 3 s after
	// they were accepted.
	maxAge = 2 * time.Second
	// retryDelay is the pause after a read that failed. It keeps requests from waiting in turn
	// while the log is down.
	retryDelay = time.Second
	// keyHashLen is the length of the hash in a record's key, as keys are short.
	keyHashLen = 32
)

// Config holds what an Index needs.
type Config struct {
	StateLog statelog.Client
	Journal  *journal.Journal
}

// Index is the index as one process knows it. It is safe for concurrent use.
type Index struct {
	cfg      Config
	loading  sync.Mutex // held while the index is read
	mu       sync.Mutex
	pools    map[string][]string // by hash of the queue's address
	loadedAt time.Time           // when the last read that succeeded began; zero before
	failedAt time.Time           // when the last read failed; zero if it succeeded
	err      error               // of the last read
}

// entryJSON is the record of one queue in one pool. The key says as much, with a hash of the
// address.
type entryJSON struct {
	Address string `json:"address"`
	Pool    string `json:"pool"`
	// Since is the version of the configuration by which the pool has, or had, the queue. Entries of
	// earlier versions of the program leave it out.
	Since int64 `json:"since,omitempty"`
}

// New returns an Index that has not been read yet.
func New(cfg Config) *Index { return &Index{cfg: cfg, pools: map[string][]string{}} }

// maxAttempts bounds how often a record is added while others append to the index.
const maxAttempts = 20

// Record stores that the pool has jobs of the queue at the address, unless a record says so, which may also name
// the pool's version. It returns when that is stored, at once if it is known to be.
func (idx *Index) Record(ctx context.Context, address, pool string) error {
	if idx.has(address, pool) {
		return nil
	}
	rec, err := encode(entryJSON{Address: address, Pool: pool})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range maxAttempts {
		if err = idx.addRecord(ctx, rec); !errors.Is(err, statelog.ErrOffsetConflict) {
			break
		}
	}
	if err != nil {
		return errors.Wrap(err, "record of a queue")
	}
	idx.mu.Lock()
	defer idx.mu.Unlock()
	idx.add(hashOf(address), pool)
	return nil
}

// addRecord appends the record unless the index has one with its key.
func (idx *Index) addRecord(ctx context.Context, rec statelog.Record) error {
	recs, end, err := idx.cfg.StateLog.Newest(ctx, topic, 0)
	if err != nil || slices.ContainsFunc(recs, func(old statelog.Record) bool { return old.Key == rec.Key }) {
		return err
	}
	_, err = idx.cfg.StateLog.Append(ctx, statelog.AppendRequest{Topic: topic, ExpectedEnd: end, Records: []statelog.Record{rec}})
	return err
}

func encode(ent entryJSON) (statelog.Record, error) {
	value, err := json.Marshal(ent)
	return statelog.Record{Key: ent.Pool + "/" + hashOf(ent.Address), Value: value}, errors.Wrap(err, "record of a queue")
}

// Registration is a request of a pool's owner to accept jobs of queues.
type Registration struct {
	Pool  string
	Epoch int64            // fencing token of the owner
	Seq   int64            // number of the registration within the epoch, from 1; a repetition has the same one
	Since map[string]int64 // by address of the queue: version of the configuration by which the pool has it
}

// Register stores that the pool has had the queues since these versions, and then returns the other pools of each
// queue with theirs, by address; 0 stands for a version that is not known. Of two pools that register a queue, at
// least one gets to know of the other, as each reads the index after it has stored its own record. Registrations
// of earlier owners of the pool are rejected from then on.
func (idx *Index) Register(ctx context.Context, reg Registration) (map[string]map[string]int64, error) {
	var recs []statelog.Record
	addresses := map[string]string{} // by hash
	for _, address := range slices.Sorted(maps.Keys(reg.Since)) {
		rec, err := encode(entryJSON{Address: address, Pool: reg.Pool, Since: reg.Since[address]})
		if err != nil {
			return nil, err
		}
		recs = append(recs, rec)
		addresses[hashOf(address)] = address
	}
	_, err := idx.cfg.StateLog.Append(ctx, statelog.AppendRequest{
		Topic: topic, ExpectedEnd: statelog.AnyOffset, Records: recs, Producer: reg.Pool, Epoch: reg.Epoch, Seq: reg.Seq,
	})
	if err != nil {
		return nil, errors.Wrap(err, "register queues")
	}
	recs, _, err = idx.cfg.StateLog.Newest(ctx, topic, 0)
	if err != nil {
		return nil, errors.Wrap(err, "read the pools of queues")
	}
	idx.mu.Lock()
	defer idx.mu.Unlock()
	others := map[string]map[string]int64{}
	for _, address := range addresses {
		others[address] = map[string]int64{}
		idx.add(hashOf(address), reg.Pool)
	}
	for _, rec := range recs {
		pool, hash, ok := splitKey(rec.Key)
		address, isAsked := addresses[hash]
		if !ok || !isAsked || pool == reg.Pool {
			continue
		}
		var ent entryJSON
		if err := json.Unmarshal(rec.Value, &ent); err != nil {
			idx.cfg.Journal.Warn(time.Now(), "recordUnreadable", slog.String("key", rec.Key), slog.String("error", err.Error()))
			ent.Since = 0 // the key names the pool, which has to be asked
		}
		others[address][pool] = ent.Since
		idx.add(hash, pool)
	}
	return others, nil
}

// splitKey returns the pool and the hash of the queue's address in the key of a record.
func splitKey(key string) (pool, hash string, ok bool) {
	end := strings.LastIndexByte(key, '/')
	if end < 0 {
		return "", "", false
	}
	return key[:end], key[end+1:], true
}

func hashOf(address string) string {
	hash := sha256.Sum256([]byte(address))
	return hex.EncodeToString(hash[:])[:keyHashLen]
}

func (idx *Index) has(address, pool string) bool {
	idx.mu.Lock()
	defer idx.mu.Unlock()
	return slices.Contains(idx.pools[hashOf(address)], pool)
}

// add adds a pool to those of a queue. The caller holds the lock.
func (idx *Index) add(hash, pool string) {
	if !slices.Contains(idx.pools[hash], pool) {
		idx.pools[hash] = append(idx.pools[hash], pool)
	}
}

// Pools returns the pools that have accepted jobs of the queue at the address, whose present
// pool the asker has known since the given time. It reads the index unless that was done after
// settleTime, or within it and maxAge ago at most. If the index can't be read, it returns an error
// and the pools that were read before: others may have jobs of the queue too.
func (idx *Index) Pools(ctx context.Context, now time.Time, address string, since time.Time) ([]string, error) {
	err := idx.refresh(ctx, now, since)
	idx.mu.Lock()
	defer idx.mu.Unlock()
	return slices.Clone(idx.pools[hashOf(address)]), err
}

// Refresh reads the index as Pools does, for an asker that has known the pools of the queues since
// the given time.
func (idx *Index) Refresh(ctx context.Context, now, since time.Time) error {
	return idx.refresh(ctx, now, since)
}

// Known returns the pools that have accepted jobs of the queue at the address, as far as they have been read.
func (idx *Index) Known(address string) []string {
	idx.mu.Lock()
	defer idx.mu.Unlock()
	return slices.Clone(idx.pools[hashOf(address)])
}

// PoolNames returns the pools that have accepted jobs, as far as they have been read.
func (idx *Index) PoolNames() []string {
	idx.mu.Lock()
	defer idx.mu.Unlock()
	seen := map[string]bool{}
	for _, pools := range idx.pools {
		for _, pool := range pools {
			seen[pool] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// refresh reads the index if it is too old, once for all that wait for it.
func (idx *Index) refresh(ctx context.Context, now, since time.Time) error {
	if ok, err := idx.isUsable(now, since); ok {
		return err
	}
	idx.loading.Lock()
	defer idx.loading.Unlock()
	if ok, err := idx.isUsable(now, since); ok {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	recs, _, err := idx.cfg.StateLog.Newest(ctx, topic, 0)
	idx.mu.Lock()
	defer idx.mu.Unlock()
	idx.failedAt, idx.err = time.Time{}, errors.Wrap(err, "read the pools of queues")
	if err != nil {
		idx.failedAt = now
		idx.cfg.Journal.Warn(now, "queuePoolsUnread", slog.Time("last", idx.loadedAt), slog.String("error", err.Error()))
		return idx.err
	}
	idx.loadedAt = now
	for _, rec := range recs {
		pool, hash, ok := splitKey(rec.Key)
		if !ok {
			idx.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", "the key names no pool"))
			continue
		}
		idx.add(hash, pool)
	}
	return nil
}

// isUsable reports whether the index need not be read now, and the error that its askers get.
func (idx *Index) isUsable(now, since time.Time) (bool, error) {
	idx.mu.Lock()
	defer idx.mu.Unlock()
	isSettled := idx.loadedAt.After(since.Add(settleTime))
	if !idx.loadedAt.IsZero() && (isSettled || idx.loadedAt.After(since) && now.Sub(idx.loadedAt) < maxAge) {
		return true, nil
	}
	isBackingOff := !idx.failedAt.IsZero() && now.Sub(idx.failedAt) < retryDelay
	return isBackingOff, idx.err
}
