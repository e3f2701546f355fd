// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package log

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferSize bounds the bytes waiting to be written. It holds some seconds of lines at the users' load.
	bufferSize = 1 << 20
	// flushInterval is the time for which lines are collected, since each write costs a system call.
	flushInterval = 50 * time.Millisecond
	// syncTimeout bounds how long Sync waits for a reader that doesn't read.
	syncTimeout = 200 * time.Millisecond
)

// droppedLines counts the lines that this process has dropped.
var droppedLines atomic.Int64

// Dropped returns how many lines this process has dropped because its output was not read in time.
func Dropped() int64 { return droppedLines.Load() }

// writer buffers lines and writes them in the background, so that Write never blocks. If the output is not read
// quickly enough, the writer drops lines and reports their number before the next line that fits.
type writer struct {
	out        io.Writer
	mu         sync.Mutex
	pending    []byte // lines waiting to be written
	maxPending int    // bytes
	dropped    int    // lines dropped since the last report of dropped lines
	flushing   bool   // whether flush is running
}

func newWriter(out io.Writer, maxPending int) *writer {
	return &writer{out: out, maxPending: maxPending}
}

// Write buffers a line, or drops it if the buffer is full.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > w.maxPending {
		w.dropped++
		droppedLines.Add(1)
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, "{\"level\":\"warn\",\"msg\":\"log lines are dropped\",\"lines\":%d}\n", w.dropped)
		w.dropped = 0
	}
	w.pending = append(w.pending, line...)
	if !w.flushing {
		w.flushing = true
		go w.flush()
	}
	return len(line), nil
}

// flush writes the buffered lines at each interval, until none are left.
func (w *writer) flush() {
	for {
		time.Sleep(flushInterval)
		w.mu.Lock()
		lines := w.pending
		w.pending = nil
		if len(lines) == 0 {
			w.flushing = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_, _ = w.out.Write(lines) // an error can't be reported: this is the log
	}
}

// Sync waits until the buffered lines are written, at most for syncTimeout.
func (w *writer) Sync() error {
	deadline := time.Now().Add(syncTimeout)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		flushing := w.flushing
		w.mu.Unlock()
		if !flushing {
			return nil
		}
		time.Sleep(flushInterval / 5)
	}
	return nil
}
