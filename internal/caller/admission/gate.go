package admission

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/metric"
	"daisywheel/internal/fleet/queue"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// GateConfig holds what a Gate needs.
type GateConfig struct {
	// Table returns the configuration in force, nil before the first.
	Table func() *queue.Table
	// Age returns the age of the configuration in force, negative if it is not known.
	Age func() time.Duration
	// CatchUp returns once all configurations that were stored at now are in force.
	CatchUp func(ctx context.Context, now time.Time) error
	// MaxKeyAge is how long a key may be used after it was taken away; 0 for any time where the log can't be
	// reached.
	MaxKeyAge time.Duration
	Metrics   *metrics.Set
}

const (
	// verifyTimeout bounds a read of the configuration that a request waits for: 150 times the usual 4 ms.
	verifyTimeout = 600 * time.Millisecond
	// verifyPause is how long after a read that failed no other is tried: callers are then better served by another
	// entry, and must not wait in turn to learn it.
	verifyPause = 300 * time.Millisecond
)

// Gate finds the queue of a request and checks the caller's API key. It is safe for concurrent use.
type Gate struct {
	cfg             GateConfig
	unknown, unsure *metrics.Counter
	mu              sync.Mutex
	failedAt        time.Time // when the last read failed; zero if it succeeded
}

// NewGate returns a Gate.
func NewGate(cfg GateConfig) *Gate {
	refused := metric.Name("daisywheel_keys_refused_total")
	return &Gate{
		cfg:     cfg,
		unknown: cfg.Metrics.GetOrCreateCounter(refused.With("reason", "unknown").String()),
		unsure:  cfg.Metrics.GetOrCreateCounter(refused.With("reason", "unproven").String()),
	}
}

// Admit returns the queue of a request with the caller's organisation, and the rest of the path. It reports
// false if there is no such queue. It fails with the codes NotReady before the first configuration,
// UnknownKey, and KeyUnproven if the configuration is too old to tell; then nothing has been done.
func (gat *Gate) Admit(ctx context.Context, now time.Time, host, path, key string) (que queue.Queue, rest string, ok bool, err error) {
	for isFirst := true; ; isFirst = false {
		tab := gat.cfg.Table()
		if tab == nil {
			return queue.Queue{}, "", false, fault.New(code.NotReady, "no configuration has been read yet")
		}
		age := gat.cfg.Age() // before the table is used, which may then only be newer
		if que, rest, ok = tab.Match(host, path); !ok || !que.NeedsKey {
			return que, rest, ok, nil
		}
		org, isKnown := tab.Organisations().OfKey(key)
		switch Decide(isKnown, age, gat.cfg.MaxKeyAge) {
		case Accept:
			que.Organisation = org
			return que, rest, true, nil
		case Refuse:
			gat.unknown.Inc()
			return que, rest, true, fault.New(code.UnknownKey, "the API key is missing or of no organisation")
		}
		if !isFirst {
			gat.unsure.Inc()
			return que, rest, true, fault.New(code.KeyUnproven, "the configuration is %s old", age.Round(time.Millisecond))
		}
		if err := gat.verify(ctx, now); err != nil {
			gat.unsure.Inc()
			return que, rest, true, fault.Wrap(err, code.KeyUnproven, "API keys as of now")
		}
	}
}

// verify returns once the configuration is as it was stored at now. It fails at once for a while after a read that failed.
func (gat *Gate) verify(ctx context.Context, now time.Time) error {
	gat.mu.Lock()
	hasFailed := !gat.failedAt.IsZero() && now.Sub(gat.failedAt) < verifyPause
	gat.mu.Unlock()
	if hasFailed {
		return errors.New("the last read of the configuration has failed")
	}
	readCtx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	err := gat.cfg.CatchUp(readCtx, now)
	if ctx.Err() != nil { // a caller that has gone tells nothing of the log
		return err
	}
	gat.mu.Lock()
	defer gat.mu.Unlock()
	gat.failedAt = time.Time{}
	if err != nil {
		gat.failedAt = time.Now()
	}
	return err
}
