// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package idleconn_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"rillsail.example/rillsail/modules/casefile"
	"rillsail.example/rillsail/modules/idleconn"
)

// silenceCase is an entry of testdata/silences.json: connections, and a call without answer.
type silenceCase struct {
	Name    string     `json:"name"`
	Conns   []connCase `json:"conns"`
	Sent    int64      `json:"sent_ms"`
	Stalled int64      `json:"stalled_ms"`
	Passes  bool       `json:"passes"` // what is sent after the call
}

// connCase is what happens to a connection; times that are 0 don't come.
type connCase struct {
	Other  bool  `json:"other"` // it leads to another peer
	Opened int64 `json:"opened_ms"`
	Wrote  int64 `json:"wrote_ms"`
	Heard  int64 `json:"heard_ms"`
	Closed bool  `json:"closed"` // because of the call
}

const (
	testPeer  = "peer:80"
	otherPeer = "other:80"
)

// TestSilences plays the cases of testdata/silences.json.
func TestSilences(t *testing.T) {
	for _, c := range casefile.Read[[]silenceCase](t, "testdata/silences.json") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c silenceCase) run(t *testing.T) {
	began := time.Now()
	far := make(chan net.Conn, 1)
	set := idleconn.New(idleconn.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, there := net.Pipe()
		far <- there
		return near, nil
	}})
	conns := make([]net.Conn, len(c.Conns))
	var group conc.WaitGroup
	for i, each := range c.Conns {
		group.Go(func() { conns[i] = each.run(t, set, far, began) })
	}
	sleepUntil(began, c.Stalled)
	sent := began.Add(milliseconds(c.Sent))
	require.Equal(t, c.Passes, set.Passes(testPeer, sent))
	set.Stalled(testPeer, sent)
	group.Wait()
	closed := int64(0)
	for i, each := range c.Conns {
		require.Equal(t, each.Closed, isClosed(conns[i]), "connection %d", i)
		if each.Closed {
			closed++
		}
	}
	require.Equal(t, idleconn.Counts{Opened: int64(len(c.Conns)), GivenUp: closed}, set.Counts())
}

// run opens a connection and lets happen to it what the case says.
func (c connCase) run(t *testing.T, set *idleconn.Set, far <-chan net.Conn, began time.Time) net.Conn {
	address := testPeer
	if c.Other {
		address = otherPeer
	}
	sleepUntil(began, c.Opened)
	near, err := set.Dial(t.Context(), "pipe", address)
	require.NoError(t, err)
	there := <-far
	for _, at := range order(c) {
		sleepUntil(began, at)
		if at == c.Heard {
			pass(t, there, near)
		} else {
			pass(t, near, there)
		}
	}
	return near
}

// order gives when something passes over the connection, in its order.
func order(c connCase) []int64 {
	times := []int64{c.Heard, c.Wrote}
	slices.Sort(times)
	return slices.DeleteFunc(times, func(at int64) bool { return at == 0 })
}

// pass sends a byte from one end to the other.
func pass(t *testing.T, from, to net.Conn) {
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() {
		_, err := from.Write([]byte{1})
		require.NoError(t, err)
	})
	_, err := to.Read(make([]byte, 1))
	require.NoError(t, err)
}

func isClosed(c net.Conn) bool {
	err := c.SetDeadline(time.Time{})
	_ = c.Close()
	return err != nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func sleepUntil(began time.Time, at int64) { time.Sleep(time.Until(began.Add(milliseconds(at)))) }
