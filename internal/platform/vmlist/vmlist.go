// Package vmlist is the client of the platform's list of VMs, which lags behind the
// VMs themselves.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"

	"daisywheel/internal/job/shape"
	"daisywheel/internal/pool/member"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// maxReplyBytes bounds one reply of the list.
const maxReplyBytes = 16 << 20

// VM is one VM of the list. Absence from the list does not mean that a VM has ended,
// as the list may just lag behind. Only the status Gone does: it is the platform's
// guarantee that the VM has ended for good.
type VM struct {
	Member  member.Config
	Status  member.Status
	IsEntry bool
}

// Client reads the list of one availability zone. Tests may replace the function
// field; New sets it to an HTTP call. Errors carry code.PlatformError.
type Client struct {
	List func(ctx context.Context, zone string) ([]VM, error)
}

// Config holds the base URL of the service that lists VMs.
type Config struct {
	BaseURL string
	HTTP    *http.Client
}

type vmJSON struct {
	Name         string `json:"name"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Address      string `json:"address"`
	Agent        string `json:"agent"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Accelerators int    `json:"accelerators"`
	Pool         string `json:"pool"`
	Status       string `json:"status"`
	IsEntry      bool   `json:"isEntry"`
}

type listJSON struct {
	VMs []vmJSON `json:"vms"`
}

type httpList struct {
	cfg   Config
	mu    sync.Mutex
	etags map[string]string // zone to the ETag of its last list
	lists map[string][]VM   // zone to its last list
}

// New returns a Client that calls the service over HTTP with JSON bodies. Requests
// are conditional, so that an unchanged list is not transferred again.
func New(cfg Config) *Client {
	hls := &httpList{cfg: cfg, etags: map[string]string{}, lists: map[string][]VM{}}
	return &Client{List: hls.list}
}

func (hls *httpList) list(ctx context.Context, zone string) ([]VM, error) {
	target := hls.cfg.BaseURL + "/v1/vms?zone=" + url.QueryEscape(zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fault.Wrap(err, code.PlatformError, "create the request for the VM list")
	}
	hls.mu.Lock()
	defer hls.mu.Unlock()
	if tag := hls.etags[zone]; tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	rsp, err := hls.cfg.HTTP.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, code.PlatformError, "request the VM list")
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode == http.StatusNotModified {
		return hls.lists[zone], nil
	}
	if rsp.StatusCode != http.StatusOK {
		return nil, fault.New(code.PlatformError, "the VM list replied with HTTP status %d", rsp.StatusCode)
	}
	var out listJSON
	if err := json.NewDecoder(io.LimitReader(rsp.Body, maxReplyBytes)).Decode(&out); err != nil {
		return nil, fault.Wrap(err, code.PlatformError, "decode the VM list")
	}
	hls.etags[zone] = rsp.Header.Get("ETag")
	hls.lists[zone] = toVMs(out)
	return hls.lists[zone], nil
}

func toVMs(lst listJSON) []VM {
	vms := make([]VM, 0, len(lst.VMs))
	for _, item := range lst.VMs {
		shp := shape.New(shape.Config{Cores: item.Cores, MemoryMB: item.MemoryMB, Accelerators: item.Accelerators})
		facts := member.Config{
			VM: item.Name, Zone: item.Zone, Rack: item.Rack, Address: item.Address, Agent: item.Agent,
			Shape: shp, Pool: item.Pool,
		}
		vms = append(vms, VM{Member: facts, Status: member.ParseStatus(item.Status), IsEntry: item.IsEntry})
	}
	return vms
}
