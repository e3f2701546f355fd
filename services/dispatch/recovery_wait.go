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
	Workers []jobs.WorkerID `json:"workers"` // that a previous owner used and that have not answered
	// Remaining is how long they are still waited for, and negative if only a transaction is missing.
	Remaining models.Milli `json:"ends_in_ms"`
	Basis     lapseBasis   `json:"basis"` // what the time is known from
}

// recoveryWait returns what the recovery waits for; nil: nothing.
func (c *Core) recoveryWait(now time.Time) *RecoveryWait {
	if !c.recovering {
		return nil
	}
	silent := c.silentSinceTakeover()
	if len(silent) == 0 {
		return nil
	}
	until, basis := c.previousOwnersLapse()
	wait := &RecoveryWait{Remaining: models.MilliOf(until.Sub(now)), Basis: basis}
	for _, w := range silent {
		wait.Workers = append(wait.Workers, w.info.ID)
	}
	return wait
}

// silentSinceTakeover returns the workers of previous owners that have not answered and may still run something.
func (c *Core) silentSinceTakeover() []*worker {
	var silent []*worker
	for _, w := range c.sortedWorkers {
		if w.inPreviousRoster && !w.answered && !c.hasLapsed(w) {
			silent = append(silent, w)
		}
	}
	return silent
}

// logRecoveryWait logs which workers the recovery waits for, each time the basis of the wait changes.
func (c *Core) logRecoveryWait(silent []*worker, now time.Time) {
	until, basis := c.previousOwnersLapse()
	if basis == c.loggedBasis || now.Sub(c.config.Taken) < recoveryWaitLogAfter {
		return
	}
	c.loggedBasis = basis
	names := make([]string, 0, maxLoggedWorkers)
	for _, w := range silent[:min(len(silent), maxLoggedWorkers)] {
		names = append(names, string(w.info.ID))
	}
	c.config.Logger.Info("recovery waits for silent workers", zap.Int("silent", len(silent)), zap.Strings("workers", names),
		zap.Int("of", len(c.sortedWorkers)), zap.String("basis", string(basis)), zap.Duration("remaining", until.Sub(now)))
}
