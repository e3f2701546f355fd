// SPDX-License-Identifier: Apache-2.0
// Copyright The Rillsail Authors

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rillsail.example/rillsail/models/jobs"
)

// A caution is the number of standard deviations by which a serving task's load is assumed to exceed its
// prediction: 0.8 accepts a probability of one fifth that the load gets over the target, 0.3 one of two fifths.
const (
	placeCaution    = 0.8  // filler tasks are placed while the load stays below its target
	laterCaution    = 0.3  // the same at the end of the new task's run, when it may be throttled
	throttleCaution = 0.3  // above it, filler tasks are throttled
	aimCaution      = 0.8  // the aim of throttling, and the limit up to which throttled tasks are sped up
	shownMargin     = 0.10 // amount by which a load shown in a report must exceed the target to count: two standard deviations of a figure
)

// settleTime is how long figures take to show a change of pace: they cover the last half second, and a pace
// takes effect a tenth of a second after its order.
const settleTime = 700 * time.Millisecond

// throttle slows filler tasks down where loads are too high, and speeds them up again where loads are low.
func (c *Core) throttle(now time.Time) {
	for _, w := range c.sortedWorkers {
		if w.fillerCPU == 0 || !w.hasSettled(now) {
			continue
		}
		c.resumePartly(w, now)
		if !w.overTargetSince.IsZero() && now.Sub(w.overTargetSince) > maxOverTarget {
			c.haltFillers(w, now)
		} else if _, excess := c.mostOverTarget(w, throttleCaution); excess >= 0 {
			c.slowDown(w, now)
		} else if _, excess := c.mostOverTarget(w, aimCaution); excess < 0 && w.hasThrottledTasks() {
			c.speedUp(w, now)
		}
	}
}

// hasSettled reports whether the worker's figures are recent and reflect the latest paces.
func (w *worker) hasSettled(now time.Time) bool {
	return w.answered && now.Sub(w.throttledAt) >= settleTime && now.Sub(w.reportedAt) <= settleTime
}

// hasThrottledTasks reports whether a task on the worker is below full pace, but for those on standby.
func (w *worker) hasThrottledTasks() bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.pace < jobs.FullSpeed && !t.standby })
}

// filler is a filler task with the load that it adds to a serving task at full pace.
type filler struct {
	*task
	adds float64
}

// addsNow returns the load that the task adds at its current pace.
func (f filler) addsNow() float64 { return f.adds * float64(f.pace) / float64(jobs.FullSpeed) }

// paceWithout returns the pace at which the task adds less load by excess; 0 if the task adds no more than
// that.
func (f filler) paceWithout(excess float64) jobs.Percent {
	adds := f.addsNow()
	if adds <= excess {
		return 0
	}
	return jobs.Percent(float64(f.pace) * (1 - excess/adds))
}

// gainWithin returns by how much the task's pace may rise if the load may rise by allowance.
func (f filler) gainWithin(allowance float64) jobs.Percent {
	if f.adds <= 0 {
		return jobs.FullSpeed
	}
	return jobs.Percent(min(1, max(0, allowance/f.adds)) * float64(jobs.FullSpeed))
}

// filler returns a filler task with the load that it adds to a serving image.
func (c *Core) filler(w *worker, t *task, serving jobs.ImageName) filler {
	return filler{t, w.fullShare(t.step) * c.model.Service(serving).Factor(c.model.Index(t.step.spec.Image))}
}

// fillers returns the worker's running filler tasks, but for those on standby, with the load that they add to a serving
// image, the largest first.
func (c *Core) fillers(w *worker, serving jobs.ImageName) []filler {
	var list []filler
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state == taskRunning && !t.standby {
			list = append(list, c.filler(w, t, serving))
		}
	}
	slices.SortFunc(list, func(a, b filler) int {
		return cmp.Or(cmp.Compare(b.adds, a.adds), cmp.Compare(a.id().String(), b.id().String()))
	})
	return list
}

// mostOverTarget returns the worker's serving image whose load, reported or predicted, exceeds its target load
// the most, and the excess; a negative excess means that the load is below the target.
func (c *Core) mostOverTarget(w *worker, caution float64) (image jobs.ImageName, excess float64) {
	excess = math.Inf(-1)
	for _, s := range c.expectedLoads(w) {
		if e := max(s.excess(caution, 0, 0), s.shownLoad-shownMargin-s.service.TargetLoad()); e > excess {
			image, excess = s.image, e
		}
	}
	return image, excess
}

// maxOverTarget is how long a tail latency may be reported over its target before all filler tasks beside it
// are halted. The users count harm after four seconds; a report may show the excess one second late, and the
// next report, and the pace order that follows, take half a second each.
const maxOverTarget = 1200 * time.Millisecond

// haltFillers throttles all filler tasks of the worker to a halt.
func (c *Core) haltFillers(w *worker, now time.Time) {
	for _, t := range w.tasks {
		if t.step.spec.Filler && t.state == taskRunning && !t.standby {
			c.setPace(w, t, 0, now)
		}
	}
}

// minRelief is the smallest load at full pace that makes a task worth throttling.
const minRelief = 0.01

// slowDown throttles or moves filler tasks, those that add the most load first, until the highest load meets
// the aim of throttling.
func (c *Core) slowDown(w *worker, now time.Time) {
	image, excess := c.mostOverTarget(w, aimCaution)
	list := c.fillers(w, image)
	for _, f := range list {
		if excess <= 0 || f.adds < minRelief {
			return
		}
		pace := f.paceWithout(excess)
		excess -= f.addsNow()
		if pace < moveBelow && c.canMove(w, f.task, now) {
			c.moveTask(w, f.task, now)
			continue
		}
		c.setPace(w, f.task, pace, now)
	}
}

// moveTask stops a task that can continue on another worker.
func (c *Core) moveTask(w *worker, t *task, now time.Time) {
	c.stop(t, "it can continue on a worker with free capacity")
	w.throttledAt = now
	w.expectedValid = false
}

const (
	// moveBelow is the pace below which moving a task is better than throttling it: a stop, a report and the
	// restart from a checkpoint take about a second.
	moveBelow jobs.Percent = 40
	// moveAfter is how long a task must have run before it is moved, so that it does not move repeatedly.
	moveAfter = 700 * time.Millisecond
)

// canMove reports whether the task can continue at full pace on another worker.
func (c *Core) canMove(w *worker, t *task, now time.Time) bool {
	if !t.step.spec.Checkpoints || now.Sub(t.startedAt) < moveAfter {
		return false
	}
	for _, other := range c.sortedWorkers {
		if other != w && c.mayTake(other, t.step, now) {
			return true
		}
	}
	return false
}

// speedUp raises the paces of throttled tasks, those that add the least load first.
func (c *Core) speedUp(w *worker, now time.Time) {
	image, _ := c.mostOverTarget(w, aimCaution)
	for _, f := range slices.Backward(c.fillers(w, image)) {
		if f.pace >= jobs.FullSpeed {
			continue
		}
		_, excess := c.mostOverTarget(w, aimCaution) // with the paces raised so far
		pace := f.pace + f.gainWithin(-excess)
		c.setPace(w, f.task, min(jobs.FullSpeed, pace), now)
	}
}
