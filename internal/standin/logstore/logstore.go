// Package logstore stands in for the platform's log: keyed topics in memory, with
// fencing of producers, conditional appends and seams for faults.
package logstore

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/archive"
)

// ErrNoAnswer is what a caller sees of a call without an answer.
var ErrNoAnswer = errors.New("stand-in: no answer")

// Fault says what happens to one append.
type Fault int

// Faults of an append.
const (
	None       Fault = iota
	Down             // refused, nothing done
	LostAnswer       // done, and not answered
	LostCall         // not done, and not answered
)

// Config holds the seams. A nil Fault means that all is well.
type Config struct {
	Latency time.Duration
	Fault   func(app archive.Append) Fault
}

// Store is a log in memory. It is safe for concurrent use.
type Store struct {
	cfg        Config
	mu         sync.Mutex
	partitions map[string]*partition
	groups     map[string]*group
}

type partition struct {
	end          int64
	newest       map[string]archive.Record
	epochs       map[string]int64
	seqs         map[string]int64
	firstOffsets map[string]int64 // answers of appends by producer, epoch and number
}

type group struct {
	generation int64
	members    []string
}

// New returns an empty Store.
func New(cfg Config) *Store {
	if cfg.Fault == nil {
		cfg.Fault = func(archive.Append) Fault { return None }
	}
	return &Store{cfg: cfg, partitions: map[string]*partition{}, groups: map[string]*group{}}
}

// Client returns the client of one process.
func (sto *Store) Client() archive.Client {
	return archive.Client{Append: sto.append, Newest: sto.newest, Lookup: sto.lookup, Join: sto.join, Leave: sto.leave, Holders: sto.holders}
}

func (sto *Store) partitionOf(topic string, num int) *partition {
	key := fmt.Sprintf("%s/%d", topic, num)
	prt, ok := sto.partitions[key]
	if !ok {
		prt = &partition{
			newest: map[string]archive.Record{}, epochs: map[string]int64{}, seqs: map[string]int64{}, firstOffsets: map[string]int64{},
		}
		sto.partitions[key] = prt
	}
	return prt
}

func (sto *Store) append(ctx context.Context, app archive.Append) (int64, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return 0, err
	}
	flt := sto.cfg.Fault(app)
	switch flt {
	case Down:
		return 0, archive.ErrNotDone
	case LostCall:
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	sto.mu.Lock()
	offset, err := sto.partitionOf(app.Topic, app.Partition).append(app)
	sto.mu.Unlock()
	if flt == LostAnswer {
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	return offset, err
}

func (sto *Store) awaitLatency(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ErrNoAnswer
	case <-time.After(sto.cfg.Latency):
		return nil
	}
}

func (prt *partition) append(app archive.Append) (int64, error) {
	if app.At >= 0 && app.At != prt.end {
		return 0, archive.ErrMoved
	}
	if app.Producer != "" {
		key := fmt.Sprintf("%s/%d/%d", app.Producer, app.Epoch, app.Seq)
		if app.Epoch < prt.epochs[app.Producer] {
			return 0, archive.ErrFenced
		}
		if first, isRepeat := prt.firstOffsets[key]; isRepeat && len(app.Records) > 0 {
			return first, nil
		}
		if app.Epoch == prt.epochs[app.Producer] && len(app.Records) > 0 && app.Seq != prt.seqs[app.Producer]+1 {
			return 0, errors.Newf("stand-in: number %d does not follow %d", app.Seq, prt.seqs[app.Producer])
		}
		prt.epochs[app.Producer], prt.seqs[app.Producer] = app.Epoch, app.Seq
		prt.firstOffsets[key] = prt.end
	}
	first := prt.end
	for _, rec := range app.Records {
		rec.Offset = prt.end
		prt.end++
		if len(rec.Value) == 0 {
			delete(prt.newest, rec.Key)
			continue
		}
		prt.newest[rec.Key] = rec
	}
	return first, nil
}

func (sto *Store) newest(ctx context.Context, topic string, num int) ([]archive.Record, int64, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return nil, 0, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	prt := sto.partitionOf(topic, num)
	recs := make([]archive.Record, 0, len(prt.newest))
	for _, rec := range prt.newest {
		recs = append(recs, rec)
	}
	sort.Slice(recs, func(i, j int) bool { return recs[i].Key < recs[j].Key })
	return recs, prt.end, nil
}

func (sto *Store) lookup(ctx context.Context, topic string, num int, key string) (archive.Record, bool, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return archive.Record{}, false, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	rec, ok := sto.partitionOf(topic, num).newest[key]
	return rec, ok, nil
}

// standInPartitions is how many partitions a group shares.
const groupPartitions = 16

func (sto *Store) join(ctx context.Context, mbr archive.Member) (archive.Share, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return archive.Share{}, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	grp, ok := sto.groups[mbr.Group]
	if !ok {
		grp = &group{}
		sto.groups[mbr.Group] = grp
	}
	if !slices.Contains(grp.members, mbr.Name) {
		grp.members = append(grp.members, mbr.Name)
		grp.generation++
	}
	asg := archive.Share{Generation: grp.generation}
	pos := slices.Index(grp.members, mbr.Name)
	for num := range groupPartitions {
		if num%len(grp.members) == pos {
			asg.Partitions = append(asg.Partitions, num)
		}
	}
	return asg, nil
}

func (sto *Store) holders(ctx context.Context, group string) ([]string, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return nil, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	if grp := sto.groups[group]; grp != nil {
		return slices.Clone(grp.members[:min(len(grp.members), groupPartitions)]), nil
	}
	return nil, nil
}

func (sto *Store) leave(_ context.Context, mbr archive.Member) error {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	grp := sto.groups[mbr.Group]
	if grp == nil {
		return nil
	}
	grp.members = slices.DeleteFunc(grp.members, func(name string) bool { return name == mbr.Name })
	grp.generation++
	return nil
}
