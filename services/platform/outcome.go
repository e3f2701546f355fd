// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package platform

import (
	"time"

	"rillsail.example/rillsail/modules/errclass"
)

// AsUnknownOutcome returns an error with the text of err whose only class is ErrUnknownOutcome: a write may have taken
// effect or may still do so. The other classes of err are hidden, because the rejection of a later attempt says
// nothing about an earlier attempt without an answer, and an error that is both ErrUnknownOutcome and ErrUnavailable
// would be handled as whichever class is checked first. It returns nil for nil.
func AsUnknownOutcome(err error) error { return errclass.Only(err, ErrUnknownOutcome) }

// Outcome is the result of a change that a caller requested: Done, NotDone or MaybeDone. The set is closed and
// a value has exactly one of these types, so a change with an unknown outcome cannot be reported as refused.
type Outcome interface{ outcome() }

// Done says that the change is stored.
type Done struct{}

// NotDone says that this attempt at the change is over: this daemon stored no part of the change, and none of
// its writes in flight can still store it.
type NotDone struct {
	Reason string
	// Refusal tells the caller whether a retry can succeed.
	Refusal Refusal
	// RetryAfter is the time to wait before a retry; 0 means that a retry is pointless.
	RetryAfter time.Duration
}

// MaybeDone says that the outcome is unknown: the change may be stored already or may still be stored.
type MaybeDone struct{ Cause error }

func (Done) outcome()      {}
func (NotDone) outcome()   {}
func (MaybeDone) outcome() {}

// Refusal is the kind of reason for which a change was not done.
type Refusal uint8

// The refusals.
const (
	RefusedTemporarily Refusal = iota // the change cannot be done now; a retry may succeed
	RefusedInvalid                    // the change can never be done
	RefusedJobNotFound                // the job does not exist, and no earlier call will still store a job under this id
)
