// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package link simulates the network link of a VM, for tests only: in-memory connections that share a bandwidth. All
// delays come from the clock, so that in a testing/synctest bubble a transfer takes exactly its size divided by the
// bandwidth that is left.
//
// # Usage
//
//	l := link.New(link.Config{Rate: 1_250_000}) // 10 Mbit/s
//	go server.Serve(l.Listen("store:80"))
//	transport := &http.Transport{DialContext: l.Dial}
package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a link.
type Config struct {
	Rate int // bytes per second, in each direction
}

const (
	// burstSize is the number of bytes of one connection that are sent before another connection gets its turn:
	// sixteen Ethernet packets.
	burstSize = 16 * 1500
	// handshakeSize is the number of bytes in each direction to open a connection: three packets without data and
	// their acknowledgements.
	handshakeSize = 200
)

// Link is the link of a VM together with the listeners that the VM can connect to.
type Link struct {
	mu        sync.Mutex
	listeners map[string]*listener
	up, down  direction
	// dialed counts the connections. Connections with a number up to silencedUpTo lose all data for good.
	dialed, silencedUpTo atomic.Int64
}

// New returns a link without listeners.
func New(config Config) *Link {
	return &Link{
		listeners: map[string]*listener{}, up: direction{rate: config.Rate}, down: direction{rate: config.Rate},
	}
}

// direction is one of the two directions of a link.
type direction struct {
	rate      int
	mu        sync.Mutex
	busyUntil time.Time // the time at which all earlier data has been carried
	silent    bool
	carried   int64
}

// carry waits until n bytes have been carried. It returns false if they are lost, because the direction is silent.
func (d *direction) carry(n int) bool {
	d.mu.Lock()
	if d.silent {
		d.mu.Unlock()
		return false
	}
	begin := time.Now()
	if d.busyUntil.After(begin) {
		begin = d.busyUntil
	}
	d.busyUntil = begin.Add(time.Duration(n) * time.Second / time.Duration(d.rate))
	d.carried += int64(n)
	until := d.busyUntil
	d.mu.Unlock()
	time.Sleep(time.Until(until))
	return true
}

// Carried returns the number of bytes that the link has carried to the VM so far.
func (l *Link) Carried() int64 {
	l.down.mu.Lock()
	defer l.down.mu.Unlock()
	return l.down.carried
}

// AddTraffic generates other traffic to the VM at a rate in bytes per second, until the context ends.
func (l *Link) AddTraffic(ctx context.Context, rate int) {
	for ctx.Err() == nil {
		began := time.Now()
		l.down.carry(burstSize)
		time.Sleep(time.Until(began.Add(burstSize * time.Second / time.Duration(rate))))
	}
}

// Silence sets whether all data that is sent to the VM from now on is lost.
func (l *Link) Silence(silent bool) {
	l.down.mu.Lock()
	defer l.down.mu.Unlock()
	l.down.silent = silent
}

// SilenceOpenConns makes the existing connections lose all data for good, without a reset. Later connections work.
func (l *Link) SilenceOpenConns() { l.silencedUpTo.Store(l.dialed.Load()) }

// Dial connects the VM to a listener; its signature is that of http.Transport.DialContext.
func (l *Link) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	l.mu.Lock()
	to, ok := l.listeners[address]
	l.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "link", Err: net.UnknownNetworkError(address)}
	}
	if !l.up.carry(handshakeSize) || !l.down.carry(handshakeSize) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "link", Err: ctx.Err()}
	}
	near, far := net.Pipe()
	number := l.dialed.Add(1)
	select {
	case to.accepted <- &conn{Conn: far, outbound: &l.down, link: l, number: number}:
		return &conn{Conn: near, outbound: &l.up, link: l, number: number}, nil
	case <-to.closed:
		return nil, &net.OpError{Op: "dial", Net: "link", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "link", Err: ctx.Err()}
	}
}

// conn is one end of a connection; outbound is the direction of the data that is written to it.
type conn struct {
	net.Conn
	outbound *direction
	link     *Link
	number   int64
}

// Write implements net.Conn. Data that a silent link loses counts as written.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		if c.number <= c.link.silencedUpTo.Load() {
			return len(data), nil
		}
		n := min(burstSize, len(data)-written)
		if !c.outbound.carry(n) {
			return len(data), nil
		}
		sent, err := c.Conn.Write(data[written : written+n])
		written += sent
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Listen returns a listener for connections to an address.
func (l *Link) Listen(at string) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &listener{address: address(at), accepted: make(chan net.Conn), closed: make(chan struct{})}
	l.listeners[at] = a
	return a
}

type listener struct {
	address  address
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

// Accept implements net.Listener.
func (a *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-a.accepted:
		return connection, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (a *listener) Close() error {
	a.close.Do(func() { close(a.closed) })
	return nil
}

// Addr implements net.Listener.
func (a *listener) Addr() net.Addr { return a.address }

// address is the address of a listener.
type address string

// Network implements net.Addr.
func (address) Network() string { return "link" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
