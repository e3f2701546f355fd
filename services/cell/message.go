// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errclass"
)

// message is an input of an owner's loop. The set of types is closed.
type message interface{ message() }

// Calls from the routers. Each is answered once on its reply channel.
type (
	forwardMessage struct {
		call  models.ForwardCall
		reply chan<- forwardReply
	}
	offerMessage struct {
		call  models.OfferCall
		reply chan<- models.OfferAnswer
	}
	reportMessage struct {
		call  models.ReportCall
		reply chan<- models.ReportAnswer
	}
	dumpMessage struct {
		reply chan<- Dump
	}
)

type forwardReply struct {
	answer models.ForwardAnswer
	err    error
}

// Answers of workers, delivered by their links.
type (
	renewedMessage struct {
		vm     models.VMID
		answer models.RenewAnswer
		err    error
	}
	startedMessage struct {
		vm     models.VMID
		ref    models.AttemptRef
		answer models.StartAnswer
		err    error
	}
	stoppedMessage struct {
		vm     models.VMID
		ref    models.AttemptRef
		answer models.StopAnswer
		err    error
	}
)

// Results of work that the owner started in other goroutines.
type (
	// appendedMessage is the result of an append.
	appendedMessage struct {
		change models.CellChange
		result appendResult
	}
	// unsettledMessage means that the outcome of an append is still unknown.
	unsettledMessage struct{ err error }
	// offeredMessage is another cell's answer to an offer.
	offeredMessage struct {
		call   models.OfferCall
		answer models.OfferAnswer
		err    error
	}
	// reportedMessage is a home cell's answer to a report.
	reportedMessage struct {
		call   models.ReportCall
		answer models.ReportAnswer
		err    error
	}
)

func (forwardMessage) message()   {}
func (offerMessage) message()     {}
func (reportMessage) message()    {}
func (dumpMessage) message()      {}
func (renewedMessage) message()   {}
func (startedMessage) message()   {}
func (stoppedMessage) message()   {}
func (appendedMessage) message()  {}
func (unsettledMessage) message() {}
func (offeredMessage) message()   {}
func (reportedMessage) message()  {}

// Errors of an operator's call. All but ErrUnknownOutcome mean that nothing was done. An error is of
// at most one of these classes, see asRefusal and asUnknownOutcome.
var (
	// ErrNotOwner means that this daemon doesn't own the cell, or no longer does.
	ErrNotOwner = errors.New("not run: this daemon doesn't own the cell; ask again in a second")
	// ErrStoreUnavailable means that the store can't be written.
	ErrStoreUnavailable = errors.New("not run: the platform's store can't be written, so nothing is accepted; ask again in 10 seconds")
	// ErrUnknownOutcome means that the outcome of the call is unknown, such as when the store's answer is
	// missing.
	ErrUnknownOutcome = errors.New("unknown: the store hasn't confirmed the write; submit again with the same id, it is taken only once")
	// ErrInvalidJob means that the job specification is invalid.
	ErrInvalidJob = errors.New("not run: the job is wrong")
	// ErrJobIDConflict means that the job's id is in use by a job with another specification.
	ErrJobIDConflict = errors.New("not run: a job with this id but another content was accepted before")
	// ErrJobNotFound means that the cell has no job with the id to be cancelled.
	ErrJobNotFound = errors.New("not run: no such job is known in the cell")
)

// refusalErrors lists the errors that mean that nothing was done.
var refusalErrors = []error{ErrNotOwner, ErrStoreUnavailable, ErrJobIDConflict, ErrInvalidJob, ErrJobNotFound}

// asRefusal gives err the class of refusal only, which means that nothing was done. The classes
// that err had are hidden, so that it can't match ErrUnknownOutcome or another refusal as well.
func asRefusal(err, refusal error) error { return errclass.Only(err, refusal) }

// asUnknownOutcome gives err the class ErrUnknownOutcome only: the call may have been done.
func asUnknownOutcome(err error) error { return errclass.Only(err, ErrUnknownOutcome) }
