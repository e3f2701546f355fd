// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package models

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
