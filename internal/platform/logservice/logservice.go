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

// Bounds of one call.
const (
	maxReplyBytes = 16 << 20 // bytes
	callTimeout   = 1500 * time.Millisecond
)

// Page is a run of records. Oldest is the first offset that the log still
// keeps, Head the offset of the next append.
type Page struct {
	First   int64
	Oldest  int64
	Head    int64
	Records [][]byte
}

// Client reads and appends records. The fields are seams; New fills them for HTTP.
type Client struct {
	Append func(ctx context.Context, stream string, data [][]byte) (first int64, err error)
	Read   func(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}

// Config holds the base address of the log service, such as http://10.0.0.9:80.
type Config struct {
	Base string
	HTTP *http.Client
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

// New returns a Client that speaks HTTP with JSON.
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
		return 0, fault.Wrap(err, code.LogUnavailable, "encode append")
	}
	target := hlg.cfg.Base + "/v1/streams/" + url.PathEscape(stream) + "/records"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return 0, fault.Wrap(err, code.LogUnavailable, "append")
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
		hlg.cfg.Base, url.PathEscape(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, fault.Wrap(err, code.LogUnavailable, "read")
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
		// A connection that went silent may have others like it beside it.
		hlg.cfg.HTTP.CloseIdleConnections()
		return fault.Wrap(err, code.LogUnavailable, "log service")
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxReplyBytes))
	if err != nil {
		return fault.Wrap(err, code.LogUnavailable, "log service reply")
	}
	if rsp.StatusCode == http.StatusGone {
		return fault.New(code.LogTruncated, "the log service no longer keeps that offset")
	}
	if rsp.StatusCode != http.StatusOK {
		return fault.New(code.LogUnavailable, "log service answered %d", rsp.StatusCode)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fault.Wrap(err, code.LogUnavailable, "log service reply")
	}
	return nil
}
