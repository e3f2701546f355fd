// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

import "slices"

// Step is the state machine of a task. From a task's record and an event it returns the next record, and the
// actions that may be taken once that record is in the journal. An event that does not apply, because it is
// late, repeated or belongs to another attempt, changes nothing; then changed is false.
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
	case EventWorkerTerminated:
		return stepWorkerTerminated(t, e)
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
		return endTask(t, TaskStopped, ""), nil, true
	case TaskPlaced, TaskRunning, TaskEvicting:
		t.State = TaskEvicting
		return t, []TaskAction{ActionStop}, true
	case TaskMoved:
		return t, []TaskAction{ActionCancelRemote}, true
	default: // an offered task waits for the other cell's answer, a lost task for its worker's
		return t, nil, true
	}
}

func stepOffer(t Task, e EventOffer) (Task, []TaskAction, bool) {
	if t.State != TaskQueued || t.Cancelled || t.Foreign() {
		return t, nil, false
	}
	t.State = TaskOffered
	t.Attempt++ // the offer takes this number; the first attempt in the other cell takes the next
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
	if !t.HoldsCapacity() || t.Attempt != e.Attempt {
		return t, nil, false
	}
	return requeue(t, e.Reason), nil, true
}

func stepStopped(t Task, e EventStopped) (Task, []TaskAction, bool) {
	if !t.HoldsCapacity() || t.Attempt != e.Attempt {
		return t, nil, false
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	actions := []TaskAction{ActionAcknowledge}
	if t.Unrepeatable && e.Checkpoint == "" && !t.Cancelled {
		return endTask(t, TaskDone, OutcomeMayHaveRun), actions, true
	}
	return requeue(t, t.Reason), actions, true
}

func stepFinished(t Task, e EventFinished) (Task, []TaskAction, bool) {
	if !t.HoldsCapacity() || t.Attempt != e.Attempt {
		return t, nil, false
	}
	actions := []TaskAction{ActionAcknowledge}
	if e.Success {
		t.Reason = ""
		return endTask(t, TaskDone, OutcomeSucceeded), actions, true
	}
	t.Failures++
	t.Reason = e.Reason
	t.FailedOn = appendUnique(t.FailedOn, t.Worker)
	failed := t.Kind == TaskBatch && (t.Unrepeatable || t.Failures >= MaxTaskFailures)
	if failed && !t.Cancelled {
		return endTask(t, TaskDone, OutcomeFailed), actions, true
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

func stepWorkerTerminated(t Task, e EventWorkerTerminated) (Task, []TaskAction, bool) {
	if !t.HoldsCapacity() {
		return t, nil, false
	}
	t.Reason = e.Reason
	if t.Unrepeatable && !t.Cancelled {
		return endTask(t, TaskDone, OutcomeMayHaveRun), nil, true
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
	if !peerMayReport(t) || e.Attempt <= t.Attempt {
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
	if !peerMayReport(t) || e.Attempt <= t.Attempt {
		return t, nil, false
	}
	t.Attempt = e.Attempt
	t.Reason = e.Reason
	t.Evictions = e.Evictions
	return endTask(t, TaskDone, e.Outcome), nil, true
}

// peerMayReport reports whether the other cell may report on t. An offered task counts too, because the other
// cell's report can overtake its answer to the offer.
func peerMayReport(t Task) bool { return t.State == TaskMoved || t.State == TaskOffered }

// requeue returns a task that is proved not to run anywhere to the queue, or ends it if it is cancelled.
func requeue(t Task, reason string) Task {
	if t.Cancelled {
		return endTask(t, TaskStopped, "")
	}
	t.State = TaskQueued
	t.Worker, t.Incarnation = "", ""
	t.Peer, t.PeerEpoch = "", 0
	t.Reason = reason
	return t
}

// endTask moves t to a final state.
func endTask(t Task, state TaskState, outcome TaskOutcome) Task {
	t.State, t.Outcome = state, outcome
	t.Peer, t.PeerEpoch = "", 0
	return t
}

// appendUnique returns the list with id appended unless it is already there; it does not change the list in place.
func appendUnique(list []VMID, id VMID) []VMID {
	if slices.Contains(list, id) {
		return list
	}
	return append(slices.Clone(list), id)
}
