// Package docs checks that the documentation matches the program.
package docs

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"daisywheel/internal/command/cli"
	"daisywheel/internal/job/shape"
	"daisywheel/internal/operator/api"
	"daisywheel/internal/pool/row"
	"daisywheel/internal/pool/table"
	"daisywheel/internal/settings/entry"
	"daisywheel/internal/standin/site"
)

// readPage returns the text of a file, by its path from the root of the repository.
func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile("../../" + path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func startSite(t *testing.T) *site.Site {
	t.Helper()
	ste, err := site.Start(site.Config{Seed: 1, Plan: site.Plan{
		Name: "docs", Zones: []string{"z1"}, EntriesPerZone: 1, VMsPerPool: 3, RebootTime: 3 * time.Second,
		VMShape: shape.New(shape.Config{Cores: 4, MemoryMB: 4096}),
		Pools: []site.PoolPlan{{Row: row.Config{
			Pool: "gate", Service: "gate", Weight: 1, DownVMs: 1, Queue: 10, DeadlineMs: 3000,
		}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ste.Stop)
	return ste
}

// TestAPIExamples runs each example of docs/api.md and checks that every
// route has a section.
func TestAPIExamples(t *testing.T) {
	page := readPage(t, "docs/api.md")
	for _, pattern := range api.Routes() {
		if !strings.Contains(page, "\n## "+pattern+"\n") {
			t.Errorf("docs/api.md has no section for %s", pattern)
		}
	}
	ste := startSite(t)
	base := "http://" + ste.Entries()[0].Node().Settings().OperatorAddress
	example := regexp.MustCompile(`(?m)^> (\S+) (\S+)\n((?:\{.*\n)?)< (\d+)$`)
	found := example.FindAllStringSubmatch(page, -1)
	if len(found) < len(api.Routes()) {
		t.Errorf("%d examples for %d routes", len(found), len(api.Routes()))
	}
	for _, exm := range found {
		req, err := http.NewRequest(exm[1], base+exm[2], strings.NewReader(exm[3]))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+ste.Token())
		rsp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		if !strings.HasPrefix(rsp.Status, exm[4]) {
			t.Errorf("%s %s %s: got %s, the page says %s\n%s", exm[1], exm[2], exm[3], rsp.Status, exm[4], body)
		}
	}
}

// TestMetricsPage checks that docs/metrics.md names every metric that an entry exposes, and
// that some metrics are exposed.
func TestMetricsPage(t *testing.T) {
	ste := startSite(t)
	set := ste.Entries()[0].Node().Settings()
	rsp, err := http.Get("http://" + set.CallerAddress + "/s/gate/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = rsp.Body.Close()
	rsp, err = http.Get("http://" + set.OperatorAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		t.Fatal(err)
	}
	page := readPage(t, "docs/metrics.md")
	for _, name := range regexp.MustCompile(`(?m)^daisywheel_[a-z_]+`).FindAllString(string(data), -1) {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/metrics.md does not name %s", name)
		}
	}
	for _, name := range []string{"daisywheel_requests_served_total", "daisywheel_pool_queue", "daisywheel_applied_offset"} {
		if !strings.Contains(string(data), name) {
			t.Errorf("/metrics does not show %s", name)
		}
	}
}

// TestManPages checks that the man page names every command that help prints.
func TestManPages(t *testing.T) {
	var out, diag bytes.Buffer
	if code := cli.Main([]string{"help"}, &out, &diag); code != 0 {
		t.Fatalf("help exited with status %d", code)
	}
	page := readPage(t, "man/daisywheel.1.md")
	for _, line := range regexp.MustCompile(`(?m)^  ([a-z]+) `).FindAllStringSubmatch(out.String(), -1) {
		if !strings.Contains(page, "**"+line[1]+"**") {
			t.Errorf("man/daisywheel.1.md does not name the command %s", line[1])
		}
	}
}

// TestExampleFiles checks that the example settings and tables parse.
func TestExampleFiles(t *testing.T) {
	if _, err := entry.Parse([]byte(readPage(t, "docs/example/entry.yaml"))); err != nil {
		t.Error(err)
	}
	for _, path := range []string{"docs/example/compost.csv", "docs/example/vendors.csv"} {
		if _, err := table.Parse([]byte(readPage(t, path))); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// TestCommandLine runs the commands and checks their exit statuses.
func TestCommandLine(t *testing.T) {
	ste := startSite(t)
	t.Setenv("DAISYWHEEL_OPERATOR", "127.0.0.1:1,"+ste.Entries()[0].Node().Settings().OperatorAddress)
	t.Setenv("DAISYWHEEL_TOKEN", ste.Token())
	dir := t.TempDir()
	run := func(want int, args ...string) string {
		t.Helper()
		var out, diag bytes.Buffer
		if code := cli.Main(args, &out, &diag); code != want {
			t.Errorf("daisywheel %s: exit status %d, want %d\n%s%s", strings.Join(args, " "), code, want, out.String(), diag.String())
		}
		return out.String() + diag.String()
	}
	path := dir + "/table.csv"
	if err := os.WriteFile(path, []byte(run(0, "table", "get")), 0o600); err != nil {
		t.Fatal(err)
	}
	run(0, "table", "check", path)
	run(0, "table", "diff", path)
	run(0, "table", "set", "gate", "queue=77")
	if text := run(1, "table", "diff", path); !strings.Contains(text, "queue 77 -> 10") {
		t.Errorf("table diff printed %q", text)
	}
	run(0, "table", "apply", path)
	run(0, "table", "diff", path)
	run(2, "table", "diff", dir+"/none.csv")
	run(2, "table", "set", "gate", "queue=many")
	run(1, "table", "set", "none", "queue=1")
	run(0, "table", "log")
	run(0, "table", "status", "-o", "json")
	run(0, "status")
	run(0, "pool")
	run(0, "vm", "list")
	run(0, "job", "submit", "-cores", "1", "-seconds", "60", "nightly")
	run(1, "job", "submit", "-cores", "500", "giant")
	run(0, "job", "show", "nightly")
	run(0, "job", "list")
	run(0, "job", "cancel", "nightly")
	run(0, "maintenance", "start", "-pools", "gate", "spring")
	run(0, "maintenance", "pause", "spring")
	run(0, "maintenance", "resume", "spring")
	run(0, "maintenance", "status", "spring")
	run(0, "maintenance", "cancel", "spring")
	run(2, "maintenance", "start")
	run(1, "vm", "move", "gate-99", "gate")
	run(2, "flower")
	run(0, "version")
	run(4, "status", "-operator", "127.0.0.1:1")
	run(1, "status", "-token", "wrong")
}
