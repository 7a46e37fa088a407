// Package client speaks to the operators' interface. It tries a list of
// addresses in turn until one answers.
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

// Times and bounds of a call.
const (
	callTimeout   = 10 * time.Second
	maxReplyBytes = 64 << 20
)

// Config holds the operator addresses, host:port, and the operator's token.
type Config struct {
	Addresses []string
	Token     string
}

// Client is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a Client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: &http.Client{Timeout: callTimeout}}
}

// Get reads the path into out.
func (cln *Client) Get(ctx context.Context, path string, out any) error {
	return cln.call(ctx, http.MethodGet, path, nil, out)
}

// Change sends a change and returns its answer. A refusal is returned as a fault
// besides the answer. Changes carry a change id, so trying the next address
// after a lost reply has no second effect.
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
			return fault.Wrap(err, code.BadUsage, "encode")
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

// one calls a single address. It reports whether the answer is final.
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
		return false, fault.Wrap(err, code.NoOperatorAddress, "%s broke off", address)
	}
	if rsp.StatusCode >= http.StatusBadRequest {
		return parseRefusal(rsp, data, out)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return true, fault.Wrap(err, code.PlatformError, "answer of %s", address)
	}
	return true, nil
}

// refusalOf reads a refusal. An entry that is not ready is not final: the next
// address may be.
func parseRefusal(rsp *http.Response, data []byte, out any) (bool, error) {
	var ans wire.Answer
	if json.Unmarshal(data, &ans) != nil || ans.Code == 0 {
		return false, fault.New(code.PlatformError, "answered %d", rsp.StatusCode)
	}
	if dst, ok := out.(*wire.Answer); ok {
		*dst = ans
	}
	cd := code.Code(ans.Code)
	return cd != code.NotReady, fault.New(cd, "%s", ans.Detail)
}
