// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// recordEnd applies one ended run of a report.
func (c *Core) recordEnd(w *worker, ended jobs.Ended, now time.Time) {
	w.lastEnd = ended.Number
	t := c.find(ended.Task)
	if t == nil {
		w.retainEnd(ended.Number, nil)
		return
	}
	c.retractLoss(t, ended.Run)
	if !t.step.opened {
		c.inferDone(t)
	}
	var result checkpointResult
	if ended.Checkpoint != "" {
		result = c.keepCheckpoint(t, savedCheckpoint{text: ended.Checkpoint, run: ended.Run, worker: w.info.ID, row: checkpointRow(ended.How), at: now})
	}
	c.applyEnd(w, t, ended, now)
	w.retainEnd(ended.Number, t.step.job)
	c.logEnd(w, t, ended, result, now)
}

// applyEnd updates the task, its worker and the totals by how a run ended.
func (c *Core) applyEnd(w *worker, t *task, ended jobs.Ended, now time.Time) {
	current := t.worker == w && t.run == ended.Run
	switch ended.How {
	case jobs.EndSucceeded:
		c.counts.Succeeded++
		w.failedJobs = w.failedJobs[:0]
		c.markSucceeded(t, current, now)
	case jobs.EndFailed:
		c.counts.Failed++
		w.recordFailure(t.step.job, now)
		c.countFailure(t, ended.Run)
	case jobs.EndLapsed:
		c.counts.Lapsed++
		c.recordLapsedRun(t, ended.Run)
	default:
		c.counts.Stopped++
	}
	if current && t.state != taskDone {
		c.requeue(t)
	}
}

// retainEnd records an end that the worker must not forget before its job's progress is stored. Without a job,
// or with nothing left to store, the worker may forget the end at once.
func (w *worker) retainEnd(number uint64, j *job) {
	end := unacknowledgedEnd{number: number}
	if j != nil && j.version > j.storedVersion {
		end.job, end.version = j, j.version
	}
	w.ends = append(w.ends, end)
}

// logEnd logs how a run ended, and whether its checkpoint was taken.
func (c *Core) logEnd(w *worker, t *task, ended jobs.Ended, result checkpointResult, now time.Time) {
	fields := []zap.Field{
		zap.Stringer("task", ended.Task), zap.Uint64("run", uint64(ended.Run)), zap.String("how", string(ended.How)),
		zap.String("worker", string(w.info.ID)), zap.Int("failures", len(t.failures)),
	}
	if t.run == ended.Run && !t.startedAt.IsZero() {
		fields = append(fields, zap.Int64("ran_ms", now.Sub(t.startedAt).Milliseconds()))
	}
	if result != "" {
		fields = append(fields, zap.Stringer("saved", checkpointDigest(ended.Checkpoint)), zap.String("saved_fate", string(result)))
	}
	c.config.Logger.Info("run ended", fields...)
}

// markSucceeded marks a task as done. Long-running tasks are run again however they end.
func (c *Core) markSucceeded(t *task, current bool, now time.Time) {
	if t.step.spec.LongRunning || t.state == taskDone {
		return
	}
	switch {
	case t.worker != nil && !current:
		// A later run is under way although an earlier one has succeeded.
		c.stopStray(t.worker, jobs.Run{Task: t.id(), Run: t.run}, now)
		c.unassign(t)
	case t.worker != nil:
		if t.standby {
			t.step.countBriefRun()
		}
		c.unassign(t)
	case t.state == taskWaiting:
		t.step.waiting--
	}
	delete(c.stopping, t)
	c.finishTask(t)
	c.markTaskChanged(t)
	if t.step.done == len(t.step.tasks) {
		c.openSteps(t.step.occurrence, now)
	}
	c.endIfDone(t.step.job)
}

// countFailure counts a failed run, and fails the job when its task has no attempts left.
func (c *Core) countFailure(t *task, run jobs.RunID) {
	if t.step.spec.LongRunning || t.state == taskDone || t.step.job.end != "" || slices.Contains(t.failures, run) {
		return
	}
	j := t.step.job
	t.failures = append(t.failures, run)
	c.markTaskChanged(t)
	if len(t.failures) >= c.maxAttempts(j) && j.end == "" && !j.cancelled {
		c.endJob(j, jobs.StateFailed)
		c.stopJob(j, "its job has failed")
	}
}

// maxAttempts returns after how many failed runs of a task its job fails.
func (c *Core) maxAttempts(j *job) int { return max(1, c.terms(j).MaxAttempts) }
