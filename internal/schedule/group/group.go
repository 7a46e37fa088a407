// Package group distributes the pools among the live entries. The log assigns the
// partitions of a topic to the members of a group, and the member that holds a pool's
// partition should own the pool. Holding the partition is only a hint; ownership is
// established by the owner's claim and its fencing token.
//
// Entries differ in size, and the owner of a pool under a load surge needs enough CPU
// to send its orders. Entries of one size grade therefore form a group, and the pools
// belong to the highest grade that has a live member.
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
	"daisywheel/internal/schedule/statelog"
)

// Intervals and timeouts of a membership.
const (
	// preferredTTL is how long a member that no longer joins keeps its partitions: four
	// join intervals. Callers of a pool whose owner failed wait that long, so it is the
	// shortest TTL that the users' logs accept. A log with a higher minimum prevails,
	// see Config.MinTTL.
	preferredTTL = time.Second
	// joinInterval is the time between joins, which renew the membership.
	joinInterval = 250 * time.Millisecond
	// joinTimeout bounds one join, which usually takes 4 ms: 150 times that.
	joinTimeout = 600 * time.Millisecond
	// leaveTimeout bounds the call by which a stopping process leaves the group.
	leaveTimeout = 500 * time.Millisecond
)

const (
	groupPrefix = "owners-"
	topicName   = "jobs"
)

// Each grade covers twice the size of the one below. All sizes below the lowest bound
// share a grade, and so do all sizes above the highest.
const (
	lowestGrade  = 6  // up to 63 millicores
	highestGrade = 12 // 2.048 cores and more
)

// GradeOf returns the grade of an entry that may use this many thousandths of a core.
func GradeOf(milliCores int) int {
	return min(max(bits.Len(uint(max(0, milliCores))), lowestGrade), highestGrade)
}

func groupNameOf(grade int) string { return groupPrefix + strconv.Itoa(grade) }

// IsOutranked reports whether a higher grade has a live member.
func IsOutranked(ctx context.Context, log statelog.Client, grade int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for above := highestGrade; above > grade; above-- {
		names, err := log.PartitionOwners(ctx, groupNameOf(above))
		if err != nil {
			return false, errors.Wrapf(err, "list members of grade %d", above)
		}
		if len(names) > 0 {
			return true, nil
		}
	}
	return false, nil
}

// Config holds what a Membership needs.
type Config struct {
	Name       string // of the entry, new at each start
	Grade      int
	Partitions int
	MinTTL     time.Duration // minimum TTL that the log accepts
	StateLog   statelog.Client
	Journal    *journal.Journal
	// OnChange is called after each successful join with the time at which the join was
	// sent and the partitions that this entry holds.
	OnChange func(sent time.Time, partitions []int)
}

// Membership is the membership of this entry in the group of its grade.
type Membership struct {
	cfg         Config
	generation  int64
	partitions  []int
	isConfirmed bool // the last join succeeded
}

// New returns a Membership that has not joined yet.
func New(cfg Config) *Membership { return &Membership{cfg: cfg, isConfirmed: true} }

// PartitionOf returns the partition that stores a pool's records.
func PartitionOf(pool string, partitions int) int {
	return int(xxhash.Sum64String(pool) % uint64(partitions))
}

func (mbr *Membership) member() statelog.Member {
	return statelog.Member{Group: groupNameOf(mbr.cfg.Grade), Name: mbr.cfg.Name, Topic: topicName, TTL: max(preferredTTL, mbr.cfg.MinTTL), Generation: mbr.generation}
}

// Run joins periodically until quit is closed, and then leaves the group.
func (mbr *Membership) Run(quit <-chan struct{}) {
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

func (mbr *Membership) join() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	sent := time.Now()
	asg, err := mbr.cfg.StateLog.Join(ctx, mbr.member())
	now := time.Now()
	if mbr.isConfirmed != (err == nil) {
		mbr.isConfirmed = err == nil
		mbr.logConfirmation(now, err)
	}
	if err != nil {
		return
	}
	slices.Sort(asg.Partitions)
	if mbr.generation != asg.Generation || !slices.Equal(mbr.partitions, asg.Partitions) {
		mbr.cfg.Journal.Event(now, "membershipChanged", slog.Int64("generation", asg.Generation), slog.Any("partitions", asg.Partitions))
	}
	mbr.generation, mbr.partitions = asg.Generation, asg.Partitions
	mbr.cfg.OnChange(sent, asg.Partitions)
}

func (mbr *Membership) logConfirmation(now time.Time, err error) {
	if err == nil {
		mbr.cfg.Journal.Event(now, "membershipRegained", slog.Int64("generation", mbr.generation))
		return
	}
	mbr.cfg.Journal.Warn(now, "membershipUnconfirmed", slog.Int64("generation", mbr.generation), slog.String("error", err.Error()))
}

func (mbr *Membership) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := mbr.cfg.StateLog.Leave(ctx, mbr.member()); err != nil {
		mbr.cfg.Journal.Warn(time.Now(), "leaveUnanswered", slog.String("error", err.Error()))
	}
}
