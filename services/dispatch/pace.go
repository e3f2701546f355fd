// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"rillsail.example/rillsail/models/jobs"
)

// minPaceChange is the smallest change of a pace that is worth a call.
const minPaceChange jobs.Percent = 8

// setPace orders a pace unless it hardly differs from the one in force. A pace whose order had no answer may
// not be in force and is ordered again: if an order to halt got lost, the task would harm the serving tasks
// beside it indefinitely, since it counts as halted already.
func (c *Core) setPace(w *worker, t *task, pace jobs.Percent, now time.Time) {
	change := pace - t.pace
	small := change == 0 || (change < minPaceChange && change > -minPaceChange && pace != 0 && pace != jobs.FullSpeed)
	if small && !t.paceUncertain {
		return
	}
	w.throttledAt = now
	c.orderPace(w, t, t.pace, pace, now)
}

// orderPace orders a pace; before is the one that is in force if the order is not carried out.
func (c *Core) orderPace(w *worker, t *task, before, pace jobs.Percent, now time.Time) {
	c.config.Logger.Info("run's pace is changed", zap.Stringer("task", t.id()), zap.Int("from", int(before)), zap.Int("to", int(pace)),
		zap.String("worker", string(w.info.ID)), zap.Float64("load", w.maxLoad), zap.Int64("figure_age_ms", now.Sub(w.reportedAt).Milliseconds()))
	t.pace, t.pacedAt = pace, now
	w.fillersChangedAt = now
	w.expectedValid = false
	c.counts.Paces++
	c.orders = append(c.orders, PaceOrder{Worker: w.info, Before: before, Call: jobs.PaceCall{
		Task: t.id(), Run: t.run, Fence: w.fence, Pace: pace,
	}})
}

// fullPaceUse is the part of its declared CPU from which a filler run is assumed to be at full pace; runs at
// full pace use 0.65 of it or more.
const fullPaceUse = 0.5

// inferPace returns the pace that a run's figure indicates. Reports do not contain the pace, but a filler run
// that uses little CPU is throttled, by a previous owner or by a late order.
func inferPace(spec *jobs.Step, figure int) jobs.Percent {
	used := float64(figure) / float64(max(1, spec.Size.CPU))
	if !spec.Filler || used >= fullPaceUse {
		return jobs.FullSpeed
	}
	return jobs.Percent(used / fillerUse * float64(jobs.FullSpeed))
}

// paceSettleTime is how long after its last change a run's pace may not show in its figure.
const paceSettleTime = 1500 * time.Millisecond

// stalledPace is the pace below which a run is assumed to have been throttled by another order.
const stalledPace jobs.Percent = 20

// checkPace detects runs that hardly progress although they were not ordered to: an order to throttle may be
// carried out seconds late, after newer ones. A run found this way is sped up again like other throttled runs.
func (c *Core) checkPace(w *worker, t *task, now time.Time) {
	spec := t.step.spec
	if !spec.Filler || t.state != taskRunning || t.pace < minSampledPace || now.Sub(t.pacedAt) < paceSettleTime {
		return
	}
	if pace := inferPace(spec, t.figure); pace < stalledPace {
		c.config.Logger.Info("run is slower than its ordered pace; the observed pace is assumed from now on", zap.Stringer("task", t.id()), zap.Int("ordered", int(t.pace)),
			zap.Int("figure", t.figure), zap.String("worker", string(w.info.ID)))
		t.pace, t.pacedAt = pace, now
		w.expectedValid = false
	}
}
