// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package link_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/services/standin/link"
)

const testRate = 1000_000 // bytes per second

// connect returns the two ends of a connection over the link.
func connect(t *testing.T, l *link.Link) (near, far net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	listener := l.Listen("peer")
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			accepted <- connection
		}
	}()
	near, err := l.Dial(t.Context(), "", "peer")
	require.NoError(t, err)
	far = <-accepted
	t.Cleanup(func() { _ = near.Close() })
	return near, far
}

// TestTransferTakesItsSizeOverTheRate sends the bytes of half a second on each of two connections: the link carries
// them in one second.
func TestTransferTakesItsSizeOverTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := link.New(link.Config{Rate: testRate})
		began := time.Now()
		for range 2 {
			near, far := connect(t, l)
			go func() {
				_, _ = far.Write(make([]byte, testRate/2)) // Carried counts the bytes
				_ = far.Close()
			}()
			go func() { _, _ = io.Copy(io.Discard, near) }()
		}
		time.Sleep(900 * time.Millisecond)
		synctest.Wait()
		require.Less(t, time.Since(began), time.Second)
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, l.Carried(), int64(testRate))
	})
}
