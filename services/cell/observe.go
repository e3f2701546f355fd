// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// silentRenewals is after how many renewals without answer a worker counts as silent.
const silentRenewals = 3

// observe brings the workers up to the VM list and draws the consequences of
// silence, of VMs that are gone and of cancelled jobs.
func (o *Owner) observe(ctx context.Context) {
	now := time.Now()
	o.syncLinks(ctx)
	o.cancelOrphans()
	for _, t := range o.working.Tasks {
		if !t.HoldsRoom() {
			continue
		}
		l := o.links[t.Worker]
		switch {
		case o.provedNotRunning(t.Worker, l, now):
			o.step(t.ID, models.EventWorkerGone{Reason: "VM " + string(t.Worker) + " is gone"})
		case l == nil || o.isSilent(l, now):
			if o.step(t.ID, models.EventUnreachable{}) {
				o.recordDecision(t.ID, "lost", t.Worker, "the worker has not answered for "+o.silenceLimit().String())
			}
		}
	}
}

func (o *Owner) silenceLimit() time.Duration { return silentRenewals * o.config.Settings.Renew }

func (o *Owner) isSilent(l *link, now time.Time) bool {
	return now.Sub(l.answeredAt) > o.silenceLimit()
}

// provedNotRunning tells whether nothing can run on the VM any more: the list has dropped
// it, and for a whole lease since nobody here has started or renewed anything there.
func (o *Owner) provedNotRunning(vm models.VMID, l *link, now time.Time) bool {
	listed, since := o.config.Inventory.Listed(vm)
	if listed {
		return false
	}
	if l != nil && l.lastLeaseCall().After(since) {
		since = l.lastLeaseCall()
	}
	return now.Sub(since) > o.config.Settings.Lease
}

// syncLinks opens a link for each worker of the cell, and keeps those of VMs that
// are no longer listed as long as tasks are recorded there.
func (o *Owner) syncLinks(ctx context.Context) {
	listed := map[models.VMID]bool{}
	for _, vm := range o.config.Inventory.WorkersOf(o.config.Cell) {
		listed[vm.ID] = true
		l, ok := o.links[vm.ID]
		if !ok {
			l = o.openLink(ctx, vm)
		}
		l.vm = vm
		l.setListed(vm, true)
	}
	holding := map[models.VMID]bool{}
	for _, t := range o.working.Tasks {
		if t.HoldsRoom() {
			holding[t.Worker] = true
		}
	}
	for id, l := range o.links {
		if listed[id] {
			continue
		}
		l.setListed(l.vm, false)
		if !holding[id] {
			l.cancel()
			delete(o.links, id)
		}
	}
}

func (o *Owner) openLink(ctx context.Context, vm models.VM) *link {
	l := newLink(linkConfig{
		Workers: o.config.Workers, VM: vm, Cell: o.config.Cell, Epoch: o.config.Epoch,
		Lease: o.config.Settings.Lease, Renew: o.config.Settings.Renew, Send: o.send,
	})
	linkContext, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	o.links[vm.ID] = l
	o.group.Go(func() { l.loop(linkContext) })
	return l
}

// cancelOrphans stops the tasks of cancelled jobs.
func (o *Owner) cancelOrphans() {
	for _, t := range o.working.Tasks {
		if t.Kind != models.TaskBatch || t.Foreign() || t.Cancelled {
			continue
		}
		if job, ok := o.working.Jobs[t.Job]; ok && job.State == models.JobCancelled {
			o.step(t.ID, models.EventCancel{Reason: "job was cancelled"})
		}
	}
}

func (o *Owner) handleRenewed(m renewedMessage) {
	l := o.links[m.vm]
	if l == nil {
		return
	}
	if m.err != nil {
		o.config.Scope.Counter("renewals_failed").Inc(1)
		return
	}
	if m.answer.Refused == models.RefusedEpoch {
		o.suspectSuperseded(m.answer.Epoch)
		return
	}
	l.answeredAt = time.Now()
	o.updateIncarnation(l, m.answer.Incarnation)
	l.report = m.answer
	seen := map[models.TaskID]bool{}
	for _, r := range m.answer.Attempts {
		seen[r.Task] = true
		o.handleAttempt(l, r)
	}
	o.stopUnreported(l, seen)
	o.processLatencies(l)
}

// updateIncarnation draws the consequence of a worker that has begun anew: what its
// former self ran is over.
func (o *Owner) updateIncarnation(l *link, incarnation models.Incarnation) {
	if l.incarnation == incarnation {
		return
	}
	l.incarnation = incarnation
	for _, t := range o.working.Tasks {
		if t.Worker == l.vm.ID && t.HoldsRoom() && t.Incarnation != incarnation {
			o.step(t.ID, models.EventWorkerGone{Reason: "worker " + string(t.Worker) + " was restarted"})
		}
	}
}

// handleAttempt takes one line of a worker's report.
func (o *Owner) handleAttempt(l *link, r models.AttemptReport) {
	t, ok := o.working.Tasks[r.Task]
	if !ok || t.Attempt != r.Attempt || !t.HoldsRoom() || t.Worker != l.vm.ID {
		o.handleStaleAttempt(l, r)
		return
	}
	o.applyReport(l, t, r)
}

// applyReport moves a task on by what its worker says of the current attempt.
func (o *Owner) applyReport(l *link, t models.Task, r models.AttemptReport) {
	switch r.Status {
	case models.StatusRunning:
		o.step(t.ID, models.EventStarted{Attempt: r.Attempt})
	case models.StatusFinished:
		o.step(t.ID, models.EventFinished{Attempt: r.Attempt, Success: true})
		l.failures.reset()
	case models.StatusFailed:
		o.step(t.ID, models.EventFinished{Attempt: r.Attempt, Reason: r.Reason})
		o.recordFailure(l, t)
	case models.StatusStopped:
		o.step(t.ID, models.EventStopped{Attempt: r.Attempt, Checkpoint: r.Checkpoint})
	case models.StatusNeverBegan:
		o.step(t.ID, models.EventNeverBegan{Attempt: r.Attempt, Reason: r.Reason})
	}
}

// handleStaleAttempt deals with an attempt that is not the current one of any task here:
// one that runs is stopped, one that has ended may be forgotten once the journal
// no longer waits for it.
func (o *Owner) handleStaleAttempt(l *link, r models.AttemptReport) {
	if r.Status == models.StatusRunning {
		o.sendStop(l, r.AttemptRef, false)
		return
	}
	kept, ok := o.journalled.Tasks[r.Task]
	if !ok || kept.Attempt > r.Attempt || !kept.HoldsRoom() {
		l.acknowledge(r.AttemptRef)
	}
}

// stopUnreported bars the attempts that the worker should run and doesn't report. Only
// its answer to the stop is a proof.
func (o *Owner) stopUnreported(l *link, seen map[models.TaskID]bool) {
	for _, t := range o.working.Tasks {
		if t.Worker != l.vm.ID || seen[t.ID] {
			continue
		}
		if t.State == models.TaskRunning || t.State == models.TaskLost {
			o.sendStop(l, models.AttemptRef{Task: t.ID, Attempt: t.Attempt}, true)
		}
	}
}

func (o *Owner) handleStarted(m startedMessage) {
	l := o.links[m.vm]
	if m.err != nil || l == nil {
		o.config.Scope.Counter("starts_unanswered").Inc(1)
		return
	}
	l.answeredAt = time.Now()
	never := models.EventNeverBegan{Attempt: m.ref.Attempt}
	switch m.answer.Refused {
	case "":
		if o.step(m.ref.Task, models.EventStarted{Attempt: m.ref.Attempt}) {
			o.counts.Started++
			o.config.Scope.Counter("tasks_started").Inc(1)
		}
	case models.RefusedEpoch:
		o.suspectSuperseded(m.answer.Epoch)
	case models.RefusedIncarnation:
		o.updateIncarnation(l, m.answer.Incarnation)
	case models.RefusedRoom:
		never.Reason = "the worker says it has no room"
		o.step(m.ref.Task, never)
	case models.RefusedBarred, models.RefusedAttempt:
		o.sendStop(l, m.ref, true) // its answer tells what became of the attempt
	}
}

func (o *Owner) handleStopped(m stoppedMessage) {
	l := o.links[m.vm]
	if m.err != nil || l == nil {
		return
	}
	l.answeredAt = time.Now()
	switch m.answer.Refused {
	case "":
		o.handleAttempt(l, m.answer.Report)
	case models.RefusedEpoch:
		o.config.Scope.Counter("stops_refused").Inc(1)
	case models.RefusedIncarnation:
		o.updateIncarnation(l, m.answer.Incarnation)
	case models.RefusedBarred, models.RefusedAttempt, models.RefusedRoom:
	}
}

// suspectSuperseded notes that a worker has heard of a later epoch. The journal knows who
// owns the cell: writing anything to it tells.
func (o *Owner) suspectSuperseded(epoch models.Epoch) {
	if epoch <= o.config.Epoch || o.appending {
		return
	}
	o.config.Logger.Warn("a worker knows a later owner; asking the journal",
		zap.String("cell", string(o.config.Cell)), zap.Uint64("epoch", uint64(epoch)))
	o.dirty.generations[probeKey] = true
}

// probeKey is a generation that is never used; it makes an append that holds
// nothing else.
const probeKey = "-"
