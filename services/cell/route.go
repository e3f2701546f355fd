// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errstep"
)

// Forward passes an operator's call to the owner of a cell, in this daemon or at a peer.
func (m *Manager) Forward(ctx context.Context, call models.ForwardCall) (models.ForwardAnswer, error) {
	if owner, ok := m.localOwner(call.Cell); ok {
		return forwardTo(ctx, owner, call)
	}
	member, _, ok := m.config.Members.OwnerOf(call.Cell)
	if !ok {
		return models.ForwardAnswer{}, errstep.Wrap(ErrNotOwner, "find the owner", string(call.Cell))
	}
	answer, err := m.config.Client.Forward(ctx, member.PeerAddress, call)
	return answer, classifyPeerError(call, err)
}

// ServeForward serves a peer's Forward. The call is not forwarded again.
func (m *Manager) ServeForward(ctx context.Context, call models.ForwardCall) (models.ForwardAnswer, error) {
	owner, ok := m.localOwner(call.Cell)
	if !ok {
		return models.ForwardAnswer{}, errstep.Wrap(ErrNotOwner, "serve forwarded call", string(m.config.Self))
	}
	return forwardTo(ctx, owner, call)
}

func forwardTo(ctx context.Context, owner *Owner, call models.ForwardCall) (models.ForwardAnswer, error) {
	reply := make(chan forwardReply, 1)
	r, err := awaitReply(ctx, owner, forwardMessage{call: call, reply: reply}, reply)
	if err != nil {
		return models.ForwardAnswer{}, err
	}
	return r.answer, r.err
}

// errOwnerEnded means that an owner's loop ended before it replied.
var errOwnerEnded = errors.New("the owner ended without an answer")

// awaitReply sends a message to an owner and waits for the reply. ErrNotOwner means that the message
// was not delivered. Once it is delivered, only the reply tells its outcome: every other error
// is ErrUnknownOutcome.
func awaitReply[A any](ctx context.Context, owner *Owner, msg message, reply <-chan A) (A, error) {
	var zero A
	if !owner.send(ctx, msg) {
		return zero, ErrNotOwner
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, asUnknownOutcome(ctx.Err())
	case <-owner.done:
	}
	select {
	case answer := <-reply:
		return answer, nil
	default:
		return zero, asUnknownOutcome(errOwnerEnded)
	}
}

// classifyPeerError classifies the error of a call to a peer by what it tells about the outcome.
// Only a refusal that the peer names, or a connection that was never established, proves that the
// call was not run.
func classifyPeerError(call models.ForwardCall, err error) error {
	if err == nil {
		return nil
	}
	var failed twirp.Error
	if errors.As(err, &failed) {
		for _, known := range refusalErrors {
			if failed.Meta(MetaRefusal) == known.Error() {
				return asRefusal(err, known)
			}
		}
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return asRefusal(err, ErrNotOwner)
	}
	if call.HasChanges() {
		return asUnknownOutcome(err)
	}
	return err
}

// MetaRefusal is the key of the metadata that names the refusal in a peer's error.
const MetaRefusal = "refusal"

// RefusalOf returns the text of the refusal that err matches, as it is sent to peers; ok is false
// when err is no refusal.
func RefusalOf(err error) (refusal string, ok bool) {
	for _, known := range refusalErrors {
		if errors.Is(err, known) {
			return known.Error(), true
		}
	}
	return "", false
}

// Offer implements Peers.
func (m *Manager) Offer(ctx context.Context, call models.OfferCall) (models.OfferAnswer, error) {
	return callOwner(ctx, m, call.To, call, m.ServeOffer, m.config.Client.Offer)
}

// ServeOffer serves an offer to a cell that this daemon owns.
func (m *Manager) ServeOffer(ctx context.Context, call models.OfferCall) (models.OfferAnswer, error) {
	reply := make(chan models.OfferAnswer, 1)
	return askLocalOwner(ctx, m, call.To, offerMessage{call: call, reply: reply}, reply)
}

// Report implements Peers.
func (m *Manager) Report(ctx context.Context, call models.ReportCall) (models.ReportAnswer, error) {
	return callOwner(ctx, m, call.To, call, m.ServeReport, m.config.Client.Report)
}

// ServeReport serves a report to a cell that this daemon owns.
func (m *Manager) ServeReport(ctx context.Context, call models.ReportCall) (models.ReportAnswer, error) {
	reply := make(chan models.ReportAnswer, 1)
	return askLocalOwner(ctx, m, call.To, reportMessage{call: call, reply: reply}, reply)
}

// callOwner calls the owner of a cell, in this daemon or at a peer.
func callOwner[C, A any](ctx context.Context, m *Manager, cell models.CellID, call C,
	local func(context.Context, C) (A, error), remote func(context.Context, string, C) (A, error),
) (A, error) {
	if _, ok := m.localOwner(cell); ok {
		return local(ctx, call)
	}
	member, _, ok := m.config.Members.OwnerOf(cell)
	if !ok {
		var zero A
		return zero, errstep.Wrap(ErrNotOwner, "find the owner", string(cell))
	}
	return remote(ctx, member.PeerAddress, call)
}

// askLocalOwner sends a message to the owner of a cell in this daemon and waits for the reply.
func askLocalOwner[A any](ctx context.Context, m *Manager, cell models.CellID, msg message, reply <-chan A) (A, error) {
	var zero A
	owner, ok := m.localOwner(cell)
	if !ok {
		return zero, errstep.Wrap(ErrNotOwner, "ask the owner of "+string(cell), string(m.config.Self))
	}
	answer, err := awaitReply(ctx, owner, msg, reply)
	return answer, errstep.Wrap(err, "ask the owner of "+string(cell), string(m.config.Self))
}
