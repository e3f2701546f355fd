// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// An owner that has ended knows until when the leases last that it granted each worker. Its successor asks it, so that a
// worker that had been silent to it for some time is not waited for as if it had been granted another lease at the end.
// That is when the ended owner itself would have let the worker's tasks start elsewhere, for it grants nothing any more.

// firstAnswerWait is how long after the first call to it a worker that runs nothing any more may still tell which runs have
// ended there.
const firstAnswerWait = time.Second

// GrantedLeases returns, for each worker that may still run something under leases that this owner granted, when all of that
// has ended. It does not count the leases of previous owners on workers that have not answered, which these know of.
func (c *Core) GrantedLeases() map[jobs.WorkerID]time.Time {
	last := map[jobs.WorkerID]time.Time{}
	for id, until := range c.lateStartsUntil {
		last[id] = until
	}
	for id, w := range c.workers {
		until := c.lateStartsLapsedAt(w)
		if w.answered || w.leaseEnd != 0 {
			until = c.lapsedAt(w)
		}
		last[id] = latest(last[id], until)
	}
	return last
}

// PreviousLeasesEnd records when the runs have ended under all leases that previous owners granted. All of these have told;
// workers that are not named run nothing any more.
func (c *Core) PreviousLeasesEnd(last map[jobs.WorkerID]time.Time) { c.previousLeases = last }

// silentRunsLapse returns when the runs of previous owners on silent workers have ended, and what that is known from.
func (c *Core) silentRunsLapse(silent []*worker) (time.Time, lapseBasis) {
	until, basis := c.previousOwnersLapse()
	var told time.Time
	for _, w := range silent {
		told = latest(told, c.previousRunsLapsed(w))
	}
	if len(silent) == 0 || !told.Before(until) {
		return until, basis
	}
	return told, lapseTold
}

// previousRunsLapsed returns when the runs of previous owners on a worker that has not answered have certainly ended.
func (c *Core) previousRunsLapsed(w *worker) time.Time {
	lapsed := c.previousOwnersLapsed()
	if c.previousLeases == nil || w.firstCalledAt.IsZero() {
		return lapsed
	}
	told := latest(c.previousLeases[w.info.ID], w.firstCalledAt.Add(firstAnswerWait))
	return earliest(lapsed, told)
}
