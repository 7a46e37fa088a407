// Package runtimestore stores the run times that owners of pools have learned, by queue, for the
// owners after them. A record is a hint: without it, owners begin with the declared times.
package runtimestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/schedule/estimate"
	"daisywheel/internal/schedule/statelog"
)

const (
	topic = "runtimes"
	// version is that of the records. Those of later versions are neither read nor overwritten.
	version = 1
	// callTimeout bounds one call to the state log: 200 times the usual 4 ms.
	callTimeout = 900 * time.Millisecond
	// keyHashLen is the length of the hash in a record's key, as keys are short.
	keyHashLen = 32
)

// ErrLaterVersion is the error of a record that a later version of the program has stored.
var ErrLaterVersion = errors.New("record of a later version")

// Config holds what a Store needs.
type Config struct {
	StateLog statelog.Client
	Journal  *journal.Journal
}

// Store reads and writes learned run times. It is safe for concurrent use.
type Store struct {
	cfg Config
}

// New returns a Store.
func New(cfg Config) *Store { return &Store{cfg: cfg} }

// recordJSON is the record of one queue. Sums are of logarithms of seconds.
type recordJSON struct {
	Version      int     `json:"version"`
	Address      string  `json:"address"`
	Count        int     `json:"count"`
	Weight       float64 `json:"weight"`
	SumX         float64 `json:"sumX"`
	SumY         float64 `json:"sumY"`
	SumXX        float64 `json:"sumXX"`
	SumXY        float64 `json:"sumXY"`
	SumYY        float64 `json:"sumYY"`
	SpreadSum    float64 `json:"spreadSum"`
	SpreadWeight float64 `json:"spreadWeight"`
}

func keyOf(address string) string {
	hash := sha256.Sum256([]byte(address))
	return hex.EncodeToString(hash[:])[:keyHashLen]
}

// Load returns the model of the queue at the address, an empty one if none is stored or if what is stored is absurd, which is
// logged. It fails if the log can't be read, and with ErrLaterVersion.
func (sto *Store) Load(ctx context.Context, now time.Time, address string) (*estimate.Model, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rec, ok, err := sto.cfg.StateLog.Lookup(ctx, topic, 0, keyOf(address))
	if err != nil {
		return nil, errors.Wrap(err, "learned run times")
	}
	if !ok || len(rec.Value) == 0 {
		return &estimate.Model{}, nil
	}
	mdl, err := Decode(rec.Value)
	if errors.Is(err, ErrLaterVersion) {
		return nil, err
	}
	if err != nil {
		sto.cfg.Journal.Warn(now, "runtimesUnusable", slog.String("queue", address), slog.String("error", err.Error()))
		return &estimate.Model{}, nil
	}
	return mdl, nil
}

// Save stores the models of queues by address.
func (sto *Store) Save(ctx context.Context, states map[string]estimate.State) error {
	app := statelog.AppendRequest{Topic: topic, ExpectedEnd: statelog.AnyOffset}
	for address, ste := range states {
		value, err := Encode(address, ste)
		if err != nil {
			return err
		}
		app.Records = append(app.Records, statelog.Record{Key: keyOf(address), Value: value})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := sto.cfg.StateLog.Append(ctx, app)
	return errors.Wrap(err, "learned run times")
}

// Encode returns the record of a queue.
func Encode(address string, ste estimate.State) ([]byte, error) {
	data, err := json.Marshal(recordJSON{
		Version: version, Address: address, Count: ste.Count, Weight: ste.Weight, SumX: ste.SumX, SumY: ste.SumY, SumXX: ste.SumXX, SumXY: ste.SumXY, SumYY: ste.SumY2,
		SpreadSum: ste.SpreadSum, SpreadWeight: ste.SpreadWeight,
	})
	return data, errors.Wrap(err, "learned run times")
}

// Decode parses a record of Encode. It fails with ErrLaterVersion for one of a later version.
func Decode(data []byte) (*estimate.Model, error) {
	var jsn recordJSON
	if err := json.Unmarshal(data, &jsn); err != nil {
		return nil, errors.Wrap(err, "learned run times")
	}
	if jsn.Version > version {
		return nil, ErrLaterVersion
	}
	mdl, ok := estimate.Restore(estimate.State{
		Count: jsn.Count, Weight: jsn.Weight, SumX: jsn.SumX, SumY: jsn.SumY, SumXX: jsn.SumXX, SumXY: jsn.SumXY, SumY2: jsn.SumYY,
		SpreadSum: jsn.SpreadSum, SpreadWeight: jsn.SpreadWeight,
	})
	if !ok || jsn.Version < 1 {
		return nil, errors.New("learned run times are absurd")
	}
	return mdl, nil
}
