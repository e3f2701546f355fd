// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// expireWorkers takes silent workers out of the roster once their leases are over. When the new roster is stored, no
// other owner has renewed the leases: the workers' tasks may start elsewhere, and workers that are no longer listed
// are removed.
func (c *Core) expireWorkers(now time.Time) {
	c.wantsLapseProof = false
	c.updateFenced(now) // workers may have been removed since the last first report
	for _, w := range slices.Clone(c.sortedWorkers) {
		if w.info.Draining && c.vacateDraining(w, now) {
			continue
		}
		c.wantsLapseProof = c.wantsLapseProof || c.lacksLapseProof(w, now)
		if now.Sub(w.reportedAt) <= silentAfter || now.Before(c.lapsedAt(w)) {
			continue
		}
		switch {
		case !w.retired:
			c.storeSilentRuns(w, now)
			c.setRetired(w, true)
		case !c.hasLapsed(w):
			c.wantsLapseProof = true
		case !w.listed:
			c.removeWorker(w, "it is no longer listed, and its leases are over", now)
		case len(w.tasks) > 0:
			c.config.Logger.Warn("silent worker's tasks have lapsed", zap.String("worker", string(w.info.ID)), zap.Int("tasks", len(w.tasks)))
			c.countSilentRuns(w, now)
			c.requeueTasks(w)
			c.judge(now)
		}
	}
	c.tryRecover(now)
	c.updateLeaseBound(now)
}

// hasLapsed reports whether the worker has certainly ended all its runs by its own clock: the lease that was granted
// is over, and a proof of ownership since then shows that no other owner had granted another one. The proof is the
// transaction that takes the worker out of the roster, or a later one when it becomes known after that transaction that
// leases of previous owners may last longer.
func (c *Core) hasLapsed(w *worker) bool { return c.provedAt.After(c.lapsedAt(w)) }

// lacksLapseProof reports whether the recovery after a takeover waits for the proof that a worker has ended all its runs.
func (c *Core) lacksLapseProof(w *worker, now time.Time) bool {
	return c.recovering && w.inPreviousRoster && !w.answered && !now.Before(c.lapsedAt(w)) && !c.hasLapsed(w)
}

// setRetired takes a silent worker that certainly runs nothing out of the roster, so that the next owner does not
// wait for it, or puts a worker that has answered back into it. Either way the worker gets no starts until a roster
// that names it is stored: a roster that is being stored now may be older.
func (c *Core) setRetired(w *worker, retired bool) {
	w.retired = retired
	w.inRoster = false
	c.rosterChanged = true
}

// Unreached records that no connection to a worker was established. That does not end the worker's runs, whatever it has
// announced, whether the list names it, and whether its address refuses connections: behind a network partition all of
// these look the same, and the worker runs its tasks until its lease is over.
func (c *Core) Unreached(id jobs.WorkerID, refused bool, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	w.recordUnanswered(refused, now)
	if refused {
		c.storeYoungRuns(w, now)
	}
}

// Replaced records that a worker with another id answers at a worker's address: none of the previous worker's runs
// exists any more. Its entry may stay in the list for seconds and is ignored; otherwise the worker would join and be
// removed again with each read of the list, at the cost of a call and a write each time.
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
	c.recordLossWithoutAnswer(w)
	c.requeueTasks(w)
	c.judge(now)
	delete(c.workers, w.info.ID)
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(o *worker) bool { return o == w })
	c.rosterChanged = c.rosterChanged || w.inRoster
}

// requeueTasks lets the tasks of a worker that certainly runs nothing wait for placement again.
func (c *Core) requeueTasks(w *worker) {
	for _, t := range slices.Clone(w.tasks) {
		c.counts.Lapsed++
		t.lateStart.recordLoss(w.info.ID)
		c.requeue(t)
	}
}
