// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"math"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// servingTask is a serving task's image with the load that is expected of it.
type servingTask struct {
	image           jobs.ImageName
	service         *contention.Service
	mean            float64
	variance        float64
	shownLoad       float64      // in the latest report
	overProbability float64      // the probability that it gets over its target
	later           *servingTask // the same when a task that is placed now has run for a while
}

// excess is by how much the load is over that at the target when some is added, if it is
// taken to be so many standard deviations higher than its mean.
func (s servingTask) excess(caution, mean, variance float64) float64 {
	return s.mean + mean + caution*math.Sqrt(s.variance+variance+residualVariance) - s.service.TargetLoad()
}

const (
	// lookahead is how far ahead loads are expected: an order takes a tenth of a second, and the
	// next look at the worker comes half a second later.
	lookahead = 600 * time.Millisecond
	// laterLookahead is how far ahead a place is looked at besides: filling tasks of the users run
	// for about two seconds, and a load on its way up would throttle or move them soon.
	laterLookahead = 1800 * time.Millisecond
	// expectationLifetime is for how long an expectation is used: with slopeSpread, a load
	// moves by about 0.02 meanwhile.
	expectationLifetime = 200 * time.Millisecond
)

// expectedLoads gives the serving tasks of a worker with the loads that follow from the model
// and the ordered paces. The list is kept for a while, unless the worker's tasks, figures
// or paces change.
func (c *Core) expectedLoads(w *worker) []servingTask {
	if w.expectedValid && c.now.Sub(w.expectedAt) < expectationLifetime {
		return w.loadExpectations
	}
	w.loadExpectations = w.loadExpectations[:0]
	shares := c.plannedShares(w)
	for _, t := range w.tasks {
		if t.step.spec.Serves() {
			w.loadExpectations = append(w.loadExpectations, c.expectTask(t, shares))
		}
	}
	w.expectedValid, w.expectedAt = true, c.now
	return w.loadExpectations
}

// expectTask gives a serving task with its expected load; shares are those of the filling
// images beside it.
func (c *Core) expectTask(t *task, shares []float64) servingTask {
	image := t.step.spec.Image
	service := c.model.Service(image)
	added, variance := service.Added(shares)
	serving := servingTask{image: image, service: service, mean: t.loadOffset + added, variance: variance, shownLoad: t.shownLoad}
	later := serving
	serving.addBaseline(&t.step.baseline, c.now.Add(lookahead))
	later.addBaseline(&t.step.baseline, c.now.Add(laterLookahead))
	serving.later = &later
	return serving
}

// addBaseline adds the load that the step has of its own at a time.
func (s *servingTask) addBaseline(own *contention.Load, at time.Time) {
	mean, variance := own.Predict(at)
	s.mean += mean
	s.variance += variance
	s.overProbability = s.overTarget(0, 0)
}

// overTarget is the probability that the load reaches the target when some is added.
func (s servingTask) overTarget(mean, variance float64) float64 {
	spread := math.Sqrt(s.variance + variance + residualVariance)
	return 1 / (1 + math.Exp(logisticSlope*(s.service.TargetLoad()-s.mean-mean)/spread))
}

// logisticSlope lets a logistic curve stand in for the normal one, within 0.01.
const logisticSlope = 1.702

// residualVariance is the variance of a load that the model doesn't know: that of a figure.
const residualVariance = 0.04 * 0.04
