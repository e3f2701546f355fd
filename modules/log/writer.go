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
	// writerSize bounds the bytes that wait to be written: some seconds of lines at the
	// users' load.
	writerSize = 1 << 20
	// flushEvery gathers lines, for each write costs a system call.
	flushEvery = 50 * time.Millisecond
	// syncTime bounds the wait of Sync for a reader that doesn't read.
	syncTime = 200 * time.Millisecond
)

// droppedLines counts the lines that this process has dropped.
var droppedLines atomic.Int64

// Dropped is how many lines this process has dropped because nobody read them in time.
func Dropped() int64 { return droppedLines.Load() }

// writer hands lines on without ever blocking. When its reader is too slow it drops
// lines and says how many with the next one that fits.
type writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	size    int
	dropped int
	busy    bool // a loop is running
}

func newWriter(out io.Writer, size int) *writer {
	return &writer{out: out, size: size}
}

// Write takes a line.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > w.size {
		w.dropped++
		droppedLines.Add(1)
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, "{\"level\":\"warn\",\"msg\":\"log lines are dropped\",\"lines\":%d}\n", w.dropped)
		w.dropped = 0
	}
	w.pending = append(w.pending, line...)
	if !w.busy {
		w.busy = true
		go w.loop()
	}
	return len(line), nil
}

// loop writes what has gathered, until nothing is left.
func (w *writer) loop() {
	for {
		time.Sleep(flushEvery)
		w.mu.Lock()
		lines := w.pending
		w.pending = nil
		if len(lines) == 0 {
			w.busy = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_, _ = w.out.Write(lines) // there is nowhere else to say so
	}
}

// Sync waits until the lines are written, for a short while at most.
func (w *writer) Sync() error {
	deadline := time.Now().Add(syncTime)
	for time.Now().Before(deadline) {
		w.mu.Lock()
		busy := w.busy
		w.mu.Unlock()
		if !busy {
			return nil
		}
		time.Sleep(flushEvery / 5)
	}
	return nil
}
