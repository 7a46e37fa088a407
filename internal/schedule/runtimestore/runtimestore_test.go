package runtimestore_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"daisywheel/internal/event/journal"
	"daisywheel/internal/schedule/estimate"
	"daisywheel/internal/schedule/runtimestore"
	"daisywheel/internal/schedule/statelog"
	"daisywheel/internal/standin/logstore"
)

const address = "a.example/q/"

func learned() *estimate.Model {
	mdl := &estimate.Model{}
	for range 40 {
		mdl.Observe(time.Second, 3*time.Second)
	}
	return mdl
}

func TestModelsAreStoredByQueue(t *testing.T) {
	log := logstore.New(logstore.Config{}).Client()
	sto := runtimestore.New(runtimestore.Config{StateLog: log, Journal: journal.New(journal.Config{})})
	if mdl, err := sto.Load(t.Context(), time.Now(), address); err != nil || mdl.State().Count != 0 {
		t.Errorf("nothing stored: %+v, %v", mdl, err)
	}
	if err := sto.Save(t.Context(), map[string]estimate.State{address: learned().State(), "other": {}}); err != nil {
		t.Fatal(err)
	}
	mdl, err := sto.Load(t.Context(), time.Now(), address)
	if err != nil || mdl.State() != learned().State() {
		t.Errorf("loaded %+v, %v", mdl, err)
	}
	log.Lookup = func(context.Context, string, int, string) (statelog.Record, bool, error) {
		return statelog.Record{}, false, errors.New("down")
	}
	sto = runtimestore.New(runtimestore.Config{StateLog: log, Journal: journal.New(journal.Config{})})
	if _, err := sto.Load(t.Context(), time.Now(), address); err == nil {
		t.Error("a log that is down is taken for an empty one")
	}
}

func TestUnusableRecords(t *testing.T) {
	for text, isLater := range map[string]bool{
		`{`: false, `{}`: false, `[]`: false, `{"version":2,"count":"many"}`: false, `{"version":9}`: true,
		`{"version":1,"count":99,"weight":50,"sumY":865,"sumYY":14964}`:      false, // a year
		`{"version":1,"count":99,"weight":50,"sumY":-1500,"sumYY":45000}`:    false, // nothing
		`{"version":1,"count":99,"weight":50,"sumY":50,"sumYY":1}`:           false, // a negative variance
		`{"version":1,"count":99,"weight":50,"spreadSum":-3,"sumY":50}`:      false,
		`{"version":1,"count":99,"weight":1e300,"sumX":1e300,"sumY":-1e300}`: false,
	} {
		_, err := runtimestore.Decode([]byte(text))
		if err == nil || errors.Is(err, runtimestore.ErrLaterVersion) != isLater {
			t.Errorf("%s: %v", text, err)
		}
		log := logstore.New(logstore.Config{}).Client()
		recordingLookup := log
		recordingLookup.Lookup = func(context.Context, string, int, string) (statelog.Record, bool, error) {
			return statelog.Record{Value: []byte(text)}, true, nil
		}
		sto := runtimestore.New(runtimestore.Config{StateLog: recordingLookup, Journal: journal.New(journal.Config{})})
		mdl, err := sto.Load(t.Context(), time.Now(), address)
		if isLater != (err != nil) || err == nil && mdl.State().Count != 0 {
			t.Errorf("%s: loaded %+v, %v", text, mdl, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := runtimestore.Encode(address, learned().State())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"version":1,"count":99,"weight":50,"sumY":-1500}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		mdl, err := runtimestore.Decode(data)
		if err != nil {
			return
		}
		for _, declared := range []time.Duration{0, time.Millisecond, time.Second, time.Hour} {
			if got := mdl.Predict(declared); got < 0 || got > 8*24*time.Hour {
				t.Errorf("%s: %s declared is expected to take %s", data, declared, got)
			}
		}
	})
}
