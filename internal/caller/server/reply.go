package server

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/request/attempt"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// codeHeader holds the numeric result code of a refusal.
const codeHeader = "Daisywheel-Code"

// problemJSON is a problem document according to RFC 9457.
type problemJSON struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   int    `json:"code"`
	Fix    string `json:"fix"`
}

// outcomeOf returns the value of attempt.OutcomeHeader for the code.
func outcomeOf(cd code.Code) string {
	switch cd {
	case code.OutcomeUnknown, code.ReplyCut, code.KeyRunning, code.KeyOutcomeUnknown:
		return attempt.Unknown
	}
	return attempt.NotRun
}

// writeProblem writes a refusal as a problem document.
func writeProblem(rsp http.ResponseWriter, err error, after time.Duration) {
	cd := fault.CodeOf(err)
	detail := err.Error()
	var flt *fault.Fault
	if errors.As(err, &flt) {
		detail = flt.Detail()
	}
	head := rsp.Header()
	head.Set("Content-Type", "application/problem+json")
	head.Set(attempt.OutcomeHeader, outcomeOf(cd))
	head.Set(codeHeader, strconv.Itoa(int(cd)))
	if cd.HTTPStatus() == http.StatusServiceUnavailable {
		head.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(after.Seconds())))))
	}
	rsp.WriteHeader(cd.HTTPStatus())
	// An error means that the caller has disconnected and needs no refusal.
	_ = json.NewEncoder(rsp).Encode(problemJSON{
		Type: "about:blank#" + cd.Name(), Title: cd.Name(), Status: cd.HTTPStatus(), Detail: detail,
		Code: int(cd), Fix: cd.Fix(),
	})
}

// writeReply forwards a backend server's reply. If the body ends early after the
// header was sent, it aborts the connection, so that the caller cannot mistake the
// body for a complete one.
func writeReply(rsp http.ResponseWriter, rpy *attempt.Reply) {
	head := rsp.Header()
	for name, values := range rpy.Header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		head[name] = values
	}
	length := rpy.Length
	if rpy.Rest == nil && length < 0 {
		length = int64(len(rpy.Prefix))
	}
	if length >= 0 {
		head.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	rsp.WriteHeader(rpy.Status)
	_, err := rsp.Write(rpy.Prefix)
	if rpy.Rest == nil {
		return
	}
	defer func() { _ = rpy.Rest.Close() }()
	if err == nil {
		_, err = io.Copy(rsp, rpy.Rest)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// releaseBody calls release when the body is closed, with whether it was read to
// its end.
type releaseBody struct {
	io.ReadCloser
	release    func(isComplete bool)
	isComplete bool
}

// Read implements io.Reader.
func (rlb *releaseBody) Read(data []byte) (int, error) {
	count, err := rlb.ReadCloser.Read(data)
	if err == io.EOF {
		rlb.isComplete = true
	}
	return count, err
}

// Close implements io.Closer.
func (rlb *releaseBody) Close() error {
	err := rlb.ReadCloser.Close()
	rlb.release(rlb.isComplete)
	return err
}

// cancelBody cancels the attempt's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (cnb *cancelBody) Close() error {
	err := cnb.ReadCloser.Close()
	cnb.cancel()
	return err
}
