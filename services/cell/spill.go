// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/services/place"
)

// A task that finds no place in this cell is offered to another cell; k is the attempt number:
//
//	home: offered(k) → journal → offer(k, epoch) → accepted → moved → journal
//	other: journal placed(k+1) → accepted; or refused, remembered for the epoch
//
// An offer names the epoch of the owner that it is meant for. That owner remembers each offer that
// it has seen. The owner of a later epoch refuses every offer whose task its journal doesn't hold.
// So a late copy of an offer is never accepted, although refusals are not journalled.

// anyWorkerCouldHold reports whether any worker of any cell is large enough for the task when empty.
func (o *Owner) anyWorkerCouldHold(t models.Task) bool {
	for _, vm := range o.config.Inventory.VMs().VMs {
		if vm.Kind == models.KindWorker && t.Size.Fits(vm.Capacity) {
			return true
		}
	}
	return false
}

// chooseCell chooses the cell to offer a task to: of the cells with enough free capacity on one
// worker, the cell with the most free CPU in total, less the CPU of outstanding offers.
func (o *Owner) chooseCell(t models.Task) (models.CellID, bool) {
	cells := o.config.Peers.Cells()
	var best models.CellID
	for _, cell := range slices.Sorted(maps.Keys(cells)) {
		beat := cells[cell]
		if cell == o.config.Cell || !t.Size.Fits(beat.LargestFree) || o.offersBlocked(cell) {
			continue
		}
		if best == "" || beat.Free.CPU-o.offeredResources[cell].CPU > cells[best].Free.CPU-o.offeredResources[best].CPU {
			best = cell
		}
	}
	if best == "" || !t.Size.Fits(cells[best].Free.Sub(o.offeredResources[best])) {
		return "", false
	}
	return best, true
}

// offersBlocked reports whether the cell has refused an offer within the last tick.
func (o *Owner) offersBlocked(cell models.CellID) bool {
	return time.Now().Before(o.offersBlockedUntil[cell])
}

func (o *Owner) offerTo(c candidate, cell models.CellID) {
	o.materialise(c)
	epoch := o.config.Peers.Cells()[cell].Epoch
	if o.step(c.task.ID, models.EventOffer{Cell: cell, Epoch: epoch}) {
		o.offeredResources[cell] = o.offeredResources[cell].Add(c.task.Size)
		o.counts.Offers++
		o.recordDecision(c.task.ID, "offered", "", "no room here, offered to cell "+string(cell))
	}
}

// sendPeerCalls sends offers, reports and cancellations to the owners of other cells. One call to
// each cell is under way at a time.
func (o *Owner) sendPeerCalls(ctx context.Context) {
	offers := map[models.CellID]map[models.Epoch][]models.Task{}
	reports := map[models.CellID]*models.ReportCall{}
	for id, t := range o.journalled.Tasks {
		if current, ok := o.working.Tasks[id]; !ok || current.State != t.State || current.Attempt != t.Attempt {
			continue
		}
		switch {
		case t.State == models.TaskOffered:
			if offers[t.Peer] == nil {
				offers[t.Peer] = map[models.Epoch][]models.Task{}
			}
			offers[t.Peer][t.PeerEpoch] = append(offers[t.Peer][t.PeerEpoch], t)
		case t.State == models.TaskMoved && t.Cancelled:
			call := reportCallTo(reports, t.Peer)
			call.Cancel = append(call.Cancel, id)
		case t.NeedsReport(), o.reportsLoss(t):
			call := reportCallTo(reports, t.Home)
			call.Tasks = append(call.Tasks, t)
		}
	}
	for cell, byEpoch := range offers {
		for epoch, tasks := range byEpoch {
			o.sendOffer(ctx, models.OfferCall{From: o.config.Cell, To: cell, Epoch: epoch, Tasks: tasks})
		}
	}
	for _, call := range reports {
		o.sendReport(ctx, *call)
	}
}

func reportCallTo(calls map[models.CellID]*models.ReportCall, to models.CellID) *models.ReportCall {
	if calls[to] == nil {
		calls[to] = &models.ReportCall{To: to}
	}
	return calls[to]
}

// reportsLoss reports whether the home cell of a replica must be told that the replica is lost.
func (o *Owner) reportsLoss(t models.Task) bool {
	return t.Foreign() && t.State == models.TaskLost && t.Kind == models.TaskService && !t.Cancelled && !o.lossReported[t.ID]
}

// Actions of an actionKey that stands for a call to another cell.
const (
	actionOfferCall  models.TaskAction = "offer-call"
	actionReportCall models.TaskAction = "report-call"
)

func (o *Owner) sendOffer(ctx context.Context, call models.OfferCall) {
	if !o.beginAction(actionKey{models.TaskID(call.To), models.Attempt(call.Epoch), actionOfferCall}, time.Now()) {
		return
	}
	o.group.Go(func() { o.runOffer(ctx, call) })
}

func (o *Owner) runOffer(ctx context.Context, call models.OfferCall) {
	answer, err := o.config.Peers.Offer(ctx, call)
	o.send(ctx, offeredMessage{call: call, answer: answer, err: err})
}

func (o *Owner) sendReport(ctx context.Context, call models.ReportCall) {
	if !o.beginAction(actionKey{models.TaskID(call.To), 0, actionReportCall}, time.Now()) {
		return
	}
	o.group.Go(func() { o.runReport(ctx, call) })
}

func (o *Owner) runReport(ctx context.Context, call models.ReportCall) {
	answer, err := o.config.Peers.Report(ctx, call)
	o.send(ctx, reportedMessage{call: call, answer: answer, err: err})
}

// handleOffer decides on another cell's offer. The answer waits until acceptances are journalled. A
// task that is missing in the answer is undecided.
func (o *Owner) handleOffer(m offerMessage) {
	answer := models.OfferAnswer{Accepted: map[models.TaskID]bool{}}
	var open []models.Task
	for _, t := range m.call.Tasks {
		accepted, final := o.evaluateOffer(m.call, t)
		if final {
			answer.Accepted[t.ID] = accepted
		} else {
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		m.reply <- answer
		return
	}
	o.waiters = append(o.waiters, func() bool {
		for _, t := range open {
			if _, placed := o.working.Tasks[t.ID]; placed && !o.acceptanceJournalled(t) {
				return false
			}
		}
		for _, t := range open {
			if o.acceptanceJournalled(t) { // a task that was never placed here stays undecided
				answer.Accepted[t.ID] = true
			}
		}
		m.reply <- answer
		return true
	})
	o.runWaiters()
}

// acceptanceJournalled reports whether the acceptance of an offered task is journalled.
func (o *Owner) acceptanceJournalled(t models.Task) bool {
	record, ok := o.journalled.Tasks[t.ID]
	return ok && record.Foreign() && record.Attempt > t.Attempt
}

// evaluateOffer decides on one offered task. final reports whether accepted is the final answer; a task
// that has just been placed gets its final answer with the next append.
func (o *Owner) evaluateOffer(call models.OfferCall, t models.Task) (accepted, final bool) {
	if o.acceptanceJournalled(t) {
		return true, true
	}
	if record, ok := o.working.Tasks[t.ID]; ok && record.Foreign() && record.Attempt > t.Attempt {
		return false, false
	}
	if call.Epoch > o.config.Epoch {
		return false, false // meant for a successor that this owner doesn't know of yet
	}
	if call.Epoch < o.config.Epoch || o.offersSeen[t.ID] >= t.Attempt || o.storeFails.Load() || o.config.Adopted {
		o.offersSeen[t.ID] = max(o.offersSeen[t.ID], t.Attempt)
		return false, true
	}
	o.offersSeen[t.ID] = t.Attempt
	return false, !o.placeOffered(call, t)
}

// placeOffered places an offered task on a worker of this cell; false when it finds no place.
func (o *Owner) placeOffered(call models.OfferCall, t models.Task) bool {
	t.State, t.Home = models.TaskQueued, call.From
	t.Peer, t.PeerEpoch = "", 0
	choice := place.Choose(o.request(t, o.workers()))
	if !choice.Found {
		return false
	}
	o.counts.OffersAccepted++
	o.putTask(t)
	o.start(candidate{task: t}, choice)
	return true
}

func (o *Owner) handleOffered(m offeredMessage) {
	if m.err != nil {
		o.config.Scope.Counter("offers_unanswered").Inc(1)
		return
	}
	if len(m.answer.Accepted) == len(m.call.Tasks) { // otherwise undecided tasks are offered again after retryInterval
		delete(o.inFlight, actionKey{models.TaskID(m.call.To), models.Attempt(m.call.Epoch), actionOfferCall})
	}
	for _, t := range m.call.Tasks {
		accepted, final := m.answer.Accepted[t.ID]
		if !final {
			continue
		}
		o.offeredResources[m.call.To] = o.offeredResources[m.call.To].Sub(t.Size)
		if accepted {
			o.step(t.ID, models.EventOfferAccepted{Attempt: t.Attempt})
			continue
		}
		o.offersBlockedUntil[m.call.To] = time.Now().Add(o.config.Settings.Tick)
		o.step(t.ID, models.EventOfferRefused{Attempt: t.Attempt})
	}
}

// handleReport handles another cell's report on tasks whose home is this cell, and its request to
// cancel tasks that this cell took over from it. The answer waits for the journal.
func (o *Owner) handleReport(m reportMessage) {
	for _, id := range m.call.Cancel {
		if t, ok := o.working.Tasks[id]; ok && t.Foreign() {
			o.step(id, models.EventCancel{Reason: "cancelled by its home cell"})
		}
	}
	for _, t := range m.call.Tasks {
		o.applyPeerReport(t)
	}
	arrived := o.sequence
	o.probeJournalFor(m.call.Tasks)
	o.waiters = append(o.waiters, func() bool {
		var answer models.ReportAnswer
		for _, t := range m.call.Tasks {
			if !o.reportSettled(t, arrived) {
				return false
			}
			answer.Settled = append(answer.Settled, t.ID)
		}
		m.reply <- answer
		return true
	})
	o.runWaiters()
}

func (o *Owner) applyPeerReport(t models.Task) {
	switch {
	case t.State == models.TaskLost:
		o.step(t.ID, models.EventCancel{Reason: "its worker is silent"})
	case t.State == models.TaskDone:
		o.step(t.ID, models.EventRemoteDone{Attempt: t.Attempt, Outcome: t.Outcome, Reason: t.Reason, Evictions: t.Evictions})
	default:
		o.step(t.ID, models.EventReturned{
			Attempt: t.Attempt, Checkpoint: t.Checkpoint, Reason: t.Reason,
			Evictions: t.Evictions, Failures: t.Failures, FailedOn: t.FailedOn,
		})
	}
}

// probeJournalFor queues an empty append when the journalled state doesn't hold a reported task, so
// that reportSettled can rule out a later owner.
func (o *Owner) probeJournalFor(tasks []models.Task) {
	for _, t := range tasks {
		if _, ok := o.journalled.Tasks[t.ID]; !ok {
			o.dirty.generations[probeKey] = true
		}
	}
}

// reportSettled reports whether the journal no longer depends on the report of t; arrived is the number
// of the last journal entry when the report arrived. For a task that the journalled state doesn't
// hold, this requires a later append: without one, the journal of a later owner may hold the task.
func (o *Owner) reportSettled(t models.Task, arrived models.Sequence) bool {
	record, ok := o.journalled.Tasks[t.ID]
	switch {
	case !ok:
		return o.sequence > arrived
	case t.State == models.TaskLost:
		return record.Cancelled
	default:
		return record.Attempt >= t.Attempt
	}
}

// runWaiters answers the waiting calls of other cells whose records are now journalled.
func (o *Owner) runWaiters() {
	o.waiters = slices.DeleteFunc(o.waiters, func(answered func() bool) bool { return answered() })
}

func (o *Owner) handleReported(m reportedMessage) {
	if m.err != nil {
		o.config.Scope.Counter("reports_unanswered").Inc(1)
		return
	}
	if len(m.answer.Settled) == len(m.call.Tasks) && len(m.call.Cancel) == 0 {
		delete(o.inFlight, actionKey{models.TaskID(m.call.To), 0, actionReportCall})
	}
	for _, id := range m.answer.Settled {
		t, ok := o.working.Tasks[id]
		if !ok || !t.Foreign() {
			continue
		}
		if t.State == models.TaskLost {
			o.lossReported[id] = true
			continue
		}
		if t.NeedsReport() {
			delete(o.working.Tasks, id)
			o.dirty.dropTask(id)
		}
	}
}
