// Package boottime reads the clock that also counts the time for which the machine was
// suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted. Unlike the monotonic clock of a process,
// it includes the time for which the machine was suspended. It is 0 if the machine lacks
// this clock.
func Now() time.Duration {
	var spc unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spc); err != nil {
		return 0
	}
	return time.Duration(spc.Nano())
}
