// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// When a worker starts again under its id, the end of its previous incarnation is known at once, before it is known
// which other workers were lost at the same moment. So a recent loss is evaluated again once simultaneous losses are
// known, and no task is abandoned for the loss before that.

// simultaneousLossesKnownAfter is how long after a loss the losses of other workers at the same moment are known:
// calls to them break or time out.
const simultaneousLossesKnownAfter = 500 * time.Millisecond

// recentLoss is the loss of a worker whose evidence is evaluated again later.
type recentLoss struct {
	lostWorker
	runs []weighedRun
}

// weighedRun is a lost run with the circumstances that its evidence was computed from.
type weighedRun struct {
	task *task
	run  jobs.RunID
	lossContext
}

// scheduleReevaluation lets a recent loss be evaluated again.
func (c *Core) scheduleReevaluation(recent recentLoss, now time.Time) {
	if now.Sub(recent.at) >= simultaneousLossesKnownAfter {
		return
	}
	for _, r := range recent.runs {
		r.task.lossFinalAt = recent.at.Add(simultaneousLossesKnownAfter)
	}
	c.recentLosses = append(c.recentLosses, recent)
}

// reevaluateLosses evaluates recent losses again once simultaneous losses of other workers are known.
func (c *Core) reevaluateLosses(now time.Time) {
	c.recentLosses = slices.DeleteFunc(c.recentLosses, func(recent recentLoss) bool {
		if now.Sub(recent.at) < simultaneousLossesKnownAfter {
			return false
		}
		history := c.lossHistoryOf(recent.lostWorker, now)
		for _, r := range recent.runs {
			if rate := history.rateFor(r.task); rate > r.chanceRate {
				r.chanceRate = rate
				c.lowerEvidence(r)
			}
			c.queueVerdict(r.task)
		}
		return true
	})
}

// lowerEvidence lowers the recorded evidence of a lost run to what its circumstances give now.
func (c *Core) lowerEvidence(r weighedRun) {
	vsChance, vsAll := r.evidence()
	of := func(lost jobs.LostRun) bool { return lost.Run == r.run }
	if at := slices.IndexFunc(r.task.chanceLosses, of); at >= 0 {
		r.task.chanceLosses = withLoweredEvidence(r.task.chanceLosses, at, roundToHundredths(vsChance), roundToHundredths(vsAll))
	}
	suspicion := &r.task.suspicion
	if at := slices.IndexFunc(suspicion.Lost, of); at >= 0 {
		suspicion.Lost = withLoweredEvidence(suspicion.Lost, at, roundToHundredths(vsChance), roundToHundredths(vsAll))
		c.markTaskChanged(r.task)
	}
}
