// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package idleconn closes idle connections that are probably silent. Connections can lose
// everything for good without a reset, all that are open at a time together, while new ones
// work. A transport keeps several idle ones for each peer and learns nothing from a call that
// had no answer, so that each of them costs a call and its time limit. Here one such call is
// enough: with it go the idle connections to its peer for whose life nothing speaks.
//
// What speaks for a connection is something heard over it, or over an older one to the same
// peer, since the call was sent: what makes connections silent takes the older ones too. So
// calls that get lost one by one cost no others where more than one connection is in use, and
// peers that are well lose nothing to one that isn't.
//
// # Usage
//
//	conns := idleconn.New(idleconn.Config{Dial: (&net.Dialer{}).DialContext})
//	client := &http.Client{Transport: &http.Transport{DialContext: conns.Dial}}
//	sent := time.Now()
//	if _, err := client.Do(request); … { // there is no answer
//		conns.Stalled(request.URL.Host, sent) // before the next call
//	}
package idleconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config says where connections come from.
type Config struct {
	Dial DialFunc
}

// Set is the open connections of a transport. It may be used by several goroutines.
type Set struct {
	config       Config
	dialed       atomic.Int64 // connections
	closedSilent atomic.Int64 // up

	mu    sync.Mutex
	peers map[string]map[*conn]struct{} // by address
}

// New makes a set without connections.
func New(config Config) *Set {
	return &Set{config: config, peers: map[string]map[*conn]struct{}{}}
}

// Dial opens a connection; it fits http.Transport.
func (s *Set) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.dialed.Add(1)
	opened, err := s.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: opened, set: s, address: address, opened: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[address] == nil {
		s.peers[address] = map[*conn]struct{}{}
	}
	s.peers[address][c] = struct{}{}
	return c, nil
}

// Counts of connections.
type Counts struct {
	Opened  int64 // or tried to be
	GivenUp int64 // closed because they were probably silent
}

// Counts are those of all connections so far.
func (s *Set) Counts() Counts { return Counts{Opened: s.dialed.Load(), GivenUp: s.closedSilent.Load()} }

// Stalled says that a call to an address that was sent then has had no answer in time. It
// closes the idle connections that are probably silent as well. A call that the transport gives
// one of them meanwhile can write nothing there, so that the transport makes it over another.
func (s *Set) Stalled(address string, sent time.Time) {
	for _, c := range s.suspects(address, sent) {
		if c.state.CompareAndSwap(idle, closed) {
			s.closedSilent.Add(1)
			_ = c.Close()
		}
	}
}

// Passes tells whether something was heard over a connection to an address that was opened since
// then. A call that was sent then and has no answer is lost, not late.
func (s *Set) Passes(address string, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.peers[address] {
		if !c.opened.Before(since) && c.lastHeard.Load() > 0 {
			return true
		}
	}
	return false
}

// suspects are the idle connections to an address, opened before a call was sent there, for
// whose life nothing has spoken since.
func (s *Set) suspects(address string, sent time.Time) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := sent // connection that is heard of, or the call
	for c := range s.peers[address] {
		if c.opened.Before(oldest) && !c.lastHeardAt().Before(sent) {
			oldest = c.opened
		}
	}
	var suspects []*conn
	for c := range s.peers[address] {
		if c.opened.Before(oldest) && c.state.Load() == idle {
			suspects = append(suspects, c)
		}
	}
	return suspects
}

// remove forgets a connection that is closed.
func (s *Set) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers[c.address], c)
	if len(s.peers[c.address]) == 0 {
		delete(s.peers, c.address)
	}
}

// The states of a connection.
const (
	idle           int32 = iota
	awaitingAnswer       // for the answer to what was written
	closed               // or about to be; nothing is written any more
)

// conn is a connection that knows when it was heard of last.
type conn struct {
	net.Conn
	set       *Set
	address   string
	opened    time.Time
	lastHeard atomic.Int64 // after opened, in nanoseconds
	state     atomic.Int32
}

func (c *conn) lastHeardAt() time.Time { return c.opened.Add(time.Duration(c.lastHeard.Load())) }

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.lastHeard.Store(int64(time.Since(c.opened)))
		c.state.CompareAndSwap(awaitingAnswer, idle)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if !c.state.CompareAndSwap(idle, awaitingAnswer) && c.state.Load() == closed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.state.Store(closed)
	c.set.remove(c)
	return c.Conn.Close()
}
