// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

// Package errstep adds to an error the step at which it arose and the peer that
// was being dealt with, so that a log line or an operator's message says both.
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
	Step  string // what was being done, as a verb phrase
	Peer  string // who it was done with: a member, VM or "store"
	cause error
}

// Error says the peer, the step and the cause.
func (e *Error) Error() string { return e.Step + " at " + e.Peer + ": " + e.cause.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }

// Wrap adds step and peer to err; it returns nil for nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, cause: err}
}

// Of finds the innermost step and peer in err; both are empty when it has none.
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
