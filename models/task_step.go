// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "slices"

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

// TaskAction is what the owner does once the new record is journalled.
type TaskAction string

// The actions that follow a step. All may be repeated, also by a successor.
const (
	ActionStart        TaskAction = "start"         // start the attempt on its worker
	ActionEvict        TaskAction = "evict"         // checkpoint and stop the attempt
	ActionStop         TaskAction = "stop"          // stop the attempt for good
	ActionAcknowledge  TaskAction = "acknowledge"   // the worker may forget the attempt
	ActionSendOffer    TaskAction = "send-offer"    // offer the task to Peer
	ActionCancelRemote TaskAction = "cancel-remote" // have Peer stop the task
)

// PendingAction is the action that a journalled record calls for. A successor
// takes it up from the record alone, so a crash between journal and action loses
// nothing.
func (t Task) PendingAction() (TaskAction, bool) {
	switch t.State {
	case TaskPlaced:
		return ActionStart, true
	case TaskEvicting:
		if t.Cancelled {
			return ActionStop, true
		}
		return ActionEvict, true
	case TaskOffered:
		return ActionSendOffer, true
	case TaskMoved:
		return ActionCancelRemote, t.Cancelled
	default:
		return "", false
	}
}

// Step is the life of a task: from a record and an event to the next record and
// the actions that may be taken once that record is in the journal. An event that
// doesn't apply, because it is late, repeated or of another attempt, changes
// nothing; changed tells.
func Step(t Task, event TaskEvent) (next Task, actions []TaskAction, changed bool) {
	switch e := event.(type) {
	case EventPlace:
		return stepPlace(t, e)
	case EventEvict:
		return stepEvict(t, e)
	case EventCancel:
		return stepCancel(t, e)
	case EventOffer:
		return stepOffer(t, e)
	case EventStarted:
		return stepStarted(t, e)
	case EventNeverBegan:
		return stepNeverBegan(t, e)
	case EventStopped:
		return stepStopped(t, e)
	case EventFinished:
		return stepFinished(t, e)
	case EventUnreachable:
		return stepUnreachable(t)
	case EventWorkerGone:
		return stepWorkerGone(t, e)
	case EventOfferAccepted:
		return stepOfferAccepted(t, e)
	case EventOfferRefused:
		return stepOfferRefused(t, e)
	case EventReturned:
		return stepReturned(t, e)
	case EventRemoteDone:
		return stepRemoteDone(t, e)
	}
	return t, nil, false
}

func stepPlace(t Task, e EventPlace) (Task, []TaskAction, bool) {
	if t.State != TaskQueued || t.Cancelled {
		return t, nil, false
	}
	t.State = TaskPlaced
	t.Attempt++
	t.Worker, t.Incarnation = e.Worker, e.Incarnation
	t.Reason = ""
	return t, []TaskAction{ActionStart}, true
}

func stepEvict(t Task, e EventEvict) (Task, []TaskAction, bool) {
	if t.State != TaskPlaced && t.State != TaskRunning {
		return t, nil, false
	}
	t.State = TaskEvicting
	t.Evictions++
	t.Reason = e.Reason
	return t, []TaskAction{ActionEvict}, true
}

func stepCancel(t Task, e EventCancel) (Task, []TaskAction, bool) {
	if t.Ended() || t.Cancelled {
		return t, nil, false
	}
	t.Cancelled = true
	t.Reason = e.Reason
	switch t.State {
	case TaskQueued:
		return end(t, TaskStopped, ""), nil, true
	case TaskPlaced, TaskRunning, TaskEvicting:
		t.State = TaskEvicting
		return t, []TaskAction{ActionStop}, true
	case TaskMoved:
		return t, []TaskAction{ActionCancelRemote}, true
	default: // offered and lost wait for their answer
		return t, nil, true
	}
}

func stepOffer(t Task, e EventOffer) (Task, []TaskAction, bool) {
	if t.State != TaskQueued || t.Cancelled || t.Foreign() {
		return t, nil, false
	}
	t.State = TaskOffered
	t.Attempt++ // numbers the offer; the other cell's attempt is the next
	t.Peer, t.PeerEpoch = e.Cell, e.Epoch
	return t, []TaskAction{ActionSendOffer}, true
}

func stepStarted(t Task, e EventStarted) (Task, []TaskAction, bool) {
	if t.Attempt != e.Attempt {
		return t, nil, false
	}
	switch t.State {
	case TaskPlaced:
		t.State = TaskRunning
		return t, nil, true
	case TaskLost:
		if t.Cancelled {
			t.State = TaskEvicting
			return t, []TaskAction{ActionStop}, true
		}
		t.State = TaskRunning
		return t, nil, true
	default:
		return t, nil, false
	}
}

func stepNeverBegan(t Task, e EventNeverBegan) (Task, []TaskAction, bool) {
	if !t.HoldsRoom() || t.Attempt != e.Attempt {
		return t, nil, false
	}
	return requeue(t, e.Reason), nil, true
}

func stepStopped(t Task, e EventStopped) (Task, []TaskAction, bool) {
	if !t.HoldsRoom() || t.Attempt != e.Attempt {
		return t, nil, false
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	actions := []TaskAction{ActionAcknowledge}
	if t.Unrepeatable && e.Checkpoint == "" && !t.Cancelled {
		return end(t, TaskDone, OutcomeMayHaveRun), actions, true
	}
	return requeue(t, t.Reason), actions, true
}

func stepFinished(t Task, e EventFinished) (Task, []TaskAction, bool) {
	if !t.HoldsRoom() || t.Attempt != e.Attempt {
		return t, nil, false
	}
	actions := []TaskAction{ActionAcknowledge}
	if e.Success {
		t.Reason = ""
		return end(t, TaskDone, OutcomeSucceeded), actions, true
	}
	t.Failures++
	t.Reason = e.Reason
	t.FailedOn = appendOnce(t.FailedOn, t.Worker)
	giveUp := t.Kind == TaskBatch && (t.Unrepeatable || t.Failures >= MaxTaskFailures)
	if giveUp && !t.Cancelled {
		return end(t, TaskDone, OutcomeFailed), actions, true
	}
	return requeue(t, e.Reason), actions, true
}

func stepUnreachable(t Task) (Task, []TaskAction, bool) {
	switch t.State {
	case TaskPlaced, TaskRunning, TaskEvicting:
		t.State = TaskLost
		t.Reason = "worker is silent"
		return t, nil, true
	default:
		return t, nil, false
	}
}

func stepWorkerGone(t Task, e EventWorkerGone) (Task, []TaskAction, bool) {
	if !t.HoldsRoom() {
		return t, nil, false
	}
	t.Reason = e.Reason
	if t.Unrepeatable && !t.Cancelled {
		return end(t, TaskDone, OutcomeMayHaveRun), nil, true
	}
	return requeue(t, e.Reason), nil, true
}

func stepOfferAccepted(t Task, e EventOfferAccepted) (Task, []TaskAction, bool) {
	if t.State != TaskOffered || t.Attempt != e.Attempt {
		return t, nil, false
	}
	t.State = TaskMoved
	if t.Cancelled {
		return t, []TaskAction{ActionCancelRemote}, true
	}
	return t, nil, true
}

func stepOfferRefused(t Task, e EventOfferRefused) (Task, []TaskAction, bool) {
	if t.State != TaskOffered || t.Attempt != e.Attempt {
		return t, nil, false
	}
	return requeue(t, t.Reason), nil, true
}

func stepReturned(t Task, e EventReturned) (Task, []TaskAction, bool) {
	if !atPeer(t) || e.Attempt <= t.Attempt {
		return t, nil, false
	}
	t.Attempt = e.Attempt
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	t.Evictions, t.Failures = e.Evictions, e.Failures
	t.FailedOn = e.FailedOn
	return requeue(t, e.Reason), nil, true
}

func stepRemoteDone(t Task, e EventRemoteDone) (Task, []TaskAction, bool) {
	if !atPeer(t) || e.Attempt <= t.Attempt {
		return t, nil, false
	}
	t.Attempt = e.Attempt
	t.Reason = e.Reason
	t.Evictions = e.Evictions
	return end(t, TaskDone, e.Outcome), nil, true
}

// atPeer tells whether the other cell may speak for t; its report can overtake the
// answer to the offer.
func atPeer(t Task) bool { return t.State == TaskMoved || t.State == TaskOffered }

// requeue is the move of a task that is proved not to run anywhere.
func requeue(t Task, reason string) Task {
	if t.Cancelled {
		return end(t, TaskStopped, "")
	}
	t.State = TaskQueued
	t.Worker, t.Incarnation = "", ""
	t.Peer, t.PeerEpoch = "", 0
	t.Reason = reason
	return t
}

func end(t Task, state TaskState, outcome TaskOutcome) Task {
	t.State, t.Outcome = state, outcome
	t.Peer, t.PeerEpoch = "", 0
	return t
}

func appendOnce(list []VMID, id VMID) []VMID {
	if slices.Contains(list, id) {
		return list
	}
	return append(slices.Clone(list), id)
}
