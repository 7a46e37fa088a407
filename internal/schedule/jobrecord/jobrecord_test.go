package jobrecord_test

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"daisywheel/internal/fleet/host"
	"daisywheel/internal/job/numberset"
	"daisywheel/internal/job/plan"
	"daisywheel/internal/schedule/jobrecord"
)

func TestRecordsRoundTrip(t *testing.T) {
	at := time.UnixMilli(1700000000123)
	jb := jobrecord.Job{Queue: "passes", FirstAttempt: at, Plan: &plan.Plan{
		ID: "00112233445566ff", Spec: "text", RepeatCount: 3, FirstAt: at, Interval: 5 * time.Second,
		Steps: []plan.Step{
			{Count: 2, Demand: plan.Demand{MilliCores: 500, MemoryMB: 100, GPUs: 1}, Estimate: time.Second, Image: "i", Label: "a", Rack: "r1", MaxPerVM: 1},
			{Count: 1, After: []int{0}, LatencyGoal: 20 * time.Millisecond, MaxUnavailable: 1, IsGang: true, IsOneRack: true, IsCheckpointing: true, IsSpeculative: true, IsLongRunning: true, IsBackground: true},
		},
	}}
	data, err := jobrecord.EncodeJob(jb)
	if err != nil {
		t.Fatal(err)
	}
	got, err := jobrecord.DecodeJob(data)
	if err != nil || !reflect.DeepEqual(got, jb) {
		t.Errorf("job %+v (%v), want %+v", got.Plan, err, jb.Plan)
	}
	prg := jobrecord.Progress{
		Queue: "passes",
		State: jobrecord.Running, Ended: time.UnixMilli(0), Done: []jobrecord.DoneTasks{{Step: 0, IsAll: true, Indexes: []int{}}, {Occurrence: 1, Step: 0, Indexes: []int{1}}},
		Failures: []jobrecord.Failure{{Step: 1, Index: 0, Runs: []int{1, 1002}}},
	}
	if data, err = jobrecord.EncodeProgress(prg); err != nil {
		t.Fatal(err)
	}
	if got, err := jobrecord.DecodeProgress(data); err != nil || !reflect.DeepEqual(got, prg) {
		t.Errorf("progress %+v (%v), want %+v", got, err, prg)
	}
	hst := host.Host{ID: "vm", Pool: "gate", Address: "10.0.0.1:80", Zone: "z", Labels: []string{"a", "r1"}, Capacity: plan.Demand{MilliCores: 4}, Incarnation: 5}
	if data, err = jobrecord.EncodeHost(hst); err != nil {
		t.Fatal(err)
	}
	if got, err := jobrecord.DecodeHost("vm", "gate", data); err != nil || !reflect.DeepEqual(got, hst) {
		t.Errorf("host %+v (%v), want %+v", got, err, hst)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"00112233445566ff","queue":"q","steps":[{"n":1}]}`))
	f.Add([]byte(`{"state":1,"done":[[0,1]],"failures":[[0,1,2,3]]}`))
	f.Add([]byte(`{"state":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if jb, err := jobrecord.DecodeJob(data); err == nil && jb.Plan.Check() != nil {
			t.Error("DecodeJob returned an invalid plan")
		}
		if prg, err := jobrecord.DecodeProgress(data); err == nil && (prg.State < jobrecord.Queued || prg.State > jobrecord.Cancelled) {
			t.Error("DecodeProgress returned an invalid state")
		}
		_, _ = jobrecord.DecodeHost("vm", "gate", data)
	})
}

// Entries of earlier versions stored no addresses of queues, and read records that have them.
func TestRecordsWithoutAddress(t *testing.T) {
	const earlier = `{"id":"00112233445566ff","queue":"q","acceptedMs":7,"steps":[{"n":2}]}`
	jb, err := jobrecord.DecodeJob([]byte(earlier))
	if err != nil || jb.Queue != "q" || jb.Address != "" {
		t.Fatalf("job %+v (%v)", jb, err)
	}
	jb.Address = "h/p/"
	data, err := jobrecord.EncodeJob(jb)
	if want := `{"id":"00112233445566ff","queue":"q","address":"h/p/","acceptedMs":7,"steps":[{"n":2}]}`; err != nil || string(data) != want {
		t.Errorf("%s (%v), want the earlier record and an address", data, err)
	}
	data, err = jobrecord.EncodeProgress(jobrecord.Progress{State: jobrecord.Completed, Queue: "q", Address: "h/p/", Ended: time.UnixMilli(9)})
	if want := `{"state":2,"queue":"q","address":"h/p/","endedMs":9}`; err != nil || string(data) != want {
		t.Errorf("%s (%v), want the earlier record and an address", data, err)
	}
	prg, err := jobrecord.DecodeProgress([]byte(`{"state":2,"queue":"q","endedMs":9}`))
	if err != nil || prg.Queue != "q" || prg.Address != "" {
		t.Errorf("progress %+v (%v)", prg, err)
	}
}

// Entries of earlier versions read rows for the steps of occurrences. Rows are written as long as
// they are few, and read in any number.
func TestProgressOfOccurrencesBetweenVersions(t *testing.T) {
	var occurrences numberset.Set
	occurrences.AddSpan(numberset.Span{First: 0, Last: 1})
	occurrences.Add(3)
	few := jobrecord.Progress{State: jobrecord.Running, Queue: "q", Occurrences: occurrences, Steps: 2}
	data, err := jobrecord.EncodeProgress(few)
	if want := `{"state":1,"queue":"q","done":[[0,0],[0,1],[1,0],[1,1],[3,0],[3,1]]}`; err != nil || string(data) != want {
		t.Errorf("%s (%v), want the rows of earlier versions", data, err)
	}
	prg, err := jobrecord.DecodeProgress(data)
	if err != nil || len(prg.Done) != 6 || prg.Occurrences.Len() != 0 {
		t.Errorf("rows decoded as %+v (%v)", prg, err)
	}
	few.Steps = 5000
	data, err = jobrecord.EncodeProgress(few)
	if want := `{"state":1,"queue":"q","spans":[[0,1],[3,3]]}`; err != nil || string(data) != want || !few.IsCompact() {
		t.Errorf("%s (%v), want spans", data, err)
	}
	prg, err = jobrecord.DecodeProgress(data)
	if err != nil || !slices.Equal(prg.Occurrences.Spans(), occurrences.Spans()) {
		t.Errorf("spans decoded as %+v (%v)", prg, err)
	}
	for _, bad := range []string{`{"spans":[[3,1]]}`, `{"spans":[[-1,1]]}`, `{"spans":[[0,99999999]]}`} {
		if _, err := jobrecord.DecodeProgress([]byte(bad)); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}
