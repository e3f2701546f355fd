// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"rillsail.example/rillsail/models"
	"rillsail.example/rillsail/models/jobs"
)

// longRunningUse is the part of its declared CPU that a long-running task is assumed to use: it declares its
// peak demand.
const longRunningUse = 0.5

// unusedCPU returns the CPU that the worker's ordinary and long-running tasks are assumed to leave unused.
func (w *worker) unusedCPU() models.MilliCPU {
	ordinary := w.used.CPU - w.longRunningCPU
	return w.info.Capacity.CPU - ordinary - models.MilliCPU(longRunningUse*float64(w.longRunningCPU))
}

// activeFillerCPU returns the CPU that the worker's filler tasks declare, but for those on standby.
func (w *worker) activeFillerCPU() models.MilliCPU { return w.fillerCPU - w.standbyCPU }

// mayRunFiller reports whether a filler task may be placed on the worker.
func (c *Core) mayRunFiller(w *worker, s *step) bool {
	return c.loadsAllow(w, s) || c.startsWhateverTheLoads(w, s)
}

// loadsAllow reports whether enough CPU is unused for a filler task on the worker, and the serving tasks' loads stay low
// enough beside it.
func (c *Core) loadsAllow(w *worker, s *step) bool {
	if w.activeFillerCPU()+s.spec.Size.CPU > w.unusedCPU() {
		return false
	}
	share := w.fullShare(s)
	image := c.model.Index(s.spec.Image)
	for _, serving := range c.expectedLoads(w) {
		added, variance := serving.service.AddedLoadBy(image, share)
		if serving.excess(placeCaution, added, variance) > 0 || serving.later.excess(laterCaution, added, variance) > 0 {
			return false
		}
	}
	return true
}

// Weights in the score of a place for a filler task: the probability that a serving task gets over its
// target counts more than the unused CPU.
const (
	harmWeight = 2.0
	idleWeight = 0.1
)

// fillerScore returns the score of the worker as a place for a filler task.
func (c *Core) fillerScore(w *worker, s *step) float64 {
	return idleWeight*float64(w.unusedCPU()-w.activeFillerCPU()-s.spec.Size.CPU)/w.cpuCapacity() - harmWeight*c.addedHarm(w, s)
}

// addedHarm returns by how much a filler task of the step on the worker raises the probability that a serving task there gets
// over its target, summed over the serving images.
func (c *Core) addedHarm(w *worker, s *step) float64 {
	harm := 0.0
	share := w.fullShare(s)
	image := c.model.Index(s.spec.Image)
	for _, serving := range c.expectedLoads(w) {
		added, variance := serving.service.AddedLoadBy(image, share)
		soon := serving.overTarget(added, variance) - serving.overProbability
		later := serving.later.overTarget(added, variance) - serving.later.overProbability
		harm += (soon + later) / 2
	}
	return harm
}

// fillerUse is the part of its declared CPU that a filler task uses at full pace.
const fillerUse = 0.9

// fullShare returns the share of the worker's CPU that a task of a filler step uses at full pace.
func (w *worker) fullShare(s *step) float64 {
	return fillerUse * float64(s.spec.Size.CPU) / w.cpuCapacity()
}

// measuredShares returns the shares of the worker's CPU that each filler image uses, as reported.
func (c *Core) measuredShares(w *worker) []float64 {
	var shares []float64
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state == taskRunning && t.figure > 0 {
			shares = c.addShare(shares, w, t, float64(t.figure))
		}
	}
	return shares
}

// plannedShares returns the shares of the worker's CPU that each filler image will use at the ordered paces.
func (c *Core) plannedShares(w *worker) []float64 {
	var shares []float64
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state != taskStopping {
			use := fillerUse * float64(t.step.spec.Size.CPU)
			shares = c.addShare(shares, w, t, use*float64(t.pace)/float64(jobs.FullSpeed))
		}
	}
	return shares
}

// addShare adds the CPU use of a filler task to the share of its image.
func (c *Core) addShare(shares []float64, w *worker, t *task, use float64) []float64 {
	i := c.model.Index(t.step.spec.Image)
	for len(shares) <= i {
		shares = append(shares, 0)
	}
	shares[i] += use / w.cpuCapacity()
	return shares
}
