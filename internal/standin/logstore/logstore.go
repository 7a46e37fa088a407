// Package logstore is an in-memory stand-in for the platform's state log: topics
// with keyed records, fencing of producers, conditional appends and injected faults.
package logstore

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/schedule/statelog"
)

// ErrNoAnswer is the error of a call that gets no answer.
var ErrNoAnswer = errors.New("stand-in: no answer")

// Fault is a fault of one append.
type Fault int

// Faults of an append.
const (
	None        Fault = iota
	Down              // refused, nothing is appended
	LostReply         // appended, but not answered
	LostRequest       // neither appended nor answered
)

// Config holds the latency of each call and a function that selects the fault of an
// append. A nil Fault means no faults.
type Config struct {
	Latency time.Duration
	Fault   func(app statelog.AppendRequest) Fault
	// Longer records and appends are refused, in bytes; 0: none are.
	MaxRecord, MaxAppend int
}

// Store is an in-memory state log. It is safe for concurrent use.
type Store struct {
	cfg        Config
	mu         sync.Mutex
	partitions map[string]*partition
	groups     map[string]*group
}

type partition struct {
	end          int64
	newest       map[string]statelog.Record
	epochs       map[string]int64
	seqs         map[string]int64
	firstOffsets map[string]int64 // results of appends by producer, epoch and sequence number
}

type group struct {
	generation int64
	members    []string
}

// New returns an empty Store.
func New(cfg Config) *Store {
	if cfg.Fault == nil {
		cfg.Fault = func(statelog.AppendRequest) Fault { return None }
	}
	return &Store{cfg: cfg, partitions: map[string]*partition{}, groups: map[string]*group{}}
}

// Client returns a client of the log for one process.
func (sto *Store) Client() statelog.Client {
	return statelog.Client{Append: sto.append, Newest: sto.newest, Lookup: sto.lookup, Join: sto.join, Leave: sto.leave, PartitionOwners: sto.holders}
}

func (sto *Store) partitionOf(topic string, num int) *partition {
	key := fmt.Sprintf("%s/%d", topic, num)
	prt, ok := sto.partitions[key]
	if !ok {
		prt = &partition{
			newest: map[string]statelog.Record{}, epochs: map[string]int64{}, seqs: map[string]int64{}, firstOffsets: map[string]int64{},
		}
		sto.partitions[key] = prt
	}
	return prt
}

func (sto *Store) append(ctx context.Context, app statelog.AppendRequest) (int64, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return 0, err
	}
	flt := sto.cfg.Fault(app)
	if !sto.fits(app) {
		flt = Down
	}
	switch flt {
	case Down:
		return 0, statelog.ErrNotAppended
	case LostRequest:
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	sto.mu.Lock()
	offset, err := sto.partitionOf(app.Topic, app.Partition).append(app)
	sto.mu.Unlock()
	if flt == LostReply {
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	return offset, err
}

// fits reports whether the append keeps to the limits of its length and of its records'.
func (sto *Store) fits(app statelog.AppendRequest) bool {
	const lengths = 5 // of the record and of its key
	sum := 0
	for _, rec := range app.Records {
		size := lengths + len(rec.Key) + len(rec.Value)
		if sto.cfg.MaxRecord > 0 && size > sto.cfg.MaxRecord {
			return false
		}
		sum += size
	}
	return sto.cfg.MaxAppend <= 0 || sum <= sto.cfg.MaxAppend
}

func (sto *Store) awaitLatency(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ErrNoAnswer
	case <-time.After(sto.cfg.Latency):
		return nil
	}
}

func (prt *partition) append(app statelog.AppendRequest) (int64, error) {
	if app.ExpectedEnd >= 0 && app.ExpectedEnd != prt.end {
		return 0, statelog.ErrOffsetConflict
	}
	if app.Producer != "" {
		key := fmt.Sprintf("%s/%d/%d", app.Producer, app.Epoch, app.Seq)
		if app.Epoch < prt.epochs[app.Producer] {
			return 0, statelog.ErrFenced
		}
		if first, isRepeat := prt.firstOffsets[key]; isRepeat && len(app.Records) > 0 {
			return first, nil
		}
		if app.Epoch == prt.epochs[app.Producer] && len(app.Records) > 0 && app.Seq != prt.seqs[app.Producer]+1 {
			return 0, errors.Newf("stand-in: sequence number %d does not follow %d", app.Seq, prt.seqs[app.Producer])
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

func (sto *Store) newest(ctx context.Context, topic string, num int) ([]statelog.Record, int64, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return nil, 0, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	prt := sto.partitionOf(topic, num)
	recs := make([]statelog.Record, 0, len(prt.newest))
	for _, rec := range prt.newest {
		recs = append(recs, rec)
	}
	sort.Slice(recs, func(i, j int) bool { return recs[i].Key < recs[j].Key })
	return recs, prt.end, nil
}

func (sto *Store) lookup(ctx context.Context, topic string, num int, key string) (statelog.Record, bool, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return statelog.Record{}, false, err
	}
	sto.mu.Lock()
	defer sto.mu.Unlock()
	rec, ok := sto.partitionOf(topic, num).newest[key]
	return rec, ok, nil
}

// groupPartitions is the number of partitions that the members of a group share.
const groupPartitions = 16

func (sto *Store) join(ctx context.Context, mbr statelog.Member) (statelog.Assignment, error) {
	if err := sto.awaitLatency(ctx); err != nil {
		return statelog.Assignment{}, err
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
	asg := statelog.Assignment{Generation: grp.generation}
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

func (sto *Store) leave(_ context.Context, mbr statelog.Member) error {
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
