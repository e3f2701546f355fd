// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// The recent losses of workers are stored for a successor together with the roster, which is written after nearly each
// loss anyway. To a successor that did not know them, chance would explain the next losses less.

const (
	// maxStoredLosses bounds the stored losses: in storms the latest ones tell the rate well enough.
	maxStoredLosses = 256
	// maxStoredEarlierLosses bounds the earlier losses that each of them names.
	maxStoredEarlierLosses = 16
)

// storedLosses returns the recent losses of workers to be stored.
func (c *Core) storedLosses(now time.Time) []jobs.WorkerLoss {
	c.forgetOldLosses(now)
	latest := c.workerLosses[max(0, len(c.workerLosses)-maxStoredLosses):]
	stored := make([]jobs.WorkerLoss, 0, len(latest))
	for _, l := range latest {
		stored = append(stored, jobs.WorkerLoss{
			Worker: l.incarnation.ID, Born: l.incarnation.Born, At: c.timeOfDayThen(l.at, now),
			TaskCrashRate: roundToThousandths(l.taskCrashRate), Earlier: latestOf(l.earlier, latest),
		})
	}
	return stored
}

// latestOf returns the latest losses among those with the given identifiers, at most maxStoredEarlierLosses of them.
func latestOf(ids []jobs.WorkerLossID, losses []workerLoss) []jobs.WorkerLossID {
	var found []jobs.WorkerLossID
	for _, l := range slices.Backward(losses) {
		if len(found) == maxStoredEarlierLosses {
			break
		}
		if id := l.incarnation.LossID(); slices.Contains(ids, id) {
			found = append(found, id)
		}
	}
	return found
}

// restoreLosses takes the recent losses that the previous owners knew.
func (c *Core) restoreLosses(stored []jobs.WorkerLoss, now time.Time) {
	var restored []workerLoss
	for _, l := range stored {
		restored = append(restored, workerLoss{
			lostWorker:    lostWorker{incarnation: l.Incarnation(), at: earliest(c.timeAt(l.At, now), now)},
			taskCrashRate: l.TaskCrashRate, count: 1, earlier: l.Earlier,
		})
	}
	c.workerLosses = append(restored, c.workerLosses...)
}
