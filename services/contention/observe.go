// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"math"
	"time"
)

// Observation is the load of a serving task, computed from the tail latency that its worker reports.
type Observation struct {
	At     time.Time
	Load   float64
	Shares []float64 // of the worker, used by the filler images beside the task, by their indexes
	Offset float64   // difference between the task's load and the load of its step, as estimated so far
	// Unsettled is set if the filler tasks beside the task, or their pace, have just changed.
	Unsettled bool
}

// Standard deviations of a reported tail, expressed as a load.
const (
	reportedTailStdDev = 0.05
	unsettledStdDev    = 0.15 // of an unsettled observation
)

// offsetStdDev is the standard deviation between the load of a task and the loads of its step's
// other tasks.
const offsetStdDev = 0.02

// maxDeviations limits the effect of a single observation, in standard deviations of the expected difference.
const maxDeviations = 3

// Observe updates the service's factors and the step's baseline load with an observed load.
// Observe returns the correction of the task's offset.
func (s *Service) Observe(baseline *BaselineLoad, o Observation) (correction float64) {
	baseline.Advance(o.At)
	added, addedVariance, gain := s.predictAdded(o.Shares)
	level, levelVariance := baseline.current()
	difference := min(o.Load, saturatedLoad) - level - o.Offset - added
	if o.Load >= saturatedLoad && difference < 0 {
		return 0 // a saturated tail gives only a lower bound of the load
	}
	variance := levelVariance + offsetStdDev*offsetStdDev + addedVariance + o.variance()
	difference = clamp(difference, maxDeviations*math.Sqrt(variance))
	s.correct(difference, variance, gain)
	baseline.Correct(level+difference, variance-levelVariance)
	return offsetStdDev * offsetStdDev / variance * difference
}

// variance returns the variance of the observed load.
func (o Observation) variance() float64 {
	if o.Unsettled {
		return unsettledStdDev * unsettledStdDev
	}
	return reportedTailStdDev * reportedTailStdDev
}

// clamp limits a value to the range from -bound to bound.
func clamp(value, bound float64) float64 { return min(bound, max(-bound, value)) }
