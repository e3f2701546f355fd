// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package hostpool keeps an HTTP client with connections of its own for each host, and leaves
// all connections of a host behind once calls on them have stalled. Open connections may go
// silent for good, without a reset, while new ones work. A pool has several to a host; each call
// would take the next silent one and find out by its time limit.
//
// # Usage
//
//	pool := hostpool.New(hostpool.Config{New: func() *http.Transport { return &http.Transport{} }})
//	host := pool.At("10.0.0.1:7001")
//	client := host.Client()
//	defer host.Release(client)
//	response, err := client.Do(request)
//	host.Note(err == nil) // whether an answer has come
package hostpool

import (
	"net/http"
	"sync"
	"time"
)

// Config says how connections are made.
type Config struct {
	// New makes the transport of a host.
	New func() *http.Transport
	// CheckRedirect is that of the clients.
	CheckRedirect func(*http.Request, []*http.Request) error
}

// Pool is a set of hosts. It may be used by several goroutines.
type Pool struct {
	config Config

	mu     sync.Mutex
	hosts  map[string]*Host
	looked time.Time // for hosts that are not called any more
}

// New makes a pool.
func New(config Config) *Pool {
	return &Pool{config: config, hosts: map[string]*Host{}, looked: time.Now()}
}

// forgetAfter is for how long a host is kept that is not called: addresses come and go with
// the machines behind them, and a host is made again at no more than the cost of a connection.
const forgetAfter = 2 * time.Minute

// At gives the host at an address.
func (p *Pool) At(address string) *Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &Host{config: p.config}
		h.client, h.transport = h.make()
		p.hosts[address] = h
	}
	now := time.Now()
	h.called = now
	if now.Sub(p.looked) > forgetAfter {
		p.looked = now
		p.forget(now)
	}
	return h
}

// forget leaves the hosts that have not been called for long.
func (p *Pool) forget(now time.Time) {
	for address, h := range p.hosts {
		if now.Sub(h.called) > forgetAfter {
			h.close()
			delete(p.hosts, address)
		}
	}
}

// Close closes the connections that no call uses.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.close()
	}
}

// Host is what leads to one address.
type Host struct {
	config Config
	called time.Time // last; belongs to the pool

	mu        sync.Mutex
	client    *http.Client
	transport *http.Transport
	stalled   int // calls in a row that had no answer
}

// make makes a client without connections.
func (h *Host) make() (*http.Client, *http.Transport) {
	transport := h.config.New()
	return &http.Client{Transport: transport, CheckRedirect: h.config.CheckRedirect}, transport
}

// Client is the client to make the next call with.
func (h *Host) Client() *http.Client {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.client
}

// Release ends the use of a client: one that was left meanwhile keeps no connection.
func (h *Host) Release(client *http.Client) {
	if client != h.Client() {
		client.CloseIdleConnections()
	}
}

// leaveAfter is how many calls in a row stall until the connections are left: a single one may
// have been late, and its connection is as good as before when the answer comes.
const leaveAfter = 2

// Note takes whether an answer has come, in time or late.
func (h *Host) Note(answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		h.stalled = 0
		return
	}
	h.stalled++
	if h.stalled < leaveAfter {
		return
	}
	h.stalled = 0
	left := h.transport
	h.client, h.transport = h.make()
	left.CloseIdleConnections()
}

func (h *Host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.transport.CloseIdleConnections()
}
