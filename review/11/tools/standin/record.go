package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) now() float64 { return time.Since(r.start).Seconds() }

func (r *record) add(format string, args ...any) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.now()
	fmt.Fprintf(r.file, "%8.3f  %s\n", t, fmt.Sprintf(format, args...))
	return t
}
