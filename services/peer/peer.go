// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package peer calls the other daemons. It transports domain types in twirp calls and adds
// the step and the peer to each error.
//
// # Usage
//
//	client := peer.New(peer.Config{Self: "entry-1", Token: token, Timeout: 2 * time.Second})
//	answer, err := client.Heartbeat(ctx, member.PeerAddress, beat)
package peer

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/idleconn"
	"rillsail.example/rillsail/modules/peerrpc"
	"rillsail.example/rillsail/modules/stall"
	"rillsail.example/rillsail/modules/wire"
)

// Config holds the settings of a client.
type Config struct {
	Self    models.MemberID
	Token   string
	Timeout time.Duration // of a call that makes no progress
}

// Client calls peers by their addresses.
type Client struct {
	config Config
	peers  *peerrpc.Clients[peerrpc.Peer]

	calls         atomic.Int64
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
}

// Counts are the totals of all calls to peers since the start; bytes are those of message bodies.
type Counts struct {
	Calls         int64 `json:"calls"`
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_got"`
}

// idleConnections bounds the idle connections kept to each peer.
const idleConnections = 4

// New returns a client.
func New(config Config) *Client {
	conns := idleconn.New(idleconn.Config{Dial: (&net.Dialer{Timeout: config.Timeout}).DialContext})
	transport := &http.Transport{
		DialContext:         conns.Dial,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
	client := &stall.Client{
		HTTP:   &http.Client{Transport: bearer{token: config.Token, next: transport}},
		Limits: stall.Uniform(config.Timeout),
		Conns:  conns,
	}
	return &Client{config: config, peers: peerrpc.NewClients(newPeerClient, client)}
}

// newPeerClient creates a twirp client without options.
func newPeerClient(base string, http peerrpc.HTTPClient) peerrpc.Peer {
	return peerrpc.NewPeerProtobufClient(base, http)
}

// bearer is an http.RoundTripper that adds the peers' bearer token to each call.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	return b.next.RoundTrip(r)
}

// Counts returns the totals of all calls so far.
func (c *Client) Counts() Counts {
	return Counts{Calls: c.calls.Load(), BytesSent: c.bytesSent.Load(), BytesReceived: c.bytesReceived.Load()}
}

// Heartbeat sends a heartbeat and returns the peer's.
func (c *Client) Heartbeat(ctx context.Context, address string, beat models.Heartbeat) (models.Heartbeat, error) {
	return call[models.Heartbeat](ctx, c, "send heartbeat", address, peerrpc.Peer.Heartbeat, beat)
}

// Configuration requests a newer configuration.
func (c *Client) Configuration(ctx context.Context, address string, query models.ConfigQuery) (models.ConfigTransfer, error) {
	return call[models.ConfigTransfer](ctx, c, "fetch configuration", address, peerrpc.Peer.Configuration, query)
}

// Offer offers tasks to the owner of another cell.
func (c *Client) Offer(ctx context.Context, address string, offer models.OfferCall) (models.OfferAnswer, error) {
	return call[models.OfferAnswer](ctx, c, "offer tasks", address, peerrpc.Peer.Offer, offer)
}

// Report sends a report on tasks to the owner of their home cell.
func (c *Client) Report(ctx context.Context, address string, report models.ReportCall) (models.ReportAnswer, error) {
	return call[models.ReportAnswer](ctx, c, "report tasks", address, peerrpc.Peer.Report, report)
}

// Claim sends a claim call to a home of idempotency keys.
func (c *Client) Claim(ctx context.Context, address string, claim models.ClaimCall) (models.ClaimAnswer, error) {
	return call[models.ClaimAnswer](ctx, c, "claim key", address, peerrpc.Peer.Claim, claim)
}

// Forward passes an operator's call on to a cell's owner.
func (c *Client) Forward(ctx context.Context, address string, forward models.ForwardCall) (models.ForwardAnswer, error) {
	return call[models.ForwardAnswer](ctx, c, "forward call", address, peerrpc.Peer.Forward, forward)
}

// Handover hands a cell over to a peer during a store outage.
func (c *Client) Handover(ctx context.Context, address string, handover models.HandoverCall) (models.HandoverAnswer, error) {
	return call[models.HandoverAnswer](ctx, c, "hand over cell", address, peerrpc.Peer.Handover, handover)
}

// method is a method of peerrpc.Peer.
type method func(peerrpc.Peer, context.Context, *peerrpc.Envelope) (*peerrpc.Envelope, error)

// call makes one call, adds it to the counts, and wraps an error with step and address.
func call[A wire.Checker](ctx context.Context, c *Client, step, address string, do method, body any) (A, error) {
	counted := func(ctx context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
		out, err := do(c.peers.At(address), ctx, in)
		c.calls.Add(1)
		c.bytesSent.Add(int64(len(in.GetBody())))
		c.bytesReceived.Add(int64(len(out.GetBody())))
		return out, err
	}
	return peerrpc.Call[A](ctx, string(c.config.Self), step, address, counted, body)
}
