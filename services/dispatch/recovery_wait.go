// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// While a cell recovers, tasks that were accepted before the takeover wait for the workers that may still run them. The
// log and the state dump say which these are, until when they are waited for, and what that time is known from.

// recoveryWaitLogAfter is how long a recovery takes before the log says what it waits for. Most recoveries are shorter.
const recoveryWaitLogAfter = time.Second

// maxLoggedWorkers is how many workers a log line names.
const maxLoggedWorkers = 5

// RecoveryWait is what the recovery after a takeover waits for.
type RecoveryWait struct {
	// Workers are those that a previous owner used and that have not answered, or not listed all ended runs.
	Workers []jobs.WorkerID `json:"workers"`
	// HidingEnds is how many of them have answered and not listed all ended runs yet.
	HidingEnds int `json:"hiding_ends,omitempty"`
	// Remaining is how long they are still waited for, and negative if only a transaction is missing.
	Remaining models.Milli `json:"ends_in_ms"`
	Basis     lapseBasis   `json:"basis"` // what the time is known from
}

// recoveryWait returns what the recovery waits for; nil: nothing.
func (c *Core) recoveryWait(now time.Time) *RecoveryWait {
	if !c.recovering {
		return nil
	}
	unreported := c.unreportedSinceTakeover()
	if len(unreported) == 0 {
		return nil
	}
	silent, hiding := divideByAnswer(unreported)
	until, basis := c.silentRunsLapse(silent)
	wait := &RecoveryWait{Remaining: models.MilliOf(until.Sub(now)), Basis: basis, HidingEnds: len(hiding)}
	for _, w := range unreported {
		wait.Workers = append(wait.Workers, w.info.ID)
	}
	return wait
}

// unreportedSinceTakeover returns the workers of previous owners that may still run something, or have ended something,
// which no report has shown: they have not answered, or not listed all ended runs yet.
func (c *Core) unreportedSinceTakeover() []*worker {
	var unreported []*worker
	for _, w := range c.sortedWorkers {
		if w.inPreviousRoster && !w.endsKnown && !c.hasLapsed(w) {
			unreported = append(unreported, w)
		}
	}
	return unreported
}

// logRecoveryWait logs which silent workers the recovery waits for, each time the basis of the wait changes, and once
// that it waits for ended runs that are not listed yet.
func (c *Core) logRecoveryWait(unreported []*worker, now time.Time) {
	if now.Sub(c.config.Taken) < recoveryWaitLogAfter {
		return
	}
	silent, hiding := divideByAnswer(unreported)
	if len(hiding) > 0 && !c.loggedHiddenEnds {
		c.loggedHiddenEnds = true
		c.config.Logger.Info("recovery waits for workers to list all ended runs", zap.Int("hiding", len(hiding)), zap.Strings("workers", firstNames(hiding)))
	}
	until, basis := c.silentRunsLapse(silent)
	if len(silent) == 0 || basis == c.loggedBasis {
		return
	}
	c.loggedBasis = basis
	c.config.Logger.Info("recovery waits for silent workers", zap.Int("silent", len(silent)), zap.Strings("workers", firstNames(silent)),
		zap.Int("of", len(c.sortedWorkers)), zap.String("basis", string(basis)), zap.Duration("remaining", until.Sub(now)))
}

// divideByAnswer divides workers into those that have not answered since the takeover and those that have.
func divideByAnswer(workers []*worker) (silent, answered []*worker) {
	for _, w := range workers {
		if w.answered {
			answered = append(answered, w)
		} else {
			silent = append(silent, w)
		}
	}
	return silent, answered
}

// firstNames returns the ids of the first workers of a list, for a log line.
func firstNames(workers []*worker) []string {
	names := make([]string, 0, maxLoggedWorkers)
	for _, w := range workers[:min(len(workers), maxLoggedWorkers)] {
		names = append(names, string(w.info.ID))
	}
	return names
}
