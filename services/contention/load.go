// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"math"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// BaselineLoad estimates the baseline load of a serving step: the load of its tasks without filler tasks
// beside them. The tasks serve the same users, so their loads oscillate together, and the reports of
// all tasks update one estimate. The period of the oscillation is not known in advance. Therefore
// a bank of filters runs in parallel, one for each period of a grid and one without a period. The
// weight of a filter follows from the likelihood of the reports under its predictions.
type BaselineLoad struct {
	at      time.Time // time of the estimate; zero: there is none yet
	filters []oscillator
	weights []float64 // of the filters; their sum is 1
}

const (
	// priorLoad and priorLoadStdDev are the load of a step without reports and its standard deviation
	// over time. They matter for the first reports only.
	priorLoad       = 0.45
	priorLoadStdDev = 0.16
	// meanStdDev is the prior standard deviation of the mean around which a load oscillates.
	meanStdDev = 0.08
	// Bounds of the estimated load: estimates outside them are errors of the model.
	minLoad = 0.05
	maxLoad = 0.95
	// minWeight is the minimum weight of a filter, so that the estimate adapts within seconds to a load
	// whose period changes.
	minWeight = 1e-3
)

// Predict returns the mean and variance of the load at a time.
func (l *BaselineLoad) Predict(at time.Time) (mean, variance float64) {
	if l.at.IsZero() {
		return priorLoad, priorLoadStdDev * priorLoadStdDev
	}
	dt := max(0, at.Sub(l.at).Seconds())
	var square, counted float64
	for i := range l.filters {
		if l.weights[i] <= 2*minWeight {
			continue // changes the result by less than the rounding of a reported tail
		}
		next := l.filters[i]
		next.advance(dt)
		counted += l.weights[i]
		mean += l.weights[i] * next.level
		square += l.weights[i] * (next.variance() + next.level*next.level)
	}
	mean /= counted
	variance = square/counted - mean*mean
	if variance >= priorLoadStdDev*priorLoadStdDev {
		return priorLoad, priorLoadStdDev * priorLoadStdDev // the last report is too long ago
	}
	return mean, max(0, variance)
}

// Advance moves the estimate forward to a later time.
func (l *BaselineLoad) Advance(to time.Time) {
	if l.at.IsZero() {
		l.reset(to)
		return
	}
	dt := to.Sub(l.at).Seconds()
	if dt <= 0 {
		return
	}
	l.at = to
	for i := range l.filters {
		l.filters[i].advance(dt)
	}
	if _, variance := l.Predict(to); variance >= priorLoadStdDev*priorLoadStdDev {
		l.reset(to)
	}
}

// reset discards all observations.
func (l *BaselineLoad) reset(at time.Time) {
	l.at = at
	l.filters = newFilters()
	l.weights = make([]float64, len(l.filters))
	for i := range l.weights {
		l.weights[i] = 1 / float64(len(l.weights))
	}
}

// current returns the mean and variance of the load at the time of the estimate.
func (l *BaselineLoad) current() (mean, variance float64) { return l.Predict(l.at) }

// Correct updates the estimate with an observed load and the variance of the observation.
func (l *BaselineLoad) Correct(observed, variance float64) {
	sum := 0.0
	for i := range l.filters {
		s := &l.filters[i]
		difference, expected := observed-s.level, s.variance()+variance
		l.weights[i] *= math.Exp(-difference*difference/expected/2) / math.Sqrt(expected)
		sum += l.weights[i]
		s.correct(clamp(difference, maxDeviations*math.Sqrt(expected)), expected)
	}
	if sum <= 0 || math.IsNaN(sum) {
		l.reset(l.at)
		return
	}
	for i := range l.weights {
		l.weights[i] = max(minWeight, l.weights[i]/sum)
	}
}

// Known reports whether anything has been observed.
func (l *BaselineLoad) Known() bool { return !l.at.IsZero() }

// At returns when the load was last observed.
func (l *BaselineLoad) At() time.Time { return l.at }

// Summary returns the state that a successor needs to restore the estimate, besides the time At: the state of the
// filter with the largest weight, and the weights of all filters.
func (l *BaselineLoad) Summary() jobs.StepLoad {
	var load jobs.StepLoad
	most := 0
	for i, weight := range l.weights {
		if weight > l.weights[most] {
			most = i
		}
		load.Weights = append(load.Weights, rounded(weight))
	}
	s := l.filters[most]
	load.State = [3]float64{rounded(s.level), rounded(s.slope), rounded(s.mean)}
	for i, row := range s.covariance {
		for j, covariance := range row {
			load.Covariance[i][j] = rounded(covariance)
		}
	}
	return load
}

// RestoreBaselineLoad restores an estimate from its summary and its time.
func RestoreBaselineLoad(summary jobs.StepLoad, at time.Time) BaselineLoad {
	var l BaselineLoad
	l.reset(at)
	for i := range l.filters {
		s := &l.filters[i]
		s.level, s.slope, s.mean = summary.State[0], summary.State[1], summary.State[2]
		s.covariance = summary.Covariance
	}
	if len(summary.Weights) == len(l.weights) {
		copy(l.weights, summary.Weights)
	}
	return l
}
