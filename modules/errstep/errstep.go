// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package errstep adds to an error the step that failed and the peer it was done with, so that log lines and
// messages to operators name both.
//
// # Usage
//
//	if err := store.Swap(ctx, key, value, version); err != nil {
//		return errstep.Wrap(err, "append to journal", "store")
//	}
package errstep

import "github.com/cockroachdb/errors"

// Error is an error with its step and peer.
type Error struct {
	Step  string // the operation that failed, as a verb phrase
	Peer  string // the other side of the operation: a member, VM or "store"
	cause error
}

// Error returns the step, the peer and the cause as text.
func (e *Error) Error() string { return e.Step + " at " + e.Peer + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Wrap adds step and peer to err. It returns nil if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, cause: err}
}

// Of returns the innermost step and peer in err, or empty strings if err has none.
func Of(err error) (step, peer string) {
	for err != nil {
		var e *Error
		if !errors.As(err, &e) {
			return step, peer
		}
		step, peer = e.Step, e.Peer
		err = e.cause
	}
	return step, peer
}
