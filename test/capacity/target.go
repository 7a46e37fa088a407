package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/standin/logservice"
	"daisywheel/internal/standin/simvm"
	"daisywheel/internal/standin/vmlist"
	"daisywheel/internal/state/codec"
	"daisywheel/internal/state/record"
)

// clockTicksPerSec is the rate of the clock ticks in which /proc/PID/stat counts processor time.
const clockTicksPerSec = 100

// meteredListener counts the bytes of the connections that it accepts.
type meteredListener struct {
	net.Listener
	mtr *meter
}

// Accept implements net.Listener.
func (mls *meteredListener) Accept() (net.Conn, error) {
	cnn, err := mls.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: cnn, mtr: mls.mtr}, nil
}

// platform is a stand-in platform with log and VM list. All VMs share one agent, which
// answers the probes; only the VMs of the measured entry's zone are listed.
type platform struct {
	mtr    *meter
	ledger *logservice.Service
	cloud  *vmlist.VMList
	base   string
	server *http.Server
	agent  *simvm.VM
}

func startPlatform(vms int) (*platform, error) {
	plf := &platform{mtr: &meter{}, ledger: logservice.New(logservice.Config{}), cloud: vmlist.New(vmlist.Config{})}
	agent, err := simvm.Start(simvm.Config{Facts: member.Config{VM: "shared"}})
	if err != nil {
		return nil, err
	}
	plf.agent = agent
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/streams/", plf.ledger.Handler())
	mux.Handle("/v1/vms", plf.cloud.Handler())
	plf.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	plf.base = "http://" + lsn.Addr().String()
	go func() { _ = plf.server.Serve(&meteredListener{Listener: lsn, mtr: plf.mtr}) }()
	return plf, plf.fill(vms)
}

// fill appends the table, the other entries and all VMs to the log. It omits entry-00,
// which measureEntry starts.
func (plf *platform) fill(vms int) error {
	var cfgs []record.Config
	for idx := range targetPools {
		cfgs = append(cfgs, record.Config{Kind: record.RowSet, Row: sampleRow(fmt.Sprintf("pool-%03d", idx))})
	}
	for idx := range zoneCount * entriesPerZone {
		if idx%zoneCount > 0 || idx > 0 {
			cfgs = append(cfgs, record.Config{
				Kind: record.EntryJoin, Entry: fmt.Sprintf("entry-%02d", idx), Zone: fmt.Sprintf("zone%02d", idx%zoneCount), Incarnation: 1,
			})
		}
	}
	for idx := range vms {
		cfg := sampleVM(fmt.Sprintf("region1-zone04-vm-%05d", idx), fmt.Sprintf("zone%02d", idx%zoneCount), fmt.Sprintf("pool-%03d", idx%targetPools))
		cfg.Agent = plf.agent.Facts().Agent
		cfg.Shape = shape.New(shape.Config{Cores: 96, MemoryMB: 768 << 10, Accelerators: 2})
		cfgs = append(cfgs, record.Config{Kind: record.VMAdd, Member: cfg})
		if idx%zoneCount == 0 {
			plf.cloud.Add(time.Now(), cfg, false)
		}
	}
	var raw []json.RawMessage
	for idx, cfg := range cfgs {
		cfg.ChangeID = fmt.Sprintf("fill-%d", idx)
		data, err := codec.Codec{}.Encode(record.New(cfg))
		if err != nil {
			return err
		}
		raw = append(raw, data)
	}
	plf.ledger.Append("fleet", raw)
	return nil
}

// measureTarget measures one entry, run as a separate process without requests, in
// fleets of 10%, 30% and 100% of the target size.
func measureTarget() ([]figure, error) {
	var figures []figure
	for _, vms := range []int{targetVMs / 10, targetVMs * 3 / 10, targetVMs} {
		more, err := measureEntry(vms)
		if err != nil {
			return nil, err
		}
		figures = append(figures, more...)
	}
	return figures, nil
}

func measureEntry(vms int) ([]figure, error) {
	plf, err := startPlatform(vms)
	if err != nil {
		return nil, err
	}
	defer plf.agent.Close()
	defer func() { _ = plf.server.Close() }()
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	began := time.Now()
	cmd, operatorAddress, err := plf.startEntry(dir)
	if err != nil {
		return nil, err
	}
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}()
	if err := awaitReady(operatorAddress); err != nil {
		return nil, err
	}
	readyTime := time.Since(began)
	time.Sleep(warmupTime)
	bytesBefore, cpuBefore := plf.mtr.total.Load(), cpuSeconds(cmd.Process.Pid)
	time.Sleep(measureTime)
	cpuUsed := cpuSeconds(cmd.Process.Pid) - cpuBefore
	bytesPerSec := float64(plf.mtr.total.Load()-bytesBefore) / measureTime.Seconds()
	label := fmt.Sprintf(", %d VMs in the fleet", vms)
	return []figure{
		{name: "entry start to ready without a checkpoint" + label, value: readyTime.Seconds(), unit: "s", isUnchecked: true},
		{name: "entry processor time" + label, value: 100 * cpuUsed / measureTime.Seconds(), unit: "% of a core", isUnchecked: true},
		{name: "entry resident memory" + label, value: residentMB(cmd.Process.Pid), unit: "MB", isUnchecked: true},
		{name: "entry traffic with log and VM list" + label, value: bytesPerSec / 1000, unit: "KB/s"},
	}, nil
}

// startEntry builds the command, starts entry-00 with its settings in dir, and returns
// the process and the entry's operator address.
func (plf *platform) startEntry(dir string) (*exec.Cmd, string, error) {
	binary := filepath.Join(dir, "daisywheel")
	if out, err := exec.Command("go", "build", "-o", binary, "daisywheel").CombinedOutput(); err != nil {
		return nil, "", errors.Wrap(err, string(out))
	}
	var addresses []string
	for range 3 {
		lsn, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, "", err
		}
		addresses = append(addresses, lsn.Addr().String())
		defer func() { _ = lsn.Close() }()
	}
	text := fmt.Sprintf("name: entry-00\nzone: zone00\nvm: vm-entry-00\ncallerAddress: %s\noperatorAddress: %s\npeerAddress: %s\n"+
		"operatorToken: 0123456789abcdef\nlogService: %s\nvmList: %s\n", addresses[0], addresses[1], addresses[2], plf.base, plf.base)
	path := filepath.Join(dir, "entry.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, "", err
	}
	cmd := exec.Command(binary, "entry", "-settings", path)
	cmd.Stderr = os.Stderr
	return cmd, addresses[1], cmd.Start()
}

func awaitReady(operatorAddress string) error {
	until := time.Now().Add(time.Minute)
	for time.Now().Before(until) {
		rsp, err := http.Get("http://" + operatorAddress + "/ready")
		if err == nil {
			_ = rsp.Body.Close()
			if rsp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the entry did not become ready")
}

// cpuSeconds returns the processor time that the process has used, or 0 when it cannot be read.
func cpuSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicksPerSec
}

// residentMB returns the resident set size of the process, or 0 when it cannot be read.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(text)[0], 64)
			return kilobytes / 1000
		}
	}
	return 0
}
