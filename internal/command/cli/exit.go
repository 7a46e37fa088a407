package cli

import (
	"github.com/cockroachdb/errors"

	"daisywheel/internal/result/code"
	"daisywheel/internal/result/fault"
)

// Exit codes. The man page lists them too.
const (
	exitOK                = 0
	exitRefused           = 1
	exitUsage             = 2
	exitNotYetKnown       = 3
	exitUnreachable       = 4
	exitInvariantViolated = 5
)

// errDiffers makes table diff exit with code 1 and no message.
var errDiffers = errors.New("the tables differ")

// errInvariantViolated makes a demo that violated an invariant exit with its own code.
var errInvariantViolated = errors.New("an invariant was violated; the last line of the output names it")

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
