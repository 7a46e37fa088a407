package operatorfeed

import (
	"context"
	"errors"
	"testing"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/queue"
)

// The age counts from the sending of the read that found nothing more, also over a suspension, which
// only the clock since boot counts.
func TestAge(t *testing.T) {
	sinceBoot := time.Minute
	var page directory.OperatorPage
	var err error
	fed := New(Config{
		Journal: journal.New(journal.Config{}), SinceBoot: func() time.Duration { return sinceBoot },
		Read: func(context.Context, int64, time.Duration) (directory.OperatorPage, error) {
			sinceBoot += 2 * time.Second // the answer takes long
			return page, err
		},
		Apply: func(time.Time, directory.OperatorRecord, bool) {},
	})
	next := int64(0)
	for _, tst := range []struct {
		name string
		page directory.OperatorPage
		err  error
		want time.Duration // negative for unknown
	}{
		{"first configuration, others follow", directory.OperatorPage{Records: []directory.OperatorRecord{{Table: queue.NewTable(1, nil, nil)}}, HasMore: true}, nil, -1},
		{"no more", directory.OperatorPage{}, nil, 2 * time.Second},
		{"unanswered", directory.OperatorPage{}, errors.New("down"), 4 * time.Second},
		{"a configuration that can't be read", directory.OperatorPage{Records: []directory.OperatorRecord{{Err: errors.New("odd")}}}, nil, -1},
		{"nothing after it", directory.OperatorPage{}, nil, -1},
		{"one that can", directory.OperatorPage{Records: []directory.OperatorRecord{{Table: queue.NewTable(3, nil, nil)}}}, nil, 2 * time.Second},
	} {
		next += int64(len(tst.page.Records))
		page, err = tst.page, tst.err
		page.Next = next
		_, _ = fed.read(t.Context(), 0)
		if got := fed.Age(); got != tst.want && (got >= 0 || tst.want >= 0) {
			t.Errorf("%s: age %s, want %s", tst.name, got, tst.want)
		}
	}
	sinceBoot += time.Hour
	if got := fed.Age(); got != time.Hour+2*time.Second {
		t.Errorf("age after a suspension: %s", got)
	}
}
