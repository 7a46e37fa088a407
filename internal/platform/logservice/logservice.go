// Package logservice is the client of the platform's append-only log.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Limits of one call.
const (
	maxReplyBytes = 16 << 20
	callTimeout   = 1500 * time.Millisecond // a read gets its long-poll wait in addition
)

// Page holds consecutive records, the first at offset First. Oldest is the lowest
// offset that the log still stores, Head the offset of the next append.
type Page struct {
	First   int64
	Oldest  int64
	Head    int64
	Records [][]byte
}

// Client appends to and reads the streams of the log. Tests may replace the function
// fields; New sets them to HTTP calls. Errors carry code.LogUnavailable, or
// code.LogTruncated when the log no longer stores the offset.
//
// Append returns the offset of the first appended record. Read returns at most limit
// records from an offset on, and waits up to wait for new ones at the head.
type Client struct {
	Append func(ctx context.Context, stream string, data [][]byte) (first int64, err error)
	Read   func(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// Config holds the base URL of the log service, such as http://10.0.0.9:80.
type Config struct {
	BaseURL string
	HTTP    *http.Client
}

type appendJSON struct {
	Records []json.RawMessage `json:"records"`
}

type appendedJSON struct {
	First int64 `json:"first"`
}

type pageJSON struct {
	First   int64             `json:"first"`
	Oldest  int64             `json:"oldest"`
	Head    int64             `json:"head"`
	Records []json.RawMessage `json:"records"`
}

type httpLog struct {
	cfg Config
}

// New returns a Client that calls the log service over HTTP with JSON bodies.
func New(cfg Config) *Client {
	hlg := &httpLog{cfg: cfg}
	return &Client{Append: hlg.append, Read: hlg.read}
}

func (hlg *httpLog) append(ctx context.Context, stream string, data [][]byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in := appendJSON{}
	for _, raw := range data {
		in.Records = append(in.Records, raw)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return 0, fault.Wrap(err, code.LogUnavailable, "encode the append request")
	}
	target := hlg.cfg.BaseURL + "/v1/streams/" + url.PathEscape(stream) + "/records"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return 0, fault.Wrap(err, code.LogUnavailable, "create the append request")
	}
	var out appendedJSON
	if err := hlg.do(req, &out); err != nil {
		return 0, err
	}
	return out.First, nil
}

func (hlg *httpLog) read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	target := fmt.Sprintf("%s/v1/streams/%s/records?from=%d&max=%d&waitMs=%d",
		hlg.cfg.BaseURL, url.PathEscape(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, fault.Wrap(err, code.LogUnavailable, "create the read request")
	}
	var out pageJSON
	if err := hlg.do(req, &out); err != nil {
		return Page{}, err
	}
	pag := Page{First: out.First, Oldest: out.Oldest, Head: out.Head}
	for _, raw := range out.Records {
		pag.Records = append(pag.Records, raw)
	}
	return pag, nil
}

func (hlg *httpLog) do(req *http.Request, out any) error {
	rsp, err := hlg.cfg.HTTP.Do(req)
	if err != nil {
		// If one connection has stopped responding, idle ones may have too. The next
		// call must not reuse them.
		hlg.cfg.HTTP.CloseIdleConnections()
		return fault.Wrap(err, code.LogUnavailable, "call the log service")
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxReplyBytes))
	if err != nil {
		return fault.Wrap(err, code.LogUnavailable, "read the reply of the log service")
	}
	if rsp.StatusCode == http.StatusGone {
		return fault.New(code.LogTruncated, "the log service no longer stores the requested offset")
	}
	if rsp.StatusCode != http.StatusOK {
		return fault.New(code.LogUnavailable, "the log service replied with HTTP status %d", rsp.StatusCode)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fault.Wrap(err, code.LogUnavailable, "decode the reply of the log service")
	}
	return nil
}
