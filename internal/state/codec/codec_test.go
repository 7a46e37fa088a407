package codec

import (
	"bytes"
	"reflect"
	"testing"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/pool/wave"
	"daisywheel/internal/state/record"
)

func samples() []record.Config {
	shp := shape.New(shape.Config{Cores: 2, MemoryMB: 512, Accelerators: 1})
	return []record.Config{
		{Kind: record.RowSet, ChangeID: "c1", Author: "maria", AtMs: 5, Base: 3, Row: row.Config{Pool: "gate", Service: "gate", Weight: 1, Note: "ü"}},
		{Kind: record.VMAdd, Member: member.Config{VM: "v", Zone: "z", Rack: "r", Address: "a:1", Agent: "a:2", Shape: shp, Pool: "p"}},
		{Kind: record.VMStatus, VM: "v", Status: member.Gone},
		{Kind: record.VMLeave, VM: "v", Epoch: 7, Pool: "p", Home: "h", Wave: "w"},
		{Kind: record.WaveStart, Wave: "w", VMs: []string{"a", "b"}},
		{Kind: record.WaveState, Wave: "w", WaveState: wave.Cancelled},
		{Kind: record.JobSubmit, Job: job.Config{Name: "j", Team: "t", Shape: shp, Priority: 9, Seconds: 3}},
		{Kind: record.JobPlace, JobName: "j", VM: "v", FencingToken: 2, Shape: shp},
		{Kind: record.JobEnd, JobName: "j", FencingToken: 3, Outcome: record.Failed, Shape: shp},
		{Kind: record.EntryJoin, Entry: "e", Zone: "z", VM: "v", Incarnation: 1 << 60, Address: "a:3"},
		{Kind: record.ZoneStatus, Zone: "z", IsCut: true},
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	for _, cfg := range samples() {
		data, err := Codec{}.Encode(record.New(cfg))
		if err != nil {
			t.Fatal(err)
		}
		rec, err := Codec{}.Decode(data)
		if err != nil || !reflect.DeepEqual(rec.Config(), cfg) {
			t.Errorf("%s: got %+v, want %+v (%v)", cfg.Kind, rec.Config(), cfg, err)
		}
	}
}

// FuzzDecode checks that any input is either refused or decoded to a record that
// encoding and decoding leave unchanged.
func FuzzDecode(f *testing.F) {
	for _, cfg := range samples() {
		data, err := Codec{}.Encode(record.New(cfg))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"kind":"vmStatus","status":"never"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec, err := Codec{}.Decode(data)
		if err != nil {
			return
		}
		one, err := Codec{}.Encode(rec)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Codec{}.Decode(one)
		if err != nil {
			t.Fatal(err)
		}
		two, err := Codec{}.Encode(again)
		if err != nil || !bytes.Equal(one, two) {
			t.Fatalf("%s is encoded as %s the second time (%v)", one, two, err)
		}
	})
}
