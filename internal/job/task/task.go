// Package task identifies one task of a job.
package task

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ID identifies a task by its job, the occurrence of a repeating job (0 for others),
// the step and the index within the step, all counted from 0.
type ID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID as job.occurrence.step.index.
func (tid ID) String() string {
	buf := make([]byte, 0, len(tid.Job)+12)
	buf = append(buf, tid.Job...)
	for _, num := range [...]int{tid.Occurrence, tid.Step, tid.Index} {
		buf = append(buf, '.')
		buf = strconv.AppendInt(buf, int64(num), 10)
	}
	return string(buf)
}

// Parse is the inverse of ID.String.
func Parse(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return ID{}, errors.Newf("task name %q does not have four parts", text)
	}
	nums := [3]int{}
	for i := range nums {
		num, err := strconv.Atoi(parts[i+1])
		if err != nil || num < 0 {
			return ID{}, errors.Newf("task name %q: part %d is not a non-negative integer", text, i+2)
		}
		nums[i] = num
	}
	return ID{Job: parts[0], Occurrence: nums[0], Step: nums[1], Index: nums[2]}, nil
}
