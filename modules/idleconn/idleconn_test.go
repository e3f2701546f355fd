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

// silenceCase is an entry of testdata/silences.json: a set of connections and a call without an answer.
type silenceCase struct {
	Name    string     `json:"name"`
	Conns   []connCase `json:"conns"`
	Sent    int64      `json:"sent_ms"`
	Stalled int64      `json:"stalled_ms"`
	Passes  bool       `json:"passes"` // whether data arrived over a connection opened after the call was sent
}

// connCase is the history of a connection. Events with time 0, except for its opening, don't happen.
type connCase struct {
	Other  bool  `json:"other"` // the connection leads to another peer
	Opened int64 `json:"opened_ms"`
	Wrote  int64 `json:"wrote_ms"`
	Heard  int64 `json:"heard_ms"`
	Closed bool  `json:"closed"` // expected: closed because of the call
}

const (
	testPeer  = "peer:80"
	otherPeer = "other:80"
)

// TestSilences runs the cases of testdata/silences.json.
func TestSilences(t *testing.T) {
	for _, c := range casefile.Read[[]silenceCase](t, "testdata/silences.json") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c silenceCase) run(t *testing.T) {
	began := time.Now()
	remotes := make(chan net.Conn, 1)
	set := idleconn.New(idleconn.Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		local, remote := net.Pipe()
		remotes <- remote
		return local, nil
	}})
	conns := make([]net.Conn, len(c.Conns))
	var group conc.WaitGroup
	for i, each := range c.Conns {
		group.Go(func() { conns[i] = each.run(t, set, remotes, began) })
	}
	sleepUntil(began, c.Stalled)
	sent := began.Add(milliseconds(c.Sent))
	require.Equal(t, c.Passes, set.NewerConnWorks(testPeer, sent))
	set.OnStall(testPeer, sent)
	group.Wait()
	closed := int64(0)
	for i, each := range c.Conns {
		require.Equal(t, each.Closed, isClosed(conns[i]), "connection %d", i)
		if each.Closed {
			closed++
		}
	}
	require.Equal(t, idleconn.Counts{Opened: int64(len(c.Conns)), ClosedSilent: closed}, set.Counts())
}

// run opens a connection and replays its history.
func (c connCase) run(t *testing.T, set *idleconn.Set, remotes <-chan net.Conn, began time.Time) net.Conn {
	address := testPeer
	if c.Other {
		address = otherPeer
	}
	sleepUntil(began, c.Opened)
	local, err := set.Dial(t.Context(), "pipe", address)
	require.NoError(t, err)
	remote := <-remotes
	for _, at := range transferTimes(c) {
		sleepUntil(began, at)
		if at == c.Heard {
			transfer(t, remote, local)
		} else {
			transfer(t, local, remote)
		}
	}
	return local
}

// transferTimes returns the times at which data is sent over the connection, in order.
func transferTimes(c connCase) []int64 {
	times := []int64{c.Heard, c.Wrote}
	slices.Sort(times)
	return slices.DeleteFunc(times, func(at int64) bool { return at == 0 })
}

// transfer sends a byte from one end of a connection to the other.
func transfer(t *testing.T, from, to net.Conn) {
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
