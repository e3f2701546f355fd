// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import "time"

// Where most workers with room have suspects on trial, each goes from one trial to the next. Short tasks are more urgent
// than the suspects of long-running jobs and start between two trials, but a long-running task that has lost nothing would
// wait for the trials of all suspects of older jobs. So once it has waited for maxTrialWait, it keeps new trials off the
// worker whose trials end first, and starts there after these.

// maxKeptShare bounds the workers that are kept from trials at a time, as a part of the cell's workers; one may always be.
const maxKeptShare = 0.25

// isKeptFromTrials reports whether no suspect may start on the worker, because a task without losses waits for it.
func (w *worker) isKeptFromTrials(now time.Time) bool { return !now.After(w.keptUntil) }

// isKeptForOther reports whether the worker is kept for another step: more urgent steps, which come all the time, would
// take its room before the step that has waited.
func (w *worker) isKeptForOther(s *step, now time.Time) bool {
	return w.keptFor != s && w.isKeptFromTrials(now)
}

// keepFromTrials keeps a worker from trials for the tasks of a long-running step that are no suspects and that no worker
// takes, if they have waited for long enough beside workers with room.
func (c *Core) keepFromTrials(s *step, now time.Time) {
	if !s.spec.LongRunning || s.spec.Filler {
		return
	}
	beginWait(&s.closedSince, c.hasRoom(s), now)
	if !lasted(s.closedSince, now, maxTrialWait) {
		return
	}
	var best *worker
	kept := 0
	for _, w := range c.sortedWorkers {
		isKept := w.isKeptFromTrials(now)
		if isKept {
			kept++
		}
		switch {
		case !c.mayTakeSuspect(w, s, now):
		case isKept && w.keptFor == s:
			w.keptUntil = now.Add(trialReservation)
			return
		case isKept: // for another step
		case best == nil || w.trialsEnd().Before(best.trialsEnd()):
			best = w
		}
	}
	if best != nil && kept < max(1, int(maxKeptShare*float64(len(c.sortedWorkers)))) {
		best.keptFor, best.keptUntil = s, now.Add(trialReservation)
	}
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
