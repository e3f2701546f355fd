// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package platform

import (
	"time"

	"rillsail.example/rillsail/modules/errclass"
)

// Unknown makes of any error one that says only that a write may have taken effect, or may
// still do so. The classes that err had are hidden: a later try that was turned away says
// nothing of an earlier one without answer, and an error that is both ErrUnknown and
// ErrUnavailable is taken for either by whoever asks first.
func Unknown(err error) error { return errclass.Only(err, ErrUnknown) }

// Outcome is what became of a change that a caller asked for: Done, NotDone or MaybeDone.
// The set is closed, and a value is one of them only, so that no answer can take a change
// whose fate is unknown for one that was refused.
type Outcome interface{ outcome() }

// Done says that the change is stored.
type Done struct{}

// NotDone refuses a change for good: nothing of it was stored by this daemon, and no write
// of this daemon that is still on its way can store it.
type NotDone struct {
	Reason string
	// Why tells what the caller may do.
	Why Refusal
	// RetryAfter is when the change may be asked for again; 0: it is no use.
	RetryAfter time.Duration
}

// MaybeDone says that the change may be stored, or may still be.
type MaybeDone struct{ Cause error }

func (Done) outcome()      {}
func (NotDone) outcome()   {}
func (MaybeDone) outcome() {}

// Refusal is why a change is not done.
type Refusal uint8

// The refusals.
const (
	RefusedTemporarily Refusal = iota // it can't be done now, but perhaps later
	RefusedUnfit                      // it can never be done
	RefusedNoJob                      // there is no such job, and none will be stored under its id by an earlier call
)
