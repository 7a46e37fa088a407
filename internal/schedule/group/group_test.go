package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/schedule/group"
	"daisywheel/internal/schedule/statelog"
)

func TestGradesDouble(t *testing.T) {
	for _, tst := range []struct{ milliCores, lower int }{{192, 120}, {400, 192}, {800, 400}, {120, 0}} {
		if group.GradeOf(tst.milliCores) <= group.GradeOf(tst.lower) {
			t.Errorf("grade of %d millicores is not above that of %d millicores", tst.milliCores, tst.lower)
		}
	}
	if group.GradeOf(100000) != group.GradeOf(4000) || group.GradeOf(-1) != group.GradeOf(0) {
		t.Error("sizes beyond the bounds have different grades")
	}
}

func TestOnlyHigherGradesOutrank(t *testing.T) {
	grade := group.GradeOf(400)
	queried := map[string]bool{}
	log := statelog.Client{PartitionOwners: func(_ context.Context, name string) ([]string, error) {
		queried[name] = true
		return nil, nil
	}}
	if isOutranked, err := group.IsOutranked(t.Context(), log, grade); isOutranked || err != nil {
		t.Errorf("outranked without any live member: %v %v", isOutranked, err)
	}
	if len(queried) == 0 {
		t.Error("no higher grade was queried")
	}
	log.PartitionOwners = func(_ context.Context, name string) ([]string, error) {
		if queried[name] {
			return []string{"large"}, nil
		}
		return nil, nil
	}
	if isOutranked, err := group.IsOutranked(t.Context(), log, grade); !isOutranked || err != nil {
		t.Errorf("not outranked by a live member of a higher grade: %v %v", isOutranked, err)
	}
	if isOutranked, _ := group.IsOutranked(t.Context(), log, group.GradeOf(1<<20)); isOutranked {
		t.Error("the highest grade is outranked")
	}
	log.PartitionOwners = func(context.Context, string) ([]string, error) { return nil, errors.New("log unavailable") }
	if _, err := group.IsOutranked(t.Context(), log, grade); err == nil {
		t.Error("no error although the log is unavailable")
	}
}

// Guards against a membership TTL below the minimum of the log, which would then refuse
// every join.
func TestMembershipTTLFollowsLogMinimum(t *testing.T) {
	for _, tst := range []struct{ minTTL, want time.Duration }{{0, time.Second}, {3 * time.Second, 3 * time.Second}} {
		joined := make(chan time.Duration, 1)
		log := statelog.Client{
			Join: func(_ context.Context, mbr statelog.Member) (statelog.Assignment, error) {
				select {
				case joined <- mbr.TTL:
				default:
				}
				return statelog.Assignment{}, nil
			},
			Leave: func(context.Context, statelog.Member) error { return nil },
		}
		quit := make(chan struct{})
		membership := group.New(group.Config{
			Name: "a", Partitions: 1, MinTTL: tst.minTTL, StateLog: log, Journal: journal.New(journal.Config{}),
			OnChange: func(time.Time, []int) {},
		})
		go membership.Run(quit)
		if got := <-joined; got != tst.want {
			t.Errorf("membership TTL of %s with a log minimum of %s, want %s", got, tst.minTTL, tst.want)
		}
		close(quit)
	}
}
