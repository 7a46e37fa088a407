//go:build crowd

// Package crowd plays callers that nobody controls against an entry process on loopback: many at
// once, with large bodies that stop just short of their end and stay open. The process must live,
// within the memory and the descriptors of its machine, and answer an ordinary request afterwards, while the
// crowd is still there. Nothing here depends on how fast the machine is; time limits only end a hang.
// These tests run one at a time, apart from other load: make test.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The machine of the process, and the crowd. The limits are lower than any deployment's, so that a
// small crowd is enough.
const (
	memoryMB       = 64
	maxDescriptors = 300
	// reservedDescriptors of them are for files; sockets share the rest.
	reservedDescriptors = 200
	crowdSize           = 240
	// finishEach is how many callers there are for each one that ends its body.
	finishEach = 10
	// maxBodyBytes is the limit of the configuration.
	maxBodyBytes = 262144
	shortOfEnd   = 40
	// farOver is how much of a body that is far over the limit a caller sends at most.
	farOver = 8 << 20
	// hangLimit ends what would never end.
	hangLimit = 60 * time.Second
)

const configJSON = `{"version":1,"routes":[{"name":"q","host":"a.example","path_prefix":"/q/","service":"gate","max_attempts":3,"deadline_factor":1.6,"latency_goal_ms":600}],
	"services":[{"name":"gate"}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const settingsYAML = `node_name: "entry-1"
ip: "127.0.0.1"
zone: "z"
listen: {frontend: "127.0.0.1:%d", ready: "127.0.0.1:%d"}
port_range: [%d, %d]
limits: {cpu_share: 0.8, cores: 1, memory_mb: %d, max_fds: %d}
bounds: {hold_max_ms: 10000, grace_s: 2, status_s: 120, lease_ms: 3000}
platform: {address: %q, parts: 16, record_bytes: 262144, ttl_min_ms: 1000}
cloud: {address: %q, duty_per_s: 64}
`

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "daisywheel")
	if out, err := exec.Command("go", "build", "-o", program, "daisywheel").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// entry is the process under test.
type entry struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string // for callers
	ended   chan struct{}
	output  bytes.Buffer // read once the process has ended
}

// freePorts returns consecutive ports that are free.
func freePorts(t *testing.T, count int) int {
	t.Helper()
	for range 100 {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		open := []net.Listener{first}
		for num := 1; num < count; num++ {
			if lsn, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+num))); err == nil {
				open = append(open, lsn)
			}
		}
		for _, lsn := range open {
			_ = lsn.Close()
		}
		if len(open) == count {
			return port
		}
	}
	t.Fatal("no consecutive ports are free")
	return 0
}

func startEntry(t *testing.T) *entry {
	t.Helper()
	lsn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: newPlatform(configJSON)}
	go func() { _ = srv.Serve(lsn) }()
	t.Cleanup(func() { _ = srv.Close() })
	for range 5 {
		if ent := startProcess(t, lsn.Addr()); ent != nil {
			ent.askOrdinary("0000000000000001", 100) // until it has claimed its pool
			return ent
		}
	}
	t.Fatal("the process does not start")
	return nil
}

// startProcess starts the process on ports that were free. It returns nil if another process has taken one meanwhile.
func startProcess(t *testing.T, platform net.Addr) *entry {
	t.Helper()
	port := freePorts(t, 4)
	settings := filepath.Join(t.TempDir(), "boot.yaml")
	text := fmt.Sprintf(settingsYAML, port, port+1, port+2, port+3, memoryMB, maxDescriptors, platform, platform)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ent := &entry{t: t, cmd: exec.Command(program, "scheduler"), address: net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), ended: make(chan struct{})}
	ent.cmd.Env = append(os.Environ(), "DAISYWHEEL_CONFIG="+settings)
	ent.cmd.Stdout, ent.cmd.Stderr = &ent.output, &ent.output
	if err := ent.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = ent.cmd.Wait()
		close(ent.ended)
	}()
	t.Cleanup(func() {
		_ = ent.cmd.Process.Kill()
		<-ent.ended
	})
	for range 200 {
		if cnn, err := net.DialTimeout("tcp", ent.address, hangLimit); err == nil {
			_ = cnn.Close()
			return ent
		}
		select {
		case <-ent.ended:
			if !strings.Contains(ent.output.String(), "address already in use") {
				t.Fatalf("the process has ended: %.2000s", ent.output.String())
			}
			return nil
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatal("the process does not listen")
	return nil
}

// askOrdinary submits an ordinary job, as often as a caller may who is refused, and fails unless it is
// accepted in the end.
func (ent *entry) askOrdinary(id string, attempts int) {
	ent.t.Helper()
	cli := &http.Client{Timeout: hangLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for range attempts {
		req, err := http.NewRequest(http.MethodPost, "http://"+ent.address+"/q/"+id, strings.NewReader(`{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":500}]}`))
		if err != nil {
			ent.t.Fatal(err)
		}
		req.Host = "a.example"
		rsp, err := cli.Do(req)
		if err != nil {
			last = err.Error()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		body, _ := io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		if rsp.StatusCode == http.StatusOK {
			return
		}
		last = rsp.Status + " " + string(body)
		wait, _ := strconv.Atoi(rsp.Header.Get("Retry-After"))
		time.Sleep(time.Duration(max(0, wait))*time.Second/10 + 50*time.Millisecond)
	}
	ent.t.Errorf("an ordinary request is not answered: %s", last)
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (ent *entry) peakMemory() int64 {
	ent.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ent.cmd.Process.Pid))
	if err != nil {
		ent.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				ent.t.Fatal(err)
			}
			return kb << 10
		}
	}
	ent.t.Fatal("no VmHWM")
	return 0
}

// sockets returns the number of open sockets of the process.
func (ent *entry) sockets() int {
	ent.t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", ent.cmd.Process.Pid)
	list, err := os.ReadDir(dir)
	if err != nil {
		ent.t.Fatal(err)
	}
	count := 0
	for _, fil := range list {
		if target, err := os.Readlink(filepath.Join(dir, fil.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// watch calls look again and again until stop is closed, and returns a channel that is closed afterwards.
func watch(stop <-chan struct{}, look func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			look()
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return done
}

// caller is one of the crowd. It returns when it has sent what it wants to send, or can't.
type caller func(cnn net.Conn, index int)

func head(index int, more string) []byte {
	return fmt.Appendf(nil, "POST /q/%016x HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\n%s\r\n\r\n", 0xc0000+index, more)
}

// body returns a job of the length, of legal size: white space fills it.
func body(length int) []byte {
	text := []byte(`{"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":500}]`)
	text = append(text, bytes.Repeat([]byte(" "), length-len(text)-1)...)
	return append(text, '}')
}

// ends reports whether the caller is one of the few that end their body.
func ends(index int) bool { return index%finishEach == 0 }

// whole announces a body of legal size and sends it in pieces of the length.
func whole(piece int) caller {
	return func(cnn net.Conn, index int) {
		_, _ = cnn.Write(head(index, fmt.Sprintf("Content-Length: %d", maxBodyBytes)))
		data := body(maxBodyBytes)
		if !ends(index) {
			data = data[:len(data)-shortOfEnd]
		}
		for len(data) > 0 {
			size := min(piece, len(data))
			if _, err := cnn.Write(data[:size]); err != nil {
				return
			}
			data = data[size:]
		}
	}
}

// chunked sends a body of legal size in chunks of the length.
func chunked(chunk int) caller {
	return func(cnn net.Conn, index int) {
		_, _ = cnn.Write(head(index, "Transfer-Encoding: chunked"))
		data := body(maxBodyBytes)
		if !ends(index) {
			data = data[:len(data)-shortOfEnd]
		}
		var out bytes.Buffer
		for len(data) > 0 {
			size := min(chunk, len(data))
			fmt.Fprintf(&out, "%x\r\n%s\r\n", size, data[:size])
			data = data[size:]
			if out.Len() >= 16<<10 || len(data) == 0 {
				if _, err := cnn.Write(out.Bytes()); err != nil {
					return
				}
				out.Reset()
			}
		}
		if ends(index) {
			_, _ = cnn.Write([]byte("0\r\n\r\n"))
		}
	}
}

// over sends a body far over the limit, announced or in chunks.
func over(isAnnounced bool) caller {
	return func(cnn net.Conn, index int) {
		piece := bytes.Repeat([]byte(" "), 64<<10)
		if isAnnounced {
			_, _ = cnn.Write(head(index, "Content-Length: 9000000000"))
		} else {
			_, _ = cnn.Write(head(index, "Transfer-Encoding: chunked"))
			piece = append(fmt.Appendf(nil, "%x\r\n", len(piece)), append(piece, "\r\n"...)...)
		}
		for sent := 0; sent < farOver; sent += len(piece) {
			if _, err := cnn.Write(piece); err != nil {
				return
			}
		}
	}
}

// play runs a crowd of the callers and checks the process.
func play(t *testing.T, clr caller) {
	ent := startEntry(t)
	stop := make(chan struct{})
	mostSockets := 0
	watched := watch(stop, func() { mostSockets = max(mostSockets, ent.sockets()) })
	var connections []net.Conn
	defer func() {
		for _, cnn := range connections {
			_ = cnn.Close()
		}
	}()
	var crowd sync.WaitGroup
	for index := range crowdSize {
		cnn, err := net.DialTimeout("tcp", ent.address, hangLimit)
		if err != nil {
			continue // refusing a caller is allowed
		}
		connections = append(connections, cnn)
		_ = cnn.SetDeadline(time.Now().Add(hangLimit))
		crowd.Go(func() { clr(cnn, index) })
	}
	crowd.Wait()
	ent.askOrdinary("0000000000000002", 5)
	close(stop)
	<-watched
	select {
	case <-ent.ended:
		t.Fatalf("the process has ended: %.2000s", ent.output.String())
	default:
	}
	memory := ent.peakMemory()
	t.Logf("memory %.1f MB at its peak, %d sockets at most", float64(memory)/(1<<20), mostSockets)
	if memory > memoryMB<<20 {
		t.Errorf("memory %.1f MB at its peak, the machine has %d MB", float64(memory)/(1<<20), memoryMB)
	}
	if limit := maxDescriptors - reservedDescriptors; mostSockets > limit {
		t.Errorf("%d sockets were open at a time, the machine has %d", mostSockets, limit)
	}
}

func TestBodiesSentWhole(t *testing.T)        { play(t, whole(maxBodyBytes)) }
func TestBodiesSentPieceByPiece(t *testing.T) { play(t, whole(1500)) }
func TestBodiesInLargeChunks(t *testing.T)    { play(t, chunked(64<<10)) }
func TestBodiesInSmallChunks(t *testing.T)    { play(t, chunked(8)) }
func TestBodiesAnnouncedFarOver(t *testing.T) { play(t, over(true)) }
func TestBodiesFarOverInChunks(t *testing.T)  { play(t, over(false)) }

// A single request inside the limits is served in calm, whatever its size and however it is sent.
func TestSingleLargeRequestIsServed(t *testing.T) {
	ent := startEntry(t)
	for name, clr := range map[string]caller{
		"whole": whole(maxBodyBytes), "piece by piece": whole(1500), "in large chunks": chunked(64 << 10), "in small chunks": chunked(8),
	} {
		cnn, err := net.DialTimeout("tcp", ent.address, hangLimit)
		if err != nil {
			t.Fatal(err)
		}
		_ = cnn.SetDeadline(time.Now().Add(hangLimit))
		clr(cnn, 0)
		answer := make([]byte, 64)
		count, err := io.ReadAtLeast(cnn, answer, len("HTTP/1.1 200"))
		if err != nil || !strings.HasPrefix(string(answer[:count]), "HTTP/1.1 200") {
			t.Errorf("%s: answer %q, %v", name, answer[:count], err)
		}
		_ = cnn.Close()
	}
}
