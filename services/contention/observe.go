// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"math"
	"time"
)

// Observation is the load that a serving task's figure shows.
type Observation struct {
	At     time.Time
	Load   float64
	Shares []float64 // of the worker that the filling images beside it use, by their indexes
	Apart  float64   // by which the task's load differs from that of its step, as known so far
	// Unsettled says that what fills beside it, or its pace, has just changed.
	Unsettled bool
}

// Standard deviations of a figure, as a load.
const (
	figureStdDev    = 0.05
	unsettledStdDev = 0.15 // of one that is unsettled
)

// offsetStdDev is the standard deviation by which a task's load differs from that of its
// step's other tasks.
const offsetStdDev = 0.02

// maxDeviations bounds what a single figure can change, in standard deviations.
const maxDeviations = 3

// Observe takes a load into what is known of the service's pairs and of the step's own load.
// It gives by how much Apart is to be corrected.
func (s *Service) Observe(own *Load, o Observation) (apart float64) {
	own.Advance(o.At)
	added, addedVariance, gain := s.predictAdded(o.Shares)
	level, levelVariance := own.current()
	difference := min(o.Load, saturatedLoad) - level - o.Apart - added
	if o.Load >= saturatedLoad && difference < 0 {
		return 0 // such a tail only says that the load is at least so high
	}
	variance := levelVariance + offsetStdDev*offsetStdDev + addedVariance + o.variance()
	difference = clamp(difference, maxDeviations*math.Sqrt(variance))
	s.correct(difference, variance, gain)
	own.Correct(level+difference, variance-levelVariance)
	return offsetStdDev * offsetStdDev / variance * difference
}

// variance is that of the figure, as a load.
func (o Observation) variance() float64 {
	if o.Unsettled {
		return unsettledStdDev * unsettledStdDev
	}
	return figureStdDev * figureStdDev
}

// clamp keeps a value within a bound on both sides.
func clamp(value, bound float64) float64 { return min(bound, max(-bound, value)) }
