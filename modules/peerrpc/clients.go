// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package peerrpc

import "sync"

// Clients keeps one twirp client of type C per address. It is safe for concurrent use.
type Clients[C any] struct {
	mu         sync.Mutex
	newClient  func(baseURL string, httpClient HTTPClient) C
	httpClient HTTPClient
	clients    map[string]C
}

// NewClients returns an empty set of clients. newClient creates a client, usually with a generated constructor; all
// clients use httpClient.
func NewClients[C any](newClient func(baseURL string, httpClient HTTPClient) C, httpClient HTTPClient) *Clients[C] {
	return &Clients[C]{newClient: newClient, httpClient: httpClient, clients: map[string]C{}}
}

// At returns the client for an address, and creates the client on first use.
func (c *Clients[C]) At(address string) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = c.newClient("http://"+address, c.httpClient)
		c.clients[address] = client
	}
	return client
}
