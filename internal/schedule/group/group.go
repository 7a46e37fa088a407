// Package group shares the pools among the live entries. The log deals
// partitions to the members of a group; a pool belongs to the member that holds
// the pool's partition. Holding one is a hint and no proof: the claim of the
// owner and its fencing token are.
package group

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/schedule/archive"
)

// Times of a membership.
const (
	// ttl is how long a silent member keeps its partitions: three joins.
	ttl = 2 * time.Second
	// joinEach is the pause between joins.
	joinEach = 600 * time.Millisecond
	// joinTimeout bounds one join.
	joinTimeout = 900 * time.Millisecond
	// leaveTimeout bounds the goodbye of a process that stops.
	leaveTimeout = 500 * time.Millisecond
)

const (
	groupName = "owners"
	topicName = "jobs"
)

// Config holds what a Group needs.
type Config struct {
	Name       string // of this start of the entry
	Partitions int
	Archive    archive.Client
	Journal    *journal.Journal
	// Changed is told the partitions after each join, and when it was sent.
	Changed func(sent time.Time, partitions []int)
}

// Group is the membership of this entry.
type Group struct {
	cfg        Config
	generation int64
	parts      []int
	isWell     bool
}

// New returns a Group.
func New(cfg Config) *Group { return &Group{cfg: cfg, isWell: true} }

// PartitionOf returns the partition of a pool.
func PartitionOf(pool string, partitions int) int {
	return int(xxhash.Sum64String(pool) % uint64(partitions))
}

func (grp *Group) member() archive.Member {
	return archive.Member{Group: groupName, Name: grp.cfg.Name, Topic: topicName, TTL: ttl, Generation: grp.generation}
}

// Run joins until quit is closed, and then leaves.
func (grp *Group) Run(quit <-chan struct{}) {
	tck := time.NewTicker(joinEach)
	defer tck.Stop()
	for {
		grp.join()
		select {
		case <-quit:
			grp.leave()
			return
		case <-tck.C:
		}
	}
}

func (grp *Group) join() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	sent := time.Now()
	shr, err := grp.cfg.Archive.Join(ctx, grp.member())
	now := time.Now()
	if grp.isWell != (err == nil) {
		grp.isWell = err == nil
		grp.logState(now, err)
	}
	if err != nil {
		return
	}
	slices.Sort(shr.Partitions)
	if grp.generation != shr.Generation || !slices.Equal(grp.parts, shr.Partitions) {
		grp.cfg.Journal.Event(now, "membershipChanged", slog.Int64("generation", shr.Generation), slog.Any("partitions", shr.Partitions))
	}
	grp.generation, grp.parts = shr.Generation, shr.Partitions
	grp.cfg.Changed(sent, shr.Partitions)
}

func (grp *Group) logState(now time.Time, err error) {
	if err == nil {
		grp.cfg.Journal.Event(now, "membershipRegained", slog.Int64("generation", grp.generation))
		return
	}
	grp.cfg.Journal.Warn(now, "membershipUnconfirmed", slog.Int64("generation", grp.generation), slog.String("error", err.Error()))
}

func (grp *Group) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := grp.cfg.Archive.Leave(ctx, grp.member()); err != nil {
		grp.cfg.Journal.Warn(time.Now(), "leaveUnanswered", slog.String("error", err.Error()))
	}
}
