package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// add writes a line with the time since the start.
func (rec *record) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.file, "%9.3f  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) close() { _ = rec.file.Close() }
