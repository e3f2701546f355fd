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

// again names the records of a change that was not written, unless newer ones are
// named already.
func (d dirty) again(c models.CellChange) {
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
	jobs   []models.Job   // submitted
	cancel []models.JobID // of jobs in the working state
	answer func(error)
	sent   bool // part of the append under way
}

// records are the job records that the append has to hold for the call.
func (s staged) records(state models.CellState, now models.UnixMilli) []models.Job {
	records := slices.Clone(s.jobs)
	for _, id := range s.cancel {
		if job, ok := state.Jobs[id]; ok {
			records = append(records, job.Cancel(now))
		}
	}
	return records
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
		o.staged[i].sent = true
		change.Jobs = append(change.Jobs, o.staged[i].records(o.working, models.UnixMilliOf(time.Now()))...)
	}
	o.nextAppend = time.Now().Add(o.config.Settings.Append)
	o.beginAppend(ctx, change, o.journal.Append)
}

// beginAppend lets an append, or the settling of one, go on beside the loop.
func (o *Owner) beginAppend(ctx context.Context, change models.CellChange, write appendFunc) {
	o.appending = true
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
// journal tells whether it was written, or the append is given up with ErrPending.
func (o *Owner) runAppend(ctx, appendContext context.Context, change models.CellChange, write appendFunc) {
	err := write(appendContext, change)
	for errors.Is(err, journal.ErrPending) && appendContext.Err() == nil {
		if !o.send(ctx, unsettledMessage{err: err}) {
			return
		}
		clock.Sleep(appendContext, retryAppend)
		err = o.journal.Settle(appendContext)
	}
	o.send(ctx, appendedMessage{change: change, err: err})
}

// handleUnsettled answers those who wait: nobody knows yet whether their records
// are journalled. What has not been part of the append surely is not.
func (o *Owner) handleUnsettled(m unsettledMessage) {
	o.noteStoreFailure(m.err)
	o.unsettled = true
	var sent []staged
	for _, s := range o.staged {
		if !s.sent {
			s.answer(ErrNoStore)
			continue
		}
		s.answer(ErrMaybe)
		s.answer = func(error) {} // it is known later, but nobody waits any more
		sent = append(sent, s)
	}
	o.staged = sent
}

func (o *Owner) handleAppended(m appendedMessage) {
	o.appending, o.unsettled = false, false
	o.cancelAppend()
	if o.frozen {
		o.finishFreeze()
		return
	}
	switch {
	case m.err == nil:
		o.config.Scope.Counter("appends").Inc(1)
		o.cycled = time.Time{} // act on what is journalled at once
		o.journalled.Apply(m.change)
		o.sequence++
		o.appended()
		o.runWaiters()
		// The store works again: what was handed over is now taken over properly, in
		// an epoch whose offers nobody else has seen.
		o.superseded = o.config.Adopted
	case isSuperseded(m.err):
		o.superseded = true
		o.answerStaged(ErrNotOwner)
	default:
		o.noteStoreFailure(m.err)
		o.answerStaged(ErrNoStore)
		o.takeBack(m.change)
		o.nextAppend = time.Now().Add(max(o.config.Settings.Append, retryAppend))
	}
}

// takeBack names the records of a failed append again; staged jobs were never part
// of the working state and are forgotten.
func (o *Owner) takeBack(change models.CellChange) {
	var kept []models.Job
	for _, j := range change.Jobs {
		if _, ok := o.working.Jobs[j.ID]; ok {
			kept = append(kept, j)
		}
	}
	change.Jobs = kept
	o.dirty.again(change)
}

func (o *Owner) appended() {
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
		for _, id := range s.cancel {
			if job, ok := o.working.Jobs[id]; ok {
				o.putJob(job.Cancel(models.UnixMilliOf(time.Now())))
			}
		}
	}
	o.answerStaged(nil)
}

// answerStaged answers the calls that were part of the append.
func (o *Owner) answerStaged(err error) {
	waiting := o.staged
	o.staged = nil
	for _, s := range waiting {
		if s.sent {
			s.answer(err)
		} else {
			o.staged = append(o.staged, s)
		}
	}
}
