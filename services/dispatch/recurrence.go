// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"maps"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// A lost task starts again once its loss is proved and a worker takes it, which is about as long after each loss. Where
// workers are lost at regular intervals, each of its runs is then lost after the same runtime, as if the task crashed
// its workers at the same point of its work. Such a task differs from one that does only in what happens to other
// workers: they too are lost again after that interval. So the loss of a run is also compared with how often other
// losses were followed by another loss after the same interval.

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

// earlierLossesOfTasks returns the losses of workers with which earlier runs of the worker's tasks were lost, each once.
func (w *worker) earlierLossesOfTasks() []jobs.WorkerLossID {
	ids := map[jobs.WorkerLossID]struct{}{}
	for _, t := range w.tasks {
		for _, lost := range t.lostRuns() {
			if lost.LossID != 0 {
				ids[lost.LossID] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(ids))
}
