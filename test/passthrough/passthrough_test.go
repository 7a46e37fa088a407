// Package passthrough compares the cost per request of an entry with that of a plain
// net/http reverse proxy, in one run.
package passthrough

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/standin/site"
)

const workers = 8

// plainProxy forwards each request with a transport and copies the reply.
type plainProxy struct {
	transport *http.Transport
	backend   string
}

// ServeHTTP implements http.Handler.
func (plp *plainProxy) ServeHTTP(rsp http.ResponseWriter, req *http.Request) {
	out := req.Clone(req.Context())
	out.RequestURI = ""
	out.URL = &url.URL{Scheme: "http", Host: plp.backend, Path: req.URL.Path}
	answer, err := plp.transport.RoundTrip(out)
	if err != nil {
		rsp.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	for name, values := range answer.Header {
		rsp.Header()[name] = values
	}
	rsp.WriteHeader(answer.StatusCode)
	_, _ = io.Copy(rsp, answer.Body)
}

func startPlainProxy(b *testing.B, backend string) string {
	b.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{
		Handler:           &plainProxy{transport: &http.Transport{MaxIdleConnsPerHost: workers}, backend: backend},
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = srv.Serve(lsn) }()
	b.Cleanup(func() { _ = srv.Close() })
	return lsn.Addr().String()
}

// cost is the processor time and allocations of the whole process per request.
type cost struct {
	cpuTime time.Duration
	allocs  float64
}

// measureCost sends count requests from several workers and returns the cost per request.
func measureCost(b *testing.B, address string, count int) cost {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := processCPUTime()
	var wtg sync.WaitGroup
	for range workers {
		wtg.Go(func() {
			for range count / workers {
				rsp, err := client.Get("http://" + address + "/s/gate/pass")
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, rsp.Body)
				_ = rsp.Body.Close()
				if rsp.StatusCode != http.StatusOK {
					b.Errorf("status %d", rsp.StatusCode)
					return
				}
			}
		})
	}
	wtg.Wait()
	cpuTime := processCPUTime() - begin
	runtime.ReadMemStats(&after)
	return cost{cpuTime: cpuTime / time.Duration(count), allocs: float64(after.Mallocs-before.Mallocs) / float64(count)}
}

func processCPUTime() time.Duration {
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkEntryAgainstPlainProxy reports the cost of an entry, as such and relative to the
// plain proxy. Caller and backend server run in the same process; their cost, measured by
// requests straight to the backend server, is subtracted on both sides.
func BenchmarkEntryAgainstPlainProxy(b *testing.B) {
	ste, err := site.Start(site.Config{Seed: 1, Plan: site.Plan{
		Name: "bench", Zones: []string{"z1"}, EntriesPerZone: 1, VMsPerPool: 4,
		VMShape: shape.New(shape.Config{Cores: 4, MemoryMB: 4096}),
		Pools: []site.PoolPlan{{Row: row.Config{
			Pool: "gate", Service: "gate", Weight: 1, DownVMs: 1, Queue: 100, DeadlineMs: 5000,
		}}},
	}})
	if err != nil {
		b.Fatal(err)
	}
	defer ste.Stop()
	backend := ste.VM("gate-01").Facts().Address
	proxyAddress := startPlainProxy(b, backend)
	entryAddress := ste.Entries()[0].Node().Settings().CallerAddress
	measureCost(b, proxyAddress, 2000)
	measureCost(b, entryAddress, 2000)
	for b.Loop() {
		direct := measureCost(b, backend, 8000)
		proxied := measureCost(b, proxyAddress, 8000)
		entry := measureCost(b, entryAddress, 8000)
		b.ReportMetric(float64(entry.cpuTime-direct.cpuTime)/float64(proxied.cpuTime-direct.cpuTime), "cpu-ratio")
		b.ReportMetric((entry.allocs-direct.allocs)/(proxied.allocs-direct.allocs), "alloc-ratio")
		b.ReportMetric(entry.allocs-direct.allocs, "allocs/request")
		b.ReportMetric(float64((entry.cpuTime - direct.cpuTime).Microseconds()), "us/request")
	}
}
