package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run to a file, one line an event, with the seconds since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	fi, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: fi, started: time.Now()}, nil
}

// add writes a line.
func (re *record) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%8.3f  %s\n", time.Since(re.started).Seconds(), fmt.Sprintf(format, args...))
}
