// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"time"

	"rillsail.example/rillsail/models"
)

// act takes the actions that journalled records require and that are not under way. A record that has
// changed in the working state is handled after its next append.
func (o *Owner) act() {
	if o.frozen {
		return
	}
	now := time.Now()
	for id, t := range o.journalled.Tasks {
		action, ok := t.PendingAction()
		if !ok {
			continue
		}
		current, ok := o.working.Tasks[id]
		if !ok || current.State != t.State || current.Attempt != t.Attempt || current.Cancelled != t.Cancelled {
			continue
		}
		o.perform(t, action, now)
	}
}

// perform takes one action, unless it was taken less than retryInterval ago.
func (o *Owner) perform(t models.Task, action models.TaskAction, now time.Time) {
	switch action {
	case models.ActionStart:
		o.sendStart(t, now)
	case models.ActionEvict, models.ActionStop:
		if l := o.links[t.Worker]; l != nil {
			o.sendStop(l, models.AttemptRef{Task: t.ID, Attempt: t.Attempt}, action == models.ActionEvict)
		}
	case models.ActionSendOffer, models.ActionCancelRemote:
		// sendPeerCalls batches these into one call for each cell
	case models.ActionAcknowledge:
		// sent after the next report of the attempt, see handleStaleAttempt
	}
}

// beginAction marks an action as under way; false when it already is. An answer doesn't remove the
// mark, so that a refused action is not repeated before retryInterval.
func (o *Owner) beginAction(key actionKey, now time.Time) bool {
	if began, ok := o.inFlight[key]; ok && now.Sub(began) < o.retryInterval() {
		return false
	}
	o.inFlight[key] = now
	return true
}

// retryInterval is the time after which an action that has not taken effect is repeated.
func (o *Owner) retryInterval() time.Duration { return o.config.Settings.Renew * 2 }

func (o *Owner) sendStart(t models.Task, now time.Time) {
	l := o.links[t.Worker]
	if l == nil || o.isSilent(l, now) || !o.beginAction(actionKey{t.ID, t.Attempt, models.ActionStart}, now) {
		return
	}
	call := models.StartCall{
		Guard:      models.Guard{Cell: o.config.Cell, Epoch: o.config.Epoch, Incarnation: t.Incarnation},
		AttemptRef: models.AttemptRef{Task: t.ID, Attempt: t.Attempt},
		Kind:       t.Kind, Labels: t.Labels, Size: t.Size, Work: t.Work, Checkpoint: t.Checkpoint,
		Lease: models.MilliOf(o.config.Settings.Lease), Target: o.targetOf(t),
	}
	if !l.enqueue(startCall{call}) {
		delete(o.inFlight, actionKey{t.ID, t.Attempt, models.ActionStart})
	}
}

func (o *Owner) targetOf(t models.Task) models.Milli {
	return o.config.View().Services[t.Service].Target
}

func (o *Owner) sendStop(l *link, ref models.AttemptRef, checkpoint bool) {
	key := actionKey{ref.Task, ref.Attempt, models.ActionStop}
	if o.frozen || l.incarnation == "" || !o.beginAction(key, time.Now()) {
		return
	}
	call := models.StopCall{
		Guard:      models.Guard{Cell: o.config.Cell, Epoch: o.config.Epoch, Incarnation: l.incarnation},
		AttemptRef: ref, TakeCheckpoint: checkpoint,
	}
	if !l.enqueue(stopCall{call}) {
		delete(o.inFlight, key)
	}
}

// pruneInFlight removes the marks of actions that were not repeated within twice retryInterval.
func (o *Owner) pruneInFlight(now time.Time) {
	for key, began := range o.inFlight {
		if now.Sub(began) > 2*o.retryInterval() {
			delete(o.inFlight, key)
		}
	}
}
