// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// expireWorkers takes silent workers out of the roster once their leases are over. When that
// is stored, nobody else has prolonged them: what ran there may start elsewhere, and those
// that are not listed any more are dropped.
func (c *Core) expireWorkers(now time.Time) {
	for _, w := range slices.Clone(c.order) {
		if now.Sub(w.heard) <= silentAfter || now.Before(c.lapsed(w)) {
			continue
		}
		switch {
		case !w.retired:
			c.storeSilentRuns(w, now)
			c.setRetired(w, true)
		case !c.hasLapsed(w):
		case !w.listed:
			c.removeWorker(w, "gone and lapsed", now)
		case len(w.tasks) > 0:
			c.config.Logger.Warn("silent worker's tasks have lapsed", zap.String("worker", string(w.info.ID)), zap.Int("tasks", len(w.tasks)))
			c.countSilentRuns(w, now)
			c.requeueTasks(w)
			c.judge(now)
		}
	}
	c.checkBlind(now)
}

// hasLapsed tells whether everything on the worker has certainly been ended by its own
// clock: the lease that was granted is over, and at a later time no other owner had granted
// another.
func (c *Core) hasLapsed(w *worker) bool { return c.proved.After(c.lapsed(w)) }

// setRetired leaves a silent worker that certainly runs nothing out of the roster, so that
// the next owner needn't wait for it, or takes one that has answered into it again. Either
// way it gets no starts until a roster is stored that names it: one that is being stored now
// may be older.
func (c *Core) setRetired(w *worker, retired bool) {
	w.retired = retired
	w.enrolled = false
	c.rosterChanged = true
}

// leaveMargin is how much earlier than said a draining worker counts as gone, when it is
// neither in the list nor reached.
const leaveMargin = 300 * time.Millisecond

// maxRelistDelay is when a worker that lives is back in the list after an outage of the
// store, as the users' platform says, with the time between two looks at the list.
const maxRelistDelay = 3 * time.Second

// Unreached says that no connection to a worker came about. One that was to leave by now
// has left, with all that ran there, if it is not in the list any more or if nobody listens
// at its address: an entry stays while the store is down. So has one that is missing in the
// list for so long that it would be back, if nobody listens at its address: either of the
// two alone can be a cut.
func (c *Core) Unreached(id jobs.WorkerID, nobodyListens bool, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	w.noteFailed(nobodyListens, now)
	if nobodyListens {
		c.storeYoungRuns(w, now)
	}
	switch {
	case !w.leaves.IsZero() && now.After(w.leaves.Add(-leaveMargin)) && (nobodyListens || !w.listed):
		c.removeWorker(w, "it has drained and left", now)
	case w.listed:
	case nobodyListens && !w.missing.IsZero() && now.Sub(w.missing) > maxRelistDelay:
		c.removeWorker(w, "it is not in the list any more, and nobody listens at its address", now)
	}
}

// evacuateBefore is how long before a draining worker may leave its tasks are stopped that
// will not end by themselves: a stop takes less than a second, and a report as long.
const evacuateBefore = 2200 * time.Millisecond

// evacuate stops what would be lost when its worker leaves: tasks that last, and those
// that can go on elsewhere from a checkpoint.
func (c *Core) evacuate(now time.Time) {
	for _, w := range c.order {
		if w.leaves.IsZero() || now.Before(w.leaves.Add(-evacuateBefore)) {
			continue
		}
		for _, t := range w.tasks {
			if t.state == taskRunning && (t.step.spec.Lasts || t.step.spec.Checkpoints) {
				c.stop(t, "its worker leaves")
			}
		}
	}
}

// Replaced says that a worker with another id answers at a worker's address: nothing of the
// former one runs any more. Its entry may stay in the list for seconds; it is passed over, or
// it would join and be dropped again with each look at the list, a call and a write each time.
func (c *Core) Replaced(id jobs.WorkerID, now time.Time) {
	if w, ok := c.workers[id]; ok {
		c.replaced[w.info.Incarnation()] = struct{}{}
		c.removeWorker(w, "another incarnation answers at its address", now)
	}
}

// removeWorker forgets a worker that certainly runs nothing.
func (c *Core) removeWorker(w *worker, reason string, now time.Time) {
	c.config.Logger.Info("worker is gone", zap.String("worker", string(w.info.ID)), zap.String("reason", reason),
		zap.Int64("born", int64(w.info.Born)), zap.Int("tasks", len(w.tasks)), zap.Int64("unanswered_ms", now.Sub(w.lastAlive(now)).Milliseconds()))
	c.countWorkerLoss(w, now)
	c.recordUnheardLoss(w)
	c.requeueTasks(w)
	c.judge(now)
	delete(c.workers, w.info.ID)
	c.order = slices.DeleteFunc(c.order, func(o *worker) bool { return o == w })
	c.rosterChanged = c.rosterChanged || w.enrolled
}

// requeueTasks lets the tasks of a worker that certainly runs nothing wait again.
func (c *Core) requeueTasks(w *worker) {
	for _, t := range slices.Clone(w.tasks) {
		c.counts.Lapsed++
		c.wait(t)
	}
}
