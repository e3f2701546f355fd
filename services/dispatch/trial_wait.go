// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// trialWait is how long a waiting suspect has been kept from its trial although there is room for it, and by what. It
// begins anew with each run and with each owner: a successor does not know since when a task waits for a place.
type trialWait struct {
	contestedSince  time.Time // since when it was first not tried because other tasks may have caused its losses; zero: it never was, or there is no room
	contested       bool      // other tasks may have caused its losses, as of when it was last considered
	contestedLogged bool
	noWorkerSince   time.Time // since when it first found no worker that takes it; zero: it always found one, or there is no room
	noWorkerLogged  bool
}

const (
	// maxTrialWait is how long a suspect is kept from its trial for the sake of other tasks: less than the 3 s for which
	// callers allow a job to have nothing running.
	maxTrialWait = 2 * time.Second
	// longTrialWait is how long a suspect waits for a worker before that is logged: longer than the shortest trial of
	// another suspect.
	longTrialWait = time.Second
)

// lasted reports whether a wait has lasted for at least the given time; since is zero if there is none.
func lasted(since, now time.Time, atLeast time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= atLeast
}

// beginWait sets the begin of a wait, unless it has begun before. While there is no room for the task, it waits for that
// alone, and the wait begins anew afterwards.
func beginWait(since *time.Time, hasRoom bool, now time.Time) {
	switch {
	case !hasRoom:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// hasRoom reports whether some worker that stays has free capacity for a task of the step, be it kept for others or
// unusable at the moment.
func (c *Core) hasRoom(s *step) bool {
	return slices.ContainsFunc(c.sortedWorkers, func(w *worker) bool {
		return w.listed && !w.closedToStarts() && c.fits(w, s) && c.hasCapacity(w, s)
	})
}

// recordContested records that a waiting task is not tried now, because other tasks may have caused its losses, and logs
// the begin of the wait.
func (c *Core) recordContested(t *task, now time.Time) {
	wait := &t.trialWait
	wait.contested = true
	c.noteRoom(t.step, now)
	beginWait(&wait.contestedSince, c.hasRoom(t.step), now)
	if wait.contestedLogged {
		return
	}
	wait.contestedLogged = true
	c.counts.Contested++
	others, waiting := c.undecidedSharers(t, now), 0
	for _, other := range others {
		if other.state == taskWaiting {
			waiting++
		}
	}
	c.config.Logger.Info("suspect waits: other tasks may have caused its losses", zap.Stringer("task", t.id()),
		zap.Int("others", len(others)), zap.Int("others_waiting", waiting), zap.Int("lost_before", len(t.suspicion.Lost)),
		zap.Int("unseen", t.unobservedLosses()), zap.Float64("weight", t.suspicion.EvidenceVsAll()))
}

// recordNoWorker records that no worker can take a waiting suspect now, and logs a long wait with the reasons for which
// the workers with free capacity do not take it.
func (c *Core) recordNoWorker(t *task, hasRoom bool, now time.Time) {
	wait := &t.trialWait
	wait.contested = false
	beginWait(&wait.noWorkerSince, hasRoom, now)
	if wait.noWorkerLogged || !lasted(wait.noWorkerSince, now, longTrialWait) {
		return
	}
	wait.noWorkerLogged = true
	c.counts.TrialsDelayed++
	withCapacity, reserved, onTrial, withSuspect := 0, 0, 0, 0
	for _, w := range c.sortedWorkers {
		if !c.mayTakeSuspect(w, t.step, now) {
			continue
		}
		withCapacity++
		switch {
		case w.isReservedForOther(t, now):
			reserved++
		case w.trials > 0:
			onTrial++
		case w.maxSuspectLosses() >= minLosses:
			withSuspect++
		}
	}
	c.config.Logger.Info("suspect waits: no worker can take it on trial", zap.Stringer("task", t.id()), zap.Int("with_capacity", withCapacity),
		zap.Int("reserved", reserved), zap.Int("on_trial", onTrial), zap.Int("with_suspect", withSuspect), zap.Int("lost_before", len(t.suspicion.Lost)))
}
