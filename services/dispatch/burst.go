// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"
)

// Workers that fail for a common cause, such as the loss of a rack, a restart of all workers or a network partition,
// are lost at the same moment. How often that happens says little about a worker that is lost by itself, as happens
// when a task crashes the worker's process.

const (
	// minBurstWorkers is the least number of workers that are lost in a burst. Two may be lost at the same moment to
	// two tasks that were started together.
	minBurstWorkers = 3
	// burstDetectionDelay is how much later than the others the loss of a worker in a burst may be detected: with
	// the next call to the worker.
	burstDetectionDelay = 400 * time.Millisecond
	// burstLossCount is what a loss in a burst counts for where a single loss counts 1: where several workers are
	// lost together, workers are also lost one by one more often than elsewhere.
	burstLossCount = 0.1
)

// burst is a period in which several workers were lost together.
type burst struct{ from, to time.Time }

type bursts []burst

// findBursts finds the bursts among the times at which workers were lost.
func findBursts(times []time.Time) bursts {
	slices.SortFunc(times, time.Time.Compare)
	var found bursts
	for first := 0; first < len(times); {
		last := first
		for last+1 < len(times) && times[last+1].Sub(times[last]) <= simultaneousWithin {
			last++
		}
		if last-first+1 >= minBurstWorkers {
			found = append(found, burst{from: times[first], to: times[last].Add(burstDetectionDelay)})
		}
		first = last + 1
	}
	return found
}

// contains reports whether a time lies within one of the bursts.
func (b bursts) contains(at time.Time) bool {
	return slices.ContainsFunc(b, func(each burst) bool { return !at.Before(each.from) && !at.After(each.to) })
}

// discountBursts lets losses in bursts count for less if the loss at the given time is not part of a burst.
func discountBursts(losses []workerLoss, at time.Time) {
	times := []time.Time{at}
	for _, l := range losses {
		times = append(times, l.at)
	}
	found := findBursts(times)
	if found.contains(at) {
		return
	}
	for i := range losses {
		if found.contains(losses[i].at) {
			losses[i].count = burstLossCount
		}
	}
}
