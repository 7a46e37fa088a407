package main

import (
	"strings"

	"github.com/google/uuid"

	"daisywheel/internal/job/job"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/state/codec"
	"daisywheel/internal/state/record"
)

const (
	sampleTimeMs      = 1_796_000_000_000
	sampleIncarnation = 1_796_000_000_000_000_000
	entriesPerZone    = 3
)

func sampleRow(pool string) row.Config {
	return row.Config{
		Pool: pool, Service: pool, Weight: 10, TakeSlots: 200, LendSlots: 50, TakeVMs: 4, LendVMs: 4, DownVMs: 5,
		Queue: 200, DeadlineMs: 4000, Note: "on call: platform team",
	}
}

func sampleVM(name, zone, pool string) member.Config {
	return member.Config{
		VM: name, Zone: zone, Rack: zone + "-rack-017", Address: "10.12.200.117:8080", Agent: "10.12.200.117:8081",
		Shape: shape.New(shape.Config{Cores: 96, MemoryMB: 768 << 10, Accelerators: 2}), Pool: pool,
	}
}

func sampleJob(name string) job.Config {
	return job.Config{
		Name: name, Team: "team-settlement", Kind: "nightly-settlement", Priority: 10, Seconds: 600,
		Shape: shape.New(shape.Config{Cores: 8, MemoryMB: 32 << 10, Accelerators: 1}),
	}
}

// encodedSize returns the size of the encoded records in bytes, with change ID, author
// and time, and with one byte per record for the separator.
func encodedSize(cfgs ...record.Config) (float64, error) {
	total := 0
	for _, cfg := range cfgs {
		if cfg.ChangeID == "" {
			cfg.ChangeID = uuid.NewString()
		}
		if cfg.Author == "" {
			cfg.Author = "region1-zone04-e2"
		}
		cfg.AtMs = sampleTimeMs
		data, err := codec.Codec{}.Encode(record.New(cfg))
		if err != nil {
			return 0, err
		}
		total += len(data) + 1
	}
	return float64(total), nil
}

// recordsPerEvent returns, by figure name, the records that one event of each kind appends.
func recordsPerEvent() map[string][]record.Config {
	vm := "region1-zone04-vm-00731"
	leave := record.Config{Kind: record.VMLeave, VM: vm, Epoch: 12, Pool: "settlement-west"}
	join := record.Config{Kind: record.VMJoin, VM: vm, Epoch: 12, ChangeID: "join/" + vm + "/12"}
	confirm := record.Config{
		Kind: record.VMConfirm, VM: vm, Epoch: 12, Entry: "region1-zone04-e2", Incarnation: sampleIncarnation,
		ChangeID: "confirm/" + vm + "/12/region1-zone04-e2/" + strings.Repeat("1", 19),
	}
	var confirms []record.Config
	for range entriesPerZone {
		confirms = append(confirms, confirm)
	}
	move := append(append([]record.Config{leave}, confirms...), join)
	drain := leave
	drain.Wave = "december-week-2"
	maintenance := append(append([]record.Config{drain}, confirms...), record.Config{Kind: record.VMReboot, VM: vm, Epoch: 12}, join)
	status := record.Config{Kind: record.VMStatus, VM: vm, Status: member.Down}
	name := "nightly-settlement-000123"
	return map[string][]record.Config{
		"record bytes, one table change":          {{Kind: record.RowSet, Row: sampleRow("settlement-west"), Base: 123456, Author: "maria"}},
		"record bytes, one VM move":               move,
		"record bytes, one VM maintained":         maintenance,
		"record bytes, one VM failed or replaced": {status, status, {Kind: record.VMAdd, Member: sampleVM(vm, "region1-zone04", "settlement-west")}},
		"record bytes, one job": {
			{Kind: record.JobSubmit, Job: sampleJob(name)},
			{Kind: record.JobPlace, JobName: name, VM: vm, Shape: sampleJob(name).Shape},
			{Kind: record.JobEnd, JobName: name, FencingToken: 1, Outcome: record.Done, ChangeID: "end/" + name + "/1", Shape: sampleJob(name).Shape},
		},
		"record bytes, one zone heartbeat": {{Kind: record.ZoneHeartbeat, Zone: "region1-zone04", Entry: "region1-zone04-e2"}},
	}
}

func measureRecords() ([]figure, error) {
	var figures []figure
	events := recordsPerEvent()
	for _, name := range []string{
		"record bytes, one table change", "record bytes, one VM move", "record bytes, one VM maintained",
		"record bytes, one VM failed or replaced", "record bytes, one job", "record bytes, one zone heartbeat",
	} {
		size, err := encodedSize(events[name]...)
		if err != nil {
			return nil, err
		}
		figures = append(figures, figure{name: name, value: size, unit: "B"})
	}
	return figures, nil
}
