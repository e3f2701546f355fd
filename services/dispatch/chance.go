// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// How often workers are lost by chance, which each loss is weighed against.

const (
	// simultaneousWithin and soon are the times within which workers go that one cause takes along, like a
	// rack's or a cut: their connections break at the same moment, or calls to them time out one
	// after the other. Tasks that crash workers do so each at a time of its own.
	simultaneousWithin = 50 * time.Millisecond
	correlatedWithin   = time.Second
	// simultaneousAllowance and correlatedAllowance are how many workers may go within these times of another
	// without one cause.
	simultaneousAllowance = 2
	correlatedAllowance   = 1
)

// baselineLossRate is how often a worker is lost by chance, a second, when nothing else is known.
var baselineLossRate = 1 / meanTimeBetweenLosses.Seconds()

// lossRetention is for how long losses are remembered: a loss is proved when another incarnation
// answers at the worker's address, or when its leases are over.
const lossRetention = 15 * time.Second

// workerLoss is the loss of a worker, or its silence, which may become one.
type workerLoss struct {
	incarnation   jobs.Incarnation
	at            time.Time
	taskCrashRate float64 // how likely a second one of the tasks there was to cause it
	count         float64 // as how many it counts
}

// newWorkerLoss is the loss of a worker as far as it is known.
func (c *Core) newWorkerLoss(w *worker, now time.Time) workerLoss {
	return workerLoss{incarnation: w.info.Incarnation(), at: w.lastAlive(now), taskCrashRate: crashRate(c.neighboursOf(w, nil, now)), count: 1}
}

// recordWorkerLoss remembers the loss of a worker for a while.
func (c *Core) recordWorkerLoss(w *worker, now time.Time) {
	c.losses = append(c.losses, c.newWorkerLoss(w, now))
}

// lossesOfOthers are those of other workers lately, and those that are silent now. Older ones say nothing of
// how often they go now.
func (c *Core) lossesOfOthers(than jobs.Incarnation, now time.Time) []workerLoss {
	c.losses = slices.DeleteFunc(c.losses, func(l workerLoss) bool { return now.Sub(l.at) > lossRetention })
	losses := slices.DeleteFunc(slices.Clone(c.losses), func(l workerLoss) bool { return l.incarnation == than })
	for _, other := range c.order {
		if other.info.Incarnation() != than && !other.failed.IsZero() {
			losses = append(losses, c.newWorkerLoss(other, now))
		}
	}
	return losses
}

// chanceRate is how many losses by chance a second each worker sees at the time at which a worker
// was lost: as often as workers have gone lately, or around that time, other than by what ran
// there, or, when there are several, together with it, whatever ran there. One that was lost in a burst is
// compared with all of them, one that was lost by itself with those that were too.
func (c *Core) chanceRate(w *worker, now time.Time) float64 {
	return c.chanceRateAt(w.info.Incarnation(), w.lastAlive(now), now)
}

// chanceRateAt does the same for an incarnation that may be gone already.
func (c *Core) chanceRateAt(of jobs.Incarnation, at, now time.Time) float64 {
	losses := c.lossesOfOthers(of, now)
	discountBursts(losses, at)
	workers := float64(max(1, len(c.order)))
	return baselineLossRate + estimateChanceRate(losses, at, workers)/workers
}

// estimateChanceRate is how often one of so many workers goes by chance at a time, when these have gone.
func estimateChanceRate(losses []workerLoss, at time.Time, workers float64) float64 {
	all := 0.0
	for _, l := range losses {
		all += l.count
	}
	// As if none was caused by what ran there; it takes the more of the blame, the more go.
	prior := baselineLossRate + all/lossRetention.Seconds()/workers
	together, around, lately := 0.0, 0.0, 0.0
	for _, l := range losses {
		apart := l.at.Sub(at).Abs()
		chance := l.count * prior / (prior + l.taskCrashRate)
		lately += chance
		if apart <= correlatedWithin {
			around += chance
		}
		if apart <= simultaneousWithin {
			together += l.count
		}
	}
	return max(lately/lossRetention.Seconds(), (around-correlatedAllowance)/(2*correlatedWithin).Seconds(), (together-simultaneousAllowance)/(2*simultaneousWithin).Seconds())
}
