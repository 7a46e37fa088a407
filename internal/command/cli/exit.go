package cli

import (
	"github.com/cockroachdb/errors"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Exit codes, as the man page lists them.
const (
	exitOK                = 0
	exitRefused           = 1
	exitUsage             = 2
	exitNotYetKnown       = 3
	exitUnreachable       = 4
	exitInvariantViolated = 5
)

// errDiffers ends table diff with exit code 1 and no message.
var errDiffers = errors.New("the tables differ")

// errBroken ends a demo that broke a promise.
var errInvariantViolated = errors.New("a promise was broken; the last line of the output says which")

func exitCode(err error) int {
	if errors.Is(err, errInvariantViolated) {
		return exitInvariantViolated
	}
	switch fault.CodeOf(err) {
	case code.BadUsage, code.BadSettings, code.BadTable, code.BadRow, code.BadRequest:
		return exitUsage
	case code.NotYetKnown:
		return exitNotYetKnown
	case code.NoOperatorAddress:
		return exitUnreachable
	}
	return exitRefused
}
