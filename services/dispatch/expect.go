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
	image    jobs.ImageName
	service  *contention.Service
	mean     float64
	variance float64
	seen     float64      // in the latest report
	over     float64      // the probability that it gets over its target
	later    *servingTask // the same when a task that is placed now has run for a while
}

// excess is by how much the load is over that at the target when some is added, if it is
// taken to be so many standard deviations higher than its mean.
func (s servingTask) excess(caution, mean, variance float64) float64 {
	return s.mean + mean + caution*math.Sqrt(s.variance+variance+restVariance) - s.service.TargetLoad()
}

const (
	// lead is how far ahead loads are expected: an order takes a tenth of a second, and the
	// next look at the worker comes half a second later.
	lead = 600 * time.Millisecond
	// laterLead is how far ahead a place is looked at besides: filling tasks of the users run
	// for about two seconds, and a load on its way up would throttle or move them soon.
	laterLead = 1800 * time.Millisecond
	// expectedFor is for how long an expectation is used: with slopeSpread, a load
	// moves by about 0.02 meanwhile.
	expectedFor = 200 * time.Millisecond
)

// expect gives the serving tasks of a worker with the loads that follow from the model
// and the ordered paces. The list is kept for a while, unless the worker's tasks, figures
// or paces change.
func (c *Core) expect(w *worker) []servingTask {
	if w.expectedValid && c.now.Sub(w.expectedAt) < expectedFor {
		return w.expected
	}
	w.expected = w.expected[:0]
	shares := c.plannedShares(w)
	for _, t := range w.tasks {
		if t.step.spec.Serves() {
			w.expected = append(w.expected, c.expectTask(t, shares))
		}
	}
	w.expectedValid, w.expectedAt = true, c.now
	return w.expected
}

// expectTask gives a serving task with its expected load; shares are those of the filling
// images beside it.
func (c *Core) expectTask(t *task, shares []float64) servingTask {
	image := t.step.spec.Image
	service := c.model.Service(image)
	added, variance := service.Added(shares)
	serving := servingTask{image: image, service: service, mean: t.apart + added, variance: variance, seen: t.shown}
	later := serving
	serving.addOwn(&t.step.own, c.now.Add(lead))
	later.addOwn(&t.step.own, c.now.Add(laterLead))
	serving.later = &later
	return serving
}

// addOwn adds the load that the step has of its own at a time.
func (s *servingTask) addOwn(own *contention.Load, at time.Time) {
	mean, variance := own.Predict(at)
	s.mean += mean
	s.variance += variance
	s.over = s.overTarget(0, 0)
}

// overTarget is the probability that the load reaches the target when some is added.
func (s servingTask) overTarget(mean, variance float64) float64 {
	spread := math.Sqrt(s.variance + variance + restVariance)
	return 1 / (1 + math.Exp(logisticSlope*(s.service.TargetLoad()-s.mean-mean)/spread))
}

// logisticSlope lets a logistic curve stand in for the normal one, within 0.01.
const logisticSlope = 1.702

// restVariance is the variance of a load that the model doesn't know: that of a figure.
const restVariance = 0.04 * 0.04
