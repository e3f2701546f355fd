// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// trialWait is how long a waiting suspect has been kept from its trial, and by what. It begins anew with each start, and
// with each owner: a successor does not know since when a task waits for a place.
type trialWait struct {
	since           time.Time // zero: it has not been kept from its trial
	contestedLogged bool
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

// begin records that the suspect is kept from its trial.
func (w *trialWait) begin(now time.Time) {
	if w.since.IsZero() {
		w.since = now
	}
}

// lasted reports whether the suspect has been kept from its trial for at least the given time.
func (w *trialWait) lasted(atLeast time.Duration, now time.Time) bool {
	return !w.since.IsZero() && now.Sub(w.since) >= atLeast
}

// recordContested records that a waiting task is not tried now, because other tasks may have caused its losses, and logs
// the begin of the wait.
func (c *Core) recordContested(t *task, now time.Time) {
	wait := &t.trialWait
	wait.begin(now)
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
func (c *Core) recordNoWorker(t *task, now time.Time) {
	wait := &t.trialWait
	wait.begin(now)
	if wait.noWorkerLogged || !wait.lasted(longTrialWait, now) {
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
