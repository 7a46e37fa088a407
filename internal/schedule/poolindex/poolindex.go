// Package poolindex records which pools have accepted jobs of which queue, so that the jobs
// are found after the configuration has sent their queue to another pool.
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
}

// New returns an Index that has not been read yet.
func New(cfg Config) *Index { return &Index{cfg: cfg, pools: map[string][]string{}} }

// Record stores that the pool accepts jobs of the queue at the address. It returns when that
// is stored, at once if it is known to be.
func (idx *Index) Record(ctx context.Context, address, pool string) error {
	if idx.has(address, pool) {
		return nil
	}
	value, err := json.Marshal(entryJSON{Address: address, Pool: pool})
	if err != nil {
		return errors.Wrap(err, "record of a queue")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = idx.cfg.StateLog.Append(ctx, statelog.AppendRequest{
		Topic: topic, ExpectedEnd: statelog.AnyOffset,
		Records: []statelog.Record{{Key: pool + "/" + hashOf(address), Value: value}},
	})
	if err != nil {
		return errors.Wrap(err, "record of a queue")
	}
	idx.mu.Lock()
	defer idx.mu.Unlock()
	idx.add(hashOf(address), pool)
	return nil
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
		end := strings.LastIndexByte(rec.Key, '/')
		if end < 0 {
			idx.cfg.Journal.Warn(now, "recordUnreadable", slog.String("key", rec.Key), slog.String("error", "the key names no pool"))
			continue
		}
		idx.add(rec.Key[end+1:], rec.Key[:end])
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
