// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package peerrpc

import "sync"

// Clients keeps one twirp client for each address.
type Clients[C any] struct {
	mu      sync.Mutex
	create  func(base string, http HTTPClient) C
	http    HTTPClient
	clients map[string]C
}

// NewClients makes a set; create is the generated function that makes a client.
func NewClients[C any](create func(base string, http HTTPClient) C, http HTTPClient) *Clients[C] {
	return &Clients[C]{create: create, http: http, clients: map[string]C{}}
}

// At gives the client for an address.
func (c *Clients[C]) At(address string) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = c.create("http://"+address, c.http)
		c.clients[address] = client
	}
	return client
}
