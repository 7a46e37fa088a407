package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/request/router"
	"daisywheel/internal/result/code"
	"daisywheel/internal/state/checkpoint"
	"daisywheel/internal/state/codec"
	"daisywheel/internal/state/fleet"
	"daisywheel/internal/state/record"
)

// Sizes of the target fleet. Some figures are also measured at 10% and 30% of its VMs.
const (
	targetVMs   = 7300
	targetPools = 157
	targetJobs  = 10000
	zoneCount   = 10
)

// fleetBuilder builds a fleet state by applying records.
type fleetBuilder struct {
	flt    *fleet.Fleet
	offset int64
}

func (flb *fleetBuilder) add(cfg record.Config) error {
	cfg.ChangeID = fmt.Sprintf("c2b7e1de-51a4-4a61-9d0c-%012d", flb.offset)
	vrd := flb.flt.Apply(flb.offset, record.New(cfg))
	flb.offset++
	if vrd.Code() != code.OK {
		return errors.Newf("%s: %s", cfg.Kind, vrd.Code().Name())
	}
	return nil
}

// buildFleet returns a fleet state of the given size with the registered entries of ten zones.
func buildFleet(vms, pools, jobs int) (*fleet.Fleet, error) {
	flb := &fleetBuilder{flt: fleet.New(fleet.Config{})}
	for idx := range pools {
		if err := flb.add(record.Config{Kind: record.RowSet, Row: sampleRow(fmt.Sprintf("pool-%03d", idx))}); err != nil {
			return nil, err
		}
	}
	for idx := range zoneCount * entriesPerZone {
		cfg := record.Config{Kind: record.EntryJoin, Entry: fmt.Sprintf("entry-%02d", idx), Zone: fmt.Sprintf("zone%02d", idx%zoneCount), Incarnation: 1}
		if err := flb.add(cfg); err != nil {
			return nil, err
		}
	}
	for idx := range vms {
		cfg := sampleVM(fmt.Sprintf("region1-zone04-vm-%05d", idx), fmt.Sprintf("zone%02d", idx%zoneCount), fmt.Sprintf("pool-%03d", idx%pools))
		if err := flb.add(record.Config{Kind: record.VMAdd, Member: cfg}); err != nil {
			return nil, err
		}
	}
	for idx := range jobs {
		if err := flb.add(record.Config{Kind: record.JobSubmit, Job: sampleJob(fmt.Sprintf("nightly-settlement-%06d", idx))}); err != nil {
			return nil, err
		}
	}
	return flb.flt, nil
}

// fleetHeap builds a fleet state and returns the bytes of heap that it occupies.
func fleetHeap(vms, jobs int) (float64, *fleet.Fleet, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	flt, err := buildFleet(vms, targetPools, jobs)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), flt, err
}

func measureState() ([]figure, error) {
	var figures []figure
	sizes := []int{targetVMs / 10, targetVMs * 3 / 10, targetVMs}
	heaps := make([]float64, len(sizes))
	for idx, size := range sizes {
		heap, flt, err := fleetHeap(size, 0)
		if err != nil {
			return nil, err
		}
		runtime.KeepAlive(flt)
		heaps[idx] = heap
		figures = append(figures, figure{name: fmt.Sprintf("applied state memory at %d VMs", size), value: heap / 1e6, unit: "MB"})
	}
	last := len(sizes) - 1
	slope := (heaps[last] - heaps[0]) / float64(sizes[last]-sizes[0])
	figures = append(figures, figure{name: "applied state memory per VM, with its verdict", value: slope, unit: "B"})
	full, flt, err := fleetHeap(targetVMs, targetJobs)
	if err != nil {
		return nil, err
	}
	figures = append(figures,
		figure{name: "applied state memory per job, with its verdict", value: (full - heaps[last]) / targetJobs, unit: "B"},
		figure{name: "applied state memory at target with 10000 jobs", value: full / 1e6, unit: "MB"},
		figure{name: "router memory for 730 VMs of a zone", value: routerHeap() / 1e6, unit: "MB"},
	)
	more, err := measureCheckpoint(flt)
	return append(figures, more...), err
}

func routerHeap() float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	rtr := router.New(router.Config{})
	for idx := range targetVMs / zoneCount {
		rtr.SetVM(fmt.Sprintf("region1-zone04-vm-%05d", idx), fmt.Sprintf("pool-%03d", idx%targetPools), 3, true)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(rtr)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func measureCheckpoint(flt *fleet.Fleet) ([]figure, error) {
	begin := time.Now()
	data, err := checkpoint.Encode(flt.Export())
	if err != nil {
		return nil, err
	}
	writeTime := time.Since(begin)
	begin = time.Now()
	restored, err := checkpoint.Decode(fleet.Config{}, data)
	if err != nil {
		return nil, err
	}
	readTime := time.Since(begin)
	rate, err := applyRate(restored)
	return []figure{
		{name: "checkpoint at target", value: float64(len(data)) / 1e6, unit: "MB"},
		{name: "time to write a checkpoint at target", value: writeTime.Seconds(), unit: "s", isUnchecked: true},
		{name: "time to read a checkpoint at target", value: readTime.Seconds(), unit: "s", isUnchecked: true},
		{name: "records applied per second at target, decoding included", value: rate, unit: "1/s", isUnchecked: true},
	}, err
}

// applyRate decodes and applies VM status records at target size and returns the records per second.
func applyRate(flt *fleet.Fleet) (float64, error) {
	const count = 50000
	raw := make([][]byte, count)
	for idx := range raw {
		cfg := record.Config{Kind: record.VMStatus, VM: fmt.Sprintf("region1-zone04-vm-%05d", idx%targetVMs), ChangeID: fmt.Sprint("s", idx)}
		cfg.Status = 1
		if idx/targetVMs%2 == 1 {
			cfg.Status = 0
		}
		data, err := codec.Codec{}.Encode(record.New(cfg))
		if err != nil {
			return 0, err
		}
		raw[idx] = data
	}
	begin := time.Now()
	for _, data := range raw {
		rec, err := codec.Codec{}.Decode(data)
		if err != nil {
			return 0, err
		}
		flt.Apply(flt.Next(), rec)
	}
	return count / time.Since(begin).Seconds(), nil
}
