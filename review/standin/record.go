package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// at returns the seconds from the start of the record.
func (rec *record) at(when time.Time) float64 { return when.Sub(rec.started).Seconds() }

func (rec *record) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_, _ = fmt.Fprintf(rec.out, "%8.3f %s\n", rec.at(time.Now()), fmt.Sprintf(format, args...))
}

// say adds a line and prints it.
func (rec *record) say(format string, args ...any) {
	rec.add(format, args...)
	fmt.Printf("%8.3f %s\n", rec.at(time.Now()), fmt.Sprintf(format, args...))
}

func (rec *record) close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = rec.out.Flush()
	_ = rec.file.Close()
}
