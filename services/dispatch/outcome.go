// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// Started takes the outcome of a start.
func (c *Core) Started(order StartOrder, result Result, now time.Time) {
	if result.Outcome == OutcomeIncarnation {
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
	known := result.Outcome == OutcomeDone || result.Outcome == OutcomeRefused && result.Refusal == jobs.RefusedRun
	if t.retried && !known {
		w.avoidUntil = now.Add(avoidPause)
		c.stop(t, "its first start is not answered, the second was not done")
		return
	}
	switch result.Outcome {
	case OutcomeDone:
		t.open = t.retried // the first start has no answer
		c.repeats.earn()
		c.confirm(t, now)
		w.failed = time.Time{} // it lives
	case OutcomeUnknown:
		c.handleUnanswered(t, order, now)
	case OutcomeNotDone, OutcomeUnreached:
		w.unwell = now.Add(notDonePause)
		c.wait(t)
	default:
		c.handleRefused(t, w, result.Refusal, now)
	}
}

// retractRun takes back a run whose only start has met another incarnation of its worker, which has done nothing
// of it: it was not lost with the former one, and need not be barred.
func (c *Core) retractRun(order StartOrder, now time.Time) {
	c.now = now
	t := c.find(order.Call.Task)
	if t == nil || t.run != order.Call.Run || t.retried || c.superseded {
		return
	}
	t.byChance = slices.DeleteFunc(t.byChance, func(lost jobs.LostRun) bool { return lost.Run == t.run })
	if t.suspicion.Has(t.run) {
		t.suspicion = t.suspicion.Without(t.run)
		c.change(t.step.job)
	}
	if t.state == taskStarting || t.state == taskStopping && t.barred {
		c.wait(t)
	}
}

// handleUnsent lets a task whose start was not sent wait again; a repetition of a start that may be
// done is barred.
func (c *Core) handleUnsent(t *task) {
	if t.retried {
		c.stop(t, "its first start is not answered, the second was not sent")
		return
	}
	c.wait(t)
}

// Pauses after which a worker or a step is tried again.
const (
	notDonePause = 700 * time.Millisecond // the worker did nothing because it is not well
	fullPause    = 300 * time.Millisecond // the worker has less room, or a later clock, than counted
	stepPause    = time.Second            // the start was refused for a reason of its own
	// avoidPause is for how long all others go before a worker that has not answered a start twice,
	// though it reports: its task was placed there again and again, beside idle workers. It is longer
	// than the stop that has to be proved first.
	avoidPause = 4 * time.Second
)

// handleRefused draws from a refused start when and where the task may start again.
func (c *Core) handleRefused(t *task, w *worker, reason jobs.Refusal, now time.Time) {
	c.counts.Refused++
	c.config.Logger.Info("start refused", zap.Stringer("task", t.id()), zap.Uint64("run", uint64(t.run)),
		zap.String("worker", string(w.info.ID)), zap.String("reason", string(reason)))
	switch reason {
	case jobs.RefusedRun: // it is there or has ended; the next report says which
		t.answeredAt = now
		return
	case jobs.RefusedRoom, jobs.RefusedLate: // with what is known of the worker, the next start would be refused as well
		w.unwell = now.Add(fullPause)
	default:
		t.step.backoff = now.Add(stepPause)
	}
	c.wait(t)
}

// handleUnanswered repeats a start that got no answer once; after that the run is barred.
func (c *Core) handleUnanswered(t *task, order StartOrder, now time.Time) {
	c.counts.Unanswered++
	mayRepeat := !t.retried && now.Sub(t.worker.heard) < silentAfter && !t.step.job.cancelled && c.mayStart()
	if mayRepeat && c.repeats.take() {
		t.retried = true
		t.orderedAt, t.startSentAt = now, now
		c.orders = append(c.orders, order)
		return
	}
	c.stop(t, "its start is not answered")
}

// Stopped takes the outcome of a stop. The next report proves what it says. A stop that was
// refused bars nothing, and a start without answer may still be done: it is ordered again,
// unless it was refused because the run has ended or is barred already.
func (c *Core) Stopped(order StopOrder, result Result, now time.Time) {
	if c.overtaken(order.Worker, order.Call.Fence, result, now) {
		return
	}
	t := c.find(order.Call.Task)
	if t == nil || t.worker == nil || t.worker.info.Incarnation().Differs(order.Worker.Incarnation()) || t.run != order.Call.Run || t.state != taskStopping {
		return
	}
	if result.Outcome == OutcomeDone || result.Outcome == OutcomeRefused && result.Refusal == jobs.RefusedRun {
		t.answeredAt = now
	}
}

// Paced takes the outcome of a throttling order.
func (c *Core) Paced(order PaceOrder, result Result, now time.Time) {
	c.now = now
	if c.overtaken(order.Worker, order.Call.Fence, result, now) {
		return
	}
	t := c.find(order.Call.Task)
	if t == nil || t.worker == nil || t.run != order.Call.Run || t.pace != order.Call.Pace {
		return // its run is over, or a newer order has been given
	}
	switch result.Outcome {
	case OutcomeDone:
		t.paceUncertain = false
		return
	case OutcomeUnknown: // it may be in force, and must not stay so for ever
		t.pace = min(order.Before, order.Call.Pace)
		t.paceUncertain = true
	default: // that of an earlier order without answer stays open
		t.pace = order.Before // the next look decides anew
	}
	t.worker.expectedValid = false
}

// overtaken tells whether an outcome says no more than that a later owner, or another
// incarnation of the worker, is there; both are noted.
func (c *Core) overtaken(worker jobs.Worker, fence jobs.Fence, result Result, now time.Time) bool {
	c.now = now
	if result.Outcome == OutcomeRefused && result.Refusal == jobs.RefusedFence {
		c.FenceRefused(worker.ID, fence)
		return true
	}
	if c.superseded {
		return true
	}
	if result.Outcome == OutcomeIncarnation {
		c.OtherAnswers(worker.Incarnation(), result.Born, now)
		return true
	}
	return false
}

// FenceRefused says that a worker has seen a higher fence than that of a call. It is a later owner's,
// unless this one has given the worker's next incarnation a higher one itself.
func (c *Core) FenceRefused(id jobs.WorkerID, fence jobs.Fence) {
	if w, ok := c.workers[id]; ok && w.fence == fence {
		c.superseded = true
	}
}
