// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// The rate of losses by chance, against which the evidence of each loss is weighed.

const (
	// simultaneousWithin and correlatedWithin are the times within which workers are lost to a common cause, such as
	// the loss of a rack or a network partition: their connections break at the same moment, or calls to them time
	// out one after the other. Tasks that crash workers do so at unrelated times.
	simultaneousWithin = 50 * time.Millisecond
	correlatedWithin   = time.Second
	// simultaneousAllowance and correlatedAllowance are how many workers may be lost within these times of another
	// loss without a common cause.
	simultaneousAllowance = 2
	correlatedAllowance   = 1
)

// baselineLossRate is how many losses by chance a worker has per second when nothing else is known.
var baselineLossRate = 1 / meanTimeBetweenLosses.Seconds()

// lossRetention is how long losses are remembered: a loss is proved only when another incarnation answers at the
// worker's address, or when the worker's leases are over.
const lossRetention = 15 * time.Second

// lostWorker is a worker that is lost, or silent, and the time of its loss.
type lostWorker struct {
	incarnation jobs.Incarnation
	at          time.Time
}

// lostWorkerOf returns the worker with the time of its loss as far as it is known.
func lostWorkerOf(w *worker, now time.Time) lostWorker {
	return lostWorker{incarnation: w.info.Incarnation(), at: w.lastAlive(now)}
}

// workerLoss is the loss of a worker, or its silence, which may turn out to be a loss.
type workerLoss struct {
	lostWorker
	taskCrashRate float64             // probability per second that one of the worker's tasks crashed it
	count         float64             // how many losses this one counts as
	earlier       []jobs.WorkerLossID // losses in which the worker's tasks had lost earlier runs
}

// newWorkerLoss describes the loss of a worker as far as it is known.
func (c *Core) newWorkerLoss(w *worker, now time.Time) workerLoss {
	return workerLoss{
		lostWorker: lostWorkerOf(w, now), taskCrashRate: c.crashRateOn(w, nil, now), count: 1, earlier: w.earlierLossesOfTasks(),
	}
}

// recordWorkerLoss remembers the loss of a worker for lossRetention.
func (c *Core) recordWorkerLoss(w *worker, now time.Time) {
	c.workerLosses = append(c.workerLosses, c.newWorkerLoss(w, now))
}

// lossesOfOthers returns the recent losses of other workers, and the workers that are silent now. Losses older than
// lossRetention say nothing about the current rate.
func (c *Core) lossesOfOthers(except jobs.Incarnation, now time.Time) []workerLoss {
	c.workerLosses = slices.DeleteFunc(c.workerLosses, func(l workerLoss) bool { return now.Sub(l.at) > lossRetention })
	losses := slices.DeleteFunc(slices.Clone(c.workerLosses), func(l workerLoss) bool { return l.incarnation == except })
	for _, other := range c.sortedWorkers {
		if other.info.Incarnation() != except && !other.unansweredSince.IsZero() {
			losses = append(losses, c.newWorkerLoss(other, now))
		}
	}
	return losses
}

// lossHistory is what the loss of a worker is compared with: the recent losses of other workers.
type lossHistory struct {
	lostWorker
	others  []workerLoss
	workers float64 // in the cell
	// chance is how many losses by chance per second each worker had at the time of the loss.
	chance float64
}

// lossHistoryOf returns the history for a worker, which may have been removed already.
func (c *Core) lossHistoryOf(lost lostWorker, now time.Time) lossHistory {
	h := lossHistory{lostWorker: lost, others: c.lossesOfOthers(lost.incarnation, now), workers: float64(max(1, len(c.sortedWorkers)))}
	h.chance = h.chanceRate()
	return h
}

// rateFor returns how many losses by chance per second the run of a task is compared with.
func (h lossHistory) rateFor(t *task) float64 { return max(h.chance, h.recurrenceRate(t)) }

// chanceRate estimates how many losses by chance per second each worker had when the worker was lost. The
// estimate takes the highest of three rates: the losses of the last seconds, the losses around that time, both without
// the losses that the tasks on the workers explain, and, when several workers were lost at the same moment, all losses
// of that moment, whatever ran there. A loss in a burst is compared with all losses, a single loss with the other
// single losses.
func (h lossHistory) chanceRate() float64 {
	losses := slices.Clone(h.others)
	discountBursts(losses, h.at)
	return baselineLossRate + estimateChanceRate(losses, h.at, h.workers)/h.workers
}

// estimateChanceRate estimates how many of the given number of workers are lost by chance per second at a time, given
// the losses.
func estimateChanceRate(losses []workerLoss, at time.Time, workers float64) float64 {
	all := 0.0
	for _, l := range losses {
		all += l.count
	}
	// The prior assumes that no loss was caused by the tasks on the worker; the more workers are lost, the more of
	// the losses chance explains.
	prior := baselineLossRate + all/lossRetention.Seconds()/workers
	simultaneous, correlated, recent := 0.0, 0.0, 0.0
	for _, l := range losses {
		distance := l.at.Sub(at).Abs()
		chance := l.count * prior / (prior + l.taskCrashRate)
		recent += chance
		if distance <= correlatedWithin {
			correlated += chance
		}
		if distance <= simultaneousWithin {
			simultaneous += l.count
		}
	}
	return max(recent/lossRetention.Seconds(), (correlated-correlatedAllowance)/(2*correlatedWithin).Seconds(), (simultaneous-simultaneousAllowance)/(2*simultaneousWithin).Seconds())
}
