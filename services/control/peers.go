// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/modules/idleconn"
	"rillsail.example/rillsail/modules/peerrpc"
	"rillsail.example/rillsail/modules/stall"
)

// peerTimeout ends a query to the owner of a cell that makes no progress. Daemons are a millisecond apart,
// and the store is asked instead after the timeout.
const peerTimeout = 400 * time.Millisecond

// Peers calls the other daemons.
type Peers interface {
	// Jobs sends a query to the owner of a cell at an address.
	Jobs(ctx context.Context, address string, query jobs.Query) (jobs.Answer, error)
}

// peerClient implements Peers over the network.
type peerClient struct {
	self      string
	transport *http.Transport
	clients   *peerrpc.Clients[peerrpc.Owner]
}

const peerConnections = 8

func newPeerClient(self string) *peerClient {
	return newPeerClientWithDial(self, (&net.Dialer{Timeout: peerTimeout, KeepAlive: -1}).DialContext)
}

// newPeerClientWithDial creates a peerClient that opens its connections with dial.
func newPeerClientWithDial(self string, dial idleconn.DialFunc) *peerClient {
	conns := idleconn.New(idleconn.Config{Dial: dial})
	transport := &http.Transport{
		DialContext:         conns.Dial,
		MaxIdleConnsPerHost: peerConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	client := &stall.Client{HTTP: &http.Client{Transport: transport}, Conns: conns, Limits: stall.Uniform(peerTimeout)}
	return &peerClient{self: self, transport: transport, clients: peerrpc.NewClients(newOwnerClient, client)}
}

// Jobs implements Peers.
func (p *peerClient) Jobs(ctx context.Context, address string, query jobs.Query) (jobs.Answer, error) {
	return peerrpc.Call[jobs.Answer](ctx, p.self, "ask owner", address, p.clients.At(address).Jobs, query)
}

// close closes the idle connections.
func (p *peerClient) close() { p.transport.CloseIdleConnections() }

// newOwnerClient creates a Protobuf client without options.
func newOwnerClient(base string, http peerrpc.HTTPClient) peerrpc.Owner {
	return peerrpc.NewOwnerProtobufClient(base, http)
}

// Handler returns the HTTP handler for the calls of the other daemons.
func (s *Service) Handler() http.Handler { return peerrpc.NewOwnerServer(&ownerServer{s}) }

type ownerServer struct{ service *Service }

// Jobs implements peerrpc.Owner.
func (o *ownerServer) Jobs(_ context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return peerrpc.Serve(o.service.config.Self, in, func(query jobs.Query) (jobs.Answer, error) {
		return o.service.Cells.Answer(query), nil
	})
}

// errNoOwner reports that no known daemon owns the cell at present. Callers see the text in the answer to a failed call
// of Service.Pending, so it must not change.
var errNoOwner = errors.New("cell has no owner that answers")

// queryOwner sends a query to the owner of a cell, which may be this daemon or another one.
func (c *Cells) queryOwner(ctx context.Context, query jobs.Query) (jobs.Answer, error) {
	if answer := c.Answer(query); answer.IsOwner {
		return answer, nil
	}
	owner, ok := c.ownerOf(query.Cell)
	if !ok || owner.Daemon == c.config.Self {
		return jobs.Answer{}, errNoOwner
	}
	answer, err := c.config.Peers.Jobs(ctx, owner.Address, query)
	if connectionRefused(err) {
		c.suspectOwner(query.Cell, owner.ClaimID)
	}
	if err == nil && !answer.IsOwner {
		err = errNoOwner
	}
	return answer, err
}
