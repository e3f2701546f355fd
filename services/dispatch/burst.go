// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"slices"
	"time"
)

// Workers that one cause takes along, like a rack's, a restart of all or a cut, go at the same moment. How
// often that happens says little of a worker that goes by itself, as one does that a task has ended.

const (
	// minBurstWorkers is how many workers go in a burst at least. Two may be lost at the same moment to two tasks that
	// were started together.
	minBurstWorkers = 3
	// burstDetectionDelay is how long after the others a worker of a burst may be noticed: at the next call to it.
	burstDetectionDelay = 400 * time.Millisecond
	// burstLossCount is what a worker of a burst counts for where one goes by itself: where some go together,
	// others go one by one more often than elsewhere.
	burstLossCount = 0.1
)

// burst is a time in which several workers went together.
type burst struct{ from, to time.Time }

type bursts []burst

// findBursts finds the bursts among the times at which workers went.
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

// contains tells whether a time is in one of the bursts.
func (b bursts) contains(at time.Time) bool {
	return slices.ContainsFunc(b, func(each burst) bool { return !at.Before(each.from) && !at.After(each.to) })
}

// discountBursts lets workers that went in bursts count for less, if the one that was lost then went by itself.
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
