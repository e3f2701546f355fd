// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package hostpool_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/hostpool"
	"rillsail.example/rillsail/modules/stall"
)

// silentHost is a host whose open connections can be made to answer nothing any more.
type silentHost struct {
	listener *pipeListener
	silent   atomic.Int64 // connections up to this number
	dialed   atomic.Int64
}

type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error { close(p.closed); return nil }
func (*pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// mutedConn is the host's end of a connection.
type mutedConn struct {
	net.Conn
	host   *silentHost
	number int64
}

func (c *mutedConn) Write(data []byte) (int, error) {
	if c.number <= c.host.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

func (s *silentHost) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.listener.accepted <- &mutedConn{Conn: far, host: s, number: s.dialed.Add(1)}
	return near, nil
}

const limit = 300 * time.Millisecond

// TestSilentConnectionsOfAHostAreLeft opens ten connections and silences them. The first two
// calls find out by their time limits; all others get new connections.
func TestSilentConnectionsOfAHostAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentHost{listener: &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}}
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(limit / 10) // so that calls made at once need a connection each
			w.WriteHeader(http.StatusNoContent)
		})}
		var group conc.WaitGroup
		defer group.Wait()
		group.Go(func() { _ = server.Serve(s.listener) }) // ends with Close
		pool := hostpool.New(hostpool.Config{New: func() *http.Transport {
			return &http.Transport{DialContext: s.dial, MaxIdleConnsPerHost: 16}
		}})
		defer func() { _ = server.Close() }()
		defer pool.Close()
		call := func() error {
			host := pool.At("host:80")
			client := host.Client()
			defer host.Release(client)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://host:80/", nil)
			require.NoError(t, err)
			response, err := stall.Do(client, request, stall.Evenly(limit))
			host.Note(err == nil)
			if err == nil {
				_ = response.Body.Close()
			}
			return err
		}
		const connections = 10
		var calls conc.WaitGroup
		for range connections {
			calls.Go(func() { _ = call() })
		}
		calls.Wait()
		require.EqualValues(t, connections, s.dialed.Load())
		s.silent.Store(s.dialed.Load())
		for range 2 {
			require.ErrorIs(t, call(), stall.ErrStalled)
		}
		for range connections {
			require.NoError(t, call())
		}
		require.EqualValues(t, connections+1, s.dialed.Load())
	})
}

// TestLateAnswerKeepsTheConnections: a single call without answer in time says nothing.
func TestLateAnswerKeepsTheConnections(t *testing.T) {
	pool := hostpool.New(hostpool.Config{New: func() *http.Transport { return &http.Transport{} }})
	defer pool.Close()
	host := pool.At("host:80")
	client := host.Client()
	for range 5 {
		host.Note(false)
		host.Note(true)
	}
	require.Same(t, client, host.Client())
	host.Note(false)
	host.Note(false)
	require.NotSame(t, client, host.Client())
}

// TestHostsThatAreNotCalledAreForgotten: addresses come and go with the machines behind them.
func TestHostsThatAreNotCalledAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := hostpool.New(hostpool.Config{New: func() *http.Transport { return &http.Transport{} }})
		gone, kept := pool.At("gone:80"), pool.At("kept:80")
		for range 5 {
			time.Sleep(time.Minute)
			require.Same(t, kept, pool.At("kept:80"))
		}
		require.NotSame(t, gone, pool.At("gone:80"))
	})
}
