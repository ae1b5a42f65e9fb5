package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. Times are seconds since
// the record was opened.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes a line and returns the time that it carries.
func (r *record) add(format string, args ...any) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	fmt.Fprintf(r.file, "%8.3f %s\n", now.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
	return now
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) seconds(at time.Time) float64 { return at.Sub(r.started).Seconds() }
