// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// Reported applies a worker's report; sent is when the call that the report answers was sent. Reported returns whether
// something has changed that calls for a Decide at once.
func (c *Core) Reported(id jobs.WorkerID, sent time.Time, report jobs.Report, now time.Time) bool {
	w, ok := c.workers[id]
	if !ok {
		return false // the worker was dropped in the meantime
	}
	w, isLatest := c.reportingIncarnation(w, sent, report, now)
	if !isLatest {
		c.discardReport(w, report)
		return false
	}
	w.reportDiscarded = false
	c.now = now
	first := !w.answered
	if w.retired && !(w.info.Draining && w.isVacant()) {
		c.setRetired(w, false)
	}
	c.recordFirstAnswer(w)
	w.beginReport(report, sent, now)
	if first && w.inPreviousRoster {
		// The worker refuses calls of previous owners from now on, but a lease that they granted remains valid.
		w.leaseEnd = max(w.leaseEnd, report.Clock+models.MilliOf(c.previousLease))
	}
	if first {
		c.updateFenced(now)
	}
	newEnds := c.applyRows(w, report, now)
	c.noteHiddenEnds(w, report)
	c.releaseMissingRuns(w, sent)
	w.forgetStrays(sent)
	if !w.endsHidden && !w.endsKnown {
		w.endsKnown = true
		c.resolveRuns(w)
		c.tryRecover(now)
	}
	c.learn(w, now)
	c.recordChange(w)
	return first || newEnds || w.maxExcess > shownMargin
}

// discardReport counts a report that is not applied, and logs the first one of a series.
func (c *Core) discardReport(w *worker, report jobs.Report) {
	c.counts.ReportsPassedOver++
	if w.reportDiscarded {
		return
	}
	w.reportDiscarded = true
	c.config.Logger.Warn("report is discarded, because a later report was applied before", zap.String("worker", string(w.info.ID)),
		zap.Int64("clock", int64(report.Clock)), zap.Int64("of_the_later", int64(w.reportClock)),
		zap.Int64("born", int64(report.Born)), zap.Int64("born_of_the_later", int64(w.info.Born)),
		zap.Int("running", len(report.Running)), zap.Int("ended", len(report.Ended)))
}

// applyRows applies the report's running and ended runs, and returns whether it shows new ends.
func (c *Core) applyRows(w *worker, report jobs.Report, now time.Time) (newEnds bool) {
	for _, run := range report.Running {
		c.applyRunning(w, run, now)
	}
	for _, ended := range report.Ended {
		if ended.Number > w.lastEnd {
			c.recordEnd(w, ended, now)
			newEnds = true
		}
	}
	return newEnds
}

// beginReport records that the worker has answered.
func (w *worker) beginReport(report jobs.Report, sent, now time.Time) {
	w.answered, w.overdue, w.unansweredSince, w.youngRunsStored = true, false, time.Time{}, false
	w.reportUrgent = false
	w.renewed = w.renewing
	w.reportAskedAt, w.reportedAt, w.reportClock = sent, now, report.Clock
	w.reportCount++
	w.clearStraysSeen()
}

// applyRunning applies one running run of a report.
func (c *Core) applyRunning(w *worker, run jobs.Run, now time.Time) {
	t := c.find(run.Task)
	if t != nil {
		c.retractLoss(t, run.Run)
	}
	switch {
	case t == nil || t.state == taskDone || t.state == taskMoving:
		c.stopStray(w, run, now)
		return
	case t.worker == nil:
		c.adopt(w, t, run)
	case t.worker != w || t.run != run.Run:
		c.stopStray(w, run, now)
		return
	}
	t.lastReport, t.endHidden = w.reportCount, false
	if now.Sub(t.startedAt) >= seenRun {
		t.lastRunAt = now
	}
	t.figure = run.Figure
	c.checkPace(w, t, now)
	c.sampleSpeed(w, t, run.Progress, now)
	if run.Checkpoint != "" {
		c.keepCheckpoint(t, savedCheckpoint{text: run.Checkpoint, run: run.Run, worker: w.info.ID, row: rowRunning, at: now})
	}
	if t.state == taskStarting {
		c.confirmRunning(t, now)
	}
	if t.confirmed {
		t.step.job.runSpan.show(now)
	}
	c.recordSurvival(w, t, now)
	if t.step.job.cancelled || t.step.job.end != "" {
		c.stop(t, "its job has ended")
	}
}

// adopt assigns a reported run to its task: a previous owner started the run, or the run was assumed not to exist.
func (c *Core) adopt(w *worker, t *task, run jobs.Run) {
	if t.state == taskWaiting {
		t.step.waiting--
	}
	t.state, t.confirmed = taskRunning, true
	t.trialWait = trialWait{}
	t.run = run.Run
	t.orderedHere = false
	t.answeredAt = c.now
	t.startedAt = c.now
	t.pace, t.paceUncertain = inferPace(t.step.spec, run.Figure), false
	t.pacedAt = c.now
	t.step.job.running++
	t.step.job.waitedElsewhere = 0
	t.step.job.runSpan.begin(c.now)
	t.step.job.begun = true
	w.add(t)
	c.recordChange(w)
	if t.step.spec.Filler && t.pace == 0 && !t.suspected() {
		c.beginStandby(t) // the figure of a run that has just begun shows nothing, so it may work
	}
	if t.suspected() {
		w.beginTrial(t)
	}
	c.inferDone(t)
}

// inferDone marks all steps as done on which a task depends that runs or has run: their ends may be known only to a
// previous owner. It opens the steps that have waited for these, its own too, once their time is due: a later report of such
// an end changes nothing any more.
func (c *Core) inferDone(t *task) {
	c.inferEarlierDone(t.step)
	c.openSteps(t.step.occurrence, c.now)
}

// inferEarlierDone marks the steps on which a step depends as done. Where that shows an end that was not known, the
// ends before it may not be known either.
func (c *Core) inferEarlierDone(s *step) {
	for _, earlier := range s.predecessors() {
		if c.inferStepDone(earlier) {
			c.inferEarlierDone(earlier)
		}
	}
}

// inferStepDone marks the tasks of a step as done that are on no worker, and returns whether there were any.
func (c *Core) inferStepDone(s *step) bool {
	inferred := false
	for i := range s.tasks {
		t := &s.tasks[i]
		switch t.state {
		case taskWaiting:
			s.waiting--
		case taskUnknown:
		default:
			continue
		}
		c.finishTask(t)
		c.markTaskChanged(t)
		inferred = true
	}
	return inferred
}

// promptAnswer is how soon after a start its answer must arrive for the answer to show when the run began. After a
// later answer, or after a report that shows the run before any answer, it is only known that the run began after the
// start was ordered.
const promptAnswer = 200 * time.Millisecond

// confirmRunning records that a run is under way.
func (c *Core) confirmRunning(t *task, now time.Time) {
	t.step.job.waitedElsewhere = 0
	t.step.job.runSpan.begin(now)
	t.state, t.confirmed = taskRunning, true
	t.answeredAt = now
	if now.Sub(t.startedAt) <= promptAnswer {
		t.startedAt = now
	}
	t.step.job.begun = true
}
