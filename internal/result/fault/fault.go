// Package fault provides errors that carry a numbered result code.
package fault

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"daisywheel/internal/result/code"
)

// Fault is an error with a result code and a detail, a sentence about this case.
type Fault struct {
	code       code.Code
	detail     string
	retryAfter time.Duration
}

// New returns a Fault with a formatted detail.
func New(cd code.Code, format string, args ...any) *Fault {
	return &Fault{code: cd, detail: fmt.Sprintf(format, args...)}
}

// NewRetryAfter returns a Fault for a request that may be retried after the given time.
func NewRetryAfter(retryAfter time.Duration, cd code.Code, format string, args ...any) *Fault {
	flt := New(cd, format, args...)
	flt.retryAfter = retryAfter
	return flt
}

// Wrap returns an error that carries cd. Its detail ends with the text of cause,
// which is attached as a secondary error.
func Wrap(cause error, cd code.Code, format string, args ...any) error {
	flt := New(cd, format+": %v", append(args, cause)...)
	return errors.WithSecondaryError(flt, cause)
}

// Error returns the number and name of the code, the detail and the fix on one line.
func (flt *Fault) Error() string {
	return fmt.Sprintf("%d %s: %s; %s", int(flt.code), flt.code.Name(), flt.detail, flt.code.Fix())
}

// Code returns the result code.
func (flt *Fault) Code() code.Code { return flt.code }

// Detail returns the sentence about this case.
func (flt *Fault) Detail() string { return flt.detail }

// RetryAfterOf returns the time after which the request refused with err may be retried,
// or 0 when err has none.
func RetryAfterOf(err error) time.Duration {
	var flt *Fault
	if errors.As(err, &flt) {
		return flt.retryAfter
	}
	return 0
}

// CodeOf returns the code carried by err, PlatformError when it carries none,
// and OK for a nil error.
func CodeOf(err error) code.Code {
	if err == nil {
		return code.OK
	}
	var flt *Fault
	if errors.As(err, &flt) {
		return flt.code
	}
	return code.PlatformError
}
