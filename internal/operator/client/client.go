// Package client is the HTTP client of the operators' API. It tries its addresses
// in order until one gives a final answer.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"daisywheel/internal/operator/wire"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Limits of a call to one address.
const (
	callTimeout   = 10 * time.Second
	maxReplyBytes = 64 << 20
)

// Config holds the addresses of the operators' API, each host:port, and the
// operator's token.
type Config struct {
	Addresses []string
	Token     string
}

// Client calls the operators' API. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a Client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: callTimeout}}
}

// Get requests the path and decodes the reply into out. A refusal is returned as a
// *fault.Fault.
func (cln *Client) Get(ctx context.Context, path string, out any) error {
	return cln.call(ctx, http.MethodGet, path, nil, out)
}

// Change sends a change and returns its answer, and for a refused change a
// *fault.Fault as well. Changes carry a change id, so a retry at the next address
// after a lost reply does not apply a change twice.
func (cln *Client) Change(ctx context.Context, method, path string, in any) (wire.Answer, error) {
	var ans wire.Answer
	err := cln.call(ctx, method, path, in, &ans)
	if err != nil {
		return ans, err
	}
	if ans.Code != int(code.OK) {
		return ans, fault.New(code.Code(ans.Code), "%s", ans.Detail)
	}
	return ans, nil
}

func (cln *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fault.Wrap(err, code.BadUsage, "encode the request body")
		}
		body = data
	}
	err := error(fault.New(code.NoOperatorAddress, "no operator address was given"))
	for _, address := range cln.cfg.Addresses {
		var isFinal bool
		isFinal, err = cln.callAddress(ctx, method, address, path, body, out)
		if isFinal {
			return err
		}
	}
	return err
}

// callAddress makes the call to one address. It reports whether the outcome is final,
// so that no other address is tried.
func (cln *Client) callAddress(ctx context.Context, method, address, path string, body []byte, out any) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return true, fault.Wrap(err, code.BadUsage, "address %q", address)
	}
	req.Header.Set("Authorization", "Bearer "+cln.cfg.Token)
	rsp, err := cln.http.Do(req)
	if err != nil {
		return false, fault.Wrap(err, code.NoOperatorAddress, "%s does not answer", address)
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rsp.Body, maxReplyBytes))
	if err != nil {
		return false, fault.Wrap(err, code.NoOperatorAddress, "read the reply of %s", address)
	}
	if rsp.StatusCode >= http.StatusBadRequest {
		return parseRefusal(rsp, data, out)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return true, fault.Wrap(err, code.PlatformError, "decode the reply of %s", address)
	}
	return true, nil
}

// parseRefusal decodes an error reply and reports whether it is final. NotReady is
// not, as the entry at the next address may be ready, and neither is a reply without
// a result code.
func parseRefusal(rsp *http.Response, data []byte, out any) (bool, error) {
	var ans wire.Answer
	if json.Unmarshal(data, &ans) != nil || ans.Code == 0 {
		return false, fault.New(code.PlatformError, "the reply has HTTP status %d and no result code", rsp.StatusCode)
	}
	if dst, ok := out.(*wire.Answer); ok {
		*dst = ans
	}
	cd := code.Code(ans.Code)
	return cd != code.NotReady, fault.New(cd, "%s", ans.Detail)
}
