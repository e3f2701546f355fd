// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
)

// silentRenewals is the number of renewal intervals without an answer after which a worker counts as
// silent.
const silentRenewals = 3

// observe synchronizes the links with the VM list, cancels the tasks of cancelled jobs, and updates
// the tasks on VMs that have left and on silent workers.
func (o *Owner) observe(ctx context.Context) {
	now := time.Now()
	o.syncLinks(ctx)
	o.cancelOrphans()
	for _, t := range o.working.Tasks {
		if !t.HoldsCapacity() {
			continue
		}
		l := o.links[t.Worker]
		switch {
		case o.provedNotRunning(t.Worker, l, now):
			o.step(t.ID, models.EventWorkerTerminated{Reason: "VM " + string(t.Worker) + " is gone"})
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

// provedNotRunning reports whether no task can run on the VM any more: the VM has left the list, and
// for a whole lease after that this owner has started and renewed nothing on it.
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

// syncLinks opens a link for each worker of the cell. The link of a VM that is no longer listed is
// kept as long as tasks may run on it.
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
		if t.HoldsCapacity() {
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

// cancelOrphans cancels the remaining tasks of cancelled jobs.
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
	reported := map[models.TaskID]bool{}
	for _, r := range m.answer.Attempts {
		reported[r.Task] = true
		o.handleAttempt(l, r)
	}
	o.stopUnreported(l, reported)
	o.processLatencies(l)
}

// updateIncarnation records a worker's incarnation. After a restart, all tasks of the previous
// incarnation have ended.
func (o *Owner) updateIncarnation(l *link, incarnation models.Incarnation) {
	if l.incarnation == incarnation {
		return
	}
	l.incarnation = incarnation
	for _, t := range o.working.Tasks {
		if t.Worker == l.vm.ID && t.HoldsCapacity() && t.Incarnation != incarnation {
			o.step(t.ID, models.EventWorkerTerminated{Reason: "worker " + string(t.Worker) + " was restarted"})
		}
	}
}

// handleAttempt handles one attempt of a worker's report.
func (o *Owner) handleAttempt(l *link, r models.AttemptReport) {
	t, ok := o.working.Tasks[r.Task]
	if !ok || t.Attempt != r.Attempt || !t.HoldsCapacity() || t.Worker != l.vm.ID {
		o.handleStaleAttempt(l, r)
		return
	}
	o.applyReport(l, t, r)
}

// applyReport applies a worker's report of the current attempt to its task.
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

// handleStaleAttempt handles an attempt that is not the current attempt of any task here. A running
// attempt is stopped. An ended attempt is acknowledged, so that the worker may forget it, as soon
// as the journalled record no longer depends on its report.
func (o *Owner) handleStaleAttempt(l *link, r models.AttemptReport) {
	if r.Status == models.StatusRunning {
		o.sendStop(l, r.AttemptRef, false)
		return
	}
	record, ok := o.journalled.Tasks[r.Task]
	if !ok || record.Attempt > r.Attempt || !record.HoldsCapacity() {
		l.acknowledge(r.AttemptRef)
	}
}

// stopUnreported sends a stop for each attempt that should run on the worker and is missing in its
// report. The stop bars the attempt; only the worker's answer to it proves that the attempt
// doesn't run.
func (o *Owner) stopUnreported(l *link, reported map[models.TaskID]bool) {
	for _, t := range o.working.Tasks {
		if t.Worker != l.vm.ID || reported[t.ID] {
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
	neverBegan := models.EventNeverBegan{Attempt: m.ref.Attempt}
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
	case models.RefusedCapacity:
		neverBegan.Reason = "the worker says it has no room"
		o.step(m.ref.Task, neverBegan)
	case models.RefusedBarred, models.RefusedStaleAttempt:
		o.sendStop(l, m.ref, true) // the answer to the stop tells what became of the attempt
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
	case models.RefusedBarred, models.RefusedStaleAttempt, models.RefusedCapacity:
	}
}

// suspectSuperseded handles a worker's refusal that names a later epoch. It queues an empty append,
// whose result reports whether another daemon owns the cell.
func (o *Owner) suspectSuperseded(epoch models.Epoch) {
	if epoch <= o.config.Epoch || o.appending {
		return
	}
	o.config.Logger.Warn("worker refused a call because it has seen a later epoch; checking the ownership with an empty append",
		zap.String("cell", string(o.config.Cell)), zap.Uint64("epoch", uint64(epoch)))
	o.dirty.generations[probeKey] = true
}

// probeKey is a generation key that no replica uses. Marking it dirty causes an append that changes
// nothing, as a probe of the journal.
const probeKey = "-"
