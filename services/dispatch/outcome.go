// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// Started applies the outcome of a start.
func (c *Core) Started(order StartOrder, result Result, now time.Time) {
	if result.Outcome == OutcomeOtherIncarnation {
		c.retractRun(order, now)
	}
	if c.overtaken(order.Worker, order.Call.Fence, result, now) {
		return
	}
	t := c.find(order.Call.Task)
	w := c.workers[order.Worker.ID]
	if t == nil || w == nil || t.worker != w || t.run != order.Call.Run || t.state != taskStarting {
		return
	}
	if result.Outcome == OutcomeNotSent {
		c.handleUnsent(t)
		return
	}
	outcomeKnown := result.Outcome == OutcomeDone || result.Outcome == OutcomeRefused && result.Refusal == jobs.RefusedStaleRun
	if t.startRepeated && !outcomeKnown {
		t.leaveLateStartWorker()
		w.avoidUntil = latest(w.avoidUntil, now.Add(avoidPause))
		c.stop(t, "its first start has no answer, and the second was not carried out")
		return
	}
	switch result.Outcome {
	case OutcomeDone:
		t.startUnanswered = t.startRepeated // if repeated, the first start still has no answer
		c.repeats.earn()
		c.confirmRunning(t, now)
		w.unansweredSince = time.Time{} // the answer shows that it is alive
	case OutcomeUnknown:
		c.handleUnanswered(t, order, now)
	case OutcomeNotDone, OutcomeUnreached:
		w.noStartsUntil = now.Add(notDonePause)
		c.requeueUnstarted(t)
	default:
		c.handleRefused(t, w, result.Refusal, now)
	}
}

// retractRun withdraws a run whose only start was answered by another incarnation of its worker, which did not carry out
// the start: the run was not lost with the previous incarnation, and need not be barred.
func (c *Core) retractRun(order StartOrder, now time.Time) {
	c.now = now
	t := c.find(order.Call.Task)
	if t == nil || t.run != order.Call.Run || t.startRepeated || c.superseded {
		return
	}
	t.chanceLosses = slices.DeleteFunc(t.chanceLosses, func(lost jobs.LostRun) bool { return lost.Run == t.run })
	if t.suspicion.HasRun(t.run) {
		t.suspicion = t.suspicion.WithoutRun(t.run)
		c.markTaskChanged(t)
	}
	if t.state == taskStarting || t.state == taskStopping && t.fromPreviousIncarnation {
		c.requeueUnstarted(t)
	}
}

// handleUnsent returns a task whose start was not sent to waiting. If the unsent start was a repetition, the run
// is barred, because the first start may have been carried out.
func (c *Core) handleUnsent(t *task) {
	if t.startRepeated {
		c.stop(t, "its first start has no answer, and the second was not sent")
		return
	}
	c.requeueUnstarted(t)
}

// Pauses after which a worker or a step is tried again.
const (
	notDonePause = 700 * time.Millisecond // the worker answered that it did nothing, because it is not well
	fullPause    = 300 * time.Millisecond // the worker has less free capacity, or a later clock, than assumed
	stepPause    = time.Second            // the start was refused for any other reason
	// avoidPause is how long all other workers are preferred to one that reports but has not answered a start
	// twice. Without it, the task was placed on that worker again and again, beside idle workers. The pause is
	// longer than the stop that has to be proved first.
	avoidPause = 4 * time.Second
	// refusedAvoidPause is the same for a worker that has refused a start for any other reason. It is many times
	// stepPause, so that a task passes over many such workers before the first of them is tried again.
	refusedAvoidPause = 30 * time.Second
)

// handleRefused decides when and where a task may start again after a refused start.
func (c *Core) handleRefused(t *task, w *worker, reason jobs.Refusal, now time.Time) {
	c.counts.Refused++
	c.config.Logger.Info("start refused", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.String("reason", string(reason)))
	switch reason {
	case jobs.RefusedStaleRun: // the run is on the worker or has ended; the next report says which
		t.answeredAt = now
		return
	case jobs.RefusedCapacity, jobs.RefusedLate: // the next start would be refused as well until the worker reports again
		w.noStartsUntil = now.Add(fullPause)
	default: // the fault may be the job's, or that of the worker, which stays the best for the task while it runs nothing
		t.step.backoff = now.Add(stepPause)
		w.avoidUntil = now.Add(refusedAvoidPause)
	}
	t.leaveLateStartWorker()
	c.requeueUnstarted(t)
}

// handleUnanswered repeats an unanswered start once; after that, the run is barred.
func (c *Core) handleUnanswered(t *task, order StartOrder, now time.Time) {
	c.counts.Unanswered++
	c.recordLateStart(t, order.Worker.ID)
	mayRepeat := !t.startRepeated && now.Sub(t.worker.reportedAt) < silentAfter && !t.worker.closedToStarts() && !t.step.job.cancelled && c.mayStart()
	if mayRepeat && c.repeats.take() {
		t.startRepeated = true
		t.orderedAt, t.startSentAt = now, now
		c.orders = append(c.orders, order)
		return
	}
	c.stop(t, "its start has no answer")
}

// Stopped applies the outcome of a stop; the next report proves that it holds. A refused stop bars nothing, and
// an unanswered start may still be carried out, so the stop is ordered again, unless it was refused because the
// run has ended or is barred already.
func (c *Core) Stopped(order StopOrder, result Result, now time.Time) {
	if c.overtaken(order.Worker, order.Call.Fence, result, now) {
		return
	}
	t := c.find(order.Call.Task)
	if t == nil || t.worker == nil || t.worker.info.Incarnation().Differs(order.Worker.Incarnation()) || t.run != order.Call.Run || t.state != taskStopping {
		return
	}
	if result.Outcome == OutcomeDone || result.Outcome == OutcomeRefused && result.Refusal == jobs.RefusedStaleRun {
		t.answeredAt = now
	}
}

// Paced applies the outcome of a pace order.
func (c *Core) Paced(order PaceOrder, result Result, now time.Time) {
	c.now = now
	if c.overtaken(order.Worker, order.Call.Fence, result, now) {
		return
	}
	t := c.find(order.Call.Task)
	if t == nil || t.worker == nil || t.run != order.Call.Run || t.pace != order.Call.Pace {
		return // the run is over, or a newer pace has been ordered
	}
	switch result.Outcome {
	case OutcomeDone:
		t.paceUncertain = false
		return
	case OutcomeUnknown: // it may be in force, and must not stay so indefinitely
		t.pace = min(order.Before, order.Call.Pace)
		t.paceUncertain = true
	default: // an earlier order without an answer remains uncertain
		t.pace = order.Before // decided anew when the worker is next examined
	}
	c.recordChange(t.worker)
}

// overtaken reports whether the outcome shows no more than that a later owner has called the worker, or that another
// incarnation of the worker has answered, and records which.
func (c *Core) overtaken(worker jobs.Worker, fence jobs.Fence, result Result, now time.Time) bool {
	c.now = now
	if result.Outcome == OutcomeRefused && result.Refusal == jobs.RefusedFence {
		c.FenceRefused(worker.ID, fence)
		return true
	}
	if c.superseded {
		return true
	}
	if result.Outcome == OutcomeOtherIncarnation {
		c.OtherIncarnationAnswered(worker.Incarnation(), result.Born, now)
		return true
	}
	return false
}

// FenceRefused records that a worker has seen a higher fence than that of a call. That fence belongs to a later
// owner, unless this owner itself has given it to the worker's next incarnation.
func (c *Core) FenceRefused(id jobs.WorkerID, fence jobs.Fence) {
	if w, ok := c.workers[id]; ok && w.fence == fence {
		c.superseded = true
	}
}
