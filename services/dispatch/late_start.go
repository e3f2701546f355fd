// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"maps"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// A start without answer may still be carried out, by whichever incarnation has the worker's id then. An incarnation
// that has been called refuses it; one that has not been called yet carries it out. So the owner calls the next
// incarnation of such a worker as soon as there is one. In addition, a task whose worker has restarted starts again
// under the same id where possible, because one incarnation does not run a task twice.

// recordLateStart records that the start of a task has no answer and may still be carried out under the worker's id.
func (c *Core) recordLateStart(t *task, id jobs.WorkerID) {
	c.lateStartsUntil[id] = latest(c.lateStartsUntil[id], t.startSentAt.Add(maxOrderDelay))
}

// MayCarryOutLateStart reports whether a start without answer may still be carried out by an incarnation of the worker
// that has not been called yet.
func (c *Core) MayCarryOutLateStart(id jobs.WorkerID, now time.Time) bool {
	return now.Before(c.lateStartsUntil[id])
}

// WorkersWithLateStarts returns the number of workers whose next incarnations may carry out late starts.
func (c *Core) WorkersWithLateStarts() int { return len(c.lateStartsUntil) }

// forgetLateStarts forgets the starts that are too old to be carried out.
func (c *Core) forgetLateStarts(now time.Time) {
	maps.DeleteFunc(c.lateStartsUntil, func(_ jobs.WorkerID, until time.Time) bool { return !now.Before(until) })
}

// lateStart is a start of a task without answer, sent to a previous incarnation of a worker.
type lateStart struct {
	worker jobs.WorkerID
	until  time.Time // when it can no longer be carried out; zero: there is none
	// lostAgain: a run of the task was lost with the worker since. If the task started there again and again, it would
	// count as the cause of the worker's restarts, and its job would fail.
	lostAgain bool
}

// bindToLateStart makes a task start again under the id of the worker whose next incarnation may carry out its start.
func (t *task) bindToLateStart(id jobs.WorkerID) {
	if t.step.spec.AllowDuplicates {
		return
	}
	if t.lateStart.worker != id {
		t.lateStart = lateStart{worker: id}
	}
	t.lateStart.until = t.startSentAt.Add(maxOrderDelay)
}

// recordLoss records that a run of the task was lost with a worker.
func (l *lateStart) recordLoss(id jobs.WorkerID) {
	if l.worker == id {
		l.lostAgain = true
	}
}

// leaveLateStartWorker lets a task start on any worker from now on: the worker of its late start has not taken it, or it
// starts elsewhere.
func (t *task) leaveLateStartWorker() { t.lateStart = lateStart{} }

// A task waits for the worker where its start may still be carried out until that worker gets starts, or for one of these
// times at most. A new incarnation gets starts when the list and the stored roster name it.
const (
	// maxRosterWait is usually enough for an incarnation that the list names or is about to name.
	maxRosterWait = 400 * time.Millisecond
	// maxStaleEntryWait applies while the list names another incarnation of the worker, so that the entry of the present
	// one is still to come. Together with the time until a restart is noticed, it is shorter than a task may wait beside
	// free workers.
	maxStaleEntryWait = 4 * time.Second
)

// awaitsLateStartWorker reports whether a waiting task may start only on the worker where its earlier start may still be
// carried out, and returns that worker.
func (c *Core) awaitsLateStartWorker(t *task, now time.Time) (*worker, bool) {
	if !now.Before(t.lateStart.until) || t.lateStart.lostAgain {
		return nil, false
	}
	w := c.workers[t.lateStart.worker]
	if w == nil || w.closedToStarts() || !c.fits(w, t.step) {
		return nil, false
	}
	entryIsDue := w.otherEntry != nil || now.Sub(latest(t.waitingSince, w.incarnationSince)) < maxRosterWait
	return w, entryIsDue && now.Sub(t.waitingSince) < maxStaleEntryWait
}

// placeAtLateStarts starts waiting tasks of the step, other than suspects, where their earlier starts may still be carried
// out.
func (c *Core) placeAtLateStarts(s *step, now time.Time) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if c.startsLeft <= 0 || !t.isOrdinary() {
			continue
		}
		w, only := c.awaitsLateStartWorker(t, now)
		if !only {
			continue
		}
		if !c.mayTake(w, s, now) || s.spec.LongRunning && !c.leavesCapacity(t, now) {
			s.backoff = now.Add(scanBackoff)
			continue
		}
		s.stuckSince = time.Time{}
		c.startTask(t, w, now)
	}
}
