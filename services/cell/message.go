// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"github.com/cockroachdb/errors"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/errclass"
)

// message is what reaches an owner's loop. The set is closed.
type message interface{ message() }

// Calls from the routers; each is answered once on its reply channel.
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

// Answers of workers, from their links.
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

// Results of what the owner set going.
type (
	// appendedMessage is the result of an append.
	appendedMessage struct {
		change models.CellChange
		result appendResult
	}
	// unsettledMessage says that the store doesn't tell whether an append was written.
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

// Errors that an operator's call can meet. All but ErrMaybe say that nothing was done; no
// error is two of them, see surely and maybe.
var (
	// ErrNotOwner says that this daemon doesn't own the cell (any more).
	ErrNotOwner = errors.New("not run: this daemon doesn't own the cell; ask again in a second")
	// ErrNoStore says that the store can't be written.
	ErrNoStore = errors.New("not run: the platform's store can't be written, so nothing is accepted; ask again in 10 seconds")
	// ErrMaybe says that the answer of the store is missing.
	ErrMaybe = errors.New("unknown: the store hasn't confirmed the write; submit again with the same id, it is taken only once")
	// ErrWrong says that the job isn't whole.
	ErrWrong = errors.New("not run: the job is wrong")
	// ErrOtherSpec says that the job's id is in use by another job.
	ErrOtherSpec = errors.New("not run: a job with this id but another content was accepted before")
	// ErrNoJob says that a job to be cancelled isn't there.
	ErrNoJob = errors.New("not run: no such job is known in the cell")
)

// refusalErrors are those that say that nothing was done.
var refusalErrors = []error{ErrNotOwner, ErrNoStore, ErrOtherSpec, ErrWrong, ErrNoJob}

// asRefusal makes of any error one that says that nothing was done, and why. The classes that
// err had are hidden, so that it can't say ErrMaybe, or another refusal, besides.
func asRefusal(err, refusal error) error { return errclass.Only(err, refusal) }

// asUnknownOutcome makes of any error one that says only that what was asked for may have been done.
func asUnknownOutcome(err error) error { return errclass.Only(err, ErrMaybe) }
