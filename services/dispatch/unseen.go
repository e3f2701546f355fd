// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// A task that ends its workers may do so while nobody sees it: its owner goes before it has stored
// the start, or is cut off from the worker. Nothing is stored before most starts, but before a start
// that follows one whose outcome is not known. So of each task at most one run is unknown to a
// successor, and it counts as lost, without weight,
//
//   - for all tasks that no worker shows after a takeover, when a worker that a former owner used
//     has gone without an answer: one write of the roster for the whole cell, before any of them
//     starts;
//   - for a run whose begin nobody has seen, taken over from a former owner or ordered without answer;
//   - for a young run on a worker that was silent until its lease was over, or that has drained.
//
// Such losses say nothing against a task by themselves. They count where those that were seen are
// weighed: the more runs may have been lost, the less is needed to give the task up.

// maxUnobservedEpochs is how many epochs with unseen losses the roster names. With more there would be as
// many as a task may lose runs at all.
const maxUnobservedEpochs = 4

// takeoverLosses are the takeovers at which runs may have been lost unseen.
type takeoverLosses struct {
	epochs     []jobs.Epoch // of this owner and former ones, as the roster names them
	workerLost bool         // a worker of a former owner has gone without an answer
	unstored   bool         // that this owner's epoch is one of them is not stored yet
}

// bars tells whether tasks of the job have to wait until the store knows of this takeover. Those of
// a job that was accepted since were never on a former owner's worker.
func (l *takeoverLosses) bars(j *job) bool { return l.unstored && !j.fresh }

// stored says that a roster is stored.
func (l *takeoverLosses) stored(roster *jobs.Roster) {
	if slices.Equal(roster.Unseen, l.epochs) {
		l.unstored = false
	}
}

// recordUnheardLoss notes that a worker is gone. One that said before that it would leave says nothing.
func (c *Core) recordUnheardLoss(w *worker) {
	if w.former && !w.answered && w.leaves.IsZero() {
		c.takeovers.workerLost = true
	}
}

// recordTakeoverLosses ends the time after a takeover: if a worker has gone unheard, this epoch is one with
// unseen losses.
func (c *Core) recordTakeoverLosses() {
	for _, w := range c.order {
		c.recordUnheardLoss(w)
	}
	if !c.takeovers.workerLost {
		return
	}
	epochs := append(slices.Clone(c.takeovers.epochs), c.config.Epoch)
	c.takeovers.epochs = epochs[max(0, len(epochs)-maxUnobservedEpochs):]
	c.takeovers.unstored = true
	c.rosterChanged = true
}

// countTakeoverLoss counts a run against a task that no worker has shown since the takeover. One that was
// stored as open is counted already, and one that has lapsed was not lost with its worker.
func (c *Core) countTakeoverLoss(t *task) {
	if c.takeovers.workerLost && t.counted == 0 && t.lapsed == 0 {
		t.unseen++
	}
}

// noteShown takes back what was counted for a run that a worker shows now, running or ended: it was not lost.
// One whose start was repeated may be carried out a second time.
func (c *Core) noteShown(t *task, run jobs.RunID) {
	if !t.suspicion.Has(run) || t.run == run && t.mayRunTwice() {
		return
	}
	t.suspicion = t.suspicion.Without(run)
	c.change(t.step.job)
	c.config.Logger.Info("run was not lost with its worker", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(run)),
		zap.Int("lost_before", len(t.suspicion.Lost)), zap.Int("unseen", t.unobservedLosses()))
}

// noteLapsed notes before the cell is recovered that a run has lapsed, on a worker that is there: if it is the
// task's latest, none was lost at the takeover. A later one that is not known is possible only if a former owner
// has heard of this end, which would then hardly come again.
func (c *Core) noteLapsed(t *task, run jobs.RunID) {
	if c.blind && run >= t.latestKnownRun() {
		t.lapsed = run
	}
}

// latestKnownRun is the highest number of a run of the task that is known.
func (t *task) latestKnownRun() jobs.RunID {
	latest := t.run
	for _, lost := range t.suspicion.Lost {
		latest = max(latest, lost.Run)
	}
	for _, run := range t.suspicion.UnseenRuns {
		latest = max(latest, run)
	}
	if t.suspicion.Open != nil {
		latest = max(latest, t.suspicion.Open.Run)
	}
	return latest
}

// applyUnseen counts the takeovers of former owners that a job has been through.
func (c *Core) applyUnseen(j *job, record jobs.Record) {
	for _, s := range j.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			t.unseen = c.takeovers.countSince(max(t.suspicion.Since(), jobs.Epoch(record.Version)))
		}
	}
}

// countSince counts the epochs after one.
func (l *takeoverLosses) countSince(epoch jobs.Epoch) int {
	count := 0
	for _, each := range l.epochs {
		if each > epoch {
			count++
		}
	}
	return count
}

// knownElsewhere is what another cell is told of a task.
func (t *task) knownElsewhere() jobs.Suspicion {
	known := t.suspicion
	known.Unseen += t.unseen
	return known
}

// storeSilentRuns stores the young runs on a worker that the roster is about to leave out, for a
// successor that finds no trace of it.
func (c *Core) storeSilentRuns(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if c.mayHaveCrashedWorker(w, t, now) && t.suspicion.Open == nil {
			t.suspicion.Open = &jobs.OpenRun{LostRun: jobs.LostRun{Run: t.run}, Worker: w.info.ID, Born: w.info.Born, Unseen: true}
			c.storeBeforeNextStart(t)
		}
	}
}

// countSilentRuns counts the young runs on a worker whose lease is over: it may have crashed.
func (c *Core) countSilentRuns(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if c.mayHaveCrashedWorker(w, t, now) {
			c.countUnobservedRun(t, t.run)
		}
	}
}

// leftEarly tells whether a draining worker went before the time that it had said.
func (w *worker) leftEarly(now time.Time) bool {
	return w.lastAlive(now).Before(w.leaves.Add(-leaveMargin))
}

// countRunsOnLeftWorker counts runs on a worker that has drained and left, if they are of tasks that have lost
// others, or very young: it went about when it had said, whatever ran there.
func (c *Core) countRunsOnLeftWorker(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if ran, known := c.runtimeAtLoss(w, t, now); known && (ran < youngRunLimit || ran < maxTimeToCrash && t.losses() > 0) {
			c.countUnobservedRun(t, t.run)
		}
	}
}

// startUnobserved tells whether nobody knows when a run began that was lost with its worker, while it may
// have been shortly before: it was taken over from a former owner, or ordered without an answer
// when the worker did not answer other calls.
func (c *Core) startUnobserved(w *worker, t *task, now time.Time) bool {
	ran := w.lastAlive(now).Sub(t.began)
	return ran < 0 || !t.ordered && ran < maxTimeToCrash
}

// mayHaveCrashedWorker tells whether a run had begun so shortly before its worker was last known to be alive that
// its task may have ended the worker.
func (c *Core) mayHaveCrashedWorker(w *worker, t *task, now time.Time) bool {
	ran, known := c.runtimeAtLoss(w, t, now)
	return known && ran < maxTimeToCrash
}

// mayRunTwice tells whether the run may have been lost with its worker's former incarnation and be carried out by this
// one as well: its start was repeated, and either call may have been done.
func (t *task) mayRunTwice() bool { return t.barred && t.retried }

// countUnobservedRun counts a run against its task that may have been lost, once.
func (c *Core) countUnobservedRun(t *task, run jobs.RunID) {
	if t.isOver() || t.suspicion.Has(run) && !t.mayRunTwice() {
		return
	}
	t.suspicion.Unseen++
	t.suspicion.UnseenRuns = append(t.suspicion.UnseenRuns, run)
	c.counts.LostUnseen++
	c.storeBeforeNextStart(t)
	c.config.Logger.Info("run may be lost with its worker", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(run)),
		zap.Int("lost_before", len(t.suspicion.Lost)), zap.Int("unseen", t.unobservedLosses()))
	c.queueVerdict(t)
}
