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
	// atOnce and soon are the times within which workers go that one cause takes along, like a
	// rack's or a cut: their connections break at the same moment, or calls to them time out one
	// after the other. Tasks that crash workers do so each at a time of its own.
	atOnce = 50 * time.Millisecond
	soon   = time.Second
	// atOnceAnyway and soonAnyway are how many workers may go within these times of another
	// without one cause.
	atOnceAnyway = 2
	soonAnyway   = 1
)

// byChance is how often a worker is lost by chance, a second, when nothing else is known.
var byChance = 1 / crashEvery.Seconds()

// lossesKept is for how long losses are remembered: a loss is proved when another incarnation
// answers at the worker's address, or when its leases are over.
const lossesKept = 15 * time.Second

// workerLoss is the loss of a worker, or its silence, which may become one.
type workerLoss struct {
	of      jobs.Incarnation
	at      time.Time
	byTasks float64 // how likely a second one of the tasks there was to cause it
	counts  float64 // as how many it counts
}

// lossOfWorker is the loss of a worker as far as it is known.
func (c *Core) lossOfWorker(w *worker, now time.Time) workerLoss {
	return workerLoss{of: w.info.Incarnation(), at: w.lastAlive(now), byTasks: crashRate(c.neighboursOf(w, nil, now)), counts: 1}
}

// noteLoss remembers the loss of a worker for a while.
func (c *Core) noteLoss(w *worker, now time.Time) {
	c.losses = append(c.losses, c.lossOfWorker(w, now))
}

// otherLosses are those of other workers lately, and those that are silent now. Older ones say nothing of
// how often they go now.
func (c *Core) otherLosses(than jobs.Incarnation, now time.Time) []workerLoss {
	c.losses = slices.DeleteFunc(c.losses, func(l workerLoss) bool { return now.Sub(l.at) > lossesKept })
	losses := slices.DeleteFunc(slices.Clone(c.losses), func(l workerLoss) bool { return l.of == than })
	for _, other := range c.order {
		if other.info.Incarnation() != than && !other.failed.IsZero() {
			losses = append(losses, c.lossOfWorker(other, now))
		}
	}
	return losses
}

// chanceOf is how many losses by chance a second each worker sees at the time at which a worker
// was lost: as often as workers have gone lately, or around that time, other than by what ran
// there, or, when there are several, together with it, whatever ran there. One that was lost in a burst is
// compared with all of them, one that was lost by itself with those that were too.
func (c *Core) chanceOf(w *worker, now time.Time) float64 {
	return c.chanceAt(w.info.Incarnation(), w.lastAlive(now), now)
}

// chanceAt does the same for an incarnation that may be gone already.
func (c *Core) chanceAt(of jobs.Incarnation, at, now time.Time) float64 {
	losses := c.otherLosses(of, now)
	countBursts(losses, at)
	workers := float64(max(1, len(c.order)))
	return byChance + rateAround(losses, at, workers)/workers
}

// rateAround is how often one of so many workers goes by chance at a time, when these have gone.
func rateAround(losses []workerLoss, at time.Time, workers float64) float64 {
	all := 0.0
	for _, l := range losses {
		all += l.counts
	}
	// As if none was caused by what ran there; it takes the more of the blame, the more go.
	prior := byChance + all/lossesKept.Seconds()/workers
	together, around, lately := 0.0, 0.0, 0.0
	for _, l := range losses {
		apart := l.at.Sub(at).Abs()
		chance := l.counts * prior / (prior + l.byTasks)
		lately += chance
		if apart <= soon {
			around += chance
		}
		if apart <= atOnce {
			together += l.counts
		}
	}
	return max(lately/lossesKept.Seconds(), (around-soonAnyway)/(2*soon).Seconds(), (together-atOnceAnyway)/(2*atOnce).Seconds())
}
