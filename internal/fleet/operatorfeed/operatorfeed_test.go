package operatorfeed_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/fleet/directory"
	"daisywheel/internal/fleet/operatorfeed"
	"daisywheel/internal/fleet/queue"
)

// fakeLog is the operator's log: the record at offset n is the configuration n.
type fakeLog struct {
	mu       sync.Mutex
	end      int64
	reads    int
	isSilent bool // long polls get no answer
	isDown   bool
	kept     int64 // offset of the oldest record that is kept
	latency  time.Duration
}

func (log *fakeLog) read(ctx context.Context, cursor int64, wait time.Duration) (directory.OperatorPage, error) {
	for limit := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		log.mu.Lock()
		page, isSilent, isDown := log.page(cursor), log.isSilent && wait > 0, log.isDown
		log.mu.Unlock()
		switch {
		case isDown:
			return directory.OperatorPage{}, errors.New("down")
		case isSilent:
			<-ctx.Done()
			return directory.OperatorPage{}, ctx.Err()
		case len(page.Records) > 0 || !time.Now().Before(limit):
			select {
			case <-ctx.Done():
				return directory.OperatorPage{}, ctx.Err()
			case <-time.After(log.latency):
			}
			log.mu.Lock()
			defer log.mu.Unlock()
			log.reads++
			return page, nil
		}
	}
}

// page returns the page at the cursor: the newest record if the cursor's are not kept. The caller
// holds the lock.
func (log *fakeLog) page(cursor int64) directory.OperatorPage {
	page := directory.OperatorPage{Next: log.end, IsSnapshot: cursor < log.kept}
	if page.IsSnapshot {
		cursor = log.end - 1
	}
	for ; cursor < log.end; cursor++ {
		page.Records = append(page.Records, directory.OperatorRecord{Table: queue.NewTable(cursor, nil, nil)})
	}
	return page
}

func (log *fakeLog) set(change func()) {
	log.mu.Lock()
	defer log.mu.Unlock()
	change()
}

// applied collects the versions that a feed applies, each with "+" if it is the next one.
type applied struct {
	mu   sync.Mutex
	list []string
}

func (apl *applied) add(_ time.Time, rec directory.OperatorRecord, isNext bool) {
	apl.mu.Lock()
	defer apl.mu.Unlock()
	mark := ""
	if isNext {
		mark = "+"
	}
	apl.list = append(apl.list, fmt.Sprint(rec.Table.Version(), mark))
}

func newFeed(log *fakeLog, apl *applied) *operatorfeed.Feed {
	return operatorfeed.New(operatorfeed.Config{Journal: journal.New(journal.Config{}), Read: log.read, Apply: apl.add})
}

// An entry whose long poll stays silent catches up by other reads; each record is applied once, and a
// configuration that others may lie before is not taken for the next one.
func TestCatchUpWhileLongPollIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, apl := &fakeLog{end: 3, latency: 4 * time.Millisecond}, &applied{}
		fed := newFeed(log, apl)
		quit, done := make(chan struct{}), make(chan struct{})
		go func() { defer close(done); fed.Run(quit) }()
		time.Sleep(100 * time.Millisecond)
		log.set(func() { log.isSilent = true })
		time.Sleep(time.Second)
		log.set(func() { log.end = 5 })
		if err := fed.CatchUp(t.Context(), time.Now()); err != nil {
			t.Error(err)
		}
		log.set(func() { log.end, log.kept, log.isSilent = 8, 7, false })
		time.Sleep(5 * time.Second)
		close(quit)
		<-done
		if want := []string{"2", "3+", "4+", "7"}; !slices.Equal(apl.list, want) {
			t.Errorf("applied %v, want %v", apl.list, want)
		}
	})
}

// A record whose application panics ended the process. It counts as one that can't be read, and the others are applied.
func TestRecordThatPanicsIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, apl := &fakeLog{end: 3}, &applied{}
		fed := operatorfeed.New(operatorfeed.Config{Journal: journal.New(journal.Config{}), Read: log.read, Apply: func(now time.Time, rec directory.OperatorRecord, isNext bool) {
			if rec.Table.Version() == 4 {
				panic("odd record")
			}
			apl.add(now, rec, isNext)
		}})
		if err := fed.CatchUp(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		log.set(func() { log.end = 5 })
		time.Sleep(time.Millisecond)
		if err := fed.CatchUp(t.Context(), time.Now()); err != nil || fed.Age() >= 0 {
			t.Errorf("%v, age %s after a record that panics, want none", err, fed.Age())
		}
		log.set(func() { log.end = 7 })
		time.Sleep(time.Millisecond)
		if err := fed.CatchUp(t.Context(), time.Now()); err != nil || fed.Age() < 0 {
			t.Errorf("%v, age %s after the records that follow", err, fed.Age())
		}
		if want := []string{"2", "3+", "5", "6+"}; !slices.Equal(apl.list, want) {
			t.Errorf("applied %v, want %v", apl.list, want)
		}
	})
}

// Many requests that have to know the newest configuration cause few reads, and none of them goes by
// a read that was sent before it came.
func TestCatchUpsShareReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, apl := &fakeLog{end: 1, latency: 4 * time.Millisecond}, &applied{}
		fed := newFeed(log, apl)
		if err := fed.CatchUp(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
		log.set(func() { log.reads = 0 })
		var grp sync.WaitGroup
		var behind atomic.Int64
		for num := range 100 {
			grp.Go(func() {
				time.Sleep(time.Duration(num%2) * time.Millisecond)
				log.set(func() { log.end = max(log.end, int64(2+num%2)) })
				want := fmt.Sprint(1+num%2, "+")
				err := fed.CatchUp(t.Context(), time.Now())
				apl.mu.Lock()
				defer apl.mu.Unlock()
				if err != nil || !slices.Contains(apl.list, want) {
					behind.Add(1)
				}
			})
		}
		grp.Wait()
		if behind.Load() > 0 || log.reads > 8 {
			t.Errorf("%d of 100 calls returned before the newest record was applied; %d reads, want at most 8", behind.Load(), log.reads)
		}
		log.set(func() { log.isDown = true })
		if err := fed.CatchUp(t.Context(), time.Now()); err == nil {
			t.Error("caught up without the log")
		}
	})
}

// A log that is 60 times slower than usual does not keep an entry from catching up.
func TestCatchUpWithASlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, apl := &fakeLog{end: 2, latency: 240 * time.Millisecond}, &applied{}
		fed := newFeed(log, apl)
		if err := fed.CatchUp(t.Context(), time.Now()); err != nil || !slices.Equal(apl.list, []string{"1"}) {
			t.Errorf("applied %v (%v), want 1", apl.list, err)
		}
	})
}
