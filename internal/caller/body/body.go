// Package body reads the bodies of callers' requests within a budget and a time limit.
package body

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/caller/budget"
	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

const (
	// firstBytes is the size of the first buffer; it grows by doubling.
	firstBytes = 4 << 10
	// retryAfter is what refused callers are told: a crowd's bodies have ended or timed out by then.
	retryAfter = 2 * time.Second
)

// Reader reads the body of one request.
type Reader struct {
	Holder *budget.Holder // nil charges nothing
	Limit  int64          // of the body in bytes
	Now    func() time.Time
	held   int64
}

// Read returns the whole body. It fails with the codes BodyTooLarge, BodyLate if the connection's deadline has passed, BodyCut,
// and MemoryLimit if there is no room for the body.
func (rdr *Reader) Read(req *http.Request) ([]byte, error) {
	if req.ContentLength > rdr.Limit {
		return nil, fault.New(code.BodyTooLarge, "body of %d bytes, at most %d", req.ContentLength, rdr.Limit)
	}
	var data []byte
	for {
		if len(data) == cap(data) {
			if int64(len(data)) > rdr.Limit {
				return nil, fault.New(code.BodyTooLarge, "body of over %d bytes", rdr.Limit)
			}
			var err error
			if data, err = rdr.grow(data); err != nil {
				return nil, err
			}
		}
		count, err := req.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case int64(len(data)) > rdr.Limit:
			return nil, fault.New(code.BodyTooLarge, "body of over %d bytes", rdr.Limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, fault.Wrap(err, code.BodyLate, "body after %d bytes", len(data))
		case err != nil:
			return nil, fault.Wrap(err, code.BodyCut, "body after %d bytes", len(data))
		}
	}
}

// grow returns the data in a larger buffer. Both are held while it is copied.
func (rdr *Reader) grow(data []byte) ([]byte, error) {
	size := min(max(firstBytes, 2*int64(cap(data))), rdr.Limit+1)
	if rdr.Holder != nil && !rdr.Holder.Reserve(rdr.Now(), size) {
		return nil, fault.NewRetryAfter(retryAfter, code.MemoryLimit, "no memory for a body of over %d bytes", len(data))
	}
	next := make([]byte, len(data), size)
	copy(next, data)
	rdr.held += size
	rdr.release(int64(cap(data)))
	return next, nil
}

// Release gives back what the body is charged.
func (rdr *Reader) Release() { rdr.release(rdr.held) }

func (rdr *Reader) release(bytes int64) {
	rdr.held -= bytes
	if rdr.Holder != nil {
		rdr.Holder.Release(bytes)
	}
}
