// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package log

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedOutput is an output whose writes block until unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.unblock
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(p)
}

func (o *blockedOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.String()
}

func TestReaderThatDoesNotReadNeverBlocks(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	w := newWriter(out, 1000)
	before := Dropped()
	line := []byte(strings.Repeat("x", 99) + "\n")
	began := time.Now()
	for range 1000 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	require.Greater(t, Dropped(), before+900, "dropped lines are counted for the metrics")
	close(out.unblock)
	require.Eventually(t, func() bool { return strings.Count(out.String(), "\n") >= 10 }, 10*time.Second, time.Millisecond)
	_, err := w.Write(line)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return strings.Contains(out.String(), "log lines are dropped") }, 10*time.Second, time.Millisecond,
		"the number of dropped lines is logged")
}

func TestSyncWritesWhatIsLeft(t *testing.T) {
	var out bytes.Buffer
	w := newWriter(&out, 1000)
	_, err := io.WriteString(w, "last line\n")
	require.NoError(t, err)
	require.NoError(t, w.Sync())
	require.Equal(t, "last line\n", out.String())
}
