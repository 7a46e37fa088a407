// Package vmagent is the client of the agents on VMs, which assign a VM to its pool,
// reboot it and run its tasks.
package vmagent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// maxReplyBytes bounds one reply of an agent.
const maxReplyBytes = 4 << 20

// Task is a task to start, or whose lease to renew. An agent refuses a Fence, the
// fencing token, that is stale, and stops a task whose lease was not renewed for
// LeaseMs. Seconds is the expected run time.
type Task struct {
	Name         string
	FencingToken int64
	LeaseMs      int64
	Seconds      int
	Shape        shape.Shape
}

// Report is an agent's report on one task. Usage lags behind, so a short task may end
// before any of it is reported.
type Report struct {
	Name         string
	FencingToken int64
	State        string // running, done, failed or stopped
	Usage        shape.Shape
}

// Health is an agent's report on its VM: the pool and epoch that it was assigned last,
// and how often the VM has booted.
type Health struct {
	Pool      string
	Epoch     int64
	BootCount int64
}

// Client calls agents, whose addresses are host:port. Tests may replace the function
// fields; New sets them to HTTP calls. Errors carry code.StaleFence when the agent
// refused a stale epoch or fencing token, otherwise code.PlatformError.
type Client struct {
	Health  func(ctx context.Context, agent string) (Health, error)
	Assign  func(ctx context.Context, agent, pool string, epoch int64) error
	Reboot  func(ctx context.Context, agent string, epoch int64) error
	Start   func(ctx context.Context, agent string, tsk Task) error
	Renew   func(ctx context.Context, agent string, tsk Task) error
	Stop    func(ctx context.Context, agent, name string, fence int64, checkpoint bool) error
	Reports func(ctx context.Context, agent string) ([]Report, error)
}

// Config holds the HTTP client to call agents with.
type Config struct {
	HTTP *http.Client
}

// orderJSON is the body of a pool assignment and, without a pool, of a reboot.
type orderJSON struct {
	Pool  string `json:"pool,omitempty"`
	Epoch int64  `json:"epoch"`
}

type healthJSON struct {
	Pool      string `json:"pool"`
	Epoch     int64  `json:"epoch"`
	BootCount int64  `json:"boots"`
}

// taskJSON is the body of an order for a task, and an element of reportsJSON.
type taskJSON struct {
	Name         string `json:"name"`
	Fence        int64  `json:"fence"`
	LeaseMs      int64  `json:"leaseMs,omitempty"`
	Seconds      int    `json:"seconds,omitempty"`
	State        string `json:"state,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Accelerators int    `json:"accelerators"`
}

type reportsJSON struct {
	Tasks []taskJSON `json:"tasks"`
}

type httpAgent struct {
	cfg Config
}

// New returns a Client that calls agents over HTTP with JSON bodies.
func New(cfg Config) *Client {
	hag := &httpAgent{cfg: cfg}
	return &Client{
		Health: hag.health, Assign: hag.assign, Reboot: hag.reboot,
		Start: hag.start, Renew: hag.renew, Stop: hag.stop, Reports: hag.reports,
	}
}

func (hag *httpAgent) health(ctx context.Context, agent string) (Health, error) {
	var out healthJSON
	err := hag.call(ctx, http.MethodGet, agent, "/v1/health", nil, &out)
	return Health(out), err
}

func (hag *httpAgent) assign(ctx context.Context, agent, pool string, epoch int64) error {
	return hag.call(ctx, http.MethodPost, agent, "/v1/pool", orderJSON{Pool: pool, Epoch: epoch}, nil)
}

func (hag *httpAgent) reboot(ctx context.Context, agent string, epoch int64) error {
	return hag.call(ctx, http.MethodPost, agent, "/v1/reboot", orderJSON{Epoch: epoch}, nil)
}

func (hag *httpAgent) start(ctx context.Context, agent string, tsk Task) error {
	return hag.call(ctx, http.MethodPost, agent, "/v1/tasks", toJSON(tsk), nil)
}

func (hag *httpAgent) renew(ctx context.Context, agent string, tsk Task) error {
	return hag.call(ctx, http.MethodPost, agent, "/v1/renew", toJSON(tsk), nil)
}

func (hag *httpAgent) stop(ctx context.Context, agent, name string, fence int64, checkpoint bool) error {
	in := taskJSON{Name: name, Fence: fence, Checkpoint: checkpoint}
	return hag.call(ctx, http.MethodPost, agent, "/v1/stop", in, nil)
}

func (hag *httpAgent) reports(ctx context.Context, agent string) ([]Report, error) {
	var out reportsJSON
	if err := hag.call(ctx, http.MethodGet, agent, "/v1/tasks", nil, &out); err != nil {
		return nil, err
	}
	reports := make([]Report, 0, len(out.Tasks))
	for _, tsk := range out.Tasks {
		usage := shape.New(shape.Config{Cores: tsk.Cores, MemoryMB: tsk.MemoryMB, Accelerators: tsk.Accelerators})
		reports = append(reports, Report{Name: tsk.Name, FencingToken: tsk.Fence, State: tsk.State, Usage: usage})
	}
	return reports, nil
}

func toJSON(tsk Task) taskJSON {
	return taskJSON{
		Name: tsk.Name, Fence: tsk.FencingToken, LeaseMs: tsk.LeaseMs, Seconds: tsk.Seconds,
		Cores: tsk.Shape.Cores(), MemoryMB: tsk.Shape.MemoryMB(), Accelerators: tsk.Shape.Accelerators(),
	}
}

func (hag *httpAgent) call(ctx context.Context, method, agent, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fault.Wrap(err, code.PlatformError, "encode the request to agent %s", agent)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+agent+path, body)
	if err != nil {
		return fault.Wrap(err, code.PlatformError, "create the request to agent %s", agent)
	}
	rsp, err := hag.cfg.HTTP.Do(req)
	if err != nil {
		return fault.Wrap(err, code.PlatformError, "call agent %s", agent)
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode == http.StatusConflict {
		return fault.New(code.StaleFence, "agent %s refused a stale epoch or fencing token", agent)
	}
	if rsp.StatusCode != http.StatusOK {
		return fault.New(code.PlatformError, "agent %s replied with HTTP status %d", agent, rsp.StatusCode)
	}
	if out == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(rsp.Body, maxReplyBytes)).Decode(out)
	if err != nil {
		return fault.Wrap(err, code.PlatformError, "decode the reply of agent %s", agent)
	}
	return nil
}
