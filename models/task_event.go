// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

// TaskEvent is something that happened to a task. The set is closed.
type TaskEvent interface{ taskEvent() }

// Events from the owner's own decisions.
type (
	// EventPlace starts the next attempt on a worker.
	EventPlace struct {
		Worker      VMID
		Incarnation Incarnation
	}
	// EventEvict takes a task off its worker, to be resumed later.
	EventEvict struct{ Reason string }
	// EventCancel ends a task for good: its job was cancelled or its replica retired.
	EventCancel struct{ Reason string }
	// EventOffer offers a queued task to another cell in the epoch it is known to have.
	EventOffer struct {
		Cell  CellID
		Epoch Epoch
	}
)

// Events from a worker's answers. Each names the attempt it speaks of.
type (
	// EventStarted says that the worker runs the attempt.
	EventStarted struct{ Attempt Attempt }
	// EventNeverBegan says that the attempt never ran and is barred at its worker.
	EventNeverBegan struct {
		Attempt Attempt
		Reason  string
	}
	// EventStopped says that the attempt ran and was stopped; Checkpoint may be empty.
	EventStopped struct {
		Attempt    Attempt
		Checkpoint string
	}
	// EventFinished says that the attempt ended by itself.
	EventFinished struct {
		Attempt Attempt
		Success bool
		Reason  string
	}
	// EventUnreachable says that the worker has been silent for longer than a lease.
	EventUnreachable struct{}
	// EventWorkerGone is the proof that nothing runs there any more: the VM left the
	// list a lease ago, or the worker's process has begun a new incarnation.
	EventWorkerGone struct{ Reason string }
)

// Events from the other cell of an offer.
type (
	// EventOfferAccepted says that the other cell has journalled the task.
	EventOfferAccepted struct{ Attempt Attempt }
	// EventOfferRefused says that the other cell never will accept this offer.
	EventOfferRefused struct{ Attempt Attempt }
	// EventReturned gives a moved task back to its home, proved not running there.
	EventReturned struct {
		Attempt    Attempt
		Checkpoint string
		Reason     string
		Evictions  int
		Failures   int
		FailedOn   []VMID
	}
	// EventRemoteDone tells the home how a moved task ended.
	EventRemoteDone struct {
		Attempt   Attempt
		Outcome   TaskOutcome
		Reason    string
		Evictions int
	}
)

func (EventPlace) taskEvent()         {}
func (EventEvict) taskEvent()         {}
func (EventCancel) taskEvent()        {}
func (EventOffer) taskEvent()         {}
func (EventStarted) taskEvent()       {}
func (EventNeverBegan) taskEvent()    {}
func (EventStopped) taskEvent()       {}
func (EventFinished) taskEvent()      {}
func (EventUnreachable) taskEvent()   {}
func (EventWorkerGone) taskEvent()    {}
func (EventOfferAccepted) taskEvent() {}
func (EventOfferRefused) taskEvent()  {}
func (EventReturned) taskEvent()      {}
func (EventRemoteDone) taskEvent()    {}
