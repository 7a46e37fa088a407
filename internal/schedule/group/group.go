// Package group shares the pools among the live entries. The log deals
// partitions to the members of a group; a pool's seat is one of them, and the
// member that holds it should own the pool. Holding one is a hint and no proof: the
// claim of the owner and its fencing token are.
//
// Entries differ in size, and the owner of a pool in a surge needs a processor that
// can send its orders. So entries of one grade form a group, and pools belong to
// the highest grade with a live member.
package group

import (
	"context"
	"log/slog"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/schedule/archive"
)

// Times of a membership.
const (
	// ttl is how long a silent member keeps its partitions: four joins. Callers of a
	// pool whose owner is gone wait as long, so it is the least that the logs of the users take; one that takes no less
	// has the last word.
	preferredTTL = time.Second
	// joinEach is the pause between joins.
	joinInterval = 250 * time.Millisecond
	// joinTimeout bounds one join: its usual 4 ms, 150 times over.
	joinTimeout = 600 * time.Millisecond
	// leaveTimeout bounds the goodbye of a process that stops.
	leaveTimeout = 500 * time.Millisecond
)

const (
	groupPrefix = "owners-"
	topicName   = "jobs"
)

// Grades double in size. All entries below the lowest bound, or above the highest
// one, are alike.
const (
	lowestGrade  = 6  // up to 63 thousandths of a core
	highestGrade = 12 // from 2.048 cores on
)

// GradeOf returns the grade of an entry that may use so much of its processor, in
// thousandths of a core.
func GradeOf(milliCores int) int {
	return min(max(bits.Len(uint(max(0, milliCores))), lowestGrade), highestGrade)
}

func groupNameOf(grade int) string { return groupPrefix + strconv.Itoa(grade) }

// IsOutranked reports whether a grade above has a live member.
func IsOutranked(ctx context.Context, arc archive.Client, grade int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for above := highestGrade; above > grade; above-- {
		names, err := arc.Holders(ctx, groupNameOf(above))
		if err != nil {
			return false, errors.Wrapf(err, "members of grade %d", above)
		}
		if len(names) > 0 {
			return true, nil
		}
	}
	return false, nil
}

// Config holds what a Group needs.
type Config struct {
	Name       string // of this start of the entry
	Grade      int
	Partitions int
	LeastTTL   time.Duration // that the log takes
	Archive    archive.Client
	Journal    *journal.Journal
	// Changed is told the partitions after each join, and when it was sent.
	Changed func(sent time.Time, partitions []int)
}

// Group is the membership of this entry.
type Group struct {
	cfg         Config
	generation  int64
	partitions  []int
	isConfirmed bool
}

// New returns a Group.
func New(cfg Config) *Group { return &Group{cfg: cfg, isConfirmed: true} }

// PartitionOf returns the partition in which a pool's records are stored.
func PartitionOf(pool string, partitions int) int {
	return int(xxhash.Sum64String(pool) % uint64(partitions))
}

func (mbr *Group) member() archive.Member {
	return archive.Member{Group: groupNameOf(mbr.cfg.Grade), Name: mbr.cfg.Name, Topic: topicName, TTL: max(preferredTTL, mbr.cfg.LeastTTL), Generation: mbr.generation}
}

// Run joins until quit is closed, and then leaves.
func (mbr *Group) Run(quit <-chan struct{}) {
	tck := time.NewTicker(joinInterval)
	defer tck.Stop()
	for {
		mbr.join()
		select {
		case <-quit:
			mbr.leave()
			return
		case <-tck.C:
		}
	}
}

func (mbr *Group) join() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	sent := time.Now()
	shr, err := mbr.cfg.Archive.Join(ctx, mbr.member())
	now := time.Now()
	if mbr.isConfirmed != (err == nil) {
		mbr.isConfirmed = err == nil
		mbr.logConfirmation(now, err)
	}
	if err != nil {
		return
	}
	slices.Sort(shr.Partitions)
	if mbr.generation != shr.Generation || !slices.Equal(mbr.partitions, shr.Partitions) {
		mbr.cfg.Journal.Event(now, "membershipChanged", slog.Int64("generation", shr.Generation), slog.Any("partitions", shr.Partitions))
	}
	mbr.generation, mbr.partitions = shr.Generation, shr.Partitions
	mbr.cfg.Changed(sent, shr.Partitions)
}

func (mbr *Group) logConfirmation(now time.Time, err error) {
	if err == nil {
		mbr.cfg.Journal.Event(now, "membershipRegained", slog.Int64("generation", mbr.generation))
		return
	}
	mbr.cfg.Journal.Warn(now, "membershipUnconfirmed", slog.Int64("generation", mbr.generation), slog.String("error", err.Error()))
}

func (mbr *Group) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := mbr.cfg.Archive.Leave(ctx, mbr.member()); err != nil {
		mbr.cfg.Journal.Warn(time.Now(), "leaveUnanswered", slog.String("error", err.Error()))
	}
}
