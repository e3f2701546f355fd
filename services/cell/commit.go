// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package cell

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/modules/clock"
	"rillsail.example/rillsail/services/journal"
)

// dirty names the records that the next append has to hold.
type dirty struct {
	tasks       map[models.TaskID]bool // false: dropped
	jobs        map[models.JobID]bool
	generations map[string]bool
}

func newDirty() dirty {
	return dirty{tasks: map[models.TaskID]bool{}, jobs: map[models.JobID]bool{}, generations: map[string]bool{}}
}

func (d dirty) task(id models.TaskID)     { d.tasks[id] = true }
func (d dirty) dropTask(id models.TaskID) { d.tasks[id] = false }
func (d dirty) job(id models.JobID)       { d.jobs[id] = true }
func (d dirty) dropJob(id models.JobID)   { d.jobs[id] = false }

func (d dirty) empty() bool { return len(d.tasks)+len(d.jobs)+len(d.generations) == 0 }

// change takes the named records out of the state.
func (d dirty) change(state models.CellState) models.CellChange {
	var c models.CellChange
	for id, kept := range d.tasks {
		if kept {
			c.Tasks = append(c.Tasks, state.Tasks[id])
		} else {
			c.DropTasks = append(c.DropTasks, id)
		}
	}
	for id, kept := range d.jobs {
		if kept {
			c.Jobs = append(c.Jobs, state.Jobs[id])
		} else {
			c.DropJobs = append(c.DropJobs, id)
		}
	}
	if len(d.generations) > 0 {
		c.Generations = make(map[string]int, len(d.generations))
		for key := range d.generations {
			c.Generations[key] = state.Generations[key]
		}
	}
	return c
}

// restore names the records of a change that was not written, unless newer ones are
// named already.
func (d dirty) restore(c models.CellChange) {
	for _, t := range c.Tasks {
		if _, newer := d.tasks[t.ID]; !newer {
			d.tasks[t.ID] = true
		}
	}
	for _, id := range c.DropTasks {
		if _, newer := d.tasks[id]; !newer {
			d.tasks[id] = false
		}
	}
	for _, j := range c.Jobs {
		if _, newer := d.jobs[j.ID]; !newer {
			d.jobs[j.ID] = true
		}
	}
	for _, id := range c.DropJobs {
		if _, newer := d.jobs[id]; !newer {
			d.jobs[id] = false
		}
	}
	for key := range c.Generations {
		d.generations[key] = true
	}
}

// staged is an operator's call that is answered when its records are journalled.
// Its records join the working state only then, so that a refusal is true.
type staged struct {
	call  models.ForwardCall
	jobs  []models.Job        // those submitted that are new
	reply chan<- forwardReply // nil: nobody waits any more
	sent  bool                // part of the append under way
}

func (s staged) submits(id models.JobID) bool {
	return slices.ContainsFunc(s.jobs, func(j models.Job) bool { return j.ID == id })
}

// records are the job records that the append has to hold for the call.
func (s staged) records(state models.CellState, now models.UnixMilli) []models.Job {
	records := slices.Clone(s.jobs)
	for _, id := range s.call.Cancel {
		if job, ok := state.Jobs[id]; ok {
			records = append(records, job.Cancel(now))
		}
	}
	return records
}

// cancelsStagedJob tells whether a staged call cancels a job whose submission, by another, isn't
// journalled yet. It waits for the append after that, so that its answer says what is
// journalled.
func (o *Owner) cancelsStagedJob(call int) bool {
	return slices.ContainsFunc(o.staged[call].call.Cancel, func(id models.JobID) bool {
		for i, other := range o.staged {
			if i != call && other.submits(id) {
				return true
			}
		}
		return false
	})
}

// commit starts an append of all that is dirty or staged, at most one at a time
// and not faster than the settings say.
func (o *Owner) commit(ctx context.Context) {
	if o.appending || o.frozen || o.dirty.empty() && len(o.staged) == 0 {
		return
	}
	if wait := time.Until(o.nextAppend); wait > 0 {
		o.wakeIn(wait)
		return
	}
	change := o.dirty.change(o.working)
	o.dirty = newDirty()
	for i := range o.staged {
		if o.cancelsStagedJob(i) {
			continue
		}
		o.staged[i].sent = true
		change.Jobs = append(change.Jobs, o.staged[i].records(o.working, models.UnixMilliOf(time.Now()))...)
	}
	o.nextAppend = time.Now().Add(o.config.Settings.Append)
	o.beginAppend(ctx, change, o.journal.Append)
}

// beginAppend lets an append, or the settling of one, go on beside the loop.
func (o *Owner) beginAppend(ctx context.Context, change models.CellChange, write appendFunc) {
	o.appending, o.pendingChange = true, change
	appendContext, cancel := context.WithCancel(ctx)
	o.cancelAppend = cancel
	o.group.Go(func() { o.runAppend(ctx, appendContext, change, write) })
}

// appendFunc writes the first try of an append.
type appendFunc func(context.Context, models.CellChange) error

// settlePending goes on with the append that a former owner handed over.
func (o *Owner) settlePending(ctx context.Context) {
	change, ok := o.journal.PendingChange()
	if !ok {
		return
	}
	o.working.Apply(change) // it is written in the end, or this owner is superseded
	o.unsettled = true
	o.beginAppend(ctx, change, func(ctx context.Context, _ models.CellChange) error { return o.journal.Settle(ctx) })
}

// retryAppend is how long an owner waits between two tries to settle an append.
const retryAppend = 200 * time.Millisecond

// runAppend writes one entry and, when its answer is lost, goes on until the
// journal tells whether it was written, or the append is given up.
func (o *Owner) runAppend(ctx, appendContext context.Context, change models.CellChange, write appendFunc) {
	result := appendResultOf(write(appendContext, change))
	for {
		open, ok := result.(appendUnknown)
		if !ok || appendContext.Err() != nil {
			break
		}
		if !o.send(ctx, unsettledMessage(open)) {
			return
		}
		clock.Sleep(appendContext, retryAppend)
		result = appendResultOf(o.journal.Settle(appendContext))
	}
	o.send(ctx, appendedMessage{change: change, result: result})
}

// appendResult is what became of an append. The set is closed, and a value is one of them
// only: what is still open is never taken for what failed.
type appendResult interface{ appendResult() }

type (
	appendDone       struct{}
	appendFailed     struct{ err error } // nothing of it was written
	appendSuperseded struct{ err error } // another daemon owns the cell
	appendUnknown    struct{ err error } // it may have been written, or may still be
)

func (appendDone) appendResult()       {}
func (appendFailed) appendResult()     {}
func (appendSuperseded) appendResult() {}
func (appendUnknown) appendResult()    {}

func appendResultOf(err error) appendResult {
	switch {
	case err == nil:
		return appendDone{}
	case errors.Is(err, journal.ErrPending):
		return appendUnknown{err}
	case isSuperseded(err):
		return appendSuperseded{err}
	default:
		return appendFailed{err}
	}
}

// handleUnsettled answers those who wait: nobody knows yet what of their jobs is
// journalled that is part of the append. What isn't surely won't be.
func (o *Owner) handleUnsettled(m unsettledMessage) {
	o.recordStoreFailure(m.err)
	o.unsettled = true
	var sent []staged
	for _, s := range o.staged {
		o.answer(s, ErrNoStore)
		if s.sent {
			s.reply = nil
			sent = append(sent, s)
		}
	}
	o.staged = sent
}

func (o *Owner) handleAppended(m appendedMessage) {
	o.cancelAppend()
	if o.frozen {
		o.finishFreeze() // the successor gets the append; what it holds stays doubtful here
		return
	}
	switch r := m.result.(type) {
	case appendDone:
		o.endAppend()
		o.applyAppended(m.change)
	case appendSuperseded:
		// An append of unknown fate may have been written and its place in the ring be taken
		// by later entries, so what it holds stays doubtful.
		if !o.unsettled {
			o.endAppend()
		}
		o.superseded = true
		o.answerStaged(ErrNotOwner)
	case appendFailed:
		o.endAppend()
		o.recordStoreFailure(r.err)
		o.answerStaged(ErrNoStore)
		o.restoreDirty(m.change)
		o.nextAppend = time.Now().Add(max(o.config.Settings.Append, retryAppend))
	case appendUnknown:
		// Given up because this owner ends: it stays under way, and what it holds doubtful.
		o.recordStoreFailure(r.err)
	}
}

func (o *Owner) endAppend() {
	o.appending, o.unsettled, o.pendingChange = false, false, models.CellChange{}
}

func (o *Owner) applyAppended(change models.CellChange) {
	o.config.Scope.Counter("appends").Inc(1)
	o.cycledAt = time.Time{} // act on what is journalled at once
	o.journalled.Apply(change)
	o.sequence++
	o.applyStaged()
	o.runWaiters()
	// The store works again: what was handed over is now taken over properly, in
	// an epoch whose offers nobody else has seen.
	o.superseded = o.config.Adopted
}

// restoreDirty names the records of a failed append again; staged jobs were never part
// of the working state and are forgotten.
func (o *Owner) restoreDirty(change models.CellChange) {
	var kept []models.Job
	for _, j := range change.Jobs {
		if _, ok := o.working.Jobs[j.ID]; ok {
			kept = append(kept, j)
		}
	}
	change.Jobs = kept
	o.dirty.restore(change)
}

func (o *Owner) applyStaged() {
	if o.storeFails.Load() {
		o.config.Logger.Info("journal is written again", zap.String("cell", string(o.config.Cell)))
		o.storeFails.Store(false)
	}
	for _, s := range o.staged {
		if !s.sent {
			continue
		}
		for _, j := range s.jobs {
			o.working.Jobs[j.ID] = j
		}
		for _, id := range s.call.Cancel {
			if job, ok := o.working.Jobs[id]; ok {
				o.putJob(job.Cancel(models.UnixMilliOf(time.Now())))
			}
		}
	}
	o.answerStaged(nil)
}

// answerStaged answers the calls that were part of the append. cause is why it is not
// written; nil when it is.
func (o *Owner) answerStaged(cause error) {
	waiting := o.staged
	o.staged = nil
	for _, s := range waiting {
		if s.sent {
			o.answer(s, cause)
		} else {
			o.staged = append(o.staged, s)
		}
	}
}

func (o *Owner) answer(s staged, cause error) {
	if s.reply != nil {
		s.reply <- o.changeReply(s.call, cause)
	}
}
