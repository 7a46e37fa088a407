package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/standin/site"
)

// Each measurement takes measureTime, after the entry has run for warmupTime.
const (
	warmupTime  = 4 * time.Second
	measureTime = 10 * time.Second
)

// meter counts the bytes that are read and written on its connections.
type meter struct {
	total atomic.Int64
}

type meteredConn struct {
	net.Conn
	mtr *meter
}

// Read implements net.Conn.
func (mcn *meteredConn) Read(data []byte) (int, error) {
	count, err := mcn.Conn.Read(data)
	mcn.mtr.total.Add(int64(count))
	return count, err
}

// Write implements net.Conn.
func (mcn *meteredConn) Write(data []byte) (int, error) {
	count, err := mcn.Conn.Write(data)
	mcn.mtr.total.Add(int64(count))
	return count, err
}

func (mtr *meter) dial(ctx context.Context, _, network, address string) (net.Conn, error) {
	var dlr net.Dialer
	cnn, err := dlr.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: cnn, mtr: mtr}, nil
}

// measureIdle returns the control traffic of one entry, in bytes per second, at a site
// of one zone without requests.
func measureIdle(vmsPerPool, entries int) (float64, error) {
	mtr := &meter{}
	plan := site.Compost()
	plan.Zones = plan.Zones[:1]
	plan.EntriesPerZone = entries
	plan.VMsPerPool = vmsPerPool
	plan.VMShape = shape.New(shape.Config{Cores: 16, MemoryMB: 64 << 10})
	ste, err := site.Start(site.Config{Plan: plan, Seed: 1, Dial: mtr.dial})
	if err != nil {
		return 0, err
	}
	defer ste.Stop()
	time.Sleep(warmupTime)
	before := mtr.total.Load()
	time.Sleep(measureTime)
	return float64(mtr.total.Load()-before) / measureTime.Seconds() / float64(entries), nil
}

func measureTraffic() ([]figure, error) {
	var figures []figure
	for _, vms := range []int{4, 13, 40} {
		bytesPerSec, err := measureIdle(vms, entriesPerZone)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("control traffic of an entry, %d VMs in the zone", 5*vms)
		figures = append(figures, figure{name: name, value: bytesPerSec / 1000, unit: "KB/s"})
	}
	return figures, nil
}
