// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"math"
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// servingTask is the image of a serving task with its predicted load.
type servingTask struct {
	image           jobs.ImageName
	service         *contention.Service
	mean            float64
	variance        float64
	shownLoad       float64      // in the latest report
	overProbability float64      // probability that the load gets over its target
	later           *servingTask // the prediction for when a task placed now has run for a while
}

// excess returns by how much the load would exceed the target load after a load of the given mean and variance
// is added. The load is assumed to be caution standard deviations above its mean.
func (s servingTask) excess(caution, mean, variance float64) float64 {
	return s.mean + mean + caution*math.Sqrt(s.variance+variance+residualVariance) - s.service.TargetLoad()
}

const (
	// lookahead is how far ahead loads are predicted: an order takes a tenth of a second, and the worker is
	// examined again half a second later.
	lookahead = 600 * time.Millisecond
	// laterLookahead is how far ahead a placement is checked in addition: the users' filler tasks run for about
	// two seconds, and a rising load would soon make it necessary to throttle or move them.
	laterLookahead = 1800 * time.Millisecond
	// expectationLifetime is how long a prediction is reused: with slopeSpread, a load moves by about 0.02 in
	// that time.
	expectationLifetime = 200 * time.Millisecond
)

// expectedLoads returns the serving tasks of a worker with the loads that follow from the model and the ordered
// paces. The result is cached until it expires or the worker's tasks, figures or paces change.
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

// recordChange records that the worker's tasks, figures or paces have changed.
func (c *Core) recordChange(w *worker) {
	w.expectedValid = false
	c.numberChange(w)
}

// expectTask returns a serving task with its predicted load; shares are those of the filler images beside it.
func (c *Core) expectTask(t *task, shares []float64) servingTask {
	image := t.step.spec.Image
	service := c.model.Service(image)
	added, variance := service.AddedLoad(shares)
	serving := servingTask{image: image, service: service, mean: t.loadOffset + added, variance: variance, shownLoad: t.shownLoad}
	later := serving
	serving.addBaseline(&t.step.baseline, c.now.Add(lookahead))
	later.addBaseline(&t.step.baseline, c.now.Add(laterLookahead))
	serving.later = &later
	return serving
}

// addBaseline adds the baseline load of the step, as predicted for the given time.
func (s *servingTask) addBaseline(baseline *contention.BaselineLoad, at time.Time) {
	mean, variance := baseline.Predict(at)
	s.mean += mean
	s.variance += variance
	s.overProbability = s.overTarget(0, 0)
}

// overTarget returns the probability that the load reaches its target after a load of the given mean and
// variance is added.
func (s servingTask) overTarget(mean, variance float64) float64 {
	spread := math.Sqrt(s.variance + variance + residualVariance)
	return 1 / (1 + math.Exp(logisticSlope*(s.service.TargetLoad()-s.mean-mean)/spread))
}

// logisticSlope makes a logistic curve approximate the normal distribution within 0.01.
const logisticSlope = 1.702

// residualVariance is the variance of a load that the model does not explain: that of a single figure.
const residualVariance = 0.04 * 0.04
