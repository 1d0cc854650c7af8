package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

// since returns the time since the start of the case.
func (r *record) since() time.Duration { return time.Since(r.begun) }

// printf writes a line with the current time.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%6d ms  %s\n", r.since().Milliseconds(), fmt.Sprintf(format, args...))
}
