// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

// TaskEvent is something that happened to a task. The set is closed.
type TaskEvent interface{ taskEvent() }

// Events that the owner of the cell decides.
type (
	// EventPlace places the next attempt of a queued task on a worker.
	EventPlace struct {
		Worker      VMID
		Incarnation Incarnation
	}
	// EventEvict removes a task from its worker; the task is resumed later.
	EventEvict struct{ Reason string }
	// EventCancel ends a task permanently: its job was cancelled or its replica retired.
	EventCancel struct{ Reason string }
	// EventOffer offers a queued task to another cell, for the epoch of that cell that the owner knows.
	EventOffer struct {
		Cell  CellID
		Epoch Epoch
	}
)

// Events that follow from a worker's answers or silence. Events about an attempt carry its number.
type (
	// EventStarted means that the worker runs the attempt.
	EventStarted struct{ Attempt Attempt }
	// EventNeverBegan means that the attempt never ran and that its worker will refuse to start it.
	EventNeverBegan struct {
		Attempt Attempt
		Reason  string
	}
	// EventStopped means that the attempt ran and was stopped; Checkpoint may be empty.
	EventStopped struct {
		Attempt    Attempt
		Checkpoint string
	}
	// EventFinished means that the attempt ended by itself, with success or by a failure.
	EventFinished struct {
		Attempt Attempt
		Success bool
		Reason  string
	}
	// EventUnreachable says that the worker has been silent for longer than a lease.
	EventUnreachable struct{}
	// EventWorkerTerminated means that the attempt is proved not to run any more: its VM left the VM list at least
	// a lease ago, or the worker's process was restarted as a new incarnation.
	EventWorkerTerminated struct{ Reason string }
)

// Events from the other cell, to which the task was offered.
type (
	// EventOfferAccepted means that the other cell has journalled the task.
	EventOfferAccepted struct{ Attempt Attempt }
	// EventOfferRefused means that the other cell has not accepted this offer and never will.
	EventOfferRefused struct{ Attempt Attempt }
	// EventReturned returns a moved task to its home cell; the task is proved not to run in the other cell.
	EventReturned struct {
		Attempt    Attempt
		Checkpoint string
		Reason     string
		Evictions  int
		Failures   int
		FailedOn   []VMID
	}
	// EventRemoteDone reports to the home cell how a moved task ended.
	EventRemoteDone struct {
		Attempt   Attempt
		Outcome   TaskOutcome
		Reason    string
		Evictions int
	}
)

func (EventPlace) taskEvent()            {}
func (EventEvict) taskEvent()            {}
func (EventCancel) taskEvent()           {}
func (EventOffer) taskEvent()            {}
func (EventStarted) taskEvent()          {}
func (EventNeverBegan) taskEvent()       {}
func (EventStopped) taskEvent()          {}
func (EventFinished) taskEvent()         {}
func (EventUnreachable) taskEvent()      {}
func (EventWorkerTerminated) taskEvent() {}
func (EventOfferAccepted) taskEvent()    {}
func (EventOfferRefused) taskEvent()     {}
func (EventReturned) taskEvent()         {}
func (EventRemoteDone) taskEvent()       {}
