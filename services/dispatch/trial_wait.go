// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"
)

// trialWait is how long a waiting suspect has been kept from its trial, and by what. It begins anew with each start.
type trialWait struct {
	contestedSince time.Time // since when other tasks may have caused its losses; zero: none did when it was last considered for a trial
	noWorkerSince  time.Time // since when no worker can take it; zero: one could
	noWorkerLogged bool
}

// longTrialWait is how long a suspect waits for a worker before that is logged: longer than the shortest trial of
// another suspect.
const longTrialWait = time.Second

// recordContested records that a waiting task is not tried now, because other tasks may have caused its losses, and logs
// the begin of the wait.
func (c *Core) recordContested(t *task, now time.Time) {
	if !t.trialWait.contestedSince.IsZero() {
		return
	}
	t.trialWait.contestedSince = now
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
	if wait.noWorkerSince.IsZero() {
		wait.noWorkerSince = now
	}
	if wait.noWorkerLogged || now.Sub(wait.noWorkerSince) < longTrialWait {
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
