// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// A worker that starts again under its id is known to have ended at once, before it is known which others went
// at the same moment. So a loss that is younger than that is weighed again, and nobody is given up on it before.

// simultaneousLossesKnownAfter is how long after a loss those of other workers are known that went with it: calls to them break,
// or run into their time limit.
const simultaneousLossesKnownAfter = 500 * time.Millisecond

// recentLoss is the loss of a worker that is to be weighed again.
type recentLoss struct {
	incarnation jobs.Incarnation
	at          time.Time
	runs        []weighedRun
}

// weighedRun is a run that was lost, with what its weight was drawn from.
type weighedRun struct {
	task *task
	run  jobs.RunID
	lossContext
}

// scheduleReevaluation lets a loss be weighed again if it is recent.
func (c *Core) scheduleReevaluation(recent recentLoss, now time.Time) {
	if now.Sub(recent.at) >= simultaneousLossesKnownAfter {
		return
	}
	for _, r := range recent.runs {
		r.task.weighedAt = recent.at.Add(simultaneousLossesKnownAfter)
	}
	c.recent = append(c.recent, recent)
}

// weighAgain weighs losses anew once others are known that came with them.
func (c *Core) weighAgain(now time.Time) {
	c.recent = slices.DeleteFunc(c.recent, func(recent recentLoss) bool {
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

// setWeight puts a lost run's new weight in the place of the former one.
func (c *Core) setWeight(r weighedRun) {
	doubt, weight := r.evidence()
	of := func(lost jobs.LostRun) bool { return lost.Run == r.run }
	if at := slices.IndexFunc(r.task.byChance, of); at >= 0 {
		r.task.byChance = withLoweredEvidence(r.task.byChance, at, roundToHundredths(doubt), roundToHundredths(weight))
	}
	suspicion := &r.task.suspicion
	if at := slices.IndexFunc(suspicion.Lost, of); at >= 0 {
		suspicion.Lost = withLoweredEvidence(suspicion.Lost, at, roundToHundredths(doubt), roundToHundredths(weight))
		c.change(r.task.step.job)
	}
}
