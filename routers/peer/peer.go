// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package peer handles the listener for calls from other daemons: it decodes each twirp
// call, passes it to one service and encodes the answer.
//
// # Usage
//
//	handler := peer.New(peer.Config{Members: members, Cells: cells, Claims: claims, …})
package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/peerrpc"
	"rillsail.example/rillsail/modules/wire"
	"rillsail.example/rillsail/services/cell"
	"rillsail.example/rillsail/services/claim"
	"rillsail.example/rillsail/services/config"
	"rillsail.example/rillsail/services/inventory"
	"rillsail.example/rillsail/services/member"
)

// Config holds the services that the handlers call.
type Config struct {
	Self      models.MemberID
	Members   *member.Service
	Settings  *config.Service
	Cells     *cell.Manager
	Claims    *claim.Service
	Inventory *inventory.Service
	// OnHeartbeat is called with each heartbeat received.
	OnHeartbeat func(models.Heartbeat)
}

// New returns the handler of the peers' listener.
func New(c Config) http.Handler { return peerrpc.NewPeerServer(&server{c}) }

type server struct{ Config }

// Heartbeat implements peerrpc.Peer.
func (s *server) Heartbeat(_ context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return serve(s, in, func(beat models.Heartbeat) (models.Heartbeat, error) {
		answer := s.Members.Receive(beat)
		s.OnHeartbeat(beat)
		return answer, nil
	})
}

// Configuration implements peerrpc.Peer.
func (s *server) Configuration(_ context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return serve(s, in, func(query models.ConfigQuery) (models.ConfigTransfer, error) {
		transfer := s.Settings.Transfer(query)
		transfer.Cells = s.Inventory.Cells()
		return transfer, nil
	})
}

// Offer implements peerrpc.Peer.
func (s *server) Offer(ctx context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return serve(s, in, func(call models.OfferCall) (models.OfferAnswer, error) { return s.Cells.ServeOffer(ctx, call) })
}

// Report implements peerrpc.Peer.
func (s *server) Report(ctx context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return serve(s, in, func(call models.ReportCall) (models.ReportAnswer, error) { return s.Cells.ServeReport(ctx, call) })
}

// Claim implements peerrpc.Peer.
func (s *server) Claim(_ context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return serve(s, in, s.Claims.Serve)
}

// Forward implements peerrpc.Peer.
func (s *server) Forward(ctx context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return serve(s, in, func(call models.ForwardCall) (models.ForwardAnswer, error) { return s.Cells.ServeForward(ctx, call) })
}

// Handover implements peerrpc.Peer.
func (s *server) Handover(_ context.Context, in *peerrpc.Envelope) (*peerrpc.Envelope, error) {
	return serve(s, in, s.Cells.ServeHandover)
}

// serve decodes and performs one call, and converts its error to a twirp error that carries the refusal.
func serve[C wire.Checker, A any](s *server, in *peerrpc.Envelope, perform func(C) (A, error)) (*peerrpc.Envelope, error) {
	return peerrpc.Serve(string(s.Self), in, func(call C) (A, error) {
		answer, err := perform(call)
		if err != nil {
			return answer, twirpError(err)
		}
		return answer, nil
	})
}

// twirpError converts an error to a twirp error whose metadata names the refusal, if the error is one.
func twirpError(err error) error {
	failed := twirp.NewError(twirp.Unavailable, err.Error())
	if refusal, ok := cell.RefusalOf(err); ok {
		failed = failed.WithMeta(cell.MetaRefusal, refusal)
	}
	return failed
}
