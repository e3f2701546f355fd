// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// minPaceChange is the least change of a pace that is worth a call.
const minPaceChange jobs.Percent = 8

// setPace orders a pace, unless it hardly differs from the one in force. One whose order had
// no answer may not be in force and is ordered again: a halt that got lost would harm what
// serves beside it for ever, since the task seems to stand still already.
func (c *Core) setPace(w *worker, t *task, pace jobs.Percent, now time.Time) {
	change := pace - t.pace
	small := change == 0 || (change < minPaceChange && change > -minPaceChange && pace != 0 && pace != jobs.FullSpeed)
	if small && !t.paceUncertain {
		return
	}
	c.config.Logger.Info("run is throttled", zap.Stringer("task", t.id()), zap.Int("from", int(t.pace)), zap.Int("to", int(pace)),
		zap.String("worker", string(w.info.ID)), zap.Float64("load", w.maxLoad), zap.Int64("figure_age_ms", now.Sub(w.heard).Milliseconds()))
	before := t.pace
	t.pace, t.pacedAt = pace, now
	w.throttledAt, w.fillersChangedAt = now, now
	w.expectedValid = false
	c.counts.Paces++
	c.orders = append(c.orders, PaceOrder{Worker: w.info, Before: before, Call: jobs.PaceCall{
		Task: t.id(), Run: t.run, Fence: w.fence, Pace: pace,
	}})
}

// fullPaceUse is the part of its declared processor time from which a filling run is taken
// to be at full pace; those that are use 0.65 of it and more.
const fullPaceUse = 0.5

// inferPace is the pace that a run's figure shows: reports don't say the pace, but a filling
// run that uses little processor time is throttled, by a former owner or by a late order.
func inferPace(spec *jobs.Step, figure int) jobs.Percent {
	used := float64(figure) / float64(max(1, spec.Size.CPU))
	if !spec.Fills || used >= fullPaceUse {
		return jobs.FullSpeed
	}
	return jobs.Percent(used / fillerUse * float64(jobs.FullSpeed))
}

// paceSettleTime is for how long after its last change a run's pace may not show in its figure.
const paceSettleTime = 1500 * time.Millisecond

// stalledPace is a pace below which a run is taken to have been throttled by another order.
const stalledPace jobs.Percent = 20

// checkPace finds runs that stand still although they were not ordered to: an order to
// throttle may be done seconds late, after newer ones. Once it is known, they are given
// speed as others are.
func (c *Core) checkPace(w *worker, t *task, now time.Time) {
	spec := t.step.spec
	if !spec.Fills || t.state != taskRunning || t.pace < minSampledPace || now.Sub(t.pacedAt) < paceSettleTime {
		return
	}
	if pace := inferPace(spec, t.figure); pace < stalledPace {
		c.config.Logger.Info("run is slower than ordered", zap.Stringer("task", t.id()), zap.Int("ordered", int(t.pace)),
			zap.Int("figure", t.figure), zap.String("worker", string(w.info.ID)))
		t.pace, t.pacedAt = pace, now
		w.expectedValid = false
	}
}
