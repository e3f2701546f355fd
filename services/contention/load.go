// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package contention

import (
	"math"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// Load estimates the load that the tasks of a serving step have of their own, that is
// with nothing filling beside them. They serve the same users, so their loads swing
// together: all their reports go into one estimate. How fast it swings is not known
// beforehand, so a bank of filters runs side by side, one for each period of a grid and
// one without any; what each had expected of the reports says how much it counts.
type Load struct {
	at      time.Time // of the estimate; zero: nothing is known yet
	filters []oscillator
	weights []float64 // of swings; their sum is 1
}

const (
	// priorLoad and priorLoadStdDev are the load of a step that nothing is known of, with its standard
	// deviation over time. They count for the first reports only.
	priorLoad       = 0.45
	priorLoadStdDev = 0.16
	// meanStdDev is the standard deviation of the load around which it swings.
	meanStdDev = 0.08
	// Bounds of the level: estimates beyond them are errors of the model.
	minLoad = 0.05
	maxLoad = 0.95
	// minWeight is what a filter always counts, so that a load that begins to swing
	// otherwise is followed within seconds.
	minWeight = 1e-3
)

// Predict gives the mean and variance of the load at a time.
func (l *Load) Predict(at time.Time) (mean, variance float64) {
	if l.at.IsZero() {
		return priorLoad, priorLoadStdDev * priorLoadStdDev
	}
	dt := max(0, at.Sub(l.at).Seconds())
	var square, counted float64
	for i := range l.filters {
		if l.weights[i] <= 2*minWeight {
			continue // it changes the result by less than a figure's rounding
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
		return priorLoad, priorLoadStdDev * priorLoadStdDev // too long without a report
	}
	return mean, max(0, variance)
}

// Advance moves the estimate to a later time.
func (l *Load) Advance(to time.Time) {
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

// reset forgets what was known.
func (l *Load) reset(at time.Time) {
	l.at = at
	l.filters = newFilters()
	l.weights = make([]float64, len(l.filters))
	for i := range l.weights {
		l.weights[i] = 1 / float64(len(l.weights))
	}
}

// current gives the mean and variance of the load at the time of the estimate.
func (l *Load) current() (mean, variance float64) { return l.Predict(l.at) }

// Correct takes an observation of the load, and the variance that it has by itself.
func (l *Load) Correct(seen, variance float64) {
	sum := 0.0
	for i := range l.filters {
		s := &l.filters[i]
		difference, expected := seen-s.level, s.variance()+variance
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

// Known tells whether anything was observed.
func (l *Load) Known() bool { return !l.at.IsZero() }

// At is when it was last observed.
func (l *Load) At() time.Time { return l.at }

// Summary is what a successor needs beside the time At of the estimate: the state of the filter that counts
// most, and how much each counts.
func (l *Load) Summary() jobs.StepLoad {
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

// LoadOf is the estimate that a summary tells of, as of a time.
func LoadOf(summary jobs.StepLoad, at time.Time) Load {
	var l Load
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
