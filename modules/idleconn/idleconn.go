// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package idleconn closes idle connections that have probably gone silent. A network fault can make all open
// connections lose their traffic for good without a reset, while new connections work. A transport keeps
// several idle connections per peer and learns nothing from a call without an answer, so that each silent
// connection would cost one call and its time limit. With this package one unanswered call suffices: the idle
// connections to the same peer that show no sign of life are closed with it.
//
// A connection shows a sign of life if data arrived, since the call was sent, over it or over an older connection
// to the same peer, because a fault that silences a connection silences the older ones too. Isolated losses of
// calls therefore close no other connections if more than one is in use, and a faulty peer does not affect
// connections to other peers.
//
// # Usage
//
//	conns := idleconn.New(idleconn.Config{Dial: (&net.Dialer{}).DialContext})
//	client := &http.Client{Transport: &http.Transport{DialContext: conns.Dial}}
//	sent := time.Now()
//	if _, err := client.Do(request); … { // there is no answer
//		conns.OnStall(request.URL.Host, sent) // before the next call
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

// Config configures a Set.
type Config struct {
	Dial DialFunc // opens the connections
}

// Set holds the open connections of a transport. It is safe for concurrent use.
type Set struct {
	config       Config
	dialed       atomic.Int64 // connections opened or attempted
	closedSilent atomic.Int64 // connections closed because they were probably silent

	mu    sync.Mutex
	peers map[string]map[*conn]struct{} // open connections by address
}

// New returns a set without connections.
func New(config Config) *Set {
	return &Set{config: config, peers: map[string]map[*conn]struct{}{}}
}

// Dial opens a connection. It can serve as DialContext of an http.Transport.
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

// Counts are numbers of connections.
type Counts struct {
	Opened       int64 // including failed attempts to open a connection
	ClosedSilent int64 // closed because they were probably silent
}

// Counts returns the numbers for all connections so far.
func (s *Set) Counts() Counts {
	return Counts{Opened: s.dialed.Load(), ClosedSilent: s.closedSilent.Load()}
}

// OnStall handles a call to address that was sent at the given time and got no answer in time: it closes the
// idle connections that are probably silent too. If the transport assigns a call to such a connection
// meanwhile, nothing can be written to the connection, and the transport uses another connection for the call.
func (s *Set) OnStall(address string, sent time.Time) {
	for _, c := range s.suspects(address, sent) {
		if c.state.CompareAndSwap(idle, closed) {
			s.closedSilent.Add(1)
			_ = c.Close()
		}
	}
}

// NewerConnWorks reports whether data arrived over a connection to address that was opened at the given time or later.
// If so, an unanswered call that was sent at that time is lost, not late.
func (s *Set) NewerConnWorks(address string, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.peers[address] {
		if !c.opened.Before(since) && c.lastHeard.Load() > 0 {
			return true
		}
	}
	return false
}

// suspects returns the idle connections to address that were opened before the call was sent and that have shown
// no sign of life since.
func (s *Set) suspects(address string, sent time.Time) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := sent // when the oldest connection that received data since then was opened; else when the call was sent
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

// remove removes a closed connection from the set.
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
	awaitingAnswer       // a call was written and its answer has not begun
	closed               // closed or about to be; writing fails
)

// conn is a connection that records when data last arrived over it.
type conn struct {
	net.Conn
	set       *Set
	address   string
	opened    time.Time
	lastHeard atomic.Int64 // nanoseconds from opened until data last arrived; 0 if none has arrived
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
