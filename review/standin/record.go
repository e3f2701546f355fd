// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
	began time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, lines: bufio.NewWriter(file), began: time.Now()}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.lines, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

// close writes what is buffered.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.lines.Flush()
	_ = r.file.Close()
}
