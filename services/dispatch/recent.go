// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// The end of a worker that starts again under its id is known at once, before it is known which other workers were
// lost at the same moment. So a loss that is too recent for this is evaluated again later, and no task is abandoned
// for it before.

// simultaneousLossesKnownAfter is how long after a loss the losses of other workers at the same moment are known:
// calls to them break or time out.
const simultaneousLossesKnownAfter = 500 * time.Millisecond

// recentLoss is the loss of a worker whose evidence is evaluated again later.
type recentLoss struct {
	incarnation jobs.Incarnation
	at          time.Time
	runs        []weighedRun
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
		chance := c.chanceRateAt(recent.incarnation, recent.at, now)
		for _, r := range recent.runs {
			if chance > r.chanceRate {
				r.chanceRate = chance
				c.setWeight(r)
			}
			c.queueVerdict(r.task)
		}
		return true
	})
}

// setWeight replaces the evidence of a lost run.
func (c *Core) setWeight(r weighedRun) {
	doubt, weight := r.evidence()
	of := func(lost jobs.LostRun) bool { return lost.Run == r.run }
	if at := slices.IndexFunc(r.task.chanceLosses, of); at >= 0 {
		r.task.chanceLosses = withLoweredEvidence(r.task.chanceLosses, at, roundToHundredths(doubt), roundToHundredths(weight))
	}
	suspicion := &r.task.suspicion
	if at := slices.IndexFunc(suspicion.Lost, of); at >= 0 {
		suspicion.Lost = withLoweredEvidence(suspicion.Lost, at, roundToHundredths(doubt), roundToHundredths(weight))
		c.markChanged(r.task.step.job)
	}
}
