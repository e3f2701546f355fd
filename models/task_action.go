// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

// TaskAction is an action that the owner of the task's cell takes once the task's new record is journalled.
type TaskAction string

// The actions that follow a step. Each may be repeated, also by the next owner of the cell.
const (
	ActionStart        TaskAction = "start"         // start the attempt on its worker
	ActionEvict        TaskAction = "evict"         // checkpoint and stop the attempt
	ActionStop         TaskAction = "stop"          // stop the attempt without a checkpoint; the task ends
	ActionAcknowledge  TaskAction = "acknowledge"   // tell the worker that it may forget the attempt
	ActionSendOffer    TaskAction = "send-offer"    // offer the task to Peer
	ActionCancelRemote TaskAction = "cancel-remote" // ask Peer to cancel the task
)

// PendingAction returns the action that a journalled record requires, if any. The record alone decides it, so
// the next owner can take the action if its predecessor crashed between writing the journal and acting.
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
