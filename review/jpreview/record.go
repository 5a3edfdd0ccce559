package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the timeline of a run. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func openRecord(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

// add writes a line with the time since the start in seconds.
func (re *recorder) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.file, "%8.3f %s\n", time.Since(re.started).Seconds(), fmt.Sprintf(format, args...))
}

func (re *recorder) close() { _ = re.file.Close() }
