// Package crash turns panics into errors, where one of them must not end the process.
package crash

import (
	"fmt"
	"runtime/debug"
)

// Crash is an error for a panic.
type Crash struct {
	value any
	stack []byte
}

// Limits of what is kept for log lines, in bytes.
const (
	maxValueBytes = 500
	maxStackBytes = 4000
)

// New returns the Crash for a value that recover has returned. It must be called by the deferred function, whose stack has the
// panic.
func New(value any) *Crash {
	return &Crash{value: value, stack: debug.Stack()}
}

// Catch calls fn and returns an error if fn panics.
func Catch(fn func()) (crs *Crash) {
	defer func() {
		if value := recover(); value != nil {
			crs = New(value)
		}
	}()
	fn()
	return nil
}

// Value returns what the function has panicked with.
func (crs *Crash) Value() any { return crs.value }

// Error returns the beginning of the text of the value.
func (crs *Crash) Error() string {
	return "panic: " + beginning(fmt.Sprint(crs.value), maxValueBytes)
}

// Stack returns the beginning of the stack, where the panic is.
func (crs *Crash) Stack() string { return beginning(string(crs.stack), maxStackBytes) }

func beginning(text string, size int) string { return text[:min(len(text), size)] }
