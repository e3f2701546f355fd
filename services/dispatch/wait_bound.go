// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"
)

// A task that could run may wait for several reasons in turn: a suspect for the outcome of other tasks and for a worker
// without other suspects, any other task for a worker that is not kept for suspects. Each of these waits is for the sake of
// evidence, and each has an end of its own, but where many suspects are tried the next one begins when one is over. So all
// of them together are bounded: a task that has waited beside room for long enough starts on any usable worker with room.

const (
	// maxWaitBesideRoom is how long a task that is no suspect waits beside room until no worker is kept from it: less than the
	// 3 s for which callers allow a job to have nothing running.
	maxWaitBesideRoom = 2 * time.Second
	// maxSuspectWait is the same for a suspect that is not long-running; some more time passes until its loss is known.
	maxSuspectWait = 2300 * time.Millisecond
	// maxLongRunningSuspectWait is the same for a long-running suspect: callers allow such a task to be away for 6 s, of which
	// some pass until its loss is known.
	maxLongRunningSuspectWait = 3500 * time.Millisecond
	// maxOwnTrialWait is the same for a suspect whose next run has to decide.
	maxOwnTrialWait = 4500 * time.Millisecond
)

// noteRoom records that tasks of the step wait, and whether there is room for them that can be used now: beside room on other
// workers alone, a task would find none at the end of its wait, and would start beside trials as soon as there is some.
func (c *Core) noteRoom(s *step, now time.Time) {
	noRoomAsOf, mayWaitForLoads := c.noRoomAsOf(s), c.mayWaitForLoads(s, now)
	hasRoom := slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool {
		return w.changedAs > noRoomAsOf && c.mayTakeSuspect(w, s, now) || mayWaitForLoads && c.waitsForLoadsOn(w, s, now)
	})
	beginWait(&s.roomSince, hasRoom, now)
}

// hasWaitedBesideRoom reports whether a task has waited beside room for as long as it may.
func (t *task) hasWaitedBesideRoom(now time.Time) bool {
	if t.step.roomSince.IsZero() {
		return false
	}
	return now.Sub(latest(latest(t.idleSince, t.step.openedAt), t.step.roomSince)) >= t.allowedWait()
}

// allowedWait returns how long the task may wait beside room.
func (t *task) allowedWait() time.Duration {
	switch {
	case t.needsOwnTrial():
		return maxOwnTrialWait
	case !t.suspected():
		return maxWaitBesideRoom
	case t.step.spec.LongRunning:
		return maxLongRunningSuspectWait
	default:
		return maxSuspectWait
	}
}

// needsOwnTrial reports whether the task may lose no more than one more run, so that its next run has to show whether it
// crashes its workers.
func (t *task) needsOwnTrial() bool { return t.losses() >= maxLosses-1 && !t.isWeakSuspect() }

// workerBesideTrials returns the one of the given workers that takes a task of the step in any case: the one whose trials end
// first, or nil when none is usable and has room.
func (c *Core) workerBesideTrials(workers []*worker, s *step, now time.Time) *worker {
	var best *worker
	noRoomAsOf := c.noRoomAsOf(s)
	for _, w := range workers {
		if w.changedAs > noRoomAsOf && c.mayTakeSuspect(w, s, now) && (best == nil || w.takesBesideTrialsBefore(best, now)) {
			best = w
		}
	}
	return best
}

// takesBesideTrialsBefore compares two workers with trials: the one that has not just refused a start, and whose trials end
// first, takes a task before the other one.
func (w *worker) takesBesideTrialsBefore(other *worker, now time.Time) bool {
	if avoided := now.Before(w.avoidUntil); avoided != now.Before(other.avoidUntil) {
		return !avoided
	}
	return w.trialsEnd().Before(other.trialsEnd())
}

// trialsEnd is when the trials on the worker end, if their runs go on; for a worker that is only reserved for a trial, when
// the reservation ends.
func (w *worker) trialsEnd() time.Time {
	end := w.reservedUntil
	for _, t := range w.tasks {
		if t.onTrial {
			end = latest(end, t.startedAt.Add(t.trialTime()))
		}
	}
	return end
}
