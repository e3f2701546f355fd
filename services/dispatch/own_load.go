// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"math"
	"time"

	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// ownLoad estimates the load that the tasks of a serving step have of their own, that is
// with nothing filling beside them. They serve the same users, so their loads swing
// together: all their reports go into one estimate. How fast it swings is not known
// beforehand, so a bank of filters runs side by side, one for each period of a grid and
// one without any; what each had expected of the reports says how much it counts.
type ownLoad struct {
	at      time.Time // of the estimate; zero: nothing is known yet
	swings  []swing
	weights []float64 // of swings; their sum is 1
}

const (
	// startOwn and ownSpread are the load of a step that nothing is known of, with its standard
	// deviation over time. They count for the first reports only.
	startOwn  = 0.45
	ownSpread = 0.16
	// meanSpread is the standard deviation of the load around which it swings.
	meanSpread = 0.08
	// Bounds of the level: estimates beyond them are errors of the model.
	leastOwn = 0.05
	mostOwn  = 0.95
	// leastWeight is what a filter always counts, so that a load that begins to swing
	// otherwise is followed within seconds.
	leastWeight = 1e-3
)

// predict gives the mean and variance of the load at a time.
func (o *ownLoad) predict(at time.Time) (mean, variance float64) {
	if o.at.IsZero() {
		return startOwn, ownSpread * ownSpread
	}
	dt := max(0, at.Sub(o.at).Seconds())
	var square float64
	for i := range o.swings {
		if o.weights[i] <= 2*leastWeight {
			continue // it changes the result by less than a figure's rounding
		}
		next := o.swings[i]
		next.advance(dt)
		mean += o.weights[i] * next.level
		square += o.weights[i] * (next.variance() + next.level*next.level)
	}
	counted := o.counted()
	mean /= counted
	variance = square/counted - mean*mean
	if variance >= ownSpread*ownSpread {
		return startOwn, ownSpread * ownSpread // too long without a report
	}
	return mean, max(0, variance)
}

// counted is the weight of the filters that predict looks at.
func (o *ownLoad) counted() float64 {
	sum := 0.0
	for _, weight := range o.weights {
		if weight > 2*leastWeight {
			sum += weight
		}
	}
	return sum
}

// advance moves the estimate to a later time.
func (o *ownLoad) advance(to time.Time) {
	if o.at.IsZero() {
		o.reset(to)
		return
	}
	dt := to.Sub(o.at).Seconds()
	if dt <= 0 {
		return
	}
	o.at = to
	for i := range o.swings {
		o.swings[i].advance(dt)
	}
	if _, variance := o.predict(to); variance >= ownSpread*ownSpread {
		o.reset(to)
	}
}

// reset forgets what was known.
func (o *ownLoad) reset(at time.Time) {
	o.at = at
	o.swings = newSwings()
	o.weights = make([]float64, len(o.swings))
	for i := range o.weights {
		o.weights[i] = 1 / float64(len(o.weights))
	}
}

// now gives the mean and variance of the load at the time of the estimate.
func (o *ownLoad) now() (mean, variance float64) { return o.predict(o.at) }

// correct takes an observation of the load, and the variance that it has by itself.
func (o *ownLoad) correct(seen, variance float64) {
	sum := 0.0
	for i := range o.swings {
		s := &o.swings[i]
		difference, expected := seen-s.level, s.variance()+variance
		o.weights[i] *= math.Exp(-difference*difference/expected/2) / math.Sqrt(expected)
		sum += o.weights[i]
		s.correct(bounded(difference, mostDeviations*math.Sqrt(expected)), expected)
	}
	if sum <= 0 || math.IsNaN(sum) {
		o.reset(o.at)
		return
	}
	for i := range o.weights {
		o.weights[i] = max(leastWeight, o.weights[i]/sum)
	}
}

// summary is what a successor needs of the estimate: the state of the filter that counts
// most, and how much each counts.
func (o *ownLoad) summary() jobs.StepLoad {
	load := jobs.StepLoad{At: models.UnixMilliOf(o.at)}
	most := 0
	for i, weight := range o.weights {
		if weight > o.weights[most] {
			most = i
		}
		load.Weights = append(load.Weights, rounded(weight))
	}
	s := o.swings[most]
	load.State = [3]float64{rounded(s.level), rounded(s.slope), rounded(s.mean)}
	for i, row := range s.covariance {
		for j, covariance := range row {
			load.Covariance[i][j] = rounded(covariance)
		}
	}
	return load
}

// ownLoadOf is the estimate that a summary tells of.
func ownLoadOf(load jobs.StepLoad) ownLoad {
	var o ownLoad
	o.reset(load.At.Time())
	for i := range o.swings {
		s := &o.swings[i]
		s.level, s.slope, s.mean = load.State[0], load.State[1], load.State[2]
		s.covariance = load.Covariance
	}
	if len(load.Weights) == len(o.weights) {
		copy(o.weights, load.Weights)
	}
	return o
}
