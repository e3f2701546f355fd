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
	// bufferSize bounds the bytes that wait to be written: some seconds of lines at the
	// users' load.
	bufferSize = 1 << 20
	// flushInterval gathers lines, for each write costs a system call.
	flushInterval = 50 * time.Millisecond
	// syncTimeout bounds the wait of Sync for a reader that doesn't read.
	syncTimeout = 200 * time.Millisecond
)

// droppedLines counts the lines that this process has dropped.
var droppedLines atomic.Int64

// Dropped is how many lines this process has dropped because nobody read them in time.
func Dropped() int64 { return droppedLines.Load() }

// writer hands lines on without ever blocking. When its reader is too slow it drops
// lines and says how many with the next one that fits.
type writer struct {
	out        io.Writer
	mu         sync.Mutex
	pending    []byte
	maxPending int
	dropped    int
	flushing   bool // a loop is running
}

func newWriter(out io.Writer, size int) *writer {
	return &writer{out: out, maxPending: size}
}

// Write takes a line.
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

// flush writes what has gathered, until nothing is left.
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
		_, _ = w.out.Write(lines) // there is nowhere else to say so
	}
}

// Sync waits until the lines are written, for a short while at most.
func (w *writer) Sync() error {
	deadline := time.Now().Add(syncTimeout)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		busy := w.flushing
		w.mu.Unlock()
		if !busy {
			return nil
		}
		time.Sleep(flushInterval / 5)
	}
	return nil
}
