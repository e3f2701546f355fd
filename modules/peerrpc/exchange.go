// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package peerrpc

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"rillsail.example/rillsail/modules/errstep"
	"rillsail.example/rillsail/modules/wire"
)

// Method is a method of a twirp client, which performs one remote call.
type Method func(context.Context, *Envelope) (*Envelope, error)

// Call sends body, a value of a domain type, in an envelope from the daemon self and decodes the domain type in the
// answer. Errors say the step and the peer's address.
func Call[A wire.Checker](ctx context.Context, self, step, address string, method Method, body any) (A, error) {
	var zero A
	data, err := Pack(body)
	if err != nil {
		return zero, errors.Wrap(err, step)
	}
	envelope, err := method(ctx, &Envelope{From: self, Body: data})
	if err != nil {
		return zero, errstep.Wrap(err, step, address)
	}
	plain, err := Unpack(envelope.GetBody())
	if err != nil {
		return zero, errstep.Wrap(err, step, address)
	}
	answer, err := wire.DecodeBytes[A](plain)
	return answer, errstep.Wrap(err, step, address)
}

// Serve decodes one call, performs it and encodes the answer, in an envelope from the daemon self. Errors of perform
// are returned unchanged. A call that can't be decoded is answered with twirp.InvalidArgument.
func Serve[C wire.Checker, A any](self string, in *Envelope, perform func(C) (A, error)) (*Envelope, error) {
	plain, err := Unpack(in.GetBody())
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, "from "+in.GetFrom()+": "+err.Error())
	}
	call, err := wire.DecodeBytes[C](plain)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, "from "+in.GetFrom()+": "+err.Error())
	}
	answer, err := perform(call)
	if err != nil {
		return nil, err
	}
	data, err := Pack(answer)
	if err != nil {
		return nil, err
	}
	return &Envelope{From: self, Body: data}, nil
}
