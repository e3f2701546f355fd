// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"time"

	"rillsail.example/rillsail/models"
)

// act takes the actions that journalled records call for and that are not under
// way. A record that has moved on in the working state is left to its next append.
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

// perform takes one action unless it was taken a moment ago.
func (o *Owner) perform(t models.Task, action models.TaskAction, now time.Time) {
	switch action {
	case models.ActionStart:
		o.sendStart(t, now)
	case models.ActionEvict, models.ActionStop:
		if l := o.links[t.Worker]; l != nil {
			o.sendStop(l, models.AttemptRef{Task: t.ID, Attempt: t.Attempt}, action == models.ActionEvict)
		}
	case models.ActionSendOffer, models.ActionCancelRemote:
		// spill.go sends these, many in one call
	case models.ActionAcknowledge:
		// follows from the next report, see handleStaleAttempt
	}
}

// beginAction marks an action as under way; false when it is already. An answer doesn't
// end it: what was refused is not taken again before its time.
func (o *Owner) beginAction(f actionKey, now time.Time) bool {
	if began, ok := o.inFlight[f]; ok && now.Sub(began) < o.retryInterval() {
		return false
	}
	o.inFlight[f] = now
	return true
}

// retryInterval is after how long an action without answer is taken once more.
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
	f := actionKey{ref.Task, ref.Attempt, models.ActionStop}
	if o.frozen || l.incarnation == "" || !o.beginAction(f, time.Now()) {
		return
	}
	call := models.StopCall{
		Guard:      models.Guard{Cell: o.config.Cell, Epoch: o.config.Epoch, Incarnation: l.incarnation},
		AttemptRef: ref, Checkpoint: checkpoint,
	}
	if !l.enqueue(stopCall{call}) {
		delete(o.inFlight, f)
	}
}

// pruneInFlight forgets actions that ended without a trace.
func (o *Owner) pruneInFlight(now time.Time) {
	for f, began := range o.inFlight {
		if now.Sub(began) > 2*o.retryInterval() {
			delete(o.inFlight, f)
		}
	}
}
