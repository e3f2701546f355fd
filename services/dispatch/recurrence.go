// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// A lost task starts again once its loss is proved and a worker takes it, which is about as long after each loss. Where
// workers are lost at regular intervals, each of its runs is then lost after the same runtime, as if the task crashed
// its workers at the same point of its work. Such a task differs from one that does only in what happens to other
// workers: they too are lost again after that interval. So the loss of a run is also compared with how often other
// losses were followed by another loss after the same interval.
//
// Likewise a task that stays on one VM loses its runs as that VM restarts: a VM that has restarted several times within
// some seconds restarts again far more often than the average one, whatever runs there.

// recurrenceAllowance is how many losses may have followed other losses after the same interval by coincidence.
const recurrenceAllowance = 1

// recurrenceRate estimates how many losses by chance per second each worker had at the time of the loss, given that the
// task's latest earlier run was lost as long before. It returns 0 if the task has lost no run within lossRetention.
func (h lossHistory) recurrenceRate(t *task) float64 {
	earlier := t.lossIDs()
	inEarlier := func(l workerLoss) bool { return slices.Contains(earlier, l.incarnation.LossID()) }
	var latestLoss time.Time
	for _, l := range h.others {
		if inEarlier(l) && l.at.Before(h.at) {
			latestLoss = latest(latestLoss, l.at)
		}
	}
	if latestLoss.IsZero() {
		return 0
	}
	others := slices.DeleteFunc(slices.Clone(h.others), inEarlier)
	return lossRateAfter(others, h.at.Sub(latestLoss), h.at) / h.workers
}

// lossRateAfter estimates how many losses per second there are the given interval after a loss, from the losses
// that are at least this interval before the given time. A loss that is followed by that of a worker with one of its
// tasks does not count as followed: the task may have crashed both.
func lossRateAfter(losses []workerLoss, interval time.Duration, at time.Time) float64 {
	earlier, followed := 0, 0
	for _, l := range losses {
		expected := l.at.Add(interval)
		if expected.After(at.Add(simultaneousWithin)) {
			continue
		}
		earlier++
		for _, next := range losses {
			if next.at.Sub(expected).Abs() <= simultaneousWithin && !slices.Contains(next.earlier, l.incarnation.LossID()) {
				followed++
			}
		}
	}
	if followed <= recurrenceAllowance {
		return 0
	}
	return float64(followed-recurrenceAllowance) / float64(earlier) / (2 * simultaneousWithin).Seconds()
}

// repeatedLossShare is the share of the VMs lost once that are lost again soon, by themselves.
const repeatedLossShare = 0.1

// repeatRate estimates how often the worker's VM is lost by itself, in losses per second, from the recent losses of
// earlier incarnations there. The first of them may be the only one, so it counts for little. Losses of runs of the
// task that had lasted as long as the present one do not count: the task may have crashed the VM at the same point.
func (h lossHistory) repeatRate(t *task, ran time.Duration) float64 {
	alike := t.lossesAfterAbout(ran)
	losses, first := 0.0, h.at
	for _, l := range h.others {
		if l.address != h.address || !l.at.Before(h.at) || slices.Contains(alike, l.incarnation.LossID()) {
			continue
		}
		losses += l.count
		if l.at.Before(first) {
			first = l.at
		}
	}
	return max(0, losses-1+repeatedLossShare) / max(h.at.Sub(first), minRuntime).Seconds()
}

// lossesAfterAbout returns the losses of workers with which runs of the task were lost after about the given runtime.
func (t *task) lossesAfterAbout(ran time.Duration) []jobs.WorkerLossID {
	var ids []jobs.WorkerLossID
	for _, lost := range t.lostRuns() {
		if earlier := lost.RanAtMost.Duration(); (ran - earlier).Abs() <= recurrenceTolerance(earlier) {
			ids = append(ids, lost.LossID)
		}
	}
	return ids
}

// lossIDs returns the losses of workers with which runs of the task were lost.
func (t *task) lossIDs() []jobs.WorkerLossID {
	var ids []jobs.WorkerLossID
	for _, lost := range t.lostRuns() {
		if lost.LossID != 0 {
			ids = append(ids, lost.LossID)
		}
	}
	return ids
}

// earlierLossesOfTasks returns the losses of workers with which earlier runs of the worker's tasks were lost.
func (w *worker) earlierLossesOfTasks() []jobs.WorkerLossID {
	var ids []jobs.WorkerLossID
	for _, t := range w.tasks {
		ids = append(ids, t.lossIDs()...)
	}
	return ids
}
