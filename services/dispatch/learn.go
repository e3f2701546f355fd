// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"rillsail.example/rillsail/models/jobs"
	"rillsail.example/rillsail/services/contention"
)

// A reported figure covers the last half second, so it shows the mean of that time.
const (
	figureAge  = 250 * time.Millisecond
	figureSpan = 600 * time.Millisecond // until a change shows in full, rounding included
)

// servingWarmup is how long the figures of a new serving task are ignored as meaningless.
const servingWarmup = 1500 * time.Millisecond

// learn feeds a worker's figures into the interference model: the load that a serving task shows is its
// baseline load plus what the filler tasks beside it add.
func (c *Core) learn(w *worker, now time.Time) {
	shares := c.measuredShares(w)
	w.maxLoad, w.maxExcess, w.averageExcess = 0, -1, -1
	for _, t := range w.tasks {
		if t.step.spec.Serves() && t.state == taskRunning && t.figure > 0 {
			c.learnServing(w, t, shares, now)
		}
	}
	c.settleModel(now)
	w.updateOverTarget(now)
}

// learnServing feeds the tail latency of a serving task into the model; shares are those of the filler images
// beside it.
func (c *Core) learnServing(w *worker, t *task, shares []float64, now time.Time) {
	service := c.model.Service(t.step.spec.Image)
	started := now.Sub(t.startedAt) >= servingWarmup
	if started {
		c.learnUnit(w, t, service, now)
	}
	load := service.LoadFromTail(t.figure, int(t.step.spec.Target))
	t.recordLoad(load)
	w.maxLoad = max(w.maxLoad, load)
	w.maxExcess = max(w.maxExcess, load-service.TargetLoad())
	w.averageExcess = max(w.averageExcess, t.averageLoad-service.TargetLoad())
	if started {
		t.loadOffset += service.Observe(&t.step.baseline, contention.Observation{
			At: now.Add(-figureAge), Load: load, Shares: shares, Offset: t.loadOffset, Unsettled: now.Sub(w.fillersChangedAt) < figureSpan,
		})
	}
}

// learnUnit uses a tail latency measured while no filler task worked beside the serving task for the whole span of
// the figure to estimate the unit in which its service's loads are expressed, and rescales the loads when the
// unit changes.
func (c *Core) learnUnit(w *worker, t *task, service *contention.Service, now time.Time) {
	if w.hasWorkingFillers() || now.Sub(w.fillersChangedAt) < figureSpan {
		return
	}
	seconds := now.Sub(t.step.aloneReportedAt).Seconds()
	t.step.aloneReportedAt = now
	scale := service.ObserveAlone(t.figure, int(t.step.spec.Target), seconds)
	if scale == 1 {
		return
	}
	for _, j := range c.jobs {
		for s := range j.heldSteps() {
			if s.spec.Image == t.step.spec.Image && s.spec.Serves() {
				s.rescale(scale)
			}
		}
	}
}

// rescale converts the loads of a serving step to another unit.
func (s *step) rescale(scale float64) {
	s.baseline.Rescale(scale)
	for i := range s.tasks {
		t := &s.tasks[i]
		t.loadOffset *= scale
		if t.averageLoad != 0 {
			t.shownLoad, t.averageLoad = contention.Rescaled(t.shownLoad, scale), contention.Rescaled(t.averageLoad, scale)
		}
		if t.worker != nil {
			t.worker.expectedValid = false
		}
	}
}

// averageWeight is the weight of a new report in the moving average that decides whether a tail latency stays
// over its target. Single figures differ by a fifth from what the task's users see, so one figure below the
// target between others above it proves nothing.
const averageWeight = 0.4

// recordLoad records the load that a serving task's figure shows.
func (t *task) recordLoad(load float64) {
	t.shownLoad = load
	if t.averageLoad == 0 {
		t.averageLoad = load
	}
	t.averageLoad += averageWeight * (load - t.averageLoad)
}

// averageMargin is how far below its target the moving average of a load must be to end an excess: half of that
// average's standard deviation.
const averageMargin = 0.0125

// updateOverTarget records since when a tail latency is over its target. A single figure begins the excess, but
// only the moving average ends it.
func (w *worker) updateOverTarget(now time.Time) {
	switch {
	case w.maxExcess >= 0 && w.overTargetSince.IsZero():
		w.overTargetSince = now
	case w.maxExcess < 0 && w.averageExcess < -averageMargin:
		w.overTargetSince = time.Time{}
	}
}

// settleInterval is how often the model takes new observations into its predictions.
const settleInterval = 200 * time.Millisecond

// settleModel takes new observations into the model's predictions once per settleInterval.
func (c *Core) settleModel(now time.Time) {
	elapsed := now.Sub(c.modelSettledAt)
	if elapsed < settleInterval {
		return
	}
	c.modelSettledAt = now
	c.model.RefreshFactors(min(elapsed, time.Second).Seconds())
}

// LearnFromCell takes what the owner of another cell has learned.
func (c *Core) LearnFromCell(cell jobs.CellName, learned []jobs.LearnedFactor) {
	c.model.SetRemoteFactors(cell, learned)
}

// Learned returns what this cell has learned by itself about all pairs of images.
func (c *Core) Learned() []jobs.LearnedFactor { return c.model.LearnedFactors() }
