// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// A task may crash its worker unobserved: the owner is lost before it has stored the start, or is cut off from the
// worker. Nothing is stored before most starts, but a start that follows a run with an unknown outcome waits until
// that run is stored as possibly lost. So at most one run of each task is unknown to a successor, and that run counts
// as lost, without evidence:
//
//   - for all tasks that no worker reports after a takeover, when a worker that a previous owner used is lost
//     without an answer: the roster is written once for the whole cell, before any of these tasks starts;
//   - for a run whose start this owner did not observe, because the run was taken over from a previous owner or its
//     start was not answered;
//   - for a young run on a worker that was silent until its lease was over, or that has drained and left.
//
// Such losses are no evidence against a task by themselves, but they lower the evidence from observed losses that is
// needed to abandon the task (abandonThresholds).

// maxUnobservedEpochs is how many epochs with unobserved losses the roster names. More epochs would reach maxLosses.
const maxUnobservedEpochs = 4

// takeoverLosses are the takeovers at which runs may have been lost unobserved.
type takeoverLosses struct {
	epochs     []jobs.Epoch // of this owner and previous ones, as the roster names them
	workerLost bool         // a worker of a previous owner is lost without an answer
	unstored   bool         // this owner's epoch is one of epochs, which is not stored yet
}

// blocksStarts reports whether tasks of the job have to wait until this owner's epoch is stored among epochs. Tasks of a
// job that was accepted after the takeover were never on a previous owner's worker.
func (l *takeoverLosses) blocksStarts(j *job) bool { return l.unstored && !j.fresh }

// rosterStored records that a roster is stored.
func (l *takeoverLosses) rosterStored(roster *jobs.Roster) {
	if slices.Equal(roster.UnobservedEpochs, l.epochs) {
		l.unstored = false
	}
}

// recordLossWithoutAnswer records the loss of a worker that has not answered since the takeover. The loss of a worker
// that had announced that it would leave is no sign of a crash.
func (c *Core) recordLossWithoutAnswer(w *worker) {
	if w.inPreviousRoster && !w.answered && w.leavesAt.IsZero() {
		c.takeovers.workerLost = true
	}
}

// recordTakeoverLosses records, at the end of the recovery after a takeover, whether this epoch has unobserved losses:
// it has if a worker was lost without an answer.
func (c *Core) recordTakeoverLosses() {
	for _, w := range c.sortedWorkers {
		c.recordLossWithoutAnswer(w)
	}
	if !c.takeovers.workerLost {
		return
	}
	epochs := append(slices.Clone(c.takeovers.epochs), c.config.Epoch)
	c.takeovers.epochs = epochs[max(0, len(epochs)-maxUnobservedEpochs):]
	c.takeovers.unstored = true
	c.rosterChanged = true
}

// countTakeoverLoss counts an unobserved loss against a task that no worker has reported since the takeover. A run
// that was stored as unresolved is counted already, and a run that has lapsed was not lost with its worker.
func (c *Core) countTakeoverLoss(t *task) {
	if c.takeovers.workerLost && t.lossVersion == 0 && t.lapsedRun == 0 {
		t.unobservedAtTakeover++
	}
}

// retractLoss reverts the loss of a run that a worker reports now as running or ended. The loss of a run that
// mayRunTwice stays: the run may have been lost and be carried out a second time.
func (c *Core) retractLoss(t *task, run jobs.RunID) {
	if !t.suspicion.HasRun(run) || t.run == run && t.mayRunTwice() {
		return
	}
	t.suspicion = t.suspicion.WithoutRun(run)
	c.markTaskChanged(t)
	c.config.Logger.Info("run was not lost with its worker", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(run)),
		zap.Int("lost_before", len(t.suspicion.Lost)), zap.Int("unseen", t.unobservedLosses()))
}

// recordLapsedRun records, until the cell is recovered, that a worker reports a run as lapsed: if this is the task's
// latest run, no run of the task was lost at the takeover. An unknown later run is possible only if a previous owner
// had learned of this end, and then the worker would hardly report the end again.
func (c *Core) recordLapsedRun(t *task, run jobs.RunID) {
	if c.recovering && run >= t.latestKnownRun() {
		t.lapsedRun = run
	}
}

// latestKnownRun is the highest known number of a run of the task.
func (t *task) latestKnownRun() jobs.RunID {
	highest := t.run
	for _, lost := range t.suspicion.Lost {
		highest = max(highest, lost.Run)
	}
	for _, run := range t.suspicion.UnobservedRuns {
		highest = max(highest, run)
	}
	if t.suspicion.Unresolved != nil {
		highest = max(highest, t.suspicion.Unresolved.Run)
	}
	return highest
}

// restoreTakeoverLosses counts for each task of an occurrence the previous owners' takeovers with unobserved losses since
// the job was recorded, or since the task's losses were last counted or cleared.
func (c *Core) restoreTakeoverLosses(o *occurrence) {
	for _, s := range o.steps {
		for i := range s.tasks {
			t := &s.tasks[i]
			t.unobservedAtTakeover = c.takeovers.countSince(max(t.suspicion.UncountedSince(), jobs.Epoch(o.job.recordVersion)))
		}
	}
}

// countSince counts the epochs after the given one.
func (l *takeoverLosses) countSince(epoch jobs.Epoch) int {
	count := 0
	for _, each := range l.epochs {
		if each > epoch {
			count++
		}
	}
	return count
}

// suspicionForMove is the suspicion that is handed to another cell together with the task.
func (t *task) suspicionForMove() jobs.Suspicion {
	total := t.suspicion.Stored()
	total.Unobserved += t.unobservedAtTakeover
	return total
}

// storeSilentRuns stores the young runs on a worker that is about to be left out of the roster, because a successor
// will not know of the worker.
func (c *Core) storeSilentRuns(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if c.mayHaveCrashedWorker(w, t, now) && t.suspicion.Unresolved == nil {
			t.suspicion.Unresolved = &jobs.UnresolvedRun{LostRun: jobs.LostRun{Run: t.run}, Worker: w.info.ID, Born: w.info.Born, Unobserved: true}
			c.storeBeforeNextStart(t)
		}
	}
}

// countSilentRuns counts the runs that may have crashed their worker, where the loss itself is no evidence: the worker was
// silent until its lease was over, or left about when it had announced.
func (c *Core) countSilentRuns(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if c.mayHaveCrashedWorker(w, t, now) {
			c.countUnobservedRun(t, t.run)
		}
	}
}

// startUnobserved reports whether this owner does not know when a run that was lost with its worker began, and the run
// may have begun shortly before the loss: the run was taken over from a previous owner, or ordered without an answer
// when the worker did not answer other calls.
func (c *Core) startUnobserved(w *worker, t *task, now time.Time) bool {
	ran := w.lastAlive(now).Sub(t.startedAt)
	return !t.endHidden && (ran < 0 || !t.orderedHere && ran < maxTimeToCrash)
}

// mayHaveCrashedWorker reports whether a run had begun so shortly before its worker was last known to be alive that
// its task may have crashed the worker. A worker that left about when it had announced has probably not crashed, so that
// only very young runs count there, and those of tasks that have lost other runs.
func (c *Core) mayHaveCrashedWorker(w *worker, t *task, now time.Time) bool {
	ran, known := c.runtimeAtLoss(w, t, now)
	if w.leftAsAnnounced(now) && t.losses() == 0 {
		return known && ran < youngRunLimit
	}
	return known && ran < maxTimeToCrash
}

// mayRunTwice reports whether the run may have been lost with its worker's previous incarnation and also be carried
// out by the present one: its start was repeated, and either call may have been carried out.
func (t *task) mayRunTwice() bool { return t.fromPreviousIncarnation && t.startRepeated }

// countUnobservedRun counts a run that may have been lost against its task, each run once.
func (c *Core) countUnobservedRun(t *task, run jobs.RunID) {
	if t.isOver() || t.suspicion.HasRun(run) && !t.mayRunTwice() {
		return
	}
	t.suspicion.Unobserved++
	t.suspicion.UnobservedRuns = append(t.suspicion.UnobservedRuns, run)
	c.counts.LostUnseen++
	c.storeBeforeNextStart(t)
	c.config.Logger.Info("run may be lost with its worker", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(run)),
		zap.Int("lost_before", len(t.suspicion.Lost)), zap.Int("unseen", t.unobservedLosses()))
	c.queueVerdict(t)
}
