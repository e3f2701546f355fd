// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"
)

// A worker that drains announces the earliest time at which it may leave, and may stay for longer. Nothing shows that it
// has left but the end of its lease, see Core.Unreached. So that its tasks do not wait for long, its lease ends soon
// after the announced time, and is renewed in short steps while it still answers.

// drainLease is how long after the announced time, or after a later call that renews it, the lease of a draining worker
// ends. It is longer than the wait of a report and some calls without answer.
const drainLease = 2 * time.Second

// leaseSpan returns how long a lease of the worker lasts that begins now.
func (c *Core) leaseSpan(w *worker, now time.Time) time.Duration {
	if w.leavesAt.IsZero() {
		return c.config.Lease
	}
	untilLeaving := max(w.leavesAt.Sub(now), 0)
	return min(c.config.Lease, untilLeaving+drainLease)
}

// leaveMargin is how much earlier than announced a draining worker may be lost without counting as crashed.
const leaveMargin = 300 * time.Millisecond

// leftAsAnnounced reports whether a worker that was lost had drained until the time that it had announced.
func (w *worker) leftAsAnnounced(now time.Time) bool {
	return !w.leavesAt.IsZero() && !w.lastAlive(now).Before(w.leavesAt.Add(-leaveMargin))
}

// evacuateBefore is how long before a draining worker may leave its long-running and checkpointing tasks are
// stopped, and those on standby: a stop takes less than a second, and a report as long.
const evacuateBefore = 2200 * time.Millisecond

// evacuate stops the runs that would be lost when their worker leaves: long-running tasks, tasks that can resume elsewhere
// from a checkpoint, and those on standby, which have done nothing.
func (c *Core) evacuate(now time.Time) {
	for _, w := range c.sortedWorkers {
		if w.leavesAt.IsZero() || now.Before(w.leavesAt.Add(-evacuateBefore)) {
			continue
		}
		for _, t := range w.tasks {
			if t.state == taskRunning && (t.step.spec.LongRunning || t.step.spec.Checkpoints || t.standby) {
				c.stop(t, "its worker leaves")
			}
		}
	}
}

// isVacant reports whether a worker has reported that it runs nothing, and all its ends are stored.
func (w *worker) isVacant() bool {
	return w.endsKnown && !w.endsHidden && len(w.tasks) == 0 && len(w.strays) == 0 && w.acked >= w.lastEnd
}

// vacateDraining takes a draining worker that is vacant out of the roster, so that the next owner does not wait for it,
// and removes it once the list does not name it any more. It returns whether the worker is vacant. Nothing starts on a
// draining worker, so it stays vacant.
func (c *Core) vacateDraining(w *worker, now time.Time) bool {
	if !w.isVacant() {
		return false
	}
	if !w.retired {
		c.setRetired(w, true)
	}
	if !w.listed {
		c.removeWorker(w, "it has drained, runs nothing and is no longer listed", now)
	}
	return true
}
