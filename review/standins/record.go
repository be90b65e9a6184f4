package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record.txt of a case: what was sent, answered and run, with the time since
// the start of the script.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

// printf writes one line to the record.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes one line to the record and to standard output.
func (r *record) sayf(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
