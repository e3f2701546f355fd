// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// lastingUse is the part of its declared processor time that a lasting task is taken to
// use: it declares what it needs at its busiest.
const lastingUse = 0.5

// unused is the processor time that the worker's tasks are taken to leave over.
func (w *worker) unused() models.MilliCPU {
	ordinary := w.used.CPU - w.lasting
	return w.info.Capacity.CPU - ordinary - models.MilliCPU(lastingUse*float64(w.lasting))
}

// mayFill tells whether a filling task may come to the worker: there must be processor
// time left over, and the loads there must stay low enough.
func (c *Core) mayFill(w *worker, s *step) bool {
	if w.filling+s.spec.Size.CPU > w.unused() {
		return false
	}
	share := w.fullShare(s)
	image := c.model.Index(s.spec.Image)
	for _, serving := range c.expect(w) {
		added, variance := serving.service.AddedBy(image, share)
		if serving.excess(placeCaution, added, variance) > 0 || serving.later.excess(laterCaution, added, variance) > 0 {
			return false
		}
	}
	return true
}

// Weights of a place for a filling task: the probability that a serving task gets over its
// target counts more than how much processor time is left over.
const (
	harmWeight = 2.0
	idleWeight = 0.1
)

// fillScore is how good a place the worker is for a filling task.
func (c *Core) fillScore(w *worker, s *step) float64 {
	score := idleWeight * float64(w.unused()-w.filling-s.spec.Size.CPU) / w.capacity()
	share := w.fullShare(s)
	image := c.model.Index(s.spec.Image)
	for _, serving := range c.expect(w) {
		added, variance := serving.service.AddedBy(image, share)
		soon := serving.overTarget(added, variance) - serving.over
		later := serving.later.overTarget(added, variance) - serving.later.over
		score -= harmWeight * (soon + later) / 2
	}
	return score
}

// usedOfDeclared is the part of its declared processor time that a filling task uses at
// full pace.
const usedOfDeclared = 0.9

// fullShare is the share of the worker that a task of a filling step uses at full pace.
func (w *worker) fullShare(s *step) float64 {
	return usedOfDeclared * float64(s.spec.Size.CPU) / w.capacity()
}

// measuredShares are the shares of the worker that the filling images use, as reported.
func (c *Core) measuredShares(w *worker) []float64 {
	var shares []float64
	for _, t := range w.tasks {
		if t.step.spec.Fills && t.state == taskRunning && t.figure > 0 {
			shares = c.share(shares, w, t, float64(t.figure))
		}
	}
	return shares
}

// plannedShares are the shares that the filling images will use at their ordered paces.
func (c *Core) plannedShares(w *worker) []float64 {
	var shares []float64
	for _, t := range w.tasks {
		if t.step.spec.Fills && t.state != taskStopping {
			use := usedOfDeclared * float64(t.step.spec.Size.CPU)
			shares = c.share(shares, w, t, use*float64(t.pace)/float64(jobs.FullSpeed))
		}
	}
	return shares
}

// share adds what a filling task uses to the share of its image.
func (c *Core) share(shares []float64, w *worker, t *task, use float64) []float64 {
	i := c.model.Index(t.step.spec.Image)
	for len(shares) <= i {
		shares = append(shares, 0)
	}
	shares[i] += use / w.capacity()
	return shares
}
