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

// dirty is the set of records that the next append must contain.
type dirty struct {
	tasks       map[models.TaskID]bool // true: changed, false: dropped
	jobs        map[models.JobID]bool  // true: changed, false: dropped
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

// change builds the journal change for the dirty records from the given state.
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

// restore marks the records of a change as dirty again after the change was not written. Records
// that have been marked since keep their newer mark.
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

// staged is an operator's call that is answered when its records are journalled. Its records are
// applied to the working state only then, so that after a refusal the state doesn't contain them.
type staged struct {
	call  models.ForwardCall
	jobs  []models.Job        // submitted jobs that are new to the cell
	reply chan<- forwardReply // nil: the call has been answered
	sent  bool                // part of the append under way
}

func (s staged) submits(id models.JobID) bool {
	return slices.ContainsFunc(s.jobs, func(j models.Job) bool { return j.ID == id })
}

// records returns the job records that the append must contain for the call.
func (s staged) records(state models.CellState, now models.UnixMilli) []models.Job {
	records := slices.Clone(s.jobs)
	for _, id := range s.call.Cancel {
		if job, ok := state.Jobs[id]; ok {
			records = append(records, job.Cancel(now))
		}
	}
	return records
}

// cancelsStagedJob reports whether a staged call cancels a job that another staged call submits.
// Such a call waits for the append after the submission's, so that its answer states what is
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

// commit starts an append of all dirty records and staged calls. At most one append is under way,
// and successive appends start at least the configured Append interval apart.
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

// beginAppend runs an append, or the settling of an earlier one, in a goroutine of its own.
func (o *Owner) beginAppend(ctx context.Context, change models.CellChange, write appendFunc) {
	o.appending, o.pendingChange = true, change
	appendContext, cancel := context.WithCancel(ctx)
	o.cancelAppend = cancel
	o.group.Go(func() { o.runAppend(ctx, appendContext, change, write) })
}

// appendFunc makes the first attempt of an append.
type appendFunc func(context.Context, models.CellChange) error

// settlePending continues the append that the previous owner handed over unsettled, if any.
func (o *Owner) settlePending(ctx context.Context) {
	change, ok := o.journal.PendingChange()
	if !ok {
		return
	}
	o.working.Apply(change) // the append is written in the end, or this owner is superseded
	o.unsettled = true
	o.beginAppend(ctx, change, func(ctx context.Context, _ models.CellChange) error { return o.journal.ResolvePending(ctx) })
}

// retryAppend is the interval between two attempts to settle an append.
const retryAppend = 200 * time.Millisecond

// runAppend writes one journal entry. While the outcome is unknown, it tries to settle the entry
// until the journal reports whether it was written, or appendContext is cancelled.
func (o *Owner) runAppend(ctx, appendContext context.Context, change models.CellChange, write appendFunc) {
	result := appendResultOf(write(appendContext, change))
	for {
		unsettled, ok := result.(appendUnknown)
		if !ok || appendContext.Err() != nil {
			break
		}
		if !o.send(ctx, unsettledMessage(unsettled)) {
			return
		}
		clock.Sleep(appendContext, retryAppend)
		result = appendResultOf(o.journal.ResolvePending(appendContext))
	}
	o.send(ctx, appendedMessage{change: change, result: result})
}

// appendResult is the outcome of an append. The set of types is closed and a value is exactly one
// of them, so that an unknown outcome is never taken for a failure.
type appendResult interface{ appendResult() }

type (
	appendDone       struct{}
	appendFailed     struct{ err error } // nothing was written
	appendSuperseded struct{ err error } // another daemon owns the cell
	appendUnknown    struct{ err error } // the entry may have been written, or may still be
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

// handleUnsettled answers all staged calls while the outcome of the append is unknown. Jobs that
// are part of the append get an unknown outcome; other new jobs are refused and will not run.
// The calls that are part of the append stay staged without a reply channel, so that their
// records are applied if the append turns out to be written.
func (o *Owner) handleUnsettled(m unsettledMessage) {
	o.recordStoreFailure(m.err)
	o.unsettled = true
	var sent []staged
	for _, s := range o.staged {
		o.answer(s, ErrStoreUnavailable)
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
		o.finishFreeze() // the successor settles the append; its outcome stays unknown here
		return
	}
	switch r := m.result.(type) {
	case appendDone:
		o.endAppend()
		o.applyAppended(m.change)
	case appendSuperseded:
		// An append of unknown outcome may have been written and its slot in the ring reused by
		// later entries, so pendingChange is kept and the outcome of its jobs stays unknown.
		if !o.unsettled {
			o.endAppend()
		}
		o.superseded = true
		o.answerStaged(ErrNotOwner)
	case appendFailed:
		o.endAppend()
		o.recordStoreFailure(r.err)
		o.answerStaged(ErrStoreUnavailable)
		o.restoreDirty(m.change)
		o.nextAppend = time.Now().Add(max(o.config.Settings.Append, retryAppend))
	case appendUnknown:
		// The append was cancelled because this owner ends. It stays recorded as under way, and
		// the outcome of its jobs stays unknown.
		o.recordStoreFailure(r.err)
	}
}

func (o *Owner) endAppend() {
	o.appending, o.unsettled, o.pendingChange = false, false, models.CellChange{}
}

func (o *Owner) applyAppended(change models.CellChange) {
	o.config.Scope.Counter("appends").Inc(1)
	o.cycledAt = time.Time{} // act on the journalled records at once
	o.journalled.Apply(change)
	o.sequence++
	o.applyStaged()
	o.runWaiters()
	// The store can be written again, so an adopted cell is now taken over in an epoch of its
	// own, whose offers no other daemon has seen.
	o.superseded = o.config.Adopted
}

// restoreDirty marks the records of a failed append as dirty again. Jobs of staged calls are left
// out: they were never part of the working state.
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

// applyStaged applies the staged calls of a successful append to the working state and answers them.
func (o *Owner) applyStaged() {
	if o.storeFails.Load() {
		o.config.Logger.Info("journal write succeeded again; new tasks start", zap.String("cell", string(o.config.Cell)))
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

// answerStaged answers the calls that were part of the append. cause tells why the append was not
// written; it is nil when the append was written.
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
